"""Memory that clients make a process hold.

Answers clients that send many bodies or heads, keep connections open, or do
not read their answers.  All that is held for clients is charged to one budget.
When it is used up, those who hold most and do not go on lose what they hold,
so that the others are still served.
"""

from abc import ABC
from abc import abstractmethod
from collections import Counter
from time import monotonic

from fuchsiacart.logs import log_warning
from fuchsiacart.metrics import HOLDERS_GIVEN_UP

# Bound of a single response.
RESPONSE_LIMIT_BYTES = 32 * 1024 * 1024
# A request of the largest size that is allowed, 64 MiB, fits in.
DEFAULT_LIMIT_BYTES = 76 * 1024 * 1024
# Who holds no more than this may use the part of the budget that is closed to
# the others.
SMALL_BYTES = 64 * 1024
SMALL_PART = 1 / 8
# Time without progress after which a holder stands still.
STALL_S = 1.0
# A holder makes progress with each such part of what it holds.
PROGRESS_PARTS = 256


class MemoryHolder(ABC):
    """Holds memory that is charged to a :class:`MemoryBudget`."""

    # Event of the log line that tells that the memory was given up.
    given_up_event = 'body_given_up'

    @property
    def owner(self):
        """Whose memory is added up to find who holds most."""
        return self

    @property
    def is_abortable(self):
        """True if the memory can be given up now."""
        return True

    @property
    @abstractmethod
    def peer_name(self):
        """Name or address of the peer, for the log."""

    @abstractmethod
    def abort(self):
        """Give the memory up, after which it holds nothing."""


class _Hold:
    """What one holder has.

    ``progress_s`` is when it last made progress.
    """

    __slots__ = ('size', 'arrived_bytes', 'progress_s')

    def __init__(self, now_s):
        self.size = 0
        self.arrived_bytes = 0
        self.progress_s = now_s

    def add(self, size, now_s):
        self.size += size
        self.arrived_bytes += size
        if self.arrived_bytes * PROGRESS_PARTS >= self.size:
            self.record_progress(now_s)

    def record_progress(self, now_s):
        self.arrived_bytes = 0
        self.progress_s = now_s


class MemoryBudget:
    """Bounds the memory that is held for clients.  Performs no I/O.

    :param limit_bytes: the bound.
    :param clock: function that returns the time in seconds.
    :param small_part: part of it that only small holders may use.
    """

    def __init__(
        self,
        limit_bytes=DEFAULT_LIMIT_BYTES,
        clock=monotonic,
        small_part=SMALL_PART,
    ):
        self._limit_bytes = limit_bytes
        self._large_limit_bytes = limit_bytes - int(limit_bytes * small_part)
        self._clock = clock
        self._holds = {}
        self._total_bytes = 0

    @property
    def limit_bytes(self):
        """The bound of holders that are not small."""
        return self._large_limit_bytes

    @property
    def held_bytes(self):
        """Bytes that are charged."""
        return self._total_bytes

    def add(self, holder, size):
        """Charge bytes to a holder, and give others up if needed.

        :param holder: the :class:`MemoryHolder`; its ``abort`` is called when
            it is given up.
        :param size: bytes that it holds from now on.
        """
        if not size:
            return
        now_s = self._clock()
        hold = self._holds.get(holder)
        if hold is None:
            hold = self._holds[holder] = _Hold(now_s)
        hold.add(size, now_s)
        self._total_bytes += size
        self._make_room(hold, now_s)

    def set(self, holder, size):
        """Charge a holder with so many bytes in place of what it had.

        :param holder: the :class:`MemoryHolder`.
        :param size: bytes that it holds now; more or less of them are
            progress.
        """
        hold = self._holds.get(holder)
        held_bytes = hold.size if hold is not None else 0
        if size > held_bytes:
            self.add(holder, size - held_bytes)
        elif size < held_bytes:
            hold.size = size
            hold.record_progress(self._clock())
            self._total_bytes -= held_bytes - size

    def release(self, holder):
        """Release what a holder has."""
        hold = self._holds.pop(holder, None)
        if hold is not None:
            self._total_bytes -= hold.size

    def _make_room(self, hold, now_s):
        """Give holders up until the bound is kept, or none can be."""
        is_small = hold.size <= SMALL_BYTES
        limit_bytes = self._limit_bytes if is_small else self.limit_bytes
        if self._total_bytes <= limit_bytes:
            return
        for holder in rank_holders(self._holds, now_s):
            if self._total_bytes <= limit_bytes:
                return
            self._give_up(holder)

    def _give_up(self, holder):
        hold = self._holds.get(holder)
        if hold is None or not holder.is_abortable:
            # It has ended with one that was given up before.
            return
        log_warning(
            holder.given_up_event,
            peer=holder.peer_name,
            bytes=hold.size,
            still_ms=int((self._clock() - hold.progress_s) * 1000),
            total_bytes=self._total_bytes,
        )
        HOLDERS_GIVEN_UP.labels(holder.given_up_event).inc()
        self.release(holder)
        holder.abort()


def rank_holders(holds, now_s):
    """Return the holders in the order in which they are given up.

    Those that stand still come first, by what they and their owner hold and
    for how long; the others follow by what they and their owner hold.

    :param holds: maps each :class:`MemoryHolder` to its size and the time of
        its progress.
    :param now_s: the current time.
    """
    weights = {}
    totals = Counter()
    for holder, hold in holds.items():
        if not holder.is_abortable:
            continue
        still_s = now_s - hold.progress_s
        is_still = still_s >= STALL_S
        weight = hold.size * still_s if is_still else hold.size
        weights[holder] = is_still, weight
        totals[is_still, holder.owner] += weight

    def rank(holder):
        is_still, weight = weights[holder]
        return is_still, totals[is_still, holder.owner], weight

    return sorted(weights, key=rank, reverse=True)
