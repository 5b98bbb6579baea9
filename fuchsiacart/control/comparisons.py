"""Outlier detection: backend servers compared with their peers.

The evidence comes from all gateways.  The results are for operators: the
leader logs them.  Gateways do not act on them, because the objects of an
avoided server would be new to all other servers.

A server is an outlier for some time if it fails a large fraction of its
requests, or takes much longer than the servers of its service usually do.
As with outlier ejection in proxies, each relapse doubles the time, and the
fraction of a service's servers that are outliers at once is limited.  A
failure that many servers have in common does not count: moving their
objects to other servers would cost more than it saves.
"""

from collections import defaultdict
from math import exp
from math import log
from statistics import median

from msgspec import Struct

from fuchsiacart.gateway.evidence import Outlier

# Time in which evidence loses half of its weight.
HALF_LIFE_MS = 1500.0
# Weighted number of requests that a server needs to be compared.
MIN_REQUESTS = 4.0
# Fraction of failed requests from which a server is failing.
FAILING_FRACTION = 0.3
# Multiple of the median response time above which a server is slow.
SLOW_FACTOR = 2.5
# Time for which a new server is not compared by response time: it has no
# objects yet, which makes it slow.
NEW_SERVER_MS = 6000.0
# Shortest and longest time for which a server is an outlier.
MIN_OUTLIER_MS = 3000.0
MAX_OUTLIER_MS = 12_000.0
# Time without a relapse after which the duration starts at the minimum again.
RELAPSE_WINDOW_MS = 15_000.0
# Fraction of the servers of a service that may be outliers at once.
MAX_OUTLIER_FRACTION = 0.4
# If more than this fraction of the servers fails, the failure is common: its
# cause is not in the servers.
COMMON_FAILURE_FRACTION = 0.25
# Fraction of failed requests from which a server is an outlier, even if the
# failure is common.
UNUSABLE_FRACTION = 0.8
FAILING = 'failing'
SLOW = 'slow'


class _ServerStats(Struct):
    """Weighted counts of one server, and until when it is an outlier.

    The counts are those of :class:`ServerEvidence`.
    """

    service: str
    first_seen_ms: float
    updated_ms: float
    answers: float = 0.0
    failures: float = 0.0
    timed: float = 0.0
    taken_ms: float = 0.0
    duration_ms: float = 0.0
    outlier_until_ms: float = 0.0
    reason: str = ''

    def decay(self, now_ms):
        """Decay the counts exponentially up to a time."""
        factor = exp(-log(2) * (now_ms - self.updated_ms) / HALF_LIFE_MS)
        self.updated_ms = now_ms
        self.answers *= factor
        self.failures *= factor
        self.timed *= factor
        self.taken_ms *= factor

    @property
    def requests(self):
        """Return the weighted number of requests."""
        return self.answers + self.failures

    def is_failing(self, fraction):
        """Return True if at least this fraction of the requests failed."""
        if self.requests < MIN_REQUESTS:
            return False
        return self.failures >= self.requests * fraction

    def is_outlier(self, now_ms):
        """Return True if the server counts as an outlier."""
        return now_ms < self.outlier_until_ms

    def mark_outlier(self, reason, now_ms):
        """Mark the server as an outlier and reset its counts.

        Each relapse doubles the duration.
        """
        if now_ms - self.outlier_until_ms > RELAPSE_WINDOW_MS:
            self.duration_ms = 0.0
        self.duration_ms = min(
            MAX_OUTLIER_MS, max(MIN_OUTLIER_MS, 2 * self.duration_ms)
        )
        self.outlier_until_ms = now_ms + self.duration_ms
        self.reason = reason
        self.answers = self.failures = self.timed = self.taken_ms = 0.0


class PeerComparison:
    """Outlier detection of the leader; does no I/O and reads no clock."""

    def __init__(self):
        self._stats = {}

    def retain(self, names):
        """Remove the servers that are no longer registered.

        :param names: the registered servers.
        """
        for name in set(self._stats) - set(names):
            del self._stats[name]

    def add_evidence(self, evidence, now_ms):
        """Add the evidence of one gateway.

        :param evidence: a tuple of :class:`ServerEvidence`.
        :param now_ms: current time, in milliseconds of a steady clock.
        """
        for each in evidence:
            stats = self._stats.get(each.name)
            if stats is None:
                stats = _ServerStats(each.service, now_ms, now_ms)
                self._stats[each.name] = stats
            stats.decay(now_ms)
            stats.answers += each.answers
            stats.failures += each.failures
            stats.timed += each.timed
            stats.taken_ms += each.taken_ms

    def detect_outliers(self, now_ms):
        """Compare all servers with their peers.

        :param now_ms: current time, in milliseconds of a steady clock.
        :return: the new outliers, each a :class:`Outlier`.
        """
        by_service = defaultdict(list)
        for name, stats in self._stats.items():
            stats.decay(now_ms)
            by_service[stats.service].append((name, stats))
        outliers = []
        for members in by_service.values():
            outliers.extend(_detect_service_outliers(members, now_ms))
        return tuple(outliers)

    def outliers(self, now_ms):
        """Return all current outliers."""
        return tuple(
            Outlier(name, stats.reason)
            for name, stats in self._stats.items()
            if stats.is_outlier(now_ms)
        )


def _detect_service_outliers(members, now_ms):
    median_ms = _median_time_ms(members)
    failing = sum(stats.is_failing(FAILING_FRACTION) for _, stats in members)
    is_common = failing > len(members) * COMMON_FAILURE_FRACTION
    failing_fraction = UNUSABLE_FRACTION if is_common else FAILING_FRACTION
    quota = int(len(members) * MAX_OUTLIER_FRACTION)
    quota -= sum(stats.is_outlier(now_ms) for _, stats in members)
    for name, stats in members:
        if quota <= 0:
            return
        if stats.is_outlier(now_ms):
            continue
        reason = _find_reason(stats, failing_fraction, median_ms, now_ms)
        if reason:
            stats.mark_outlier(reason, now_ms)
            quota -= 1
            yield Outlier(name, reason)


def _median_time_ms(members):
    """Return the median of the servers' mean response times, 0 if none."""
    means = [
        stats.taken_ms / stats.timed
        for _, stats in members
        if stats.timed >= MIN_REQUESTS
    ]
    return median(means) if means else 0.0


def _find_reason(stats, failing_fraction, median_ms, now_ms):
    """Return why a server is an outlier, or an empty string."""
    if stats.is_failing(failing_fraction):
        return FAILING
    if now_ms - stats.first_seen_ms < NEW_SERVER_MS:
        return ''
    if stats.timed >= MIN_REQUESTS and median_ms > 0:
        if stats.taken_ms / stats.timed > median_ms * SLOW_FACTOR:
            return SLOW
    return ''
