"""Steps for routes with home regions, through gateways on loopback."""

from unittest.mock import patch

from behave import given
from behave import then
from behave import when

from features.steps.home_region_fixtures import HomeFixture
from features.steps.home_region_fixtures import REGIONS
from fuchsiacart.configurations import RequestKind
from fuchsiacart.control.directory import find_gateways
from fuchsiacart.gateway.exchanges import ServerConnection
from fuchsiacart.models import Host
from fuchsiacart.models import HostState
from fuchsiacart.views import with_state

# A refusal that waits for nothing.
AT_ONCE_S = 0.3
ROUTE_KINDS = {
    'idempotent': RequestKind.IDEMPOTENT,
    'non-idempotent': RequestKind.NON_IDEMPOTENT,
}


def _read_homes(text):
    return () if text == 'any region' else tuple(text.split(' and '))


@given('gateways and servers in cymru, lloegr and iwerddon')
def given_regions(context):
    context.home = HomeFixture()
    context.resources.callback(context.home.close)


@given('a route of {kind} requests with the homes {homes}')
def given_route(context, kind, homes):
    context.home.kind = ROUTE_KINDS[kind]
    context.home.set_homes(_read_homes(homes))


@given('each server of {region} {fault}')
def given_fault(context, region, fault):
    for server in context.home.servers_of(region):
        server.fault = fault


@when(
    'the home moves to {homes} while a request at the gateway of {region} runs'
)
def when_moved_meanwhile(context, homes, region):
    fixture = context.home
    fixture.change = lambda: fixture.set_homes(_read_homes(homes))
    fixture.run(fixture.send(region))
    assert fixture.change is None, 'the request reached no server'


def _send_on_slow_connection(context, region, change):
    """Apply a change while the gateway opens a connection to a server."""
    fixture = context.home
    own_connect = ServerConnection.connect
    changes = [change]

    async def connect(connection, address, timeout_s):
        await own_connect(connection, address, timeout_s)
        if changes:
            changes.pop()()

    with patch.object(ServerConnection, 'connect', connect):
        fixture.run(fixture.send(region))
    assert not changes, 'no connection was opened'


@when(
    'the home moves to {homes} while the gateway of {region} connects to a'
    ' server'
)
def when_moved_while_connecting(context, homes, region):
    _send_on_slow_connection(
        context, region, lambda: context.home.set_homes(_read_homes(homes))
    )


@when(
    'the home moves to {homes} while the gateway of {region} connects to'
    ' another'
)
def when_moved_while_relaying(context, homes, region):
    _send_on_slow_connection(
        context, region, lambda: context.home.set_homes(_read_homes(homes))
    )


@when(
    'the servers of {region} move to {domain} while the gateway of {sender}'
    ' connects to a server'
)
def when_servers_moved_while_connecting(context, region, domain, sender):
    fixture = context.home

    def move():
        for server in fixture.servers_of(region):
            fixture.move_server(server.name, domain)
        fixture.apply_view()

    _send_on_slow_connection(context, sender, move)


@when('the home moves to {homes} at the gateway of {region} only')
def when_moved_at_one(context, homes, region):
    context.home.set_homes(_read_homes(homes), _read_homes(region))


@when('the gateway of {region} reaches no server')
def when_isolated(context, region):
    context.home.gateways[region].isolate()


@when('the other gateways learn of the move {later_s:g} s later')
def when_others_learn(context, later_s):
    context.home.loop.call_later(later_s, context.home.apply_view)


@when('the gateway of {region} is gone')
def when_gone(context, region):
    fixture = context.home
    gone = fixture.gateways[region]
    fixture.run(gone.close())
    hosts = tuple(
        each.host for each in fixture.gateways.values() if each is not gone
    )
    for gateway in fixture.gateways.values():
        gateway.forwarder.relay.apply_view(hosts)


@when('a request is sent to the gateway of {region}')
def when_sent(context, region):
    context.home.run(context.home.send(region))


@when('a request with a body is sent to the gateway of {region}')
def when_body_sent(context, region):
    context.home.run(context.home.send(region, 'POST', b'body'))


