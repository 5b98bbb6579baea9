"""Steps for a gateway's attempts at backend servers, over real sockets."""

from asyncio import gather
from asyncio import new_event_loop
from asyncio import sleep
from asyncio import wait_for
from math import inf
from random import Random
from time import monotonic
from time import time

from behave import given
from behave import then
from behave import when
from msgspec import Struct
from msgspec.structs import replace
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

from fuchsiacart.clocks import boot_ms
from fuchsiacart.configurations import Configuration
from fuchsiacart.configurations import Item
from fuchsiacart.configurations import ItemId
from fuchsiacart.configurations import PathRoute
from fuchsiacart.configurations import RequestKind
from fuchsiacart.configurations import RouteTarget
from fuchsiacart.configurations import ServiceTerms
from fuchsiacart.control.route_states import RouteView
from fuchsiacart.exceptions import RequestError
from fuchsiacart.gateway.attempts import InboundRequest
from fuchsiacart.gateway.connection_pools import ConnectionPool
from fuchsiacart.gateway.dialects import Dialect
from fuchsiacart.gateway.dialects import RequestMetadata
from fuchsiacart.gateway.dialects import ResponseMetadata
from fuchsiacart.gateway.forwarding import Forwarder
from fuchsiacart.gateway.placing.placement_requests import PlacementRequest
from fuchsiacart.gateway.suspects import SuspectTracker
from fuchsiacart.gateway.trials import TrialSchedule
from fuchsiacart.messages import Suspect
from fuchsiacart.messages import SuspectReport
from fuchsiacart.quarantine import request_digest
from fuchsiacart.servers import ServerRecord
from fuchsiacart.settings import EntrySettings
from fuchsiacart.settings import HostSettings
from fuchsiacart.settings import RouteSettings

WAIT_TIMEOUT_S = 10.0
# Allows a gateway that has just started one retry.
ONE_RETRY_SLACK = 8
# Enough to check a server: loopback refuses connections at once.
CHECK_WAIT_S = 0.2
QUARANTINE_MS = 60_000
LEASE_MS = 3_000
REGIONS = {'cymru-a': 'cymru'}
SLOTS = 4
SLOW_S = 0.6
EXPIRY_S = 0.2
PROOF_HEADER = 'Proof'
ID_HEADER = 'Request-Id'
REQUEST_ID = 'request'
# Each server that runs this path crashes.
POISON_PATH = '/poison'
NOT_RUN_HEADER = 'Not-Run'
KINDS = {
    'an idempotent': RequestKind.IDEMPOTENT,
    'a non-idempotent': RequestKind.NON_IDEMPOTENT,
}


class FakeSettings(Struct):
    """The settings that a forwarder reads."""

    host: HostSettings
    routes: RouteSettings
    entry: EntrySettings = EntrySettings()
    seed: int = 0


class PlainDialect(Dialect):
    """A dialect whose header names belong to no platform."""

    def read_request(self, headers):
        """See :meth:`Dialect.read_request`."""
        return RequestMetadata(REQUEST_ID, None, '')

    def write_metadata(self, headers, server_name, left_ms):
        """See :meth:`Dialect.write_metadata`."""
        headers[ID_HEADER] = REQUEST_ID

    def write_deadline(self, headers, left_ms):
        """See :meth:`Dialect.write_deadline`."""
        headers[ID_HEADER] = REQUEST_ID

    def read_request_id(self, headers):
        """See :meth:`Dialect.read_request_id`."""
        return headers.get(ID_HEADER, '')

    def read_response(self, status, headers):
        """See :meth:`Dialect.read_response`."""
        return ResponseMetadata(
            NOT_RUN_HEADER in headers, False, PROOF_HEADER in headers, None
        )


