"""Steps for requests in the planned stop of a gateway, over real sockets."""

from asyncio import create_task
from asyncio import gather
from asyncio import IncompleteReadError
from asyncio import new_event_loop
from asyncio import open_connection
from asyncio import sleep
from asyncio import start_server
from asyncio import wait_for
from time import monotonic

from behave import given
from behave import then
from behave import when
from tornado.httputil import HTTPHeaders
from tornado.netutil import bind_sockets

from features.steps.forwarding_steps import PlainDialect
from features.steps.gateway_start_steps import ScriptedAdapter
from fuchsiacart.configurations import Configuration
from fuchsiacart.configurations import Item
from fuchsiacart.configurations import ItemId
from fuchsiacart.configurations import PathRoute
from fuchsiacart.configurations import RequestKind
from fuchsiacart.configurations import RouteTarget
from fuchsiacart.configurations import ServiceTerms
from fuchsiacart.control.route_states import RouteView
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import RequestError
from fuchsiacart.exceptions import Run
from fuchsiacart.gateway.attempts import InboundRequest
from fuchsiacart.gateway.dialects import RequestMetadata
from fuchsiacart.gateway.edges import Edge
from fuchsiacart.gateway.hosts import GatewayHost
from fuchsiacart.gateway.planned_stops import PlannedStop
from fuchsiacart.servers import ServerRecord
from fuchsiacart.settings import Settings

WAIT_TIMEOUT_S = 20.0
LIMIT_BYTES = 65_536
# Time after the head at which a late body ends: past the time in which new
# connections are accepted.
BODY_DELAY_S = 1.3
CLOSED = 0
ANSWER = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: request\r\nProof: 1\r\n'
    b'Content-Length: 5\r\n\r\nwhole'
)
HEAD = 'GET /{path} HTTP/1.1\r\nHost: shop.example\r\n{more}\r\n'


class TimedServer:
    """A backend server that answers or breaks off after a time."""

    def __init__(self, delay_s, breaks_off=False):
        self.delay_s = delay_s
        self.breaks_off = breaks_off
        self.received = 0
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
                await reader.readuntil(b'\r\n\r\n')
                self.received += 1
                await sleep(self.delay_s)
                if self.breaks_off:
                    return
                writer.write(ANSWER)
        except (ConnectionError, IncompleteReadError):
            return
        finally:
            writer.close()


class CallerEdge(Edge):
    """The listener for callers, without those for other calls."""

    def __init__(self, callers):
        self._callers = callers

    def dialect(self):
        """See :meth:`Edge.dialect`."""
        return PlainDialect()

    async def open_control(self, control, connections):
        """See :meth:`Edge.open_control`."""

    async def open_gateway(self, gateway):
        """See :meth:`Edge.open_gateway`."""

    def close_after_responses(self):
        """See :meth:`Edge.close_after_responses`."""
        self._callers.is_stopping = True

    async def stop_accepting(self):
        """See :meth:`Edge.stop_accepting`."""
        await self._callers.stop_accepting()

    async def close(self):
        """See :meth:`Edge.close`."""
        self._callers.stop()
        await self._callers.close_all()


class Answer:
    """Status, headers and body that a caller got; ``CLOSED`` for none."""

    def __init__(self, status=CLOSED, head='', body=''):
        self.status = status
        self.head = head
        self.body = body


