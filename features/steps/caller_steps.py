"""Steps for answers on callers' connections, over real sockets."""

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
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.netutil import bind_sockets

from fuchsiacart.gateway.callers import CallerServer
from fuchsiacart.gateway.dialects import RequestMetadata
from fuchsiacart.gateway.exchanges import ServerResponse

PATIENCE_S = 10.0
POLL_S = 0.01
WORK_S = 0.05
SMALL_BUFFER_BYTES = 4096
REQUEST = b'GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n'


async def _is_answered(reader):
    """Tell whether an answer comes before the connection ends."""
    try:
        await reader.readuntil(b'\r\n\r\n')
    except (IncompleteReadError, ConnectionError):
        return False
    return True


class FixedForwarder:
    """Gives each request the same answer.

    :param size: bytes of the answer.
    """

    version = 1

    def __init__(self, size):
        self.body = b'x' * size
        self.served = 0

    async def serve(self, request):
        """Return the answer."""
        self.served += 1
        await sleep(WORK_S)
        return ServerResponse(200, 'OK', HTTPHeaders(), self.body)


class PlainDialect:
    """Requests without terms."""

    def read_request(self, headers):
        """Return terms that ask for nothing."""
        return RequestMetadata('request', None, '')


class CallerSubject:
    """A gateway's connections to callers, and one caller."""

    def __init__(self, size):
        self.loop = new_event_loop()
        self.forwarder = FixedForwarder(size)
        self.callers = None
        self.server = None
        self.reader = None
        self.writer = None
        self.body = b''
        self.idle = []
        self.answered = 0
        self.run(self._listen())

    def run(self, coroutine):
        """Run a coroutine to its end."""
        return self.loop.run_until_complete(wait_for(coroutine, PATIENCE_S))

    async def _listen(self):
        self.callers = CallerServer(self.forwarder, PlainDialect())
        self.server = HTTPServer(self.callers)
        self.server.conn_params.header_timeout = PATIENCE_S
        sockets = bind_sockets(0, '127.0.0.1')
        self.server.add_sockets(sockets)
        self.address = sockets[0].getsockname()

    async def send(self):
        """Send a request over a connection with small buffers."""
        own = socket(AF_INET, SOCK_STREAM)
        own.setsockopt(SOL_SOCKET, SO_RCVBUF, SMALL_BUFFER_BYTES)
        own.connect(self.address)
        own.setblocking(False)
        self.reader, self.writer = await open_connection(
            sock=own, limit=SMALL_BUFFER_BYTES
        )
        self.writer.write(REQUEST)
        while not self.forwarder.served:
            await sleep(POLL_S)
        for _ in range(10):
            await sleep(0)

    async def read(self):
        """Read the answer, whole or up to the end of the connection."""
        head = await self.reader.readuntil(b'\r\n\r\n')
        assert b'200' in head, head
        size = len(self.forwarder.body)
        while len(self.body) < size:
            chunk = await self.reader.read(size)
            if not chunk:
                return
            self.body += chunk

    async def open_idle(self, count):
        """Open connections and have a request served on each."""
        for _ in range(count):
            reader, writer = await open_connection(*self.address)
            self.idle.append((reader, writer))
            writer.write(REQUEST)
            await reader.readuntil(b'\r\n\r\n')
            await reader.readexactly(len(self.forwarder.body))
        await self.settle()
        self.forwarder.served = 0

    async def close_while_sending(self, rounds=0):
        """Close idle connections while all callers send."""
        for _, writer in self.idle:
            writer.write(REQUEST)
        for _ in range(rounds):
            await sleep(0)
        await self.callers.close_idle()
        self.answered = sum(
            await gather(*(_is_answered(reader) for reader, _ in self.idle))
        )

    async def settle(self):
        """Wait until no request is under way."""
        while self.callers.in_flight:
            await sleep(POLL_S)

    def close(self):
        """Close everything."""
        for _, writer in self.idle:
            writer.close()
        if self.writer is not None:
            self.writer.close()
        self.server.stop()
        self.run(self.server.close_all_connections())
        self.loop.close()


@given('a gateway whose answers have {size:d} bytes')
def given_gateway(context, size):
    """Start listening."""
    context.caller = CallerSubject(size)
    context.resources.callback(context.caller.close)


@given('a caller that sends a request and reads nothing yet')
def given_slow_caller(context):
    """Send a request."""
    context.caller.run(context.caller.send())


@given('a caller that has read its answer')
def given_served_caller(context):
    """Send a request and read the answer."""
    context.caller.run(context.caller.send())
    context.caller.run(context.caller.read())
    context.caller.run(context.caller.settle())


@given('{count:d} callers with idle connections')
def given_idle(context, count):
    """Open connections."""
    context.caller.run(context.caller.open_idle(count))


@when('the gateway closes its idle connections as all callers send again')
def when_closes_meanwhile(context):
    """Close as requests arrive."""
    context.caller.run(context.caller.close_while_sending())


@when(
    'all callers send and {rounds:d} rounds of the loop later it closes them'
)
def when_closes_later(context, rounds):
    """Close when requests have been read."""
    context.caller.run(context.caller.close_while_sending(rounds))


@then('each request that was begun got its answer')
def then_begun_answered(context):
    """Compare what was begun with what was answered."""
    subject = context.caller
    assert subject.answered == subject.forwarder.served, (
        subject.answered,
        subject.forwarder.served,
    )


@when('the gateway closes its idle connections')
def when_closes(context):
    """Close as a planned stop does."""
    context.caller.run(context.caller.callers.close_idle())


@then('the caller reads the whole answer')
def then_whole(context):
    """Check the bytes that arrive."""
    context.caller.run(context.caller.read())
    assert context.caller.body == context.caller.forwarder.body, len(
        context.caller.body
    )


@then('the gateway has no request under way')
def then_settled(context):
    """Check that nothing is left."""
    context.caller.run(context.caller.settle())


@then("the caller's connection is closed")
def then_closed(context):
    """Check that the connection has ended."""
    rest = context.caller.run(context.caller.reader.read())
    assert rest == b'', rest
