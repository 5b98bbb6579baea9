"""Steps for the requests in flight of all gateways."""

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace

from features.steps.placement_steps import REGIONS
from fuchsiacart.gateway.dialects import ReportedLoad
from fuchsiacart.load_boards import LoadBoard
from fuchsiacart.load_boards import LoadMap
from fuchsiacart.load_boards import ServerCount
from fuchsiacart.load_boards import ServerIndex
from fuchsiacart.servers import ServerRecord

SERVERS = 100
OBJECT = 'object-7'
NOW_MS = 10_000.0


@given('servers of {slots:d} slots in cymru and lloegr')
def step_servers(context, slots):
    _make_board(context, SERVERS, slots)


@given('{count:d} servers of {slots:d} slots in cymru and lloegr')
def step_many_servers(context, count, slots):
    _make_board(context, count, slots)


def _make_board(context, count, slots):
    context.board = LoadBoard()
    context.now_ms = NOW_MS
    records = [
        ServerRecord(
            f'{region}-{index}', 1, 1, 'stock', 'x', f'{region}-a', slots
        )
        for region in ('cymru', 'lloegr')
        for index in range(count // 2)
    ]
    context.names = [record.name for record in records]
    context.index = ServerIndex(records, REGIONS, 'cymru')


def _told(context, gateway):
    """Return the requests that a gateway is told of, by server."""
    load_map = context.board.load_map(gateway, context.index, context.now_ms)
    assert not load_map.counts or load_map.index_id == context.index.id
    return dict(zip(context.index.names, load_map.counts))


@when(
    'gateways a and b have {first:d} and {second:d} requests '
    'in flight at {server}'
)
def step_in_flight(context, first, second, server):
    # The sums are renewed between two messages.
    context.now_ms += 100
    for gateway, requests in (('a', first), ('b', second)):
        context.board.record(
            gateway, (ServerCount(server, requests),), context.now_ms
        )


@when('{seconds:d} s pass')
def step_pass(context, seconds):
    context.now_ms += seconds * 1000


@when('all servers have {requests:d} requests in flight')
def step_all_busy(context, requests):
    counts = tuple(ServerCount(name, requests) for name in context.names)
    context.board.record('a', counts, context.now_ms)


@then('gateway {gateway} is told {requests:d} requests at {server}')
def step_told(context, gateway, requests, server):
    told = _told(context, gateway)
    expected = dict.fromkeys(context.index.names, 0) | {server: requests}
    assert told == expected, told


@then('gateway c is told nothing')
def step_told_none(context):
    told = _told(context, 'c')
    assert not told, told


@then('gateway c is told {count:d} bytes of {value:d}')
def step_told_bytes(context, count, value):
    load_map = context.board.load_map('c', context.index, context.now_ms)
    assert load_map.counts == bytes((value,)) * count, load_map


def _first_server(context):
    return context.placement.choose(OBJECT)


def _tell(context, requests, counted_ms):
    """Tell the gateway that others have requests at the first server."""
    records = context.placement.view.servers.values()
    index = ServerIndex(records, REGIONS, 'cymru')
    counts = bytearray(len(index.names))
    counts[index.positions[context.first.name]] = requests
    context.placement.selector.record_loads(
        LoadMap(index.id, bytes(counts)), counted_ms
    )


@when('the first server of an object reports no load')
def step_report(context):
    context.first = _first_server(context)
    load = ReportedLoad(0, 0, context.first.record.slots)
    context.first.record_report(load, context.placement.now_ms)


@when(
    'it is told that others have {requests:d} requests '
    'at the first server of an object'
)
def step_count(context, requests):
    context.first = _first_server(context)
    _tell(context, requests, context.placement.now_ms)


@when(
    'a server joins before it is told that others have {requests:d} requests '
    'at the first server of an object'
)
def step_joined(context, requests):
    context.first = _first_server(context)
    servers = context.placement.view.servers
    servers['new'] = replace(context.first.record, name='new')
    _tell(context, requests, context.placement.now_ms)


@when(
    'it is told that others had {requests:d} requests '
    'at the first server before that'
)
def step_earlier_count(context, requests):
    _tell(context, requests, context.placement.now_ms - 1)


@when('{seconds:d} s pass at the gateway')
def step_pass_at_gateway(context, seconds):
    context.placement.now_ms += seconds * 1000


@then('its next request for the object goes to the {which} server')
def step_next(context, which):
    is_first = _first_server(context) is context.first
    assert is_first == (which == 'first')