@when('{count:d} requests with a body are sent to the gateway of {region}')
def when_bodies_sent(context, count, region):
    fixture = context.home
    context.replies = []
    for _ in range(count):
        fixture.run(fixture.send(region, 'POST', b'body'))
        context.replies.append(fixture.reply.code)


@then('all callers get an answer from {region}')
def then_all_answered(context, region):
    assert set(context.replies) == {200}, context.replies
    regions = {each.region for each in context.home.arrivals}
    assert regions == {region}, context.home.arrivals


@when('{count:d} servers of an unknown zone join')
def when_unknown_join(context, count):
    for index in range(count):
        context.home.add_server(f'unknown-{index}', 'unknown')
    context.home.apply_view()


@when('all servers of {region} leave')
def when_servers_left(context, region):
    fixture = context.home
    for server in fixture.servers_of(region):
        del fixture.view.servers[server.name]
    fixture.apply_view()


@when('the servers of {region} move to {domain} under their ids')
def when_servers_moved(context, region, domain):
    fixture = context.home
    for server in fixture.servers_of(region):
        fixture.move_server(server.name, domain)
    fixture.apply_view()


@when('{count:d} requests are sent to each gateway')
def when_many_sent(context, count):
    """Send requests for the same object, one after the other."""
    fixture = context.home

    async def send():
        for region in fixture.gateways:
            for _ in range(count):
                await fixture.send(region)

    fixture.run(send())


@then('the caller gets an answer from {region}')
def then_answered(context, region):
    fixture = context.home
    assert fixture.reply.code == 200, (fixture.reply.code, fixture.reply.body)
    assert fixture.arrivals[-1].region == region, fixture.arrivals


@then('the caller is refused at once, with a time to return')
def then_refused(context):
    reply = context.home.reply
    assert reply.code == 503, (reply.code, reply.body)
    assert float(reply.headers['Retry-After']) > 0, reply.headers
    assert context.home.taken_s < AT_ONCE_S, context.home.taken_s


@then('the caller is refused as not run, with a time to return')
def then_refused_late(context):
    reply = context.home.reply
    assert reply.code == 503, (reply.code, reply.body)
    assert float(reply.headers['Retry-After']) > 0, reply.headers
    then_not_run(context)


@then('the request reached no server')
def then_not_run(context):
    assert not context.home.arrivals, context.home.arrivals


@then('no request reached a server outside the homes in force')
def then_inside(context):
    outside = [
        each
        for each in context.home.arrivals
        if each.homes and each.region not in each.homes
    ]
    assert not outside, outside


@then('{count:d} requests reached servers in {region}')
def then_reached(context, count, region):
    reached = [each for each in context.home.arrivals if each.region == region]
    assert len(reached) == count, context.home.arrivals


@then('no request reached the gateway of {region}')
def then_not_reached(context, region):
    arrived = context.home.gateways[region].callers.arrived
    assert not arrived, arrived


@then('each gateway has the servers in the region of {domain}')
def then_region_known(context, domain):
    fixture = context.home
    for gateway in fixture.gateways.values():
        for server in gateway.forwarder.selector.servers.values():
            if server.record.failure_domain == domain:
                assert server.region == REGIONS[domain], server


@given('the directory knows {count:d} gateways in each region')
def given_directory(context, count):
    context.hosts = [
        Host(f'{domain}-{index}', 1, region, domain, f'{domain}-{index}', '')
        for domain, region in REGIONS.items()
        for index in range(count)
    ]


@when('all gateways of {region} but {left:d} are {state}')
def when_gateways_changed(context, region, left, state):
    near = [host for host in context.hosts if host.region == region]
    others = [host for host in context.hosts if host.region != region]
    changed = []
    if state != 'lost':
        changed = [with_state(each, HostState(state)) for each in near[left:]]
    context.hosts = others + near[:left] + changed


@then('{count:d} callers of {region} are told gateways of {told} only')
def then_told_region(context, count, region, told):
    regions = {host.http_address: host.region for host in context.hosts}
    for index in range(count):
        for domain in (f'{region}-a', f'{region}-b'):
            answer = find_gateways(
                context.hosts, region, domain, f'10.1.0.{index}'
            )
            assert answer, 'no gateway is named'
            assert {regions[each] for each in answer} == {told}, answer
