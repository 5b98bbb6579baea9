"""Steps for the time between the last check of a request and its write."""

from asyncio import create_task
from asyncio import get_running_loop
from asyncio import new_event_loop
from asyncio import sleep
from socket import socket
from time import monotonic

from behave import given
from behave import then
from behave import when
from tornado.httputil import HTTPHeaders

from fuchsiacart.gateway.connection_pools import ConnectionPool
from fuchsiacart.gateway.exchanges import ExchangeLimits
from fuchsiacart.gateway.exchanges import OutboundRequest
from fuchsiacart.gateway.exchanges import request_line
from fuchsiacart.servers import ServerRecord

READ_BYTES = 65_536
TIMEOUT_S = 5.0
ANSWER = b'HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n'


class PausedFixture:
    """A pool, a server that is a bare socket, and the time of a check."""

    def __init__(self):
        self.loop = new_event_loop()
        self.listener = socket()
        self.listener.bind(('127.0.0.1', 0))
        self.listener.listen()
        self.pool = None
        self.server = None
        self.seen = None
        self.result = None
        port = self.listener.getsockname()[1]
        self.record = ServerRecord(
            's1', 1, 1, 'stock', f'127.0.0.1:{port}', 'cymru-a', 4
        )

    def accept(self):
        """Accept the connection of the pool."""
        self.server, _ = self.listener.accept()
        self.server.setblocking(False)

    def read(self):
        """Return the bytes that the server has been sent so far."""
        try:
            return self.server.recv(READ_BYTES)
        except BlockingIOError:
            return b''

    async def open_pool(self, with_connection):
        """Make the pool, with an idle connection or without."""
        self.pool = ConnectionPool()
        if with_connection:
            assert await self.pool.can_connect(self.record, TIMEOUT_S)
            self.accept()

    async def send(self, size, is_allowed=True):
        """Send a request; note what was written once the loop goes on."""

        def look():
            if self.server is None:
                self.accept()
            self.seen = self.read()

        def may_send():
            get_running_loop().call_soon(look)
            return is_allowed

        request = OutboundRequest(
            request_line('POST', '/stock/1'),
            lambda left_ms: HTTPHeaders(
                {'Content-Length': str(size), 'Host': 'shop'}
            ),
            bytes(size) or None,
            'r1',
            lambda headers: headers.get('X-Id', ''),
            may_send=may_send,
        )
        sending = create_task(
            self.pool.exchange(
                self.record,
                request,
                ExchangeLimits(TIMEOUT_S, monotonic() + TIMEOUT_S),
            )
        )
        while self.seen is None or (is_allowed and not sending.done()):
            await sleep(0.01)
            if self.server is not None and self.seen is not None:
                self.read()
                if is_allowed and not sending.done():
                    self.server.send(ANSWER)
                    await sleep(0.01)
        self.result = await sending

    def close(self):
        """Close all sockets."""
        self.listener.close()
        if self.server is not None:
            self.server.close()
        self.loop.close()


@given('a backend server and a pool with {connections} to it')
def given_pool(context, connections):
    context.paused = PausedFixture()
    context.resources.callback(context.paused.close)
    context.paused.loop.run_until_complete(
        context.paused.open_pool(connections == 'an idle connection')
    )


@when(
    'the event loop goes on after the last check of a request of {size:d}'
    ' bytes'
)
def when_checked(context, size):
    context.paused.loop.run_until_complete(context.paused.send(size))


@when('the last check of a request forbids it')
def when_forbidden(context):
    context.paused.loop.run_until_complete(
        context.paused.send(0, is_allowed=False)
    )


@then('the server has been sent the head of the request by then')
def then_written(context):
    assert context.paused.seen.startswith(
        b'POST /stock/1'
    ), context.paused.seen


@then('the server is sent nothing, and the connection is kept')
def then_nothing(context):
    assert context.paused.read() == b''
    assert context.paused.pool.has_idle(context.paused.record)