class ServerHandler(RequestHandler):
    """Answers, or fails in the way that its server is set to."""

    async def get(self):
        server = self.application.settings['server']
        server.served += 1
        if server.fault == 'answers after 0.6 s':
            await sleep(SLOW_S)
        if server.fault == 'breaks off':
            self.request.connection.stream.close()
            return
        if self.request.path == POISON_PATH:
            server.on_crash()
            server.crash()
            self.request.connection.stream.close()
            return
        if server.fault == 'fails with 500':
            self.set_status(500)
        if server.fault == 'says it did not run it':
            self.set_status(503)
            self.set_header(NOT_RUN_HEADER, '1')
        if server.fault == 'refuses without an id':
            self.set_status(503)
            self.set_header(NOT_RUN_HEADER, '1')
            return
        self.set_header(ID_HEADER, self.request.headers[ID_HEADER])
        if server.fault != 'gives no proof':
            self.set_header(PROOF_HEADER, '1')


class StandInServer:
    """A backend server that can fail in one way."""

    def __init__(self, name, fault):
        self.name = name
        self.fault = fault
        self.served = 0
        self.is_down = False
        self.on_crash = lambda: None
        application = Application([('.*', ServerHandler)], server=self)
        sockets = bind_sockets(0, '127.0.0.1')
        self.port = sockets[0].getsockname()[1]
        self._server = HTTPServer(application)
        if fault == 'is gone':
            sockets[0].close()
            return
        self._server.add_sockets(sockets)

    def crash(self):
        """Stop listening, as after a crash."""
        self.is_down = True
        self._server.stop()

    async def close(self):
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()


class ForwardingFixture:
    """A forwarder and its backend servers."""

    dialect = PlainDialect
    make_server = StandInServer

    def __init__(self, count, fault):
        self.loop = new_event_loop()
        self.outcome = None
        self.error = None
        self.servers = []
        self.services = ('stock',)
        self.health_path = '/'
        self.run(self._open(count, fault))

    def run(self, coroutine):
        """Run a coroutine to completion."""
        return self.loop.run_until_complete(
            wait_for(coroutine, WAIT_TIMEOUT_S)
        )

    async def _open(self, count, fault):
        host = HostSettings(
            name='gateway', region='cymru', failure_domain='cymru-a'
        )
        routes = RouteSettings(regions=REGIONS, retry_slack=ONE_RETRY_SLACK)
        self.forwarder = Forwarder(FakeSettings(host, routes), self.dialect())
        self.view = RouteView()
        # The request's order of preference depends on the names of all
        # servers. Servers without a fault are started to find the first one,
        # then replaced by the servers of the test.
        for index in range(count):
            self.add_server(f'server-{index}')
        self._apply_configuration()
        first = self._first_server_name()
        for server in self.servers:
            await server.close()
        names = [server.name for server in self.servers]
        names.sort(key=lambda name: name != first)
        self.servers = []
        for name in names:
            self.add_server(name, fault if name == first else 'answers')
        self._apply_configuration()

    def add_server(self, name, fault='answers'):
        server = self.make_server(name, fault)
        self.servers.append(server)
        self.view.servers[name] = ServerRecord(
            name, 1, 1, 'stock', f'127.0.0.1:{server.port}', 'cymru-a', SLOTS
        )

    def _first_server_name(self):
        """Return the name of the server that a request goes to first."""
        placement_request = PlacementRequest('stock', 'object', 1.0)
        return self.forwarder.selector.choose(
            placement_request, monotonic() * 1000
        ).name

    def _apply_configuration(self, kind=RequestKind.IDEMPOTENT):
        route = PathRoute(
            'route',
            'shop.example',
            '/',
            kind,
            2000.0,
            400.0,
            0,
            tuple(RouteTarget(service) for service in self.services),
            2,
            # So that the first server of the object is known.
            sticky=True,
        )
        items = [Item(ItemId('routes', 'route'), route, b'')]
        for service in self.services:
            terms = ServiceTerms(service, self.health_path, 100, 0.0, 0.0)
            items.append(Item(ItemId('services', service), terms, b''))
        version = self.view.configuration.version + 1
        self.view.configuration = Configuration(version, tuple(items))
        self.forwarder.apply_view(self.view, 1)

    def split(self):
        """Give half of the servers to a second service of the route."""
        self.services = ('stock', 'orders')
        for name in tuple(self.view.servers)[::2]:
            record = self.view.servers[name]
            self.view.servers[name] = replace(record, service='orders')

    async def serve(
        self, kind, path='/1', caller='10.1.1.1', object_key='object'
    ):
        """Serve a request and record its status or the kind of its error."""
        self._apply_configuration(kind)
        headers = HTTPHeaders({'Host': 'shop.example'})
        request = InboundRequest(
            'GET',
            path,
            'shop.example',
            headers,
            b'',
            RequestMetadata(REQUEST_ID, None, object_key),
            monotonic(),
            caller,
        )
        try:
            answer = await self.forwarder.serve(request)
        except RequestError as error:
            self.outcome = error.kind.value
            self.error = error
            return
        self.outcome = str(answer.status)

    async def expire(self, name):
        """Remove a server from the view after ``EXPIRY_S``."""
        await sleep(EXPIRY_S)
        del self.view.servers[name]
        self.forwarder.apply_view(self.view, 1)

    def close(self):
        """Close the servers and the loop."""
        for server in self.servers:
            self.run(server.close())
        self.loop.close()


