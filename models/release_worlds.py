"""The processes and links of a simulated release, and what a gateway knows.

The gateway's lease and the age of its view are those of the
product; the network, the processes and the callers are simulated.  Links are
slow, calls and answers are lost, the leader is away, and the gateway is paused
or starved of processor time, several at once.
"""

from bisect import bisect_right
from enum import Enum
from enum import unique
from math import inf
from random import Random

from fuchsiacart.leases import Lease
from fuchsiacart.pauses import CATCH_UP_MS
from fuchsiacart.settings import TRANSIT_S

SPAN_MS = 60_000.0
SERVERS = 40
RELEASE_INTERVAL_MS = 500.0
FIRST_RELEASE_MS = 6_000.0
LEASE_MS = 3_000.0
RENEWAL_INTERVAL_MS = 600.0
RETRY_INTERVAL_MS = 100.0
CALL_TIMEOUT_MS = 1_000.0
PULL_WAIT_MS = 400.0


@unique
class Trouble(Enum):
    """What disturbs a run."""

    PAUSES = 'pauses'
    STARVED = 'starved'
    SLOW_LINK = 'slow link'
    LOST_ANSWERS = 'lost answers'
    NO_LEADER = 'no leader'
    ALL = 'all'


class Spans:
    """Times in which something holds."""

    def __init__(self, spans=()):
        self._spans = sorted(spans)

    def end_of(self, at_ms):
        """Return the end of the span that covers a time, or the time."""
        for start_ms, end_ms in self._spans:
            if start_ms <= at_ms < end_ms:
                at_ms = end_ms
        return at_ms

    def covers_any(self, start_ms, end_ms):
        """Return True if a span covers a moment between two."""
        return any(
            since_ms <= end_ms and until_ms >= start_ms
            for since_ms, until_ms in self._spans
        )

    def covers(self, at_ms):
        """Return True if a span covers a time."""
        return self.end_of(at_ms) > at_ms


def draw_spans(random, mean_gap_ms, longest_ms):
    """Draw spans of up to a length over a run."""
    spans, at_ms = [], 0.0
    while at_ms < SPAN_MS:
        at_ms += random.expovariate(1 / mean_gap_ms)
        length_ms = random.uniform(0, longest_ms)
        spans.append((at_ms, at_ms + length_ms))
        at_ms += length_ms
    return spans


def draw_starved_spans(random):
    """Draw the times in which a process gets no processor time."""
    spans = []
    for start_ms, end_ms in draw_spans(random, 8_000, 6_000):
        at_ms = start_ms
        while at_ms < end_ms:
            idle_ms = random.uniform(50, 700)
            spans.append((at_ms, at_ms + idle_ms))
            at_ms += idle_ms + random.uniform(2, 30)
    return spans


class World:
    """The processes and links of one run.

    :param seed: seed of the run.
    :param trouble: the :class:`Trouble`.
    """

    def __init__(self, seed, trouble):
        self.random = Random(f'{seed} {trouble.value}')
        stopped = []
        if trouble in (Trouble.PAUSES, Trouble.ALL):
            stopped += draw_spans(self.random, 6_000, 4_500)
        if trouble in (Trouble.STARVED, Trouble.ALL):
            stopped += draw_starved_spans(self.random)
        self.stopped = Spans(stopped)
        is_slow = trouble in (Trouble.SLOW_LINK, Trouble.ALL)
        self.slow = Spans(
            draw_spans(self.random, 6_000, 5_000) if is_slow else ()
        )
        is_lossy = trouble in (Trouble.LOST_ANSWERS, Trouble.ALL)
        self.loss_share = 0.4 if is_lossy else 0.0
        is_leaderless = trouble in (Trouble.NO_LEADER, Trouble.ALL)
        self.leaderless = Spans(
            draw_spans(self.random, 12_000, 8_000) if is_leaderless else ()
        )
        # When each server says that it leaves; others never do.
        self.left_ms = [
            FIRST_RELEASE_MS + RELEASE_INTERVAL_MS * index
            for index in range(SERVERS)
        ]

    def run_at(self, at_ms):
        """Return when the gateway's process runs next."""
        return self.stopped.end_of(at_ms)

    def was_paused(self, at_ms):
        """Return True if a pause has ended up to a second before."""
        return self.stopped.covers_any(at_ms - CATCH_UP_MS, at_ms)

    def delay_ms(self, at_ms):
        """Return how long a packet sent now is under way."""
        if self.slow.covers(at_ms):
            return self.random.uniform(100, TRANSIT_S * 1000)
        return self.random.uniform(1, 60)

    def is_lost(self):
        """Return True if a call or its answer is lost."""
        return self.random.random() < self.loss_share

    def revision(self, at_ms):
        """Return the newest revision that is committed; 1 at first."""
        return 1 + sum(left_ms <= at_ms for left_ms in self.left_ms)


