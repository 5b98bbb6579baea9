"""Steps for what the soak's ledger makes of statements of servers."""

from behave import given

from soak.ledger import Ledger
from soak.records import GatewayCut
from soak.records import LoopStall
from soak.records import SentRequest
from soak.statements import ServerArrival
from soak.statements import TimedRefusal

GATEWAY = '127.0.0.11'
OTHER_GATEWAY = '127.0.0.12'
SERVER = 'server'
OTHER_SERVER = 'other'
GATEWAYS = {'that gateway': GATEWAY, 'another gateway': OTHER_GATEWAY}
SERVERS = {'that server': SERVER, 'another server': OTHER_SERVER}
# From a caller to a server, and back.
WAY_S = 0.01
INTERVAL_S = 0.01


def _make_ledger():
    return Ledger(lambda *span: False)


def _arrive(context, sent_s, server=SERVER, gateway=GATEWAY):
    """Record that a request has reached a server; return its arrival."""
    request_id = f'request at {sent_s}'
    context.ledger.record_request(
        SentRequest(
            request_id,
            'GET',
            '/stock/1',
            f'{gateway}:80',
            sent_s,
            1.0,
            True,
            sent_s + 2 * WAY_S,
            200,
        )
    )
    arrival = ServerArrival(
        request_id, server, gateway, sent_s, sent_s + WAY_S
    )
    context.ledger.statements.record_arrival(arrival)
    return arrival


def _pass_on(context, at_s, asked=GATEWAY):
    arrival = _arrive(context, at_s - 2 * WAY_S, gateway=asked)
    statements = context.ledger.statements
    statements.record_departure(arrival, GATEWAY, at_s)


@given('a gateway that passes on at {at_s:g} s that a server leaves')
def given_departure(context, at_s):
    context.ledger = _make_ledger()
    _pass_on(context, at_s)


@given('that gateway passes on so again at {at_s:g} s')
def given_departure_again(context, at_s):
    _pass_on(context, at_s)


@given('that gateway had another gateway ask')
def given_relayed(context):
    context.ledger = _make_ledger()
    _pass_on(context, 10.0, asked=OTHER_GATEWAY)


@given('that gateway runs on')
def given_nothing(context):
    """Nothing happens."""


@given('that gateway starts again at {at_s:g} s')
def given_start(context, at_s):
    context.ledger.statements.record_halt(GATEWAY, at_s)


@given(
    'that gateway is cut off from all servers from {start_s:g} to {end_s:g} s'
)
def given_cut(context, start_s, end_s):
    cut = GatewayCut(frozenset((f'{GATEWAY}:80',)), start_s, end_s)
    context.ledger.cuts.append(cut)


@given(
    'that gateway meets a loop that is blocked from {start_s:g} to {end_s:g} s'
)
def given_stall(context, start_s, end_s):
    context.ledger.stalls.append(LoopStall(start_s, end_s))


@given(
    'a request that is sent at {sent_s:g} s and reaches {server} from'
    ' {gateway}'
)
def given_arrival(context, sent_s, server, gateway):
    _arrive(context, sent_s, SERVERS[server], GATEWAYS[gateway])


@given(
    'a refusal to a gateway at {at_s:g} s, by a server that wants none for'
    ' {wait_s:g} s'
)
def given_refusal(context, at_s, wait_s):
    context.ledger = _make_ledger()
    context.ledger.statements.refusals.append(
        TimedRefusal(SERVER, GATEWAY, at_s, wait_s)
    )


@given(
    '{count:d} requests that reach it from that gateway from {first_s:g} s on'
)
def given_arrivals(context, count, first_s):
    for index in range(count):
        _arrive(context, first_s + index * INTERVAL_S)