@given('a gateway with {count:d} servers, of which the first {fault}')
def given_gateway(context, count, fault):
    context.forwarding = ForwardingFixture(count, fault)
    context.resources.callback(context.forwarding.close)


@given('its route is split between two services')
def given_split(context):
    context.forwarding.split()


@when('{kind} request is served')
def when_served(context, kind):
    context.forwarding.run(context.forwarding.serve(KINDS[kind]))


@then('the caller gets {answer} after {attempts:d} attempts')
def then_outcome(context, answer, attempts):
    """Check the outcome and the requests that reached servers."""
    fixture = context.forwarding
    assert answer in fixture.outcome, fixture.outcome
    served = sum(server.served for server in fixture.servers)
    assert served == attempts, served


@then(
    'the evidence has {failures:d} failure of the first'
    ' and {answers:d} answer of the second'
)
def then_evidence(context, failures, answers):
    """Check the evidence that the gateway would report."""
    fixture = context.forwarding
    evidence = {each.name: each for each in fixture.forwarder.evidence.flush()}
    first, second = (evidence[server.name] for server in fixture.servers)
    assert (first.failures, first.answers) == (failures, 0), first
    assert (second.failures, second.answers) == (0, answers), second


@when('a request that crashes its servers is sent {count:d} times')
def when_poison_sent(context, count):
    """Send the request; after each, leave time to check the servers."""
    fixture = context.forwarding
    for _ in range(count):
        fixture.run(fixture.serve(RequestKind.IDEMPOTENT, POISON_PATH))
        fixture.run(sleep(CHECK_WAIT_S))


@when(
    'a request that crashes its servers is sent {count:d} times, and its'
    ' server starts again after each'
)
def when_poison_sent_again(context, count):
    """Register a later start of the server whenever it is down."""
    fixture = context.forwarding

    async def start_again(born_ms):
        name = fixture.servers[-1].name
        fixture.add_server(name)
        record = fixture.view.servers[name]
        fixture.view.servers[name] = replace(record, born_ms=born_ms)
        fixture.forwarder.apply_view(fixture.view, 1)

    for index in range(count):
        fixture.run(fixture.serve(RequestKind.IDEMPOTENT, POISON_PATH))
        fixture.run(sleep(CHECK_WAIT_S))
        if fixture.servers[-1].is_down:
            fixture.run(start_again(index + 2))


@when('a request that crashes its servers is sent from {count:d} addresses')
def when_poison_sent_around(context, count):
    """Send the request from each address until it is refused or fails."""
    fixture = context.forwarding
    for host in range(count):
        address = f'10.1.2.{host}'
        fixture.run(
            fixture.serve(RequestKind.IDEMPOTENT, POISON_PATH, address)
        )
        fixture.run(sleep(CHECK_WAIT_S))


def _make_report(losses):
    """Return the request that crashes servers, as others report it."""
    digest = request_digest('object', 'shop.example', 'GET', POISON_PATH, ())
    until_ms = int(time() * 1000) + QUARANTINE_MS
    suspect = Suspect(digest, ('elsewhere',), until_ms, losses)
    return SuspectReport((suspect,))


