"""Accounts of a soak: a steady one, one whose keys come and go, and a quota.

Checks that no request runs outside its account, its quota, or later than a
revocation allows, whichever gateways are cut off, frozen or started again.
"""

from collections import deque

from soak.callers import Caller
from soak.records import NEVER_S
from soak.records import STEADY_KEY

# Time after the acknowledgement of a change from which no request runs with a
# key that it took away, by any gateway.
REVOKE_S = 5.0
ROTATING_ACCOUNT = 'rotating'
LIMITED_ACCOUNT = 'limited'
LIMITED_KEY = 'key-limited'
UNKNOWN_KEY = 'key-unknown'
ROTATE_PROBABILITY = 0.3
# The quota of the limited account, by the default settings of a gateway.
RATE_PER_S = 5.0
BURST = 5.0
WINDOW_S = 5.0
SLACK = 20.0
MAX_RUNS = RATE_PER_S * WINDOW_S + BURST + SLACK


class AccountPlan:
    """The accounts of the configurations that the operator puts.

    :param random: random number generator of its own.
    """

    def __init__(self, random):
        self._random = random
        self.rotating_keys = ['key-rotating-0']

    def next_keys(self):
        """Return the account of each key of the next configuration."""
        if self._random.random() < ROTATE_PROBABILITY:
            self.rotating_keys.append(
                f'key-rotating-{len(self.rotating_keys)}'
            )
        return {
            STEADY_KEY: 'steady',
            LIMITED_KEY: LIMITED_ACCOUNT,
            self.rotating_keys[-1]: ROTATING_ACCOUNT,
        }

    def choose_key(self):
        """Return a key that is held now, was held, or never was."""
        keys = (
            self.rotating_keys[-1],
            self._random.choice(self.rotating_keys),
        )
        return self._random.choice((*keys, UNKNOWN_KEY))


def make_resources(keys):
    """Return the items of accounts as an operator sends them.

    :param keys: the account of each key.
    """
    return [
        {
            'type': 'tenants',
            'metadata': {'name': account},
            'spec': {'api_keys': [key]}
            | (
                {'rate_per_s': RATE_PER_S, 'burst': BURST}
                if account == LIMITED_ACCOUNT
                else {}
            ),
        }
        for key, account in keys.items()
    ]


class KeyCaller(Caller):
    """Sends requests with keys that come and go, to all gateways."""

    def choose_key(self):
        """See :meth:`Caller.choose_key`."""
        return self._soak.accounts.choose_key()


class LimitedCaller(Caller):
    """Sends more requests than the quota of its account allows."""

    pause_range_s = (0.0, 0.03)

    def choose_key(self):
        """See :meth:`Caller.choose_key`."""
        return LIMITED_KEY


def find_account_errors(requests, orders):
    """Yield the promise and the detail of each request that ran wrongly.

    :param requests: each :class:`SentRequest`.
    :param orders: each :class:`Order`.
    """
    for sent in requests:
        for run in sent.runs:
            if run.has_key:
                yield 'UNASKED', f'{sent.request_id} brought its key'
            holders = {each.keys.get(sent.key) for each in orders}
            if run.account not in holders - {None}:
                yield 'ROUTE', f'{sent.request_id} ran as {run.account!r}'
        if sent.runs and _is_revoked(sent, orders):
            yield 'REVOKED', f'{sent.request_id} ran with {sent.key}'


def _is_revoked(sent, orders):
    """Return True if the key of a request was surely taken away in time.

    A key that was taken away never comes back.
    """
    versions = [each.version for each in orders if sent.key in each.keys]
    return any(
        order.acked_s + REVOKE_S < sent.sent_s
        for order in orders
        if order.acked_s < NEVER_S
        and sent.key not in order.keys
        and order.version > min(versions, default=order.version)
    )


def find_exceeded_quota(requests):
    """Return the most requests of the limited account in a window.

    Only those that were both sent and run inside it count.

    :param requests: each :class:`SentRequest`.
    """
    runs = sorted(
        (run.at_s, sent.sent_s)
        for sent in requests
        if sent.key == LIMITED_KEY
        for run in sent.runs
    )
    window = deque()
    most = 0
    for at_s, sent_s in runs:
        window.append((at_s, sent_s))
        while window[0][0] < at_s - WINDOW_S:
            window.popleft()
        inside = sum(each[1] >= at_s - WINDOW_S for each in window)
        most = max(most, inside)
    return most
