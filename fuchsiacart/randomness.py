"""Sources of random choices."""

from random import Random


def make_random(seed, host):
    """Return the source of random choices of one host.

    Hosts that share a seed still choose differently: equal election
    timeouts would split the votes again and again.

    :param seed: seed from the settings; 0 takes any.
    :param host: name of the host.
    """
    if not seed:
        return Random()
    return Random(f'{seed}/{host}')