@when('a request crashes a server just as others report {count:d} losses')
def when_reported_meanwhile(context, count):
    """Let the report arrive before the server breaks off."""
    fixture = context.forwarding
    report = _make_report(count)
    for server in fixture.servers:
        server.on_crash = lambda: fixture.forwarder.suspects.merge(report)
    fixture.run(fixture.serve(RequestKind.IDEMPOTENT, POISON_PATH))


@when(
    'others report {count:d} losses under a request that crashes its servers'
)
def when_reported(context, count):
    context.forwarding.forwarder.suspects.merge(_make_report(count))


@when('the gateway has checked its servers')
def when_checked(context):
    """Leave time for the connection checks of the gateway."""
    context.forwarding.run(sleep(CHECK_WAIT_S))


@when('a request for another object is sent to the same path')
def when_other_object(context):
    """Send a request that differs in its object only."""
    fixture = context.forwarding
    serving = fixture.serve(
        RequestKind.IDEMPOTENT, POISON_PATH, object_key='another object'
    )
    fixture.run(serving)


@when('another gateway gets the suspects')
def when_suspects_reported(context):
    """Give the suspects of this gateway to a new suspect tracker."""
    fixture = context.forwarding
    report = fixture.forwarder.suspects.make_report()
    fixture.forwarder.suspects = SuspectTracker(
        QUARANTINE_MS,
        LEASE_MS,
        ConnectionPool(),
        TrialSchedule(Random(1)),
    )
    fixture.forwarder.suspects.merge(report)


@then('{count:d} servers are down')
def then_down(context, count):
    """Count the servers that stopped listening after a request."""
    down = [each for each in context.forwarding.servers if each.is_down]
    assert len(down) == count, len(down)


@then('no request is suspected')
def then_no_suspect(context):
    """Check that no suspect would be reported to the control group."""
    assert context.forwarding.forwarder.suspects.make_report().lost == ()


@when('an idempotent request is served while the first server expires')
def when_served_while_expiring(context):
    fixture = context.forwarding

    async def serve():
        await gather(
            fixture.serve(RequestKind.IDEMPOTENT),
            fixture.expire(fixture.servers[0].name),
        )

    fixture.run(serve())


@when(
    'it was paused for {pause_s:d} s and the first server leaves the view'
    ' {delay_s:g} s later'
)
def when_paused(context, pause_s, delay_s):
    fixture = context.forwarding
    freshness = fixture.forwarder.freshness
    _pause(fixture.forwarder, pause_s)

    async def pull():
        await sleep(delay_s)
        del fixture.view.servers[fixture.servers[0].name]
        fixture.forwarder.apply_view(fixture.view, 1)
        freshness.record_lease(boot_ms(), inf, False)

    async def serve():
        await gather(fixture.serve(RequestKind.IDEMPOTENT), pull())

    fixture.run(serve())


@then('the first server got no request')
def then_first_unused(context):
    assert context.forwarding.servers[0].served == 0


@when('it was paused for {pause_s:d} s and is cut off')
def when_cut_off(context, pause_s):
    _pause(context.forwarding.forwarder, pause_s)


def _pause(forwarder, pause_s):
    """Let a process have been paused until now."""
    began_ms = boot_ms() - pause_s * 1000
    forwarder.freshness.record_lease(began_ms, inf, False)
    forwarder.pauses.tick(began_ms)


@then(
    'the first of two requests waits {wait_s:g} s and the second does not wait'
)
def then_waits_once(context, wait_s):
    fixture = context.forwarding
    taken_s = []
    for _ in range(2):
        started_s = monotonic()
        fixture.run(fixture.serve(RequestKind.IDEMPOTENT))
        assert fixture.outcome == '200', fixture.outcome
        taken_s.append(monotonic() - started_s)
    assert taken_s[0] >= wait_s, taken_s
    assert taken_s[1] < wait_s, taken_s
