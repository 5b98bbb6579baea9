"""Steps for answers that servers cut off, from caller to server and back."""

from asyncio import IncompleteReadError
from asyncio import new_event_loop
from asyncio import open_connection
from asyncio import sleep
from asyncio import start_server
from asyncio import wait_for
from socket import SO_LINGER
from socket import SOL_SOCKET
from struct import pack

from behave import given
from behave import then
from behave import when
from tornado.netutil import bind_sockets

from features.steps.forwarding_steps import FakeSettings
from features.steps.forwarding_steps import PlainDialect
from features.steps.forwarding_steps import REGIONS
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
from fuchsiacart.servers import ServerRecord
from fuchsiacart.settings import HostSettings
from fuchsiacart.settings import RouteSettings

WAIT_TIMEOUT_S = 60.0
LIMIT_BYTES = 65_536
TIMEOUT_MS = 2000.0
# Retries of all positions.
RETRY_SLACK = 10_000
# Time in which what was sent before a reset arrives.
DELIVERY_S = 0.002
HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: request\r\nProof: 1\r\n'
BODY = 'the whole answer'
INTERIM = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
CONTINUE = 'HTTP/1.1 100 Continue\r\n\r\n'
LENGTH = f'{HEAD}Content-Length: {len(BODY)}\r\n\r\n'
CHUNKED = f'{HEAD}Transfer-Encoding: chunked\r\n\r\n'
CHUNKS = f'3\r\n{BODY[:3]}\r\nd\r\n{BODY[3:]}\r\n0\r\n\r\n'
# Head and body of an answer by its form.
FORMS = {
    'a length': (LENGTH, BODY),
    'chunks': (CHUNKED, CHUNKS),
    'no length': (f'{HEAD}Connection: close\r\n\r\n', BODY),
    'an interim response and a length': (CONTINUE + LENGTH, BODY),
    'two interim responses and chunks': (CONTINUE + INTERIM + CHUNKED, CHUNKS),
}
KINDS = {
    'an idempotent': RequestKind.IDEMPOTENT,
    'a non-idempotent': RequestKind.NON_IDEMPOTENT,
}


class CuttingServer:
    """Answers, or cuts its answer to the path ``/cut`` and ends.

    :param form: one of ``FORMS``.
    """

    def __init__(self, form):
        self.head, self.body = FORMS[form]
        self.cut = None
        self.is_reset = False
        self.received = []
        self._server = None

    async def start(self):
        """Listen on a free port and return the address."""
        self._server = await start_server(self._serve, '127.0.0.1', 0)
        return '127.0.0.1:%d' % self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                path = head.split()[1].decode()
                self.received.append(path)
                if path == '/cut' and self.cut is not None:
                    await self._cut(writer)
                    return
                writer.write(f'{LENGTH}{BODY}'.encode())
        except (ConnectionError, IncompleteReadError):
            return
        finally:
            writer.close()

    async def _cut(self, writer):
        writer.write(f'{self.head}{self.body}'[: self.cut].encode())
        if not self.is_reset:
            return
        await writer.drain()
        await sleep(DELIVERY_S)
        own_socket = writer.get_extra_info('socket')
        own_socket.setsockopt(SOL_SOCKET, SO_LINGER, pack('ii', 1, 0))
        writer.transport.abort()


