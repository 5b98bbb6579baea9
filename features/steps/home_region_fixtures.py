"""Gateways and servers of several regions, on loopback."""

from asyncio import new_event_loop
from asyncio import sleep
from asyncio import wait_for
from math import inf
from time import monotonic

from msgspec import Struct
from msgspec.structs import replace
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

from features.steps.forwarding_steps import FakeSettings
from features.steps.forwarding_steps import ID_HEADER
from features.steps.forwarding_steps import NOT_RUN_HEADER
from features.steps.forwarding_steps import PlainDialect
from features.steps.forwarding_steps import PROOF_HEADER
from fuchsiacart.clocks import boot_ms
from fuchsiacart.configurations import Configuration
from fuchsiacart.configurations import Item
from fuchsiacart.configurations import ItemId
from fuchsiacart.configurations import PathRoute
from fuchsiacart.configurations import RequestKind
from fuchsiacart.configurations import RouteTarget
from fuchsiacart.configurations import ServiceTerms
from fuchsiacart.control.route_states import RouteView
from fuchsiacart.gateway.callers import CallerServer
from fuchsiacart.gateway.forwarding import Forwarder
from fuchsiacart.gateway.reachability import Reach
from fuchsiacart.models import Host
from fuchsiacart.servers import ServerRecord
from fuchsiacart.settings import HostSettings
from fuchsiacart.settings import RouteSettings

REGIONS = {
    'cymru-a': 'cymru',
    'lloegr-a': 'lloegr',
    'iwerddon-a': 'iwerddon',
}
SERVERS_PER_DOMAIN = 2
SLOTS = 100
WAIT_TIMEOUT_S = 10.0
TIMEOUT_MS = 3000.0
OBJECTIVE_MS = 400.0
MAX_ATTEMPTS = 3
# A server that fails takes so long.
WORK_S = 0.2
NO_FAULT = 'answers'
SLACK_RETRIES = 1000


class Arrival(Struct, frozen=True):
    """A request that reached a server, and the homes in force then."""

    server: str
    region: str
    homes: tuple[str, ...]


class HomeServerHandler(RequestHandler):
    """Runs each request, or fails in the way that its server is set to."""

    async def get(self):
        """Answer."""
        server = self.application.settings['server']
        server.record_arrival()
        server.apply_change()
        if server.fault != NO_FAULT:
            await sleep(WORK_S)
        if server.fault == 'breaks off':
            self.request.connection.stream.close()
            return
        if server.fault == 'does not run it':
            self.set_status(503)
            self.set_header(NOT_RUN_HEADER, '1')
        self.set_header(ID_HEADER, self.request.headers[ID_HEADER])
        self.set_header(PROOF_HEADER, '1')

    post = get


class HomeServer:
    """A backend server that notes the homes in force at each request."""

    def __init__(self, name, domain, fixture):
        self.name = name
        self.domain = domain
        self.fault = NO_FAULT
        self._fixture = fixture
        application = Application([('.*', HomeServerHandler)], server=self)
        sockets = bind_sockets(0, '127.0.0.1')
        self.address = f'127.0.0.1:{sockets[0].getsockname()[1]}'
        self._server = HTTPServer(application)
        self._server.add_sockets(sockets)

    def record_arrival(self):
        """Note that a request has reached it now."""
        region = REGIONS.get(self.domain, '')
        self._fixture.arrivals.append(
            Arrival(self.name, region, self._fixture.homes)
        )

    def apply_change(self):
        """Apply the change that waits for a request to arrive."""
        change, self._fixture.change = self._fixture.change, None
        if change is not None:
            change()

    async def close(self):
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()


class CountingServer(CallerServer):
    """Counts the requests that reach a gateway."""

    arrived = 0

    def start(self, exchange):
        """See :class:`CallerServer`."""
        self.arrived += 1
        return super().start(exchange)


