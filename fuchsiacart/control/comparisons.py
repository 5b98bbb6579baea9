"""Backend servers compared with their peers, by what all gateways saw.

The verdicts are for operators: the leader logs them.  Gateways do not act on
them, since a server's objects are new to all others.

A server is condemned for a while when it fails much of what it is sent, or
takes far longer than the servers of its service usually do.  As with outlier
ejection in proxies, a relapse doubles the time, and never more than a part
of a service is avoided.  What many servers have in common is no reason:
their objects would be new to all others, which costs more than it saves.
"""

from collections import defaultdict
from math import exp
from math import log
from statistics import median

from msgspec import Struct

from fuchsiacart.gateway.evidence import Outlier

# Evidence loses half of its weight in this time.
HALF_LIFE_MS = 1500.0
# Weighed requests without which a server is not judged.
FEWEST_REQUESTS = 4.0
# Part of the requests that a failing server fails.
FAILING_PART = 0.3
# Multiple of the median time of its peers that a slow server takes.
SLOW_FACTOR = 2.5
# A server that has just started knows no objects yet and is slow for that.
NEW_SERVER_MS = 6000.0
FIRST_HOLD_MS = 3000.0
LONGEST_HOLD_MS = 12_000.0
# A server that was good for so long after a verdict starts anew.
FORGIVE_MS = 15_000.0
# Part of the servers of one service that may be avoided at once.
AVOIDED_PART = 0.4
# Failures that more servers than this part show come from elsewhere.
FAILING_SERVERS_PART = 0.25
# Part of the requests that a server fails which is of no use at all.
USELESS_PART = 0.8
FAILING = 'failing'
SLOW = 'slow'


class _ServerStats(Struct):
    """Weighed counts of one server, and when it is to be used again."""

    service: str
    known_since_ms: float
    noted_ms: float
    answers: float = 0.0
    failures: float = 0.0
    timed: float = 0.0
    taken_ms: float = 0.0
    hold_ms: float = 0.0
    held_until_ms: float = 0.0
    reason: str = ''

    def age(self, now_ms):
        """Let the counts lose weight."""
        part = exp(-log(2) * (now_ms - self.noted_ms) / HALF_LIFE_MS)
        self.noted_ms = now_ms
        self.answers *= part
        self.failures *= part
        self.timed *= part
        self.taken_ms *= part

    @property
    def requests(self):
        """Return the requests that the counts stand for."""
        return self.answers + self.failures

    def fails(self, part):
        """Tell whether the server fails this part of its requests."""
        if self.requests < FEWEST_REQUESTS:
            return False
        return self.failures >= self.requests * part

    def is_held(self, now_ms):
        """Tell whether the server is avoided."""
        return now_ms < self.held_until_ms

    def hold(self, reason, now_ms):
        """Avoid the server for a while, longer after each relapse."""
        if now_ms - self.held_until_ms > FORGIVE_MS:
            self.hold_ms = 0.0
        self.hold_ms = min(
            LONGEST_HOLD_MS, max(FIRST_HOLD_MS, 2 * self.hold_ms)
        )
        self.held_until_ms = now_ms + self.hold_ms
        self.reason = reason
        self.answers = self.failures = self.timed = self.taken_ms = 0.0


class PeerComparison:
    """The leader's verdicts on backend servers, pure."""

    def __init__(self):
        self._stats = {}

    def retain(self, names):
        """Forget the servers that are gone.

        :param names: the servers that are registered.
        """
        for name in set(self._stats) - set(names):
            del self._stats[name]

    def add_evidence(self, evidence, now_ms):
        """Take in a gateway's report.

        :param evidence: a tuple of :class:`ServerEvidence`.
        :param now_ms: the present.
        """
        for each in evidence:
            stats = self._stats.get(each.name)
            if stats is None:
                stats = _ServerStats(each.service, now_ms, now_ms)
                self._stats[each.name] = stats
            stats.age(now_ms)
            stats.answers += each.answers
            stats.failures += each.failures
            stats.timed += each.timed
            stats.taken_ms += each.taken_ms

    def detect_outliers(self, now_ms):
        """Judge all servers anew.

        :param now_ms: the present.
        :return: the verdicts that have been given now.
        """
        by_service = defaultdict(list)
        for name, stats in self._stats.items():
            stats.age(now_ms)
            by_service[stats.service].append((name, stats))
        given = []
        for members in by_service.values():
            given.extend(_judge_service(members, now_ms))
        return tuple(given)

    def outliers(self, now_ms):
        """Return the verdicts in force, one for each avoided server."""
        return tuple(
            Outlier(name, stats.reason)
            for name, stats in self._stats.items()
            if stats.is_held(now_ms)
        )


def _judge_service(members, now_ms):
    median_ms = _median_time_ms(members)
    failing = sum(stats.fails(FAILING_PART) for _, stats in members)
    is_common = failing > len(members) * FAILING_SERVERS_PART
    failing_part = USELESS_PART if is_common else FAILING_PART
    room = int(len(members) * AVOIDED_PART)
    room -= sum(stats.is_held(now_ms) for _, stats in members)
    for name, stats in members:
        if room <= 0:
            return
        if stats.is_held(now_ms):
            continue
        reason = _fault(stats, failing_part, median_ms, now_ms)
        if reason:
            stats.hold(reason, now_ms)
            room -= 1
            yield Outlier(name, reason)


def _median_time_ms(members):
    """Return the median of the servers' mean times, 0 for none."""
    means = [
        stats.taken_ms / stats.timed
        for _, stats in members
        if stats.timed >= FEWEST_REQUESTS
    ]
    return median(means) if means else 0.0


def _fault(stats, failing_part, median_ms, now_ms):
    """Return why a server is to be avoided, '' where it is not."""
    if stats.fails(failing_part):
        return FAILING
    if now_ms - stats.known_since_ms < NEW_SERVER_MS:
        return ''
    if stats.timed >= FEWEST_REQUESTS and median_ms > 0:
        if stats.taken_ms / stats.timed > median_ms * SLOW_FACTOR:
            return SLOW
    return ''
