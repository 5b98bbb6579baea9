"""Tokens of the accounts' quotas at one gateway.

Answers accounts of which each gateway gets a request only now and then, and
those that send many times their usual.  A gateway spends tokens that the
leader has granted ahead of the requests that it expects, and a few without
asking; in any failure the sum over all gateways keeps to the quota.
"""

from collections import deque
from enum import Enum
from enum import unique
from math import floor

from msgspec import Struct
from xxhash import xxh64_intdigest

from fuchsiacart.accounts.client_accounts import AccountId
from fuchsiacart.accounts.quota_messages import QuotaReport
from fuchsiacart.clocks import MILLISECONDS

HASH_SPAN = 2**64
# Tokens are held for the requests that arrive in this time, which covers a
# renewal of the lease that fails.
HORIZON_S = 1.5
# Weight of the newest interval in the moving average of the arrival rate.
RATE_WEIGHT = 0.2
# Time without a request after which the tokens of an account are returned.
IDLE_MS = 2000.0
# Time without an answer of the leader after which a gateway grants itself its
# share of the rate: two renewals of the lease.
SILENCE_MS = 1000.0
MIN_RETRY_AFTER_MS = 200.0


@unique
class QuotaState(Enum):
    """Whether a request may use a token of its account.

    ``UNKNOWN``: no leader is heard, and the tokens are spent.
    """

    SPENT = 'spent'
    WAIT = 'wait'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class _Balance(Struct):
    """Tokens of one account at this gateway, see :class:`QuotaReport`.

    ``float_position`` places this gateway among those that spend a token
    without asking, from 0 to 1.
    """

    account: AccountId
    float_position: float
    granted: float = 0.0
    used: float = 0.0
    reported: float = 0.0
    # True while the leader counts tokens or a rate here.
    is_known: bool = False
    arrivals: int = 0
    waiting: int = 0
    rate_per_s: float = 0.0
    share_per_s: float = 0.0
    is_short: bool = False
    arrived_ms: float = 0.0
    accrued_ms: float = 0.0

    @property
    def credit(self):
        """Tokens that are granted and not spent."""
        return self.granted - self.used

    @property
    def is_used(self):
        """True if there is anything to report."""
        return bool(self.credit or self.rate_per_s or self.waiting)

    @property
    def target(self):
        """Tokens that the expected requests need."""
        return target_tokens(self.rate_per_s)


