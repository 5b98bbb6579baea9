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

FAR_MS = 1_000_000.0
WIDE_PACE = ServiceRate(1000, 1.0)


class QueueSubject:
    """A queue and what it gave out."""

    def __init__(self, scheduler):
        self.scheduler = scheduler
        self.floors = {}
        self.taken = []
        self.admission = None
        self.pace = WIDE_PACE

    def item(self, rank, customer='shop', deadline_ms=FAR_MS):
        """Return a request that waits."""
        floor = self.floors.get((rank, customer), 0)
        return QueuedRequest(None, rank, customer, floor, deadline_ms)

    def fill(self, rank, count, customer='shop'):
        """Put requests in."""
        for _ in range(count):
            item = self.item(rank, customer)
            assert self.scheduler.offer(item, self.pace, 0.0).accepted

    def take(self, count):
        """Fill slots."""
        self.taken += [self.scheduler.dequeue() for _ in range(count)]

    def count(self, rank):
        """Return how many of a rank were taken."""
        return Counter(item.rank for item in self.taken)[rank]


@given(
    'lines with floors urgent {urgent:d}, interactive {interactive:d}'
    ' and background {background:d} percent'
)
def given_floors(context, urgent, interactive, background):
    """Set the floors of one customer."""
    context.queue = QueueSubject(RankScheduler())
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
    """Fill the background rank."""
    context.queue.fill(Rank.BACKGROUND, count)


@given(
    'an interactive line of a {customer} customer with floor {floor:d} percent'
)
def given_customer(context, customer, floor):
    """Set the floor of a customer."""
    if not hasattr(context, 'queue'):
        context.queue = QueueSubject(RankScheduler())
    context.queue.floors[(Rank.INTERACTIVE, customer)] = floor


@given(
    'a queue with {count:d} urgent requests, {slots:d} slots'
    ' and {ms:d} ms a request'
)
def given_queue(context, count, slots, ms):
    """Fill a queue with a known pace."""
    context.queue = QueueSubject(RankScheduler())
    for _ in range(count):
        item = context.queue.item(Rank.URGENT, deadline_ms=9000.0)
        context.queue.scheduler.offer(item, WIDE_PACE, 0.0)
    context.queue.pace = ServiceRate(slots, float(ms))


@given('a first come first served queue with {count:d} background requests')
def given_fifo(context, count):
    """Fill the baseline."""
    context.queue = QueueSubject(FifoScheduler())
    context.queue.fill(Rank.BACKGROUND, count)


@when('{count:d} slots are filled')
def when_filled(context, count):
    """Take requests."""
    context.queue.take(count)


@when('the flood keeps {flood:d} requests waiting and the quiet one {quiet:d}')
def when_flood(context, flood, quiet):
    """Fill both lines, the flood first."""
    context.queue.fill(Rank.INTERACTIVE, flood, 'flooding')
    context.queue.fill(Rank.INTERACTIVE, quiet, 'quiet')


@when('an urgent request comes with {left:d} ms left')
def when_urgent(context, left):
    """Offer an urgent request."""
    context.queue.admission = _offer(context.queue, left)


@when('an urgent request comes and {count:d} slots are filled')
def when_urgent_behind(context, count):
    """Offer an urgent request behind the others."""
    context.queue.fill(Rank.URGENT, 1)
    context.queue.take(count)


@when('{ms:d} ms have passed')
def when_passed(context, ms):
    """Take out what is late."""
    context.queue.taken = context.queue.scheduler.remove_expired(float(ms))


@then('rank {name} got at least {least:d} of them')
def then_rank(context, name, least):
    """Check a rank's part."""
    count = context.queue.count(Rank[name.upper()])
    assert count >= least, count


@then('urgent work got more than all other ranks together')
def then_urgent_first(context):
    """Check that urgent work went first."""
    count = context.queue.count(Rank.URGENT)
    assert count > len(context.queue.taken) / 2, count


@then('the quiet customer got all its {count:d} requests served')
def then_quiet(context, count):
    """Check the quiet customer."""
    customers = Counter(item.customer for item in context.queue.taken)
    assert customers['quiet'] == count, customers


@then('it is refused with a time to come again')
def then_refused(context):
    """Check the refusal."""
    assert not context.queue.admission.accepted
    assert context.queue.admission.retry_after_ms > 0


@then('an urgent request with {left:d} ms left is accepted')
def then_accepted(context, left):
    """Check that enough time is enough."""
    assert _offer(context.queue, left).accepted


@then('the urgent request still waits')
def then_waits(context):
    """Check the baseline."""
    assert context.queue.count(Rank.URGENT) == 0


@then('all {count:d} leave the queue as late')
def then_late(context, count):
    """Check what was late."""
    assert len(context.queue.taken) == count
    assert sum(context.queue.scheduler.queued()) == 0


def _offer(queue, left_ms):
    item = queue.item(Rank.URGENT, deadline_ms=float(left_ms))
    return queue.scheduler.offer(item, queue.pace, 0.0)
