"""Steps for the choice of gateways that relay, without a network."""

from asyncio import create_task
from asyncio import sleep
from random import Random

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

from features.steps.forwarding_steps import ForwardingFixture
from features.steps.forwarding_steps import KINDS
from features.steps.forwarding_steps import PlainDialect
from features.steps.forwarding_steps import REQUEST_ID
from features.steps.forwarding_steps import SLOW_S
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import RequestError
from fuchsiacart.gateway.attempts import Attempts
from fuchsiacart.gateway.attempts import InboundRequest
from fuchsiacart.gateway.dialects import RequestMetadata
from fuchsiacart.gateway.gateway_selectors import GatewaySelector
from fuchsiacart.gateway.hop_headers import RELAYED_ID
from fuchsiacart.gateway.relays import Relay
from fuchsiacart.models import Host
from fuchsiacart.models import HostState
from fuchsiacart.problems import problem_document
from fuchsiacart.problems import PROBLEM_TYPE
from fuchsiacart.settings import HostSettings

OWN = 'own'
REGIONS = {'own': 'cymru', 'near': 'cymru', 'far': 'lloegr'}
NAMES = (OWN, 'near-0', 'near-1', 'far-0')
DRAWS = 50
NOW_MS = 5000.0


class RefusingHandler(RequestHandler):
    """Answers as a gateway that finds no server with room."""

    def get(self):
        """Refuse the request as not run."""
        error = RequestError('no room', ErrorKind.OVERLOADED)
        self.set_status(error.answer.status)
        self.set_header('Content-Type', PROBLEM_TYPE)
        self.set_header(RELAYED_ID, REQUEST_ID)
        self.finish(problem_document(error))


class RelayFixture:
    """An isolated gateway and the others of its view."""

    def __init__(self):
        own = HostSettings(
            name=OWN, region=REGIONS[OWN], failure_domain='cymru-a'
        )
        self.selector = GatewaySelector(own, Random(1))
        self.hosts = {}
        for index, name in enumerate(NAMES):
            region = REGIONS[name.partition('-')[0]]
            address = f'10.1.0.{index}:8161'
            self.hosts[name] = Host(
                name, 1, region, f'{region}-a', address, address
            )
        self.isolate(OWN)

    def isolate(self, name):
        """Let a gateway be isolated in the view."""
        self.hosts[name] = replace(self.hosts[name], state=HostState.ISOLATED)
        self.selector.apply_view(self.hosts.values())

    def chosen(self, now_ms=NOW_MS, home_regions=()):
        """Return the names of the gateways that are chosen."""
        hosts = [
            self.selector.choose(home_regions, frozenset(), now_ms)
            for _ in range(DRAWS)
        ]
        return {host.name if host else None for host in hosts}

    def caller_of(self, ip_address, relayed_for):
        """Return who counts as the caller of a relayed request."""
        request = InboundRequest(
            'GET',
            '/',
            '',
            HTTPHeaders(),
            b'',
            RequestMetadata('request', None, ''),
            0.0,
            ip_address,
            relayed_for,
        )
        relay = Relay(self.selector, PlainDialect(), None)
        return relay.read(request).caller


@given('an isolated gateway with others near and far')
def given_gateways(context):
    context.relay = RelayFixture()


@when('the relay has a request at {name}')
def when_running(context, name):
    context.relay.selector.in_flight[name] += 1


@when('the gateway {name} is isolated too')
def when_isolated(context, name):
    context.relay.isolate(name)


@when('all other gateways are isolated')
def when_all_isolated(context):
    for name in NAMES:
        context.relay.isolate(name)


@when('the gateway {name} could not serve a relayed request')
def when_avoided(context, name):
    context.relay.selector.avoid(name, NOW_MS)


@when('the gateway loses a server that runs a request, and {name} refuses it')
def when_refused(context, name):
    """Isolate a gateway while its only server is busy, then end that."""
    fixture = ForwardingFixture(1, f'answers after {SLOW_S:g} s')
    context.resources.callback(fixture.close)
    (server,) = fixture.servers

    async def serve():
        sockets = bind_sockets(0, '127.0.0.1')
        refusing = HTTPServer(Application([('.*', RefusingHandler)]))
        refusing.add_sockets(sockets)
        address = f'127.0.0.1:{sockets[0].getsockname()[1]}'
        host = replace(context.relay.hosts[name], http_address=address)
        fixture.forwarder.relay.apply_view((host,))
        task = create_task(fixture.serve(KINDS['an idempotent']))
        await sleep(SLOW_S / 3)
        reachability = fixture.forwarder.reachability
        reachability.record_silent(server.name)
        reachability.record_probe(False)
        assert reachability.is_isolated
        await server.close()
        await task
        refusing.stop()
        await refusing.close_all_connections()

    fixture.run(serve())
    assert server.served == 1, server.served
    context.outcome = fixture.outcome


@then('the caller is told that the outcome is unknown')
def then_unknown(context):
    assert context.outcome == ErrorKind.OUTCOME_UNKNOWN.value, context.outcome


@then('the relay goes to {name}')
def then_chosen(context, name):
    expected = None if name == 'none' else name
    assert context.relay.chosen() == {expected}, context.relay.chosen()


@then('after {after_ms:d} ms it may go to {name} again')
def then_chosen_again(context, after_ms, name):
    assert name in context.relay.chosen(NOW_MS + after_ms)


@then('no relay goes out for a request whose home is {region}')
def then_not_chosen(context, region):
    chosen = context.relay.chosen(home_regions=(region,))
    assert chosen == {None}, chosen


@then('a relay from {sender} for {named} counts as one of {caller}')
def then_counts(context, sender, named, caller):
    host = context.relay.hosts.get(sender)
    if host is not None:
        sender = host.http_address.rpartition(':')[0]
    assert context.relay.caller_of(sender, named) == caller


@given('a request for which {count:d} servers took no connection')
def given_unconnected(context, count):
    context.attempts = Attempts(None, None, 'stock', unreachable=count)


@when('{count:d} gateways could not serve it either')
def when_relays_failed(context, count):
    context.attempts.failed_relays = count


@then('it {may} be relayed again')
def then_may(context, may):
    assert context.attempts.may_try_again(None) == (may == 'may')