class CutFixture:
    """A gateway with its callers, and servers that cut their answers."""

    dialect = PlainDialect
    make_server = CuttingServer
    routes = RouteSettings(regions=REGIONS, retry_slack=RETRY_SLACK)

    def __init__(self, form):
        self.loop = new_event_loop()
        self.cutting = self.make_server(form)
        self.second = None
        self.addresses = {}
        self.version = 0
        self.positions = range(0)
        self.run(self._open())

    def run(self, coroutine):
        """Run a coroutine to completion."""
        return self.loop.run_until_complete(
            wait_for(coroutine, WAIT_TIMEOUT_S)
        )

    async def _open(self):
        host = HostSettings(
            name='gateway', region='cymru', failure_domain='cymru-a'
        )
        dialect = self.dialect()
        self.forwarder = Forwarder(FakeSettings(host, self.routes), dialect)
        self.callers = CallerServer(self.forwarder, dialect)
        self.callers.set_limits(LIMIT_BYTES, LIMIT_BYTES, WAIT_TIMEOUT_S)
        sockets = bind_sockets(0, '127.0.0.1')
        self.callers.add_sockets(sockets)
        self.address = sockets[0].getsockname()
        self.addresses['cutting'] = await self.cutting.start()

    async def add_second(self):
        """Start a server that answers each request."""
        self.second = CuttingServer('a length')
        self.addresses['second'] = await self.second.start()

    def apply(self, kind):
        """Apply a view in which no server has failed before."""
        self.version += 1
        route = PathRoute(
            'route',
            'shop.example',
            '/',
            kind,
            TIMEOUT_MS,
            TIMEOUT_MS,
            0,
            (RouteTarget('stock'),),
            2,
        )
        terms = ServiceTerms('stock', '/', 100, 0.0, 0.0)
        view = RouteView()
        view.configuration = Configuration(
            self.version,
            (
                Item(ItemId('routes', 'route'), self.change_route(route), b''),
                Item(ItemId('services', 'stock'), terms, b''),
                *self.further_items(),
            ),
        )
        for name, address in self.addresses.items():
            own_name = f'{name}-{self.version}'
            view.servers[own_name] = ServerRecord(
                own_name, 1, 1, 'stock', address, 'cymru-a', 64
            )
        self.forwarder.apply_view(view, 1)

    def change_route(self, route):
        """Return the route with further terms."""
        return route

    def further_items(self):
        """Return each further :class:`Item` of the configuration."""
        return ()

    async def ask(self, paths):
        """Pipeline requests and return the status and body of each answer."""
        reader, writer = await open_connection(*self.address)
        for path in paths:
            head = f'GET {path} HTTP/1.1\r\nHost: shop.example\r\n\r\n'
            writer.write(head.encode())
        answers = []
        for _ in paths:
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            _, _, rest = head.partition('Content-Length: ')
            body = await reader.readexactly(int(rest.split('\r\n')[0]))
            answers.append((int(head.split()[1]), body.decode()))
        writer.close()
        assert await reader.read() == b''
        return answers

    async def ask_at_each_cut(self, kind, paths):
        """Return the answers to the paths for each position.

        Each is asked over new connections to the servers and kept ones.
        """
        answers = {}
        for position in self.positions:
            self.cutting.cut = position
            self.apply(kind)
            answers[position, 'new'] = await self.ask(paths)
            self.apply(kind)
            await self.ask(['/warm'] * len(paths))
            answers[position, 'kept'] = await self.ask(paths)
        return answers

    def close(self):
        """Close all servers and the loop."""
        self.callers.stop()
        self.run(self.callers.close_all())
        self.forwarder.apply_view(RouteView(), 1)
        self.cutting.stop()
        if self.second is not None:
            self.second.stop()
        self.run(sleep(DELIVERY_S))
        self.loop.close()


@given('a gateway before a server whose answer has {form}')
def given_cutting(context, form):
    context.cutting = CutFixture(form)
    context.resources.callback(context.cutting.close)


@given('a second server that answers')
def given_second(context):
    context.cutting.run(context.cutting.add_second())


@when(
    'the answer is cut at each byte up to its {part} and the server then {end}'
)
def when_cut(context, part, end):
    """Set the positions, each short of a whole answer."""
    fixture = context.cutting
    server = fixture.cutting
    size = len(server.head)
    if part == 'end':
        size += len(server.body)
    fixture.positions = range(size)
    server.is_reset = end == 'resets'


@then('each caller of {kind} request gets {status:d}')
def then_status(context, kind, status):
    """Pipeline a cut request between two whole ones, for each position."""
    fixture = context.cutting
    paths = ('/before', '/cut', '/behind')
    context.answers = fixture.run(fixture.ask_at_each_cut(KINDS[kind], paths))
    others = {
        position: answers[1]
        for position, answers in context.answers.items()
        if answers[1][0] != status
    }
    assert not others, others
    cut_count = fixture.cutting.received.count('/cut')
    assert cut_count == len(context.answers), cut_count


@then('the requests before and behind it get their own whole answers')
def then_neighbours(context):
    others = {
        position: answers
        for position, answers in context.answers.items()
        if answers[0] != (200, BODY) or answers[2] != (200, BODY)
    }
    assert not others, others


@then('each caller of {kind} request gets the whole answer')
def then_whole(context, kind):
    fixture = context.cutting
    answers = fixture.run(fixture.ask_at_each_cut(KINDS[kind], ('/cut',)))
    others = {
        position: answer
        for position, answer in answers.items()
        if answer != [(200, BODY)]
    }
    assert not others, others
    assert '/cut' in fixture.cutting.received