class QuotaBook:
    """Grants tokens to requests.  Performs no I/O.

    :param terms: the :class:`QuotaTerms`.
    :param host_name: name of this gateway.
    :param lease_ms: duration of a lease.
    :param started_ms: time at which the gateway started.
    """

    def __init__(self, terms, host_name, lease_ms, started_ms):
        self._terms = terms
        self._host_name = host_name
        self._lease_ms = lease_ms
        # What an earlier process of this host has spent has left the window.
        self._float_from_ms = started_ms + terms.window_s * MILLISECONDS
        self._gateway_count = 1
        # Each number that was higher than the next, and until when it counts.
        self._earlier_counts = deque()
        self._balances = {}
        self._answered_ms = None
        self._flushed_ms = started_ms

    def set_gateway_count(self, count, now_ms):
        """Set the number of gateways among which tokens are spread.

        What a gateway that has ended spent before it was granted leaves the
        window only later, so its part is not spent by others before.

        :param count: the number.
        :param now_ms: the current time.
        """
        count = max(1, count)
        if count < self._gateway_count:
            until_ms = now_ms + self._terms.window_s * MILLISECONDS
            self._earlier_counts.append((until_ms, self._gateway_count))
        self._gateway_count = count

    def record_arrival(self, account, now_ms):
        """Record that a request of an account needs a token.

        :param account: the :class:`ClientAccount`.
        :param now_ms: the current time.
        """
        balance = self._find(account)
        balance.arrivals += 1
        balance.arrived_ms = now_ms

    def spend(self, account, now_ms):
        """Spend a token if there is one.

        :param account: the :class:`ClientAccount`.
        :param now_ms: the current time.
        :return: the :class:`QuotaState`.
        """
        balance = self._find(account)
        self._accrue(balance, now_ms)
        if balance.credit + self._float_of(account, balance, now_ms) >= 1:
            balance.used += 1
            return QuotaState.SPENT
        if self._is_cut_off(now_ms):
            return QuotaState.UNKNOWN
        return QuotaState.REFUSED if balance.is_short else QuotaState.WAIT

    def refund(self, account):
        """Take back a token whose request has not run.

        :param account: the :class:`ClientAccount`.
        """
        self._find(account).used -= 1

    def begin_wait(self, account):
        """Count a request that waits for a token."""
        self._find(account).waiting += 1

    def end_wait(self, account):
        """Count a request that waits no longer."""
        self._find(account).waiting -= 1

    def retry_after_ms(self, account):
        """Return the time after which there is probably a token.

        :param account: the :class:`ClientAccount`.
        """
        share_per_s = self._find(account).share_per_s
        if share_per_s <= 0:
            return MIN_RETRY_AFTER_MS
        return max(MIN_RETRY_AFTER_MS, MILLISECONDS / share_per_s)

    def make_reports(self, now_ms):
        """Return the :class:`QuotaReport` of each account in use.

        Tokens that the expected requests do not need are returned with it.

        :param now_ms: the current time.
        """
        elapsed_s = max(0.001, (now_ms - self._flushed_ms) / MILLISECONDS)
        self._flushed_ms = now_ms
        reports = []
        for balance in self._balances.values():
            self._measure_rate(balance, elapsed_s, now_ms)
            self._return_excess(balance)
            balance.reported = balance.granted
            if not (balance.is_used or balance.is_known):
                continue
            balance.is_known = True
            reports.append(
                QuotaReport(
                    balance.account,
                    balance.granted,
                    balance.used,
                    round(balance.rate_per_s, 3),
                    self._wanted(balance, now_ms),
                )
            )
        return tuple(reports)

    def apply_grants(self, grants, now_ms):
        """Apply the leader's answer to the last reports.

        :param grants: each a :class:`QuotaGrant`.
        :param now_ms: the current time.
        """
        self._answered_ms = now_ms
        for grant in grants:
            balance = self._balances.get(grant.account)
            if balance is None:
                continue
            # The gateway may have granted itself some since the report.
            balance.granted += grant.granted - balance.reported
            balance.reported = grant.granted
            balance.is_known = balance.is_used
            balance.share_per_s = grant.share_per_s
            balance.is_short = grant.is_short

    def left(self, account, now_ms):
        """Return how many requests an account may run here without asking.

        :param account: the :class:`ClientAccount`.
        :param now_ms: the current time.
        """
        balance = self._balances.get(account.name)
        if balance is None:
            balance = self._make_balance(account)
        return balance.credit + self._float_of(account, balance, now_ms)

    def credits(self):
        """Return the tokens left by account, for the metrics."""
        return {
            name: balance.credit for name, balance in self._balances.items()
        }

    def _find(self, account):
        balance = self._balances.get(account.name)
        if balance is None:
            balance = self._make_balance(account)
            self._balances[account.name] = balance
        return balance

    def _make_balance(self, account):
        seed = f'{account.name}\n{self._host_name}'.encode()
        return _Balance(account.name, xxh64_intdigest(seed) / HASH_SPAN)

    def _float_of(self, account, balance, now_ms):
        """Return the tokens that may be spent before they are granted."""
        if now_ms < self._float_from_ms:
            return 0
        return self._terms.float_tokens(
            account, self._count_gateways(now_ms), balance.float_position
        )

    def _count_gateways(self, now_ms):
        """Return the most gateways there were in the last window."""
        while self._earlier_counts and self._earlier_counts[0][0] <= now_ms:
            self._earlier_counts.popleft()
        earlier = (count for _, count in self._earlier_counts)
        return max((self._gateway_count, *earlier))

    def _wanted(self, balance, now_ms):
        """Return how many requests need a token that is not granted yet.

        Those of the next renewal too while the gateway spends no token before
        it is granted.
        """
        if now_ms >= self._float_from_ms:
            return balance.waiting
        return balance.waiting + floor(balance.rate_per_s * HORIZON_S / 2)

    def _is_cut_off(self, now_ms):
        if self._answered_ms is None:
            return True
        return now_ms - self._answered_ms > self._lease_ms

    def _accrue(self, balance, now_ms):
        """Grant the share of the rate while no leader is heard.

        The leader leaves it to a gateway that is silent, until its lease ends.
        """
        if self._answered_ms is None:
            return
        start_ms = max(balance.accrued_ms, self._answered_ms + SILENCE_MS)
        end_ms = min(now_ms, self._answered_ms + self._lease_ms)
        if end_ms <= start_ms:
            return
        balance.accrued_ms = end_ms
        accrued = balance.share_per_s * (end_ms - start_ms) / MILLISECONDS
        room = max(0.0, balance.target - balance.credit)
        balance.granted += min(accrued, room)

    def _measure_rate(self, balance, elapsed_s, now_ms):
        rate = balance.arrivals / elapsed_s
        balance.arrivals = 0
        balance.rate_per_s += RATE_WEIGHT * (rate - balance.rate_per_s)
        if now_ms - balance.arrived_ms > IDLE_MS:
            balance.rate_per_s = 0.0

    def _return_excess(self, balance):
        if not balance.rate_per_s and balance.credit > 0:
            balance.granted = balance.used
        elif balance.credit > 2 * balance.target:
            balance.granted -= floor(balance.credit - balance.target)


def target_tokens(rate_per_s):
    """Return the tokens that a gateway holds for the requests to come.

    :param rate_per_s: rate of the account's requests at the gateway.
    """
    return 1 + rate_per_s * HORIZON_S if rate_per_s > 0 else 0.0
