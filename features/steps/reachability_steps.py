"""Steps for whether a gateway reaches backend servers, without a network."""

from random import Random

from behave import given
from behave import then
from behave import when
from msgspec import Struct

from fuchsiacart.gateway.placing.placements import ServerSelector
from fuchsiacart.gateway.probes import ReachabilityProber
from fuchsiacart.gateway.reachability import Reach
from fuchsiacart.gateway.reachability import ServerReachability
from fuchsiacart.gateway.tracked_servers import TrackedServer
from fuchsiacart.servers import ServerRecord

NOW_MS = 1000.0
SERVERS = 20


class ProbedServer(Struct):
    """A server of the view."""

    name: str


class ProbedForwarder:
    """What a prober reads of a forwarder."""

    def __init__(self, reachability, servers):
        self.reachability = reachability
        self.servers = servers

    @property
    def selector(self):
        """The servers, as a selector has them."""
        return self


@given('a gateway that sees {count:d} servers')
def given_gateway(context, count):
    context.reachability = ServerReachability()
    context.reachability.apply_view(count)
    context.told = []


@when('server {index:d} refuses a connection {times:d} times in a row')
def when_one_fails(context, index, times):
    for _ in range(times):
        context.reachability.record_refused(f'server-{index}')


@when('{count:d} servers in a row refuse a connection')
def when_refused(context, count):
    for index in range(count):
        context.reachability.record_refused(f'server-{index}')


@when('{count:d} servers in a row give no answer')
def when_silent(context, count):
    for index in range(count):
        context.reachability.record_silent(f'server-{index}')


@when('a connection to another server is opened')
def when_connected(context):
    context.reachability.record_connected()


@when('a server answers')
def when_answered(context):
    context.reachability.record_response()


@when('a probe finds a server')
def when_found(context):
    context.told.append(context.reachability.record_probe(True))


@when('a probe finds no server')
def when_not_found(context):
    context.told.append(context.reachability.record_probe(False))


@then('the gateway takes the servers for reached')
def then_reached(context):
    assert context.reachability.reach is Reach.REACHED


@then('the gateway suspects that it is cut off')
def then_suspected(context):
    assert context.reachability.reach is Reach.SUSPECTED


@then('the gateway uses connections opened before only')
def then_confined(context):
    assert context.reachability.is_confined


@then('nobody is told')
def then_not_told(context):
    assert not context.told[-1]


@then('others are told')
def then_told(context):
    assert context.told[-1]


@then('the gateway is isolated, and others are told')
def then_isolated(context):
    assert context.reachability.is_isolated and context.told[-1]


@then('the gateway is still isolated')
def then_still_isolated(context):
    assert context.reachability.is_isolated


@then('the servers that are probed are the {count:d} others')
def then_probed(context, count):
    names = [f'server-{index}' for index in range(SERVERS)]
    servers = {name: ProbedServer(name) for name in names}
    forwarder = ProbedForwarder(context.reachability, servers)
    prober = ReachabilityProber(forwarder, Random(1), None)
    drawn = {server.name for server in prober._draw_servers()}
    assert drawn == set(names) - context.reachability.doubted_names
    assert len(drawn) == count


@given('a gateway that has suspended a server for failures')
def given_suspended(context):
    record = ServerRecord('server', 1, 1, 'stock', 'server', 'cymru-a', 4)
    context.server = TrackedServer(record, 'cymru')
    context.selector = ServerSelector('cymru', {'cymru-a': 'cymru'})
    context.selector.servers['server'] = context.server
    for _ in range(3):
        context.server.record_failure(NOW_MS)
    assert context.server.suspended_until_ms > NOW_MS


@when('the gateway reaches servers again')
def when_reached_again(context):
    context.selector.end_suspensions()


@then('it may use the server at once')
def then_usable(context):
    assert context.server.suspended_until_ms <= NOW_MS
    assert not context.server.failures
