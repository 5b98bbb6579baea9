"""Queues of an owner: who is served next, and who is refused early."""

from abc import ABC
from abc import abstractmethod
from collections import deque

from msgspec import Struct

from fuchsiacart.models import CustomerId
from fuchsiacart.models import Rank

FULL_PERCENT = 100
WHOLE_CREDIT = 1.0
CREDIT_LIMIT = 2.0


class QueuedRequest(Struct, eq=False):
    """A request that waits for a slot; ``server`` is set once it runs."""

    request: object
    rank: Rank
    customer: CustomerId
    floor_percent: int
    deadline_ms: float
    done: object = None
    server: object = None


class ServiceRate(Struct, frozen=True):
    """How fast an owner serves: its slots and the time of one request."""

    slots: int
    service_ms: float

    @property
    def per_ms(self):
        """Return the requests served in a millisecond."""
        return self.slots / max(self.service_ms, 0.001)


class Admission(Struct, frozen=True):
    """Whether a request may wait; if not, when to come again."""

    accepted: bool
    retry_after_ms: int = 0


class Scheduler(ABC):
    """Order of service and admission of one service's requests."""

    @abstractmethod
    def offer(self, item, rate, now_ms):
        """Take a request in, or refuse it early.

        :param item: the request.
        :param pace: how fast the owner serves.
        :param now_ms: the present.
        :return: the :class:`Admission`.
        """

    @abstractmethod
    def dequeue(self):
        """Return the request to serve next, or None."""

    @abstractmethod
    def remove(self, item):
        """Take a request out whose caller has given up."""

    @abstractmethod
    def remove_expired(self, now_ms):
        """Take out and return the requests that are past their deadline."""

    @abstractmethod
    def queued(self):
        """Return how many requests wait, by rank."""

    @abstractmethod
    def put_back(self, item):
        """Put a request back in front that could not be placed."""


class FifoScheduler(Scheduler):
    """Baseline: first come, first served; nothing is refused early."""

    def __init__(self):
        self._items = deque()

    def offer(self, item, rate, now_ms):
        """See :meth:`Scheduler.offer`."""
        self._items.append(item)
        return Admission(True)

    def dequeue(self):
        """See :meth:`Scheduler.dequeue`."""
        return self._items.popleft() if self._items else None

    def remove(self, item):
        """See :meth:`Scheduler.remove`."""
        if item in self._items:
            self._items.remove(item)

    def remove_expired(self, now_ms):
        """See :meth:`Scheduler.remove_expired`."""
        late = [item for item in self._items if item.deadline_ms <= now_ms]
        for item in late:
            self._items.remove(item)
        return late

    def queued(self):
        """See :meth:`Scheduler.queued`."""
        return tuple(
            sum(item.rank is rank for item in self._items) for rank in Rank
        )

    def put_back(self, item):
        """See :meth:`Scheduler.put_back`."""
        self._items.appendleft(item)


class Line(Struct, eq=False):
    """Requests of one customer and rank, with the credit of its floor."""

    rank: Rank
    customer: CustomerId
    items: deque
    floor_percent: int = 0
    credit: float = 0.0
    served: int = 0


class RankScheduler(Scheduler):
    """Urgent first, yet each customer's rank keeps its floor.

    Each time a slot is filled, every line that waits earns its floor as
    credit.  A line with a whole credit goes first, the most urgent of them;
    else the most urgent rank does, its customers in turn.  A floor that
    nobody waits for earns nothing, so it is lent to the others.
    """

    def __init__(self):
        self._lines = {}
        self._turn = 0

    def offer(self, item, rate, now_ms):
        """See :meth:`Scheduler.offer`."""
        queue = self._line(item)
        queue.floor_percent = item.floor_percent
        wait_ms = self._wait_ms(queue, rate)
        if now_ms + wait_ms + rate.service_ms > item.deadline_ms:
            left_ms = item.deadline_ms - now_ms
            retry_ms = wait_ms + rate.service_ms - left_ms
            return Admission(False, max(1, int(retry_ms)))
        queue.items.append(item)
        return Admission(True)

    def dequeue(self):
        """See :meth:`Scheduler.dequeue`."""
        waiting = [queue for queue in self._lines.values() if queue.items]
        if not waiting:
            return None
        for queue in waiting:
            earned = queue.credit + queue.floor_percent / FULL_PERCENT
            queue.credit = min(CREDIT_LIMIT, earned)
        owed = [queue for queue in waiting if queue.credit >= WHOLE_CREDIT]
        chosen = min(owed or waiting, key=_order_of_service)
        if owed:
            chosen.credit -= WHOLE_CREDIT
        self._turn += 1
        chosen.served = self._turn
        item = chosen.items.popleft()
        if not chosen.items:
            chosen.credit = 0.0
        return item

    def remove(self, item):
        """See :meth:`Scheduler.remove`."""
        queue = self._line(item)
        if item in queue.items:
            queue.items.remove(item)

    def remove_expired(self, now_ms):
        """See :meth:`Scheduler.remove_expired`."""
        late = []
        for queue in self._lines.values():
            overdue = [
                item for item in queue.items if item.deadline_ms <= now_ms
            ]
            for item in overdue:
                queue.items.remove(item)
            late += overdue
        return late

    def queued(self):
        """See :meth:`Scheduler.queued`."""
        counts = [0] * len(Rank)
        for queue in self._lines.values():
            counts[queue.rank] += len(queue.items)
        return tuple(counts)

    def put_back(self, item):
        """See :meth:`Scheduler.put_back`."""
        self._line(item).items.appendleft(item)

    def _line(self, item):
        key = (item.rank, item.customer)
        if key not in self._lines:
            self._lines[key] = Line(item.rank, item.customer, deque())
        return self._lines[key]

    def _wait_ms(self, queue, rate):
        """Estimate the wait behind what is queued.

        It is the shorter of two: behind all work that is as urgent, at the
        full pace, or behind the line's own work at the pace of its floor.
        """
        ahead = sum(
            len(other.items)
            for other in self._lines.values()
            if other.rank <= queue.rank
        )
        shared_ms = ahead / rate.per_ms
        floor_pace = rate.per_ms * queue.floor_percent / FULL_PERCENT
        if floor_pace <= 0:
            return shared_ms
        return min(shared_ms, len(queue.items) / floor_pace)


def _order_of_service(queue):
    return queue.rank, queue.served
