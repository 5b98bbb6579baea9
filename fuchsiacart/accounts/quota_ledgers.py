"""The leader's division of the accounts' quotas among gateways.

The tokens of an account arise at its rate.  Those that the leader keeps and
those that gateways hold are never more than its pool, so that the requests of
all gateways in any window keep to the quota, whichever of them are cut off.
What a gateway holds when it ends counts as spent.
"""

from math import floor

from msgspec import Struct

from fuchsiacart.accounts.quota_books import SILENCE_MS
from fuchsiacart.accounts.quota_books import target_tokens
from fuchsiacart.accounts.quota_messages import QuotaGrant
from fuchsiacart.clocks import MILLISECONDS

# Time between two renewals of a lease, for which a gateway's part of the rate
# is granted at once.
INTERVAL_S = 0.5
# Time between two sums over all gateways of an account.
SWEEP_MS = 250.0
# Part of the rate above which a gateway without tokens is told that there are
# none, rather than to ask again.
BUSY_PART = 0.9
# Part of its tokens that an account has at a new leader, as those of the one
# before may be in use.
START_PART = 0.15
# Difference between the clocks of a gateway and the leader over a lease.
MARGIN_MS = 250.0
# Time after which a gateway that reports nothing of an account is forgotten.
FORGET_MS = 10_000.0
# Share of its usual rate that a gateway may grant itself at most.
MAX_SHARE_FACTOR = 1.5


class _Holding(Struct):
    """What one gateway holds of an account, by its last report."""

    incarnation: int
    granted: float
    used: float
    rate_per_s: float
    share_per_s: float
    seen_ms: float

    @property
    def credit(self):
        """Tokens that the gateway has not spent."""
        return max(0.0, self.granted - self.used)


class _Pool:
    """Tokens of one account.

    :param level: tokens that the leader has.
    :param now_ms: the current time.
    """

    def __init__(self, level, now_ms):
        self.level = level
        self.refilled_ms = now_ms
        self.swept_ms = float('-inf')
        self.holdings = {}
        self.held = 0.0
        self.rate_per_s = 0.0
        self.silent_per_s = 0.0

    def sweep(self, now_ms, lease_ms):
        """Sum up the holdings; forget those of gateways that have ended."""
        self.swept_ms = now_ms
        self.holdings = {
            name: holding
            for name, holding in self.holdings.items()
            if now_ms - holding.seen_ms < FORGET_MS
        }
        holdings = self.holdings.values()
        self.held = sum(holding.credit for holding in holdings)
        self.rate_per_s = sum(holding.rate_per_s for holding in holdings)
        # A gateway that has nothing to report of the account is not silent.
        self.silent_per_s = sum(
            holding.share_per_s
            for holding in holdings
            if SILENCE_MS < now_ms - holding.seen_ms < lease_ms + MARGIN_MS
        )

    def record(self, host, report, now_ms):
        """Replace the holding of a gateway by its report.

        Tokens that it returns come back to the leader.

        :return: its :class:`_Holding`.
        """
        before = self.holdings.get(host.name)
        if before is not None and before.incarnation != host.incarnation:
            self._remove(host.name)
            before = None
        if before is not None:
            self.level += max(0.0, before.granted - report.granted)
            self._remove(host.name)
        holding = _Holding(
            host.incarnation,
            report.granted,
            report.used,
            report.rate_per_s,
            before.share_per_s if before is not None else 0.0,
            now_ms,
        )
        self.holdings[host.name] = holding
        self.held += holding.credit
        self.rate_per_s += holding.rate_per_s
        return holding

    def _remove(self, name):
        holding = self.holdings.pop(name)
        self.held -= holding.credit
        self.rate_per_s -= holding.rate_per_s


