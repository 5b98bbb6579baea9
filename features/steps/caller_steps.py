"""Steps for callers' connections at a graceful stop, over real sockets."""

from asyncio import gather
from asyncio import IncompleteReadError
from asyncio import new_event_loop
from asyncio import open_connection
from asyncio import sleep
from asyncio import wait_for
from socket import AF_INET
from socket import SO_RCVBUF
from socket import SOCK_STREAM
from socket import socket
from socket import SOL_SOCKET

from behave import given
from behave import then
from behave import when
from tornado.httputil import HTTPHeaders
from tornado.netutil import bind_sockets

from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.gateway.budgets.bodies import Body
from fuchsiacart.gateway.callers import CallerServer
from fuchsiacart.gateway.dialects import RequestMetadata
from fuchsiacart.gateway.exchanges import ServerResponse

WAIT_TIMEOUT_S = 10.0
POLL_S = 0.01
SERVICE_TIME_S = 0.05
SMALL_BUFFER_BYTES = 4096
LIMIT_BYTES = 65_536
REQUEST = b'GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n'


async def _is_answered(reader):
    """Return True if an answer arrives before the connection ends."""
    try:
        await reader.readuntil(b'\r\n\r\n')
    except (IncompleteReadError, ConnectionError):
        return False
    return True


class FixedForwarder:
    """Gives each request the same answer after ``SERVICE_TIME_S``.

    :param size: bytes of the body.
    """

    version = 1

    def __init__(self, size):
        self.body = b'x' * size
        self.served = 0

    async def serve(self, request):
        """Return the answer."""
        self.served += 1
        await sleep(SERVICE_TIME_S)
        return ServerResponse(200, 'OK', HTTPHeaders(), self.body)


class PlainDialect:
    """A dialect of requests without metadata."""

    def read_request(self, headers):
        """Return metadata without a deadline or an object key."""
        return RequestMetadata('request', None, '')


class CallerFixture:
    """A caller server, its callers and their connections."""

    def __init__(self, size):
        self.loop = new_event_loop()
        self.forwarder = FixedForwarder(size)
        self.callers = None
        self.reader = None
        self.writer = None
        self.head = b''
        self.body = b''
        self.idle_connections = []
        self.answered = 0
        self.run(self._listen())

    def run(self, coroutine):
        """Run a coroutine to completion."""
        return self.loop.run_until_complete(
            wait_for(coroutine, WAIT_TIMEOUT_S)
        )

    async def _listen(self):
        self.callers = CallerServer(self.forwarder, PlainDialect())
        self.callers.set_limits(LIMIT_BYTES, LIMIT_BYTES, WAIT_TIMEOUT_S)
        sockets = bind_sockets(0, '127.0.0.1')
        self.callers.add_sockets(sockets)
        self.address = sockets[0].getsockname()

    async def send(self, request=REQUEST):
        """Send a request over a connection with small buffers.

        Returns once the gateway has started to serve it.

        :param request: its bytes.
        """
        client_socket = socket(AF_INET, SOCK_STREAM)
        client_socket.setsockopt(SOL_SOCKET, SO_RCVBUF, SMALL_BUFFER_BYTES)
        client_socket.connect(self.address)
        client_socket.setblocking(False)
        self.reader, self.writer = await open_connection(
            sock=client_socket, limit=SMALL_BUFFER_BYTES
        )
        self.writer.write(request)
        while not self.forwarder.served:
            await sleep(POLL_S)
        for _ in range(10):
            await sleep(0)

    async def read_head(self):
        """Read the head of the answer, unless it has been read."""
        if not self.head:
            self.head = await self.reader.readuntil(b'\r\n\r\n')
            assert b'200' in self.head, self.head

    async def read(self):
        """Read the answer until it is whole or the connection ends."""
        await self.read_head()
        size = len(self.forwarder.body)
        while len(self.body) < size:
            chunk = await self.reader.read(size)
            if not chunk:
                return
            self.body += chunk

    async def open_idle(self, count):
        """Open connections and read one answer on each."""
        for _ in range(count):
            reader, writer = await open_connection(*self.address)
            self.idle_connections.append((reader, writer))
            writer.write(REQUEST)
            await reader.readuntil(b'\r\n\r\n')
            await reader.readexactly(len(self.forwarder.body))
        await self.wait_until_idle()
        self.forwarder.served = 0

    async def close_while_sending(self, rounds=0):
        """Send on all connections while the gateway closes the idle ones.

        :param rounds: iterations of the event loop before the close.
        """
        for _, writer in self.idle_connections:
            writer.write(REQUEST)
        for _ in range(rounds):
            await sleep(0)
        await self.callers.close_idle()
        self.answered = sum(
            await gather(
                *(_is_answered(reader) for reader, _ in self.idle_connections)
            )
        )

    async def connect_at_stop(self, count):
        """Fill the backlog of the listener, then stop accepting."""
        clients = []
        for _ in range(count):
            client = socket(AF_INET, SOCK_STREAM)
            client.connect(self.address)
            client.sendall(REQUEST)
            client.setblocking(False)
            clients.append(client)
        await self.callers.stop_accepting()
        await self.callers.close_idle()
        for client in clients:
            connection = await open_connection(sock=client)
            self.idle_connections.append(connection)
        self.answered = sum(
            await gather(
                *(_is_answered(reader) for reader, _ in self.idle_connections)
            )
        )

    async def wait_until_idle(self):
        """Wait until no request is in flight."""
        while self.callers.in_flight:
            await sleep(POLL_S)

    def close(self):
        """Close all connections and the loop."""
        for _, writer in self.idle_connections:
            writer.close()
        if self.writer is not None:
            self.writer.close()
        self.callers.stop()
        self.run(self.callers.close_all())
        self.loop.close()


