"""Steps for the age of a gateway's view; its leader is a stand-in."""

from asyncio import create_task
from asyncio import Event
from asyncio import gather
from asyncio import get_running_loop
from asyncio import new_event_loop
from asyncio import sleep
from asyncio import wait_for
from time import monotonic
from time import sleep as block

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

from fuchsiacart.accounts import ClientAccount
from fuchsiacart.accounts import digest_key
from fuchsiacart.adapters import Method
from fuchsiacart.adapters import PeerAdapter
from fuchsiacart.configurations import Configuration
from fuchsiacart.configurations import ConfigurationOrder
from fuchsiacart.configurations import Item
from fuchsiacart.configurations import ItemId
from fuchsiacart.configurations import PathRoute
from fuchsiacart.configurations import RequestKind
from fuchsiacart.configurations import RouteTarget
from fuchsiacart.configurations import ServiceTerms
from fuchsiacart.control.pulls import pack_view
from fuchsiacart.control.route_states import ConfigurationChanged
from fuchsiacart.control.route_states import EvacuationsSet
from fuchsiacart.control.route_states import RouteSnapshot
from fuchsiacart.control.route_states import ServerSet
from fuchsiacart.control.states import Delta
from fuchsiacart.control.states import ViewSnapshot
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import RequestError
from fuchsiacart.exceptions import TransportError
from fuchsiacart.gateway.attempts import InboundRequest
from fuchsiacart.gateway.dialects import RequestMetadata
from fuchsiacart.gateway.hosts import GatewayHost
from fuchsiacart.gateway.placing.placement_requests import PlacementRequest
from fuchsiacart.messages import KeepAliveReply
from fuchsiacart.messages import PullReply
from fuchsiacart.pauses import watch_pauses
from fuchsiacart.platform.headers import ATTEMPT_ID
from fuchsiacart.platform.headers import INSTANCE_ID
from fuchsiacart.platform.headers import NOT_RUN
from fuchsiacart.platform.headers import PlatformDialect
from fuchsiacart.platform.headers import SERVER_STAMP
from fuchsiacart.servers import ServerRecord
from fuchsiacart.servers import ServerState
from fuchsiacart.settings import Settings

WAIT_TIMEOUT_S = 30.0
LEASE_MS = 3000
PULL_WAIT_S = 0.4
# A call takes so long at least.
DELAY_S = 0.02
HEALTH_PATH = '/health'
OBJECT = 'object'
KEY = 'a-key'
NO_WAIT_S = 0.2
PLACES = {'first': 0, 'second': 1}
STATUSES = {
    ErrorKind.UNAUTHORIZED: '401',
    ErrorKind.OVERLOADED: '503',
    ErrorKind.STALE: '503',
}
DOMAINS = ('cymru-a', 'cymru-b')
REGIONS = {'cymru-a': 'cymru', 'cymru-b': 'cymru', 'lloegr-a': 'lloegr'}


class ServerHandler(RequestHandler):
    """Answers requests and health checks as the pages say."""

    async def get(self):
        """Answer."""
        server = self.application.settings['server']
        if self.request.path == HEALTH_PATH:
            self.set_header(INSTANCE_ID, server.name)
            if server.is_leaving or server.refuses_checks:
                self.set_status(503)
            return
        server.received += 1
        self.set_header(ATTEMPT_ID, self.request.headers[ATTEMPT_ID])
        self.set_header(SERVER_STAMP, server.name)
        if server.is_leaving:
            self.set_header('Connection', 'close')
        if server.refuses_after_s:
            await sleep(server.refuses_after_s)
            self.set_header(NOT_RUN, '1')
            self.set_status(503)


class StandInServer:
    """A backend server."""

    def __init__(self, name):
        self.name = name
        self.received = 0
        self.is_leaving = False
        self.refuses_after_s = 0.0
        self.refuses_checks = False
        application = Application(
            [('.*', ServerHandler)], server=self, log_function=lambda _: None
        )
        sockets = bind_sockets(0, '127.0.0.1')
        self.address = f'127.0.0.1:{sockets[0].getsockname()[1]}'
        self._server = HTTPServer(application)
        self._server.add_sockets(sockets)

    async def close(self):
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()