class HomeGateway:
    """A gateway with a view of its own and a listener for callers."""

    def __init__(self, domain):
        self.name = f'gateway-{domain}'
        self.region = REGIONS[domain]
        host = HostSettings(
            name=self.name, region=self.region, failure_domain=domain
        )
        routes = RouteSettings(regions=REGIONS, retry_slack=SLACK_RETRIES)
        dialect = PlainDialect()
        self.forwarder = Forwarder(FakeSettings(host, routes), dialect)
        self.callers = CountingServer(self.forwarder, dialect)
        sockets = bind_sockets(0, '127.0.0.1')
        self.callers.add_sockets(sockets)
        self.address = f'127.0.0.1:{sockets[0].getsockname()[1]}'
        self.host = Host(
            self.name, 1, self.region, domain, self.address, self.address
        )

    def isolate(self):
        """Let the gateway reach no backend server."""
        self.forwarder.reachability.reach = Reach.ISOLATED

    async def close(self):
        """Stop listening and close all connections."""
        self.callers.stop()
        await self.callers.close_all()


class HomeFixture:
    """Gateways and servers of three regions and the homes of one route.

    ``homes`` are those of the newest configuration that a gateway has, and
    ``change`` is called once, when the next request reaches a server.
    """

    def __init__(self):
        self.loop = new_event_loop()
        self.view = RouteView()
        self.kind = RequestKind.IDEMPOTENT
        self.homes = ()
        self.arrivals = []
        self.change = None
        self.servers = {}
        self.gateways = {}
        self.reply = None
        self.taken_s = 0.0
        self.run(self._open())

    def run(self, coroutine):
        """Run a coroutine to completion."""
        return self.loop.run_until_complete(
            wait_for(coroutine, WAIT_TIMEOUT_S)
        )

    async def _open(self):
        for domain in REGIONS:
            gateway = HomeGateway(domain)
            self.gateways[gateway.region] = gateway
            for number in range(SERVERS_PER_DOMAIN):
                self.add_server(f'{domain}-{number}', domain)
        for gateway in self.gateways.values():
            gateway.forwarder.relay.apply_view(
                tuple(each.host for each in self.gateways.values())
            )

    def add_server(self, name, domain):
        """Start a server and put it into the view."""
        server = HomeServer(name, domain, self)
        self.servers[name] = server
        self.view.servers[name] = ServerRecord(
            name, 1, 1, 'stock', server.address, domain, SLOTS
        )

    def servers_of(self, region):
        """Return the servers of a region."""
        return [
            server
            for server in self.servers.values()
            if REGIONS.get(server.domain) == region
        ]

    def set_homes(self, homes, regions=tuple(REGIONS.values())):
        """Give the gateways of some regions a configuration with homes."""
        route = PathRoute(
            'route',
            'shop.example',
            '/',
            self.kind,
            TIMEOUT_MS,
            OBJECTIVE_MS,
            0,
            (RouteTarget('stock'),),
            MAX_ATTEMPTS,
            home_regions=homes,
        )
        terms = ServiceTerms('stock', '/', 100, 0.0, 0.0)
        items = (
            Item(ItemId('routes', 'route'), route, b''),
            Item(ItemId('services', 'stock'), terms, b''),
        )
        version = self.view.configuration.version + 1
        self.view.configuration = Configuration(version, items)
        self.homes = homes
        self.apply_view(regions)

    def apply_view(self, regions=tuple(REGIONS.values())):
        """Apply the view at the gateways of some regions."""
        for region in regions:
            forwarder = self.gateways[region].forwarder
            forwarder.apply_view(self.view, len(self.gateways))
            forwarder.freshness.record_lease(boot_ms(), inf, False)

    def move_server(self, name, domain):
        """Let a server say under the same start that it is elsewhere."""
        self.servers[name].domain = domain
        record = self.view.servers[name]
        self.view.servers[name] = replace(
            record, sequence=record.sequence + 1, failure_domain=domain
        )

    async def send(self, region, method='GET', body=None):
        """Send a request to the gateway of a region and keep the reply."""
        url = f'http://{self.gateways[region].address}/1'
        request = HTTPRequest(
            url,
            method=method,
            body=body,
            headers={'Host': 'shop.example'},
            request_timeout=WAIT_TIMEOUT_S,
        )
        started_s = monotonic()
        self.reply = await AsyncHTTPClient().fetch(request, raise_error=False)
        self.taken_s = monotonic() - started_s

    def close(self):
        """Close the gateways, the servers and the loop."""
        for each in (*self.gateways.values(), *self.servers.values()):
            self.run(each.close())
        self.loop.close()
