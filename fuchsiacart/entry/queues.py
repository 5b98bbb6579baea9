"""Request queues of an owner: order of service and early refusal."""

from abc import ABC
from abc import abstractmethod
from collections import deque

from msgspec import Struct

from fuchsiacart.models import CustomerId
from fuchsiacart.models import Rank

FULL_PERCENT = 100
# Credit charged when a queue is served because of its floor.
CREDIT_PER_REQUEST = 1.0
CREDIT_LIMIT = 2.0


class QueuedRequest(Struct, eq=False):
    """A request in a queue.

    ``done`` is the future of its reply; ``server`` is set once it runs.
    """

    request: object
    rank: Rank
    customer: CustomerId
    floor_percent: int
    deadline_ms: float
    done: object = None
    server: object = None


class ServiceRate(Struct, frozen=True):
    """Service rate of an owner: its slots and the time of one request."""

    slots: int
    service_ms: float

    @property
    def per_ms(self):
        """Requests served per millisecond."""
        return self.slots / max(self.service_ms, 0.001)


class Admission(Struct, frozen=True):
    """Result of offering a request to a queue.

    ``retry_after_ms`` is set if the request is refused.
    """

    accepted: bool
    retry_after_ms: int = 0


class Scheduler(ABC):
    """Decides the admission and the order of one service's requests."""

    @abstractmethod
    def offer(self, item, rate, now_ms):
        """Queue a request, or refuse it early.

        :param item: the :class:`QueuedRequest`.
        :param rate: the :class:`ServiceRate` of the service here.
        :param now_ms: the current time.
        :return: the :class:`Admission`.
        """

    @abstractmethod
    def dequeue(self):
        """Remove and return the request to serve next, or None."""

    @abstractmethod
    def remove(self, item):
        """Remove a request that was cancelled."""

    @abstractmethod
    def remove_expired(self, now_ms):
        """Remove and return the requests that are past their deadline."""

    @abstractmethod
    def queued(self):
        """Return the number of queued requests of each rank."""

    @abstractmethod
    def put_back(self, item):
        """Put a request that could not start back at the front."""


class FifoScheduler(Scheduler):
    """Baseline: first in, first out, without early refusal."""

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
        removed = [item for item in self._items if item.deadline_ms <= now_ms]
        for item in removed:
            self._items.remove(item)
        return removed

    def queued(self):
        """See :meth:`Scheduler.queued`."""
        return tuple(
            sum(item.rank is rank for item in self._items) for rank in Rank
        )

    def put_back(self, item):
        """See :meth:`Scheduler.put_back`."""
        self._items.appendleft(item)


class RankQueue(Struct, eq=False):
    """Queue of one customer and rank.

    ``credit`` accumulates the floor; ``last_served`` is the value of the
    scheduler's count of dequeued requests when the queue was last served.
    """

    rank: Rank
    customer: CustomerId
    items: deque
    floor_percent: int = 0
    credit: float = 0.0
    last_served: int = 0


class RankScheduler(Scheduler):
    """Serves urgent ranks first, but at least the floor of each queue.

    There is a queue for each customer and rank.  With each request served,
    every non-empty queue earns its floor as credit.  Queues with credit for
    one request are served first, then the others; within both, the most
    urgent rank comes first, and among its customers the one served least
    recently.  An empty queue earns no credit, so its floor is available to
    the others.
    """

    def __init__(self):
        self._queues = {}
        self._dequeue_count = 0

    def offer(self, item, rate, now_ms):
        """See :meth:`Scheduler.offer`."""
        queue = self._queue_of(item)
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
        non_empty = [queue for queue in self._queues.values() if queue.items]
        if not non_empty:
            return None
        for queue in non_empty:
            earned = queue.credit + queue.floor_percent / FULL_PERCENT
            queue.credit = min(CREDIT_LIMIT, earned)
        credited = [
            queue for queue in non_empty if queue.credit >= CREDIT_PER_REQUEST
        ]
        chosen = min(credited or non_empty, key=_order_of_service)
        if credited:
            chosen.credit -= CREDIT_PER_REQUEST
        self._dequeue_count += 1
        chosen.last_served = self._dequeue_count
        item = chosen.items.popleft()
        if not chosen.items:
            chosen.credit = 0.0
        return item

    def remove(self, item):
        """See :meth:`Scheduler.remove`."""
        queue = self._queue_of(item)
        if item in queue.items:
            queue.items.remove(item)

    def remove_expired(self, now_ms):
        """See :meth:`Scheduler.remove_expired`."""
        removed = []
        for queue in self._queues.values():
            expired = [
                item for item in queue.items if item.deadline_ms <= now_ms
            ]
            for item in expired:
                queue.items.remove(item)
            removed += expired
        return removed

    def queued(self):
        """See :meth:`Scheduler.queued`."""
        counts = [0] * len(Rank)
        for queue in self._queues.values():
            counts[queue.rank] += len(queue.items)
        return tuple(counts)

    def put_back(self, item):
        """See :meth:`Scheduler.put_back`."""
        self._queue_of(item).items.appendleft(item)

    def _queue_of(self, item):
        key = (item.rank, item.customer)
        if key not in self._queues:
            self._queues[key] = RankQueue(item.rank, item.customer, deque())
        return self._queues[key]

    def _wait_ms(self, queue, rate):
        """Estimate the wait of a new request in milliseconds.

        It is the shorter of two waits: for all requests that are as urgent,
        at the full service rate, or for the requests of the same queue, at
        the rate of its floor.
        """
        ahead = sum(
            len(other.items)
            for other in self._queues.values()
            if other.rank <= queue.rank
        )
        shared_ms = ahead / rate.per_ms
        floor_rate = rate.per_ms * queue.floor_percent / FULL_PERCENT
        if floor_rate <= 0:
            return shared_ms
        return min(shared_ms, len(queue.items) / floor_rate)


def _order_of_service(queue):
    return queue.rank, queue.last_served
