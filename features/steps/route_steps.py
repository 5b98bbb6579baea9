"""Steps for configurations, registrations and evacuations."""

from behave import given
from behave import then
from behave import when
from msgspec.msgpack import encode
from msgspec.structs import replace

from fuchsiacart.configurations import ConfigurationOrder
from fuchsiacart.configurations import Item
from fuchsiacart.configurations import ItemId
from fuchsiacart.configurations import PathRoute
from fuchsiacart.configurations import RequestKind
from fuchsiacart.configurations import RouteTarget
from fuchsiacart.configurations import ServiceTerms
from fuchsiacart.control.commands import ChangeConfiguration
from fuchsiacart.control.commands import ForgetServer
from fuchsiacart.control.commands import RecordServer
from fuchsiacart.control.commands import SetEvacuation
from fuchsiacart.control.states import ReplicatedState
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.servers import ServerRecord
from fuchsiacart.servers import ServerState
from fuchsiacart.views import View

BORN_MS = 1_796_000_000_000
SERVICE = ServiceTerms('stock', '/health', 100, 3000.0, 5.0)
ROUTE = PathRoute(
    'first',
    'shop.example',
    '/stock/',
    RequestKind.IDEMPOTENT,
    1000.0,
    400.0,
    0,
    (RouteTarget('stock'),),
    2,
)
FAULTS = {
    'names an unknown service': {'targets': (RouteTarget('none'),)},
    'has a timeout over ten minutes': {'timeout_ms': 600_001.0},
    'has an objective a minute beyond': {'objective_ms': 61_000.0},
    'allows no attempt': {'max_attempts': 0},
    'has a prefix without a slash': {'path_prefix': 'stock/'},
}
SERVER = ServerRecord(
    'server-1', BORN_MS, 5, 'stock', '10.0.0.1:80', 'cymru-a', 4
)


def route_item(route):
    """Return a route as an item of an order."""
    return Item(ItemId('routes', route.name), route, route.name.encode())


def order(version, base, routes=(ROUTE,), digest=''):
    """Return an order that replaces the whole configuration."""
    service = Item(ItemId('services', 'stock'), SERVICE, b'stock')
    items = tuple(route_item(route) for route in routes) + (service,)
    digest = digest or f'order-{version}'
    return ConfigurationOrder(version, base, digest, True, items)


def change(sent_order):
    """Return the command that applies an order."""
    return ChangeConfiguration(sent_order, BORN_MS)


def record(heartbeat):
    """Return the command that applies a heartbeat."""
    return RecordServer(heartbeat, BORN_MS)


@given('a state with a first configuration of version {version:d}')
def given_state(context, version):
    context.state = ReplicatedState()
    context.view = View()
    context.outcomes = [context.state.apply(change(order(version, 0)))]
    assert context.outcomes[0].error is None


@given('a registered server')
def given_server(context):
    context.state = ReplicatedState()
    context.state.apply(record(SERVER))


@when('an order of version {version:d} on version {base:d} is applied')
def when_order(context, version, base):
    context.outcomes.append(context.state.apply(change(order(version, base))))


@when('another order of version {version:d} on version {base:d} is applied')
def when_other_order(context, version, base):
    """Apply a different order with the same version."""
    competing = order(version, base, (replace(ROUTE, rank=2),), 'other')
    context.outcomes.append(context.state.apply(change(competing)))


@given('a state with a configuration of {count:d} routes')
def given_many_routes(context, count):
    context.state = ReplicatedState()
    context.routes = [
        replace(ROUTE, name=f'route-{index}', path_prefix=f'/route-{index}/')
        for index in range(count)
    ]
    outcome = context.state.apply(change(order(3, 0, context.routes)))
    assert outcome.error is None, outcome


@when('an order with all routes changes one, adds one and removes one')
def when_few_changed(context):
    changed = replace(context.routes[1], timeout_ms=2000.0)
    added = replace(ROUTE, name='added', path_prefix='/added/')
    routes = [added, changed] + context.routes[2:]
    outcome = context.state.apply(change(order(5, 3, routes)))
    assert outcome.error is None, outcome


@then('the change of the view has at most {limit:d} bytes')
def then_small_delta(context, limit):
    delta = context.state.deltas_after(context.state.revision - 1)
    assert len(encode(delta)) <= limit, len(encode(delta))


@then('a view built from deltas has the routes of the configuration')
def then_same_routes(context):
    view = View()
    view.advance(context.state.deltas_after(0))
    expected = context.state.stored.routes.configuration
    assert view.routes.configuration.version == expected.version
    assert set(view.routes.configuration.routes) == set(expected.routes)
    assert set(view.routes.configuration.services) == set(expected.services)


@when('the state is restored from its snapshot')
def when_snapshot(context):
    """Restore the state from its own snapshot."""
    body = context.state.snapshot()
    context.state = ReplicatedState()
    context.state.restore(body)


@when('the order of version {version:d} is resent')
def when_resent(context, version):
    context.outcomes.append(context.state.apply(change(order(version, 3))))