class StandInLeader(PeerAdapter):
    """The leader of the control group and the way to it.

    :param snapshot: the :class:`ViewSnapshot` that it has at first.
    """

    def __init__(self, snapshot):
        self.is_silent = False
        self._snapshot = snapshot
        self._deltas = []
        self._changed = Event()
        # Calls that were made before have answers up to this revision.
        self._sealed_revision = 0
        self._seals = 0

    def seal(self):
        """Make the answers to all calls in flight, which are read later."""
        self._sealed_revision = self.revision
        self._seals += 1

    @property
    def revision(self):
        """The newest revision."""
        return self._snapshot.revision + len(self._deltas)

    def commit(self, body):
        """Append a change."""
        self._deltas.append(Delta(self.revision + 1, body))
        self._changed.set()
        self._changed = Event()

    async def call(self, address, method, message, timeout_s):
        """See :meth:`PeerAdapter.call`."""
        if self.is_silent:
            await sleep(timeout_s)
            raise TransportError(address)
        seals = self._seals
        await sleep(DELAY_S)
        if method is Method.KEEP_ALIVE:
            return KeepAliveReply(LEASE_MS, self._known_revision(seals))
        if message.revision == 0:
            return PullReply(packed_view=pack_view(self._snapshot))
        if self.revision == message.revision:
            try:
                await wait_for(self._changed.wait(), PULL_WAIT_S)
            except TimeoutError:
                pass
        last = self._known_revision(seals)
        return PullReply(tuple(self._deltas[message.revision - 1 : last - 1]))

    def _known_revision(self, seals):
        """Return the newest revision when the answer to a call was made."""
        return self.revision if seals == self._seals else self._sealed_revision

    async def close(self):
        """Nothing to close."""


class ViewAgeFixture:
    """A gateway, its leader and its servers."""

    def __init__(self):
        self.loop = new_event_loop()
        self.statuses = []
        self.tasks = []
        self.run(self._open())

    def run(self, coroutine):
        """Run a coroutine to completion."""
        return self.loop.run_until_complete(
            wait_for(coroutine, WAIT_TIMEOUT_S)
        )

    async def _open(self):
        self.servers = [StandInServer(f'server-{at}') for at in range(2)]
        self.other = StandInServer('server-of-another-service')
        self.records = {
            server.name: self._make_record(server, 'stock', domain)
            for server, domain in zip(self.servers, DOMAINS)
        }
        self.records[self.other.name] = self._make_record(
            self.other, 'orders', 'lloegr-a'
        )
        routes = RouteSnapshot(
            Configuration(1, self._make_items()),
            (),
            tuple(self.records.values()),
        )
        snapshot = ViewSnapshot(1, (), (), (), (), routes)
        self.leader = StandInLeader(snapshot)
        self.gateway = GatewayHost(
            _make_settings(), self.leader, PlatformDialect()
        )
        self.gateway.start('127.0.0.1:2', '127.0.0.1:3')
        self.tasks = [
            create_task(self.gateway._lease.run()),
            create_task(self.gateway._run_view()),
        ]
        while not self.gateway.is_ready:
            await sleep(0.01)
        self._order_servers()

    def _make_record(self, server, service, domain):
        return ServerRecord(
            server.name, 1, 1, service, server.address, domain, 100
        )

    def _make_items(self, service='stock', homes=(), key=KEY):
        route = PathRoute(
            'route',
            'shop.example',
            '/',
            RequestKind.IDEMPOTENT,
            6000.0,
            5000.0,
            0,
            (RouteTarget(service),),
            2,
            sticky=True,
            home_regions=homes,
        )
        terms = (
            ServiceTerms(each, HEALTH_PATH, 100, 0.0, 0.0)
            for each in ('stock', 'orders')
        )
        account = ClientAccount('anna', (digest_key(key),))
        return (
            Item(ItemId('routes', 'route'), route, b''),
            *(
                Item(ItemId('services', each.name), each, b'')
                for each in terms
            ),
            Item(ItemId('accounts', 'anna'), account, b''),
        )

    def _order_servers(self):
        """Put the server first to which the request goes first."""
        first = self.gateway.forwarder.selector.peek(
            PlacementRequest('stock', OBJECT, 100.0, is_sticky=True),
            monotonic() * 1000,
        )
        self.servers.sort(key=lambda server: server.name != first.name)

    @property
    def first_record(self):
        """The record of the first server."""
        return self.records[self.servers[0].name]

    def leave(self, place=0):
        """Let a server leave."""
        server = self.servers[place]
        server.is_leaving = True
        record = replace(
            self.records[server.name],
            sequence=2,
            state=ServerState.DRAINING,
        )
        self.leader.commit(ServerSet(record))

    def evacuate(self):
        """Evacuate the failure domain of the first server."""
        self.leader.commit(EvacuationsSet((self.first_record.failure_domain,)))

    def configure(self, **terms):
        """Put another configuration in force."""
        order = ConfigurationOrder(2, 1, '', False, self._make_items(**terms))
        self.leader.commit(ConfigurationChanged(order))

    async def serve(self):
        """Serve a request and record its status."""
        request = InboundRequest(
            'GET',
            '/1',
            'shop.example',
            HTTPHeaders(
                {
                    'Host': 'shop.example',
                    'Authorization': f'Bearer {KEY}',
                    ATTEMPT_ID: 'request',
                }
            ),
            b'',
            RequestMetadata('request', None, OBJECT),
            monotonic(),
        )
        try:
            answer = await self.gateway.forwarder.serve(request)
        except RequestError as error:
            self.statuses.append(STATUSES.get(error.kind, error.kind.value))
            return
        self.statuses.append(str(answer.status))

    async def close_all(self):
        """End the tasks and the servers."""
        for task in self.tasks:
            task.cancel()
        await gather(*self.tasks, return_exceptions=True)
        for server in (*self.servers, self.other):
            await server.close()

    def close(self):
        """Close everything."""
        self.run(self.close_all())
        self.loop.close()


