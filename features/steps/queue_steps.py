"""Steps for the queues of an owner."""

from collections import Counter

from behave import given
from behave import then
from behave import when

from fuchsiacart.entry.queues import FifoScheduler
from fuchsiacart.entry.queues import QueuedRequest
from fuchsiacart.entry.queues import RankScheduler
from fuchsiacart.entry.queues import ServiceRate
from fuchsiacart.models import Rank

FAR_DEADLINE_MS = 1_000_000.0
FAST_RATE = ServiceRate(1000, 1.0)


class QueueFixture:
    """A scheduler and the requests dequeued from it."""

    def __init__(self, scheduler):
        self.scheduler = scheduler
        self.floors = {}
        self.dequeued = []
        self.admission = None
        self.service_rate = FAST_RATE

    def item(self, rank, customer='shop', deadline_ms=FAR_DEADLINE_MS):
        """Return a waiting request."""
        floor = self.floors.get((rank, customer), 0)
        return QueuedRequest(None, rank, customer, floor, deadline_ms)

    def fill(self, rank, count, customer='shop'):
        """Offer requests, which must be accepted."""
        for _ in range(count):
            item = self.item(rank, customer)
            assert self.scheduler.offer(item, self.service_rate, 0.0).accepted

    def dequeue(self, count):
        """Dequeue one request for each slot."""
        self.dequeued += [self.scheduler.dequeue() for _ in range(count)]

    def count(self, rank):
        """Return how many requests of a rank were dequeued."""
        return Counter(item.rank for item in self.dequeued)[rank]


@given(
    'queues with floors urgent {urgent:d}, interactive {interactive:d}'
    ' and background {background:d} percent'
)
def given_floors(context, urgent, interactive, background):
    context.queue = QueueFixture(RankScheduler())
    context.queue.floors = {
        (Rank.URGENT, 'shop'): urgent,
        (Rank.INTERACTIVE, 'shop'): interactive,
        (Rank.BACKGROUND, 'shop'): background,
    }


@given('every rank is backlogged with {count:d} requests')
def given_backlog(context, count):
    """Fill all ranks, the least urgent first."""
    for rank in reversed(Rank):
        context.queue.fill(rank, count)


@given('only background is backlogged with {count:d} requests')
def given_background(context, count):
    context.queue.fill(Rank.BACKGROUND, count)


@given(
    'an interactive queue of a {customer} customer with floor {floor:d}'
    ' percent'
)
def given_customer(context, customer, floor):
    if not hasattr(context, 'queue'):
        context.queue = QueueFixture(RankScheduler())
    context.queue.floors[(Rank.INTERACTIVE, customer)] = floor


@given(
    'a queue with {count:d} urgent requests, {slots:d} slots'
    ' and {ms:d} ms a request'
)
def given_queue(context, count, slots, ms):
    """Fill a queue and set the service rate for later offers."""
    context.queue = QueueFixture(RankScheduler())
    for _ in range(count):
        item = context.queue.item(Rank.URGENT, deadline_ms=9000.0)
        context.queue.scheduler.offer(item, FAST_RATE, 0.0)
    context.queue.service_rate = ServiceRate(slots, float(ms))


@given('a first come first served queue with {count:d} background requests')
def given_fifo(context, count):
    """Fill the queue of the baseline."""
    context.queue = QueueFixture(FifoScheduler())
    context.queue.fill(Rank.BACKGROUND, count)


@when('{count:d} slots are filled')
def when_filled(context, count):
    context.queue.dequeue(count)


@when('the flood keeps {flood:d} requests waiting and the quiet one {quiet:d}')
def when_flood(context, flood, quiet):
    """Fill both queues, the flood first."""
    context.queue.fill(Rank.INTERACTIVE, flood, 'flooding')
    context.queue.fill(Rank.INTERACTIVE, quiet, 'quiet')


@when('an urgent request arrives with {left:d} ms left')
def when_urgent(context, left):
    context.queue.admission = _offer(context.queue, left)


@when('an urgent request arrives and {count:d} slots are filled')
def when_urgent_behind(context, count):
    """Offer an urgent request behind the others and fill the slots."""
    context.queue.fill(Rank.URGENT, 1)
    context.queue.dequeue(count)


@when('{ms:d} ms have passed')
def when_passed(context, ms):
    """Remove the requests that are late."""
    context.queue.dequeued = context.queue.scheduler.remove_expired(float(ms))


@then('rank {name} got at least {least:d} of them')
def then_rank(context, name, least):
    count = context.queue.count(Rank[name.upper()])
    assert count >= least, count


@then('urgent work got more than all other ranks together')
def then_urgent_first(context):
    count = context.queue.count(Rank.URGENT)
    assert count > len(context.queue.dequeued) / 2, count


@then('the quiet customer got all its {count:d} requests served')
def then_quiet(context, count):
    customers = Counter(item.customer for item in context.queue.dequeued)
    assert customers['quiet'] == count, customers


@then('it is refused with a retry time')
def then_refused(context):
    assert not context.queue.admission.accepted
    assert context.queue.admission.retry_after_ms > 0


@then('an urgent request with {left:d} ms left is accepted')
def then_accepted(context, left):
    assert _offer(context.queue, left).accepted


@then('the urgent request still waits')
def then_waits(context):
    assert context.queue.count(Rank.URGENT) == 0


@then('all {count:d} leave the queue as late')
def then_late(context, count):
    """Check the requests removed and that none is left."""
    assert len(context.queue.dequeued) == count
    assert sum(context.queue.scheduler.queued()) == 0


def _offer(queue, left_ms):
    item = queue.item(Rank.URGENT, deadline_ms=float(left_ms))
    return queue.scheduler.offer(item, queue.service_rate, 0.0)