class StopFixture:
    """A gateway that stops, with callers and servers."""

    def __init__(self, delay_ms, timeout_ms, breaks_off=False):
        self.loop = new_event_loop()
        self.timeout_ms = timeout_ms
        self.servers = [TimedServer(delay_ms / 1000, breaks_off)]
        self.kept = None
        self.answers = []
        self.before = 0
        self.run(self._open())

    def run(self, coroutine):
        """Run a coroutine to completion."""
        return self.loop.run_until_complete(
            wait_for(coroutine, WAIT_TIMEOUT_S)
        )

    async def _open(self):
        self.gateway = GatewayHost(
            make_settings(4.0), ScriptedAdapter(), PlainDialect()
        )
        self.gateway.start('127.0.0.1:2', '127.0.0.1:3')
        self.callers = self.gateway.caller_server
        self.callers.set_limits(LIMIT_BYTES, LIMIT_BYTES, WAIT_TIMEOUT_S)
        sockets = bind_sockets(0, '127.0.0.1')
        self.callers.add_sockets(sockets)
        self.address = sockets[0].getsockname()
        self.edge = CallerEdge(self.callers)
        await self.apply(RequestKind.NON_IDEMPOTENT)

    async def apply(self, kind):
        """Apply a view of the servers."""
        route = PathRoute(
            'route',
            'shop.example',
            '/',
            kind,
            self.timeout_ms,
            self.timeout_ms,
            0,
            (RouteTarget('stock'),),
            2,
        )
        terms = ServiceTerms('stock', '/', 100, 0.0, 0.0)
        view = RouteView()
        items = (
            Item(ItemId('routes', 'route'), route, b''),
            Item(ItemId('services', 'stock'), terms, b''),
        )
        version = self.gateway.forwarder.version + 1
        view.configuration = Configuration(version, items)
        for index, server in enumerate(self.servers):
            name = f'server-{index}'
            view.servers[name] = ServerRecord(
                name, 1, 1, 'stock', await server.start(), 'cymru-a', 4
            )
        self.gateway.forwarder.apply_view(view, 1)

    @property
    def received(self):
        """Requests that reached servers."""
        return sum(server.received for server in self.servers)

    async def ask_before(self):
        """Send a request before the stop; keep the connection."""
        self.kept = await open_connection(*self.address)
        self.kept[1].write(HEAD.format(path='before', more='').encode())
        answer = await read_answer(self.kept[0])
        assert answer.status == 200, answer.head
        self.before = self.received

    async def send(self, way):
        """Send one or two requests and read what comes back."""
        if way == 'on a kept connection':
            reader, writer = self.kept
        else:
            reader, writer = await open_connection(*self.address)
        more = ''
        if way == 'with a body that ends late':
            more = 'Content-Length: 2\r\n'
        writer.write(HEAD.format(path='late', more=more).encode())
        if way == 'on a new connection, with one behind it':
            writer.write(HEAD.format(path='behind', more='').encode())
        if more:
            writer.write(b'a')
            await sleep(BODY_DELAY_S)
            writer.write(b'b')
        self.answers.append(await read_answer(reader))
        if way == 'on a new connection, with one behind it':
            self.answers.append(await read_answer(reader))
        self.rest = await reader.read()
        writer.close()

    async def stop(self):
        """Stop the gateway, then close what is left."""
        await self.gateway.stop(self.edge)
        await self.edge.close()

    async def stop_and_send(self, delay_s, way):
        """Stop the gateway and send after a time."""
        stopping = create_task(self.stop())
        await sleep(delay_s)
        await gather(self.send(way), stopping)

    async def send_and_stop(self):
        """Send a request and stop the gateway just after."""
        sending = create_task(self.send('on a new connection'))
        while not self.received:
            await sleep(0.01)
        await gather(self.stop(), sending)

    def close(self):
        """Close everything."""
        self.run(self.edge.close())
        self.gateway.forwarder.apply_view(RouteView(), 1)
        for server in self.servers:
            server.stop()
        if self.kept is not None:
            self.kept[1].close()
        self.run(sleep(0.05))
        self.loop.close()


def make_settings(stop_s):
    """Return the settings of a gateway that stops within a time."""
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
            'routes': {
                'regions': {'cymru-a': 'cymru'},
                'stop_s': stop_s,
            },
        }
    )


async def read_answer(reader):
    """Return the :class:`Answer`."""
    try:
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        _, _, rest = head.partition('Content-Length: ')
        body = await reader.readexactly(int(rest.split('\r\n')[0]))
    except (ConnectionError, IncompleteReadError):
        return Answer()
    return Answer(int(head.split()[1]), head, body.decode())


@given('no stop')
def given_no_stop(context):
    context.planned_stop = PlannedStop()


@given(
    'a stop of {stop_s:d} s in which callers are accepted for {accept_s:d} s'
)
def given_stop(context, stop_s, accept_s):
    """Let it begin at 0 s of a clock."""
    context.planned_stop = PlannedStop()
    context.planned_stop.begin(accept_s, stop_s)