@given('a gateway whose answers have {size:d} bytes')
def given_gateway(context, size):
    context.caller = CallerFixture(size)
    context.resources.callback(context.caller.close)


@given('a gateway in which a request ends with an unforeseen error')
def given_failing(context):
    """Let it be one that no caller of the forwarder handles."""
    context.caller = CallerFixture(0)
    context.resources.callback(context.caller.close)

    async def fail(request):
        context.caller.forwarder.served += 1
        raise OverflowError('unforeseen')

    context.caller.forwarder.serve = fail


@then('its caller gets {status:d}, and the next one on the connection too')
def then_unforeseen(context, status):
    """Send two requests on one connection."""
    fixture = context.caller

    async def ask_twice():
        reader, writer = await open_connection(*fixture.address)
        fixture.idle_connections.append((reader, writer))
        heads = []
        for _ in range(2):
            writer.write(REQUEST)
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            _, _, rest = head.partition('Content-Length: ')
            await reader.readexactly(int(rest.split('\r\n')[0]))
            heads.append(head)
        return heads

    heads = fixture.run(wait_for(ask_twice(), 1.0))
    assert all(head.split()[1] == str(status) for head in heads), heads


@given(
    'a gateway whose answers have {size:d} bytes in pieces of {piece_bytes:d}'
)
def given_gateway_with_pieces(context, size, piece_bytes):
    """Keep the whole body beside the pieces that the gateway gets."""
    given_gateway(context, size)
    forwarder = context.caller.forwarder
    starts = range(0, size, piece_bytes)
    body = Body(forwarder.body[at : at + piece_bytes] for at in starts)

    async def serve(request):
        forwarder.served += 1
        return ServerResponse(200, 'OK', HTTPHeaders(), body)

    forwarder.serve = serve


@given('a caller whose only request is sent, and who reads nothing yet')
def given_single_request(context):
    request = REQUEST.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
    context.caller.run(context.caller.send(request))


@when('the answer has waited for {time_ms:d} ms')
def when_waited(context, time_ms):
    context.caller.run(sleep(time_ms / MILLISECONDS))


@given('a caller that sends a request and reads nothing yet')
def given_slow_caller(context):
    context.caller.run(context.caller.send())


@given('a caller that has read its answer')
def given_served_caller(context):
    context.caller.run(context.caller.send())
    context.caller.run(context.caller.read())
    context.caller.run(context.caller.wait_until_idle())


@given('{count:d} callers with idle connections')
def given_idle(context, count):
    context.caller.run(context.caller.open_idle(count))


@when('the gateway closes its idle connections as all callers send again')
def when_closes_meanwhile(context):
    context.caller.run(context.caller.close_while_sending())


@when(
    'all callers send and {rounds:d} iterations of the loop later it'
    ' closes them'
)
def when_closes_later(context, rounds):
    context.caller.run(context.caller.close_while_sending(rounds))


@then('each request that was started got its answer')
def then_started_answered(context):
    """Compare the requests served with the answers read."""
    fixture = context.caller
    assert fixture.answered == fixture.forwarder.served, (
        fixture.answered,
        fixture.forwarder.served,
    )


@when('the caller has read the head of the answer')
def when_head_read(context):
    context.caller.run(context.caller.read_head())


@then('the gateway has a request in flight')
def then_in_flight(context):
    assert context.caller.callers.in_flight == 1


@when('the gateway closes its idle connections')
def when_closes(context):
    context.caller.run(context.caller.callers.close_idle())


@then('the caller reads the whole answer')
def then_whole_answer(context):
    """Read the answer and compare it with the body that was sent."""
    context.caller.run(context.caller.read())
    assert context.caller.body == context.caller.forwarder.body, len(
        context.caller.body
    )


@then('the gateway has no request in flight')
def then_none_in_flight(context):
    """Wait until no request is in flight."""
    context.caller.run(context.caller.wait_until_idle())


@then("the caller's connection is closed")
def then_closed(context):
    unread = context.caller.run(context.caller.reader.read())
    assert unread == b'', unread


@when(
    '{count:d} callers connect and send while the gateway is busy,'
    ' and it stops'
)
def when_stops_at_connect(context, count):
    context.caller.run(context.caller.connect_at_stop(count))


@then('all {count:d} callers got an answer')
def then_all_answered(context, count):
    assert context.caller.answered == count, context.caller.answered
