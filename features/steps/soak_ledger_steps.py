"""Steps for the checks of the soak's ledger."""

from behave import given
from behave import then

from soak.body_limits import FIRST_LARGE_OBJECT
from soak.body_limits import LARGE_PREFIX
from soak.ledger import Ledger
from soak.records import ConfigurationRead
from soak.records import CRASHING_OBJECT
from soak.records import GatewayCut
from soak.records import LoopStall
from soak.records import Order
from soak.records import PlannedStop
from soak.records import RequestRun
from soak.records import SentRequest

CUT_OFF = '127.0.0.11:80'
OTHER = '127.0.0.12:80'
CUT = GatewayCut(frozenset((CUT_OFF,)), 0.0, 10.0)
# Requests begin once the gateway must serve its callers again.
FIRST_REQUEST_S = 5.0
INTERVAL_S = 0.04
TIMEOUT_S = 2.0
RUN_INTERVAL_S = 0.1


def _record_requests(ledger, gateway, count, status):
    for index in range(count):
        sent_s = FIRST_REQUEST_S + index * INTERVAL_S
        sent = SentRequest(
            f'{gateway} {index}',
            'GET',
            '/stock/1',
            gateway,
            sent_s,
            TIMEOUT_S,
            True,
            sent_s + INTERVAL_S,
            status,
        )
        ledger.record_request(sent)


@given(
    'one gateway that is cut off for 10 s and serves none of its'
    ' {count:d} requests'
)
def given_cut_off(context, count):
    context.ledger = Ledger(lambda *span: False)
    context.ledger.cuts.append(CUT)
    _record_requests(context.ledger, CUT_OFF, count, 503)


@given('another that serves all of its {count:d} and is undisturbed')
def given_other(context, count):
    _record_requests(context.ledger, OTHER, count, 200)


@given('another that serves all of its {count:d} and stops all the while')
def given_stopping(context, count):
    _record_requests(context.ledger, OTHER, count, 200)
    stop = PlannedStop(OTHER, CUT.start_s, CUT.end_s)
    context.ledger.stops.append(stop)


@given('a request that crashed {count:d} servers by {until_s:d} s')
def given_crashed(context, count, until_s):
    context.ledger = Ledger(lambda *span: False)
    for index in range(count):
        context.ledger.crashes_s[f'server-{index}'] = float(until_s)


@given('{count:d} requests of its kind that run from {start_s:d} s on')
def given_runs(context, count, start_s):
    path = f'/stock/{CRASHING_OBJECT}'
    for index in range(count):
        sent_s = start_s + index * RUN_INTERVAL_S
        sent = SentRequest(
            f'{index}',
            'GET',
            path,
            OTHER,
            sent_s,
            TIMEOUT_S,
            True,
            sent_s + INTERVAL_S,
            502,
        )
        sent.runs.append(
            RequestRun('server', 'stock', 'domain', 'GET', path, sent_s)
        )
        context.ledger.record_request(sent)


@given(
    'a configuration that allows bodies of {limit:d} bytes, acknowledged at'
    ' {acked_s:d} s'
)
def given_first_limit(context, limit, acked_s):
    context.ledger = Ledger(lambda *span: False)
    given_next_limit(context, limit, acked_s)


@given(
    'another that allows bodies of {limit:d} bytes, acknowledged at'
    ' {acked_s:d} s'
)
def given_next_limit(context, limit, acked_s):
    orders = context.ledger.orders
    sent_s = acked_s - INTERVAL_S
    orders.append(
        Order(
            len(orders) + 1, len(orders), 'stock', b'', sent_s, limit, acked_s
        )
    )


@given(
    'a request with a large body that is sent at {sent_s:d} s and answered'
    ' {status:d}'
)
def given_large(context, sent_s, status):
    sent = SentRequest(
        'large',
        'POST',
        f'{LARGE_PREFIX}{FIRST_LARGE_OBJECT}',
        OTHER,
        float(sent_s),
        TIMEOUT_S,
        False,
        sent_s + INTERVAL_S,
        status,
    )
    context.ledger.record_request(sent)


@given('the home of a route is north in the first one and south in the other')
def given_homes(context):
    first, second = context.ledger.orders
    first.home, second.home = 'north', 'south'


@given(
    'a request of that route that is sent at {sent_s:d} s and runs in {domain}'
)
def given_home_run(context, sent_s, domain):
    path = '/home/1'
    sent = SentRequest(
        'home',
        'GET',
        path,
        OTHER,
        float(sent_s),
        TIMEOUT_S,
        True,
        sent_s + INTERVAL_S,
        200,
    )
    sent.runs.append(
        RequestRun('server', 'stock', domain, 'GET', path, float(sent_s))
    )
    context.ledger.record_request(sent)


@given(
    '{repeats:d} requests that run twice within 5 s, and {others:d} that run'
    ' once a minute later'
)
def given_repeats(context, repeats, others):
    context.ledger = Ledger(lambda *span: False)
    starts_s = [5.0 * index / repeats for index in range(repeats)]
    starts_s += [60.0] * others
    for index, sent_s in enumerate(starts_s):
        sent = SentRequest(
            f'{index}',
            'GET',
            '/stock/1',
            OTHER,
            sent_s,
            TIMEOUT_S,
            True,
            sent_s + INTERVAL_S,
            200,
        )
        run = RequestRun(
            'server', 'stock', 'domain', 'GET', '/stock/1', sent_s
        )
        sent.runs += [run] * (2 if index < repeats else 1)
        context.ledger.record_request(sent)


@given('a read of it that is sent at {sent_s:d} s')
def given_read(context, sent_s):
    context.ledger.reads.append(ConfigurationRead(OTHER, 1, float(sent_s)))


@then('a leader is known since {since_s:d} s')
def then_leader(context, since_s):
    assert context.ledger.has_leader_since(since_s)


@then('a leader is not known since {since_s:d} s')
def then_no_leader(context, since_s):
    assert not context.ledger.has_leader_since(since_s)


@then('the ledger reports {count:d} broken promises')
def then_broken(context, count):
    violations = context.ledger.check_promises(timed=True)
    assert len(violations) == count, violations


@given('a server whose departure was acknowledged at {acked_s:g} s')
def given_departure(context, acked_s):
    context.ledger = Ledger(lambda *span: False)
    context.ledger.drains_acked_s['server'] = acked_s


@given(
    'a request that is sent at {sent_s:g} s and reaches it at {reached_s:g} s'
)
def given_late_request(context, sent_s, reached_s):
    sent = SentRequest(
        'late', 'GET', '/stock/1', OTHER, sent_s, TIMEOUT_S, True, sent_s, 200
    )
    sent.runs.append(
        RequestRun('server', 'stock', 'domain', 'GET', sent.path, reached_s)
    )
    context.reached_s = reached_s
    context.ledger.record_request(sent)


@given('a loop that was blocked for {stalled_s:g} s until then')
def given_stall(context, stalled_s):
    end_s = context.reached_s
    context.ledger.stalls.append(LoopStall(end_s - stalled_s, end_s))