class QuotaLedger:
    """Grants tokens to gateways.  Performs no I/O and reads no clock.

    A new leader has few tokens at first, and gets more at the part of the rate
    that belongs to the gateways it has heard.

    :param terms: the :class:`QuotaTerms`.
    :param lease_ms: duration of a lease.
    :param now_ms: time at which this process began to lead.
    """

    def __init__(self, terms, lease_ms, now_ms):
        self._terms = terms
        self._lease_ms = lease_ms
        self._pools = {}
        self._heard = set()
        self._gateway_count = 1
        self._knows_all = False
        # Until then an earlier leader's grants may be in use.
        self._full_from_ms = (
            now_ms + lease_ms + MARGIN_MS + terms.window_s * MILLISECONDS
        )

    def record_gateways(self, names):
        """Set the gateways that hold a lease.

        :param names: their names.
        """
        self._gateway_count = max(1, len(names))
        self._knows_all = self._knows_all or names <= self._heard

    def grant(self, host, reports, accounts, now_ms):
        """Answer the reports of a gateway.

        :param host: its :class:`Host`.
        :param reports: each a :class:`QuotaReport`.
        :param accounts: the :class:`AccountTable` in force.
        :param now_ms: current time, in milliseconds of a steady clock.
        :return: a tuple of :class:`QuotaGrant`, one for each account with a
            quota.
        """
        self._heard.add(host.name)
        grants = []
        for report in reports:
            account = accounts.find_by_name(report.account)
            if account is None or not account.has_quota:
                continue
            grants.append(self._grant(host, report, account, now_ms))
        return tuple(grants)

    def _grant(self, host, report, account, now_ms):
        pool = self._find_pool(account, now_ms)
        self._refill(pool, account, now_ms)
        holding = pool.record(host, report, now_ms)
        granted = self._choose_tokens(pool, holding, report, account)
        pool.level -= granted
        pool.held += granted
        holding.granted += granted
        holding.share_per_s = _share_of(pool, holding, account)
        is_short = (
            pool.level < 1 and pool.rate_per_s > account.rate_per_s * BUSY_PART
        )
        return QuotaGrant(
            account.name,
            holding.granted,
            round(holding.share_per_s, 3),
            is_short,
        )

    def _find_pool(self, account, now_ms):
        pool = self._pools.get(account.name)
        if pool is None:
            # An account that no gateway uses has all its tokens here.
            is_unused = now_ms >= self._full_from_ms
            part = 1.0 if is_unused else START_PART
            pool = _Pool(part * self._terms.pool_tokens(account), now_ms)
            self._pools[account.name] = pool
        return pool

    def _refill(self, pool, account, now_ms):
        if now_ms - pool.swept_ms >= SWEEP_MS:
            pool.sweep(now_ms, self._lease_ms)
        rate_per_s = account.rate_per_s - pool.silent_per_s
        if not self._knows_all and now_ms < self._full_from_ms:
            rate_per_s *= min(1.0, len(self._heard) / self._gateway_count)
        passed_s = (now_ms - pool.refilled_ms) / MILLISECONDS
        pool.refilled_ms = now_ms
        room = self._terms.pool_tokens(account) - pool.held
        pool.level += max(0.0, rate_per_s) * passed_s
        pool.level = min(pool.level, room)

    def _choose_tokens(self, pool, holding, report, account):
        """Return how many tokens the gateway gets: a whole number."""
        rate_sum = max(pool.rate_per_s, holding.rate_per_s, 0.001)
        part = holding.rate_per_s / rate_sum
        target = target_tokens(holding.rate_per_s)
        if report.wanted:
            target = max(target, report.wanted + 1.0)
        own = self._terms.float_tokens(account, self._gateway_count)
        target = max(0.0, target - own)
        if rate_sum > account.rate_per_s:
            # More is asked for than the quota has: hold none in advance.
            target = min(
                target, 1 + part * account.rate_per_s * 2 * INTERVAL_S
            )
        need = target - (holding.granted - holding.used)
        fair = part * max(0.0, pool.level)
        if report.wanted:
            fair += part * account.rate_per_s * INTERVAL_S
        if report.wanted or holding.granted < holding.used:
            fair = max(1.0, fair)
        return max(0, floor(min(need, fair, pool.level)))


def _share_of(pool, holding, account):
    """Return the rate at which a gateway may grant itself tokens."""
    rate_sum = max(pool.rate_per_s, holding.rate_per_s)
    if rate_sum <= 0:
        return 0.0
    share = account.rate_per_s * holding.rate_per_s / rate_sum
    return min(share, holding.rate_per_s * MAX_SHARE_FACTOR)