@when(
    'a request with {left_ms:d} ms left comes after {since_ms:d} ms, where'
    ' {usual_ms:d} ms are usual'
)
def when_asked(context, left_ms, since_ms, usual_ms):
    now_s = since_ms / 1000
    context.verdict = context.planned_stop.may_start(
        now_s, now_s + left_ms / 1000, usual_ms / 1000
    )


@then('the verdict is {verdict}')
def then_verdict(context, verdict):
    assert context.verdict == (verdict == 'started'), context.verdict


@given(
    'a gateway whose server answers after {delay_ms:d} ms, with a timeout of'
    ' {timeout_ms:d} ms'
)
def given_gateway(context, delay_ms, timeout_ms):
    context.stop = StopFixture(delay_ms, timeout_ms)
    context.resources.callback(context.stop.close)


@given(
    'a gateway whose server breaks off after {delay_ms:d} ms, with a timeout'
    ' of {timeout_ms:d} ms'
)
def given_breaking(context, delay_ms, timeout_ms):
    context.stop = StopFixture(delay_ms, timeout_ms, True)
    context.resources.callback(context.stop.close)


@given('a second server')
def given_second(context):
    """Add another that breaks off; requests may be repeated."""
    fixture = context.stop
    first = fixture.servers[0]
    first.stop()
    fixture.servers.append(TimedServer(first.delay_s, True))
    fixture.run(fixture.apply(RequestKind.IDEMPOTENT))


@given('1 request was answered')
def given_answered(context):
    context.stop.run(context.stop.ask_before())


@when(
    'the gateway stops within 4 s and {delay_s:d} s later a request comes'
    ' {way}'
)
def when_stops(context, delay_s, way):
    context.stop.run(context.stop.stop_and_send(delay_s, way))


@when('the gateway stops within 4 s and a request was sent just before')
def when_stops_after(context):
    context.stop.run(context.stop.send_and_stop())


@then('each of its callers gets {status:d}')
def then_status(context, status):
    statuses = [answer.status for answer in context.stop.answers]
    assert statuses, context.stop.received
    assert set(statuses) == {status}, (statuses, context.stop.received)


@then(
    'each of its callers gets 503 and a time to return, and the connection'
    ' ends'
)
def then_refused(context):
    """Check each refusal; the last one tells the close."""
    then_status(context, 503)
    for answer in context.stop.answers:
        assert 'Retry-After: ' in answer.head, answer.head
        assert '"run":"no"' in answer.body, answer.body
    closing = [
        'Connection: close' in each.head for each in context.stop.answers
    ]
    assert closing == [False] * (len(closing) - 1) + [True], closing
    assert context.stop.rest == b'', context.stop.rest


@then('no request was cut off and the server got none of them')
def then_none_passed(context):
    assert context.stop.received == context.stop.before


@then('no request was cut off')
def then_none_cut(context):
    assert context.stop.callers.in_flight == 0
    assert context.stop.received == context.stop.before + 1


@then('the servers got {count:d} request')
def then_received(context, count):
    assert context.stop.received == count, context.stop.received


@when('it stops and a request with {left_ms:d} ms left arrives')
def when_stops_without_view(context, left_ms):
    fixture = context.start
    now_s = monotonic()
    fixture.gateway.forwarder.planned_stop.begin(now_s + 3, now_s + 6)
    request = InboundRequest(
        'GET',
        '/none/',
        'none.example',
        HTTPHeaders(),
        b'',
        RequestMetadata('request', left_ms, 'object'),
        now_s,
    )
    context.error = None
    try:
        fixture.run(fixture.gateway.forwarder.serve(request))
    except RequestError as error:
        context.error = error
    context.taken_s = monotonic() - now_s


@then(
    'it is refused within {limit_ms:d} ms as not run, and told when to return'
)
def then_refused_soon(context, limit_ms):
    error = context.error
    assert error.kind is ErrorKind.DRAINING and error.run is Run.NO, error
    assert error.retry_after_ms > 0
    assert context.taken_s * 1000 < limit_ms, context.taken_s
