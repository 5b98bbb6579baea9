"""Steps for the room and the retries of each rank."""

from behave import given
from behave import then
from behave import when

from fuchsiacart.gateway.admissions import choose_retry_after_ms
from fuchsiacart.gateway.admissions import longest_retry_after_ms
from fuchsiacart.gateway.admissions import ONLY_RANK_URGENCY
from fuchsiacart.gateway.admissions import RankedAdmission
from fuchsiacart.gateway.admissions import retry_part
from fuchsiacart.gateway.admissions import scale_room
from fuchsiacart.gateway.budgets.retry_budgets import SharedRetryBudget
from fuchsiacart.gateway.demands import MIN_REQUESTS_PER_SLOT
from fuchsiacart.gateway.placing.placement_requests import PlacementRequest
from fuchsiacart.settings import RouteSettings

SERVICE = 'stock'
START_MS = 50_000.0
SLACK = 100
LOAD_LIMIT = 2.0
REQUESTS = 100


@given('a service that gets requests of ranks {first:d} and {second:d}')
def step_ranks(context, first, second):
    context.now_ms = START_MS
    context.admission = RankedAdmission()
    for rank in (first, second):
        context.admission.record_arrival(SERVICE, rank, context.now_ms)


@given('a retry budget of which {part:g} is used')
def step_used_budget(context, part):
    settings = RouteSettings(retry_ratio=0.2, retry_slack=SLACK)
    context.budget = SharedRetryBudget(settings, 0.0)
    for _ in range(REQUESTS):
        context.budget.record_request(context.now_ms)
    for _ in range(int(context.budget.limit(context.now_ms) * part)):
        assert context.budget.try_spend(context.now_ms)


@when('no request of rank {rank:d} arrives for {seconds:d} s')
def step_silent_rank(context, rank, seconds):
    context.now_ms += seconds * 1000
    ranks = {1, 3} - {rank}
    for other in ranks:
        context.admission.record_arrival(SERVICE, other, context.now_ms)


def _room(context, rank):
    urgency = context.admission.urgency(SERVICE, rank, context.now_ms)
    return scale_room(MIN_REQUESTS_PER_SLOT, urgency)


def _gets_retry(context, rank):
    urgency = context.admission.urgency(SERVICE, rank, context.now_ms)
    return context.budget.try_spend(context.now_ms, retry_part(urgency))


@then(
    'a server with {load:g} requests for each slot takes rank {first:d} '
    'and not rank {second:d}'
)
def step_takes_first(context, load, first, second):
    assert load < _room(context, first)
    assert load >= _room(context, second)


@then('a server with 1 request for each slot takes both')
def step_takes_both(context):
    assert all(_room(context, rank) > 1 for rank in (1, 3))


@then('rank {rank:d} has the room of the only rank')
def step_only_rank(context, rank):
    urgency = context.admission.urgency(SERVICE, rank, context.now_ms)
    assert urgency is ONLY_RANK_URGENCY, urgency
    assert _room(context, rank) == MIN_REQUESTS_PER_SLOT


@then('rank {first:d} gets a retry and rank {second:d} gets none')
def step_one_retry(context, first, second):
    assert not _gets_retry(context, second)
    assert _gets_retry(context, first)


@then('both ranks get a retry')
def step_both_retry(context):
    assert _gets_retry(context, 0)
    assert _gets_retry(context, 1)


@when('both servers of an object hold {count:d} requests on 4 slots')
def step_held(context, count):
    context.service_ms = 0.0
    for server in context.placement.servers():
        server.in_flight = count


@when('requests take {service_ms:d} ms')
def step_service_time(context, service_ms):
    context.service_ms = float(service_ms)


@then(
    'a caller with {left_ms:d} ms until its deadline '
    'may return after {after_ms:d} ms'
)
def step_retry_after(context, left_ms, after_ms):
    placement = PlacementRequest(
        SERVICE, 'object', LOAD_LIMIT, excluded=frozenset({'cymru-a-0'})
    )
    room_ms = context.placement.selector.time_to_room_ms(
        placement, context.service_ms, context.placement.now_ms
    )
    longest_ms = longest_retry_after_ms(left_ms)
    retry_after_ms = choose_retry_after_ms(room_ms, longest_ms)
    assert abs(retry_after_ms - after_ms) < 1, (retry_after_ms, room_ms)
