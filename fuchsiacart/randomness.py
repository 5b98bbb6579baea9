"""Random number generators."""

from random import Random


def make_random(seed, host):
    """Return the random number generator of one host.

    The name of the host is part of the seed, as hosts with equal election
    timeouts would split the votes again and again.

    :param seed: seed from the settings; 0 for a random one.
    :param host: name of the host.
    """
    if not seed:
        return Random()
    return Random(f'{seed}/{host}')