class History:
    """What the gateway knows over time.

    Each state is a time, the revision of the view and when the renewal was
    sent that confirmed it.

    :param world: the :class:`World`.
    :param counts_from_reading: True for the fault that a renewal counts from
        when its answer is read.
    """

    def __init__(self, world, counts_from_reading=False):
        self._world = world
        lease = Lease()
        events = list(self._renewals(counts_from_reading))
        events += self._pulls()
        self._times_ms, self._states = [], []
        view = 1
        for at_ms, _, event in sorted(events, key=lambda event: event[:2]):
            if isinstance(event, int):
                view = max(view, event)
                lease.record_revision(view)
            else:
                sent_ms, needed = event
                lease.renew(sent_ms, LEASE_MS, needed, view)
            self._times_ms.append(at_ms)
            self._states.append((view, lease.renewed_ms))

    def state(self, at_ms):
        """Return the revision and the confirmation known at a time."""
        return self._states[max(0, bisect_right(self._times_ms, at_ms) - 1)]

    def confirmation_after(self, at_ms, until_ms, limit_ms):
        """Return when the view is confirmed again within the limit, or inf."""
        first = bisect_right(self._times_ms, at_ms)
        for read_ms, state in zip(
            self._times_ms[first:], self._states[first:]
        ):
            if read_ms > until_ms:
                return inf
            if read_ms - state[1] <= limit_ms:
                return read_ms
        return inf

    def _renewals(self, counts_from_reading):
        world = self._world
        at_ms = 0.0
        while at_ms < SPAN_MS:
            sent_ms = world.run_at(at_ms)
            asked_ms = sent_ms + world.delay_ms(sent_ms)
            answered_ms = asked_ms + world.delay_ms(asked_ms)
            read_ms = world.run_at(answered_ms)
            is_lost = world.is_lost() or world.leaderless.covers(asked_ms)
            if is_lost or read_ms - sent_ms > CALL_TIMEOUT_MS * 4:
                at_ms = sent_ms + CALL_TIMEOUT_MS + RETRY_INTERVAL_MS
                continue
            counted_ms = read_ms if counts_from_reading else sent_ms
            yield read_ms, 0, (counted_ms, world.revision(asked_ms))
            at_ms = read_ms + RENEWAL_INTERVAL_MS

    def _pulls(self):
        world = self._world
        at_ms = 0.0
        while at_ms < SPAN_MS:
            sent_ms = world.run_at(at_ms)
            asked_ms = sent_ms + world.delay_ms(sent_ms)
            # The parent is a gateway, which lags itself.
            known_ms = asked_ms - world.random.uniform(0, 500)
            answered_ms = asked_ms + world.random.uniform(0, PULL_WAIT_MS)
            read_ms = world.run_at(answered_ms + world.delay_ms(answered_ms))
            if world.is_lost():
                at_ms = sent_ms + CALL_TIMEOUT_MS
                continue
            yield read_ms, 1, world.revision(known_ms)
            at_ms = read_ms + 1.0