def _make_settings():
    return Settings.model_validate(
        {
            'role': 'gateway',
            'host': {
                'name': 'gateway',
                'region': 'cymru',
                'failure_domain': 'cymru-a',
            },
            'tokens': {
                'operator_sha256': '0' * 64,
                'backend_sha256': '0' * 64,
                'peer': 'x' * 16,
            },
            'control_hosts': [
                {'name': 'control', 'peer_address': '127.0.0.1:1'}
            ],
            'routes': {'regions': REGIONS},
        }
    )


CHANGES = {
    'the first server leaves': ViewAgeFixture.leave,
    'the domain of the first is evacuated': ViewAgeFixture.evacuate,
    'the route moves to another service': (
        lambda fixture: fixture.configure(service='orders')
    ),
    'the route moves to another region': (
        lambda fixture: fixture.configure(service='orders', homes=('lloegr',))
    ),
    'the key of the caller is revoked': (
        lambda fixture: fixture.configure(key='another-key')
    ),
}


@given('a gateway in touch with its leader and two servers')
def given_gateway(context):
    context.ages = ViewAgeFixture()
    context.resources.callback(context.ages.close)


@given('the first server takes {span_s:g} s to say that it runs no request')
def given_refusing(context, span_s):
    context.ages.servers[0].refuses_after_s = span_s


@given('servers that refuse health checks while they are full')
def given_full(context):
    for server in context.ages.servers:
        server.refuses_checks = True


@when('it does not run for {pause_s:g} s, and meanwhile {change}')
def when_paused(context, pause_s, change):
    context.pause_s = pause_s
    context.change = CHANGES[change]


@when('a request is read right after that')
def when_read_after_pause(context):
    """Pause the process while answers to a pull and a renewal are unread."""
    fixture = context.ages

    async def pause_and_serve():
        # Both tasks have calls in flight whose answers were made before.
        renewing = create_task(fixture.gateway._lease.renew())
        await sleep(0)
        fixture.leader.seal()
        block(context.pause_s)
        context.change(fixture)
        await fixture.serve()
        await renewing

    fixture.run(pause_and_serve())


@when('it hears nothing of its leader, and the {place} server leaves')
def when_silent(context, place):
    fixture = context.ages
    fixture.leader.is_silent = True
    fixture.run(sleep(0.5))
    fixture.leave(PLACES[place])


@when('it has heard nothing for {span_s:g} s')
def when_unheard(context, span_s):
    context.ages.run(sleep(span_s))


@when('it hears nothing of its leader for {span_s:g} s')
def when_silent_for(context, span_s):
    context.ages.leader.is_silent = True
    context.ages.run(sleep(span_s))


@when(
    'it hears nothing of its leader for {span_s:g} s, but its servers answer'
    ' requests'
)
def when_silent_in_use(context, span_s):
    fixture = context.ages
    fixture.leader.is_silent = True
    until_s = monotonic() + span_s

    async def serve_on():
        while monotonic() < until_s:
            await fixture.serve()
            await sleep(0.1)

    fixture.run(serve_on())
    assert set(fixture.statuses) == {'200'}, fixture.statuses


@when('a request is read')
def when_read(context):
    context.ages.run(context.ages.serve())


@when(
    'it does not run for {pause_s:g} s while a request connects to the first'
    ' server, which leaves'
)
def when_paused_connecting(context, pause_s):
    fixture = context.ages

    def pause():
        block(pause_s)
        fixture.leave()

    async def serve():
        get_running_loop().call_soon(get_running_loop().call_soon, pause)
        await fixture.serve()

    fixture.run(serve())


@then('the caller gets {status}')
def then_status(context, status):
    assert context.ages.statuses == [status], context.ages.statuses


@then('the {place} server is sent no request')
def then_unused(context, place):
    assert context.ages.servers[PLACES[place]].received == 0


@then('ten requests at once get 200')
def then_served(context):
    fixture = context.ages

    async def serve():
        await gather(*(fixture.serve() for _ in range(10)))

    fixture.run(serve())
    assert fixture.statuses == ['200'] * 10, fixture.statuses


@then('ten more get 200 without a wait')
def then_served_at_once(context):
    fixture = context.ages
    fixture.statuses.clear()
    started_s = monotonic()

    async def serve():
        await gather(*(fixture.serve() for _ in range(10)))

    fixture.run(serve())
    assert fixture.statuses == ['200'] * 10, fixture.statuses
    assert monotonic() - started_s < NO_WAIT_S, monotonic() - started_s


@given('its process goes on running')
def given_unpaused(context):
    fixture = context.ages
    watch = watch_pauses(fixture.gateway.forwarder.pauses)
    fixture.tasks.append(fixture.loop.create_task(watch))