@when('an order arrives that {fault}')
def when_invalid(context, fault):
    sent = order(3, 3, digest='same version')
    if fault in FAULTS:
        sent = order(5, 3, (replace(ROUTE, **FAULTS[fault]),))
    context.outcomes.append(context.state.apply(change(sent)))


@when('a change adds a route and removes the first')
def when_patched(context):
    added = replace(ROUTE, name='added', path_prefix='/added/')
    sent = ConfigurationOrder(
        4,
        3,
        'patch',
        False,
        (route_item(added),),
        (ItemId('routes', 'first'),),
    )
    context.outcomes.append(context.state.apply(change(sent)))


@when('orders, registrations, evacuations and departures are applied')
def when_mixed(context):
    """Apply commands of each kind; the view follows by deltas."""
    context.view.advance(context.state.deltas_after(0))
    later = replace(SERVER, name='server-2', born_ms=BORN_MS + 1)
    commands = (
        record(SERVER),
        change(order(5, 3)),
        SetEvacuation('cymru-a', True, BORN_MS),
        record(later),
        SetEvacuation('cymru-b', True, BORN_MS),
        SetEvacuation('cymru-a', False, BORN_MS),
        record(replace(SERVER, name='server-3', address='10.0.0.3:80')),
        ForgetServer('server-3', BORN_MS, True, BORN_MS),
    )
    for command in commands:
        context.state.apply(command)
        missing = context.state.deltas_after(context.view.revision)
        context.view.advance(missing)


@when('it leaves')
def when_leaves(context):
    """Remove the server as its departure asks."""
    context.state.apply(ForgetServer('server-1', BORN_MS, True, BORN_MS))


@when('it is expired')
def when_expired(context):
    """Remove the server because its heartbeats stopped."""
    context.state.apply(ForgetServer('server-1', BORN_MS, False, BORN_MS))


@when('it reports that it drains')
def when_drains(context):
    """Apply a heartbeat with the state DRAINING."""
    context.state.apply(
        record(replace(SERVER, sequence=9, state=ServerState.DRAINING))
    )


@when('an earlier heartbeat arrives late')
@when('it sends a further heartbeat')
@when('a heartbeat of the earlier one arrives late')
def when_late(context):
    """Apply a heartbeat with sequence number 8.

    It is later than the recorded one (5) and earlier than the one that
    announced the drain (9).
    """
    context.state.apply(record(replace(SERVER, sequence=8)))


@when('it restarts under its name with a new sequence')
def when_restarted(context):
    """Apply the first heartbeat of a later start: later birth, sequence 1."""
    context.state.apply(
        record(replace(SERVER, born_ms=BORN_MS + 9000, sequence=1))
    )


@when('a later one registers at its address')
def when_takeover(context):
    """Apply the first heartbeat of another server at the address."""
    successor = replace(
        SERVER, name='server-2', born_ms=BORN_MS + 9000, sequence=1
    )
    context.state.apply(record(successor))


@when('the departure of its earlier start arrives')
def when_old_departure(context):
    """Apply a departure that names the earlier start."""
    context.state.apply(ForgetServer('server-1', BORN_MS, True, BORN_MS))


@then('the first is accepted and the second is in conflict')
def then_one_wins(context):
    assert context.outcomes[-2].error is None
    assert context.outcomes[-1].error is ErrorKind.CONFLICT


@then('version {version:d} is in force')
def then_version(context, version):
    in_force = context.state.stored.routes.configuration.version
    assert in_force == version, in_force


@then('it is accepted')
def then_accepted(context):
    assert context.outcomes[-1].error is None, context.outcomes[-1]


@then('the added route is in force and the first is not')
def then_routes(context):
    routes = context.state.stored.routes.configuration.routes
    assert [route.name for route in routes] == ['added'], routes


@then('a view built from deltas equals one restored from a snapshot')
def then_same_view(context):
    """Compare both views of the same revision."""
    restored = View()
    restored.restore(context.state.view())
    assert restored.revision == context.view.revision
    followed = context.view.routes.snapshot()
    assert followed == restored.routes.snapshot(), followed


@then('it is not registered')
def then_not_registered(context):
    assert 'server-1' not in context.state.stored.routes.servers


@then('it is registered')
def then_registered(context):
    registered = context.state.stored.routes.servers.get('server-1')
    assert (
        registered is not None and registered.state is ServerState.READY
    ), registered


@then('it is registered as draining')
def then_draining(context):
    registered = context.state.stored.routes.servers['server-1']
    assert registered.state is ServerState.DRAINING, registered


@then('it is draining in a view built from deltas')
def then_draining_in_view(context):
    view = View()
    view.advance(context.state.deltas_after(0))
    registered = view.routes.servers['server-1']
    assert registered.state is ServerState.DRAINING, registered


@then('only the later one is registered')
def then_later(context):
    assert list(context.state.stored.routes.servers) == ['server-2']
