"""Steps for exchanges with backend servers, over real sockets."""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import current_task
from asyncio import Event
from asyncio import gather
from asyncio import IncompleteReadError
from asyncio import LimitOverrunError
from asyncio import new_event_loop
from asyncio import sleep
from asyncio import start_server
from asyncio import wait_for
from socket import SO_LINGER
from socket import SOL_SOCKET
from struct import pack
from time import monotonic

from behave import given
from behave import then
from behave import when
from tornado.httputil import HTTPHeaders

from fuchsiacart.failure_kinds import FailureKind
from fuchsiacart.gateway.exchanges import ConnectionPool
from fuchsiacart.gateway.exchanges import ExchangeLimits
from fuchsiacart.gateway.exchanges import OutboundRequest
from fuchsiacart.gateway.exchanges import request_line
from fuchsiacart.servers import ServerRecord

ID = 'Request-Id'
ENDINGS = (
    CancelledError,
    ConnectionError,
    IncompleteReadError,
    LimitOverrunError,
)
PATIENCE_S = 10.0
SILENT_LIMIT_S = 0.5


def answer(request_id, body, length=True):
    """Return the bytes of an answer."""
    lines = ['HTTP/1.1 200 OK', f'{ID}: {request_id}']
    if length:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines + ['', body]).encode()


class RawServer:
    """A server that answers with bytes of the test's choice."""

    def __init__(self, fault):
        self.fault = fault
        self.connections = 0
        self.closed = Event()
        self._server = None
        self._tasks = set()

    async def start(self):
        """Listen on any free port and return the address."""
        self._server = await start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    async def _serve(self, reader, writer):
        self.connections += 1
        self._tasks.add(current_task())
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await self._answer(head.decode(), reader, writer)
        except ENDINGS:
            self.closed.set()
            writer.close()

    async def stop(self):
        """End all connections."""
        for task in self._tasks:
            task.cancel()
        await gather(*self._tasks, return_exceptions=True)

    async def _answer(self, head, reader, writer):
        lines = head.split('\r\n')
        fields = dict(line.split(': ', 1) for line in lines[1:] if line)
        own = fields[ID]
        if self.fault != 'answers before it has read the body':
            await reader.readexactly(int(fields.get('Content-Length', 0)))
        await FAULTS[self.fault](self, writer, own)


async def answer_plainly(server, writer, own):
    """Answer."""
    writer.write(answer(own, f'for {own}'))


async def break_off(server, writer, own):
    """Send the start of an answer and close."""
    writer.write(answer(own, f'for {own}')[:-3])
    writer.close()


async def send_garbage(server, writer, own):
    """Send bytes that are no answer and close."""
    writer.write(b'\x00\x01garbage\r\n\r\n')
    writer.close()


async def reset_unframed(server, writer, own):
    """Send an answer without a length and reset the connection."""
    writer.write(answer(own, f'for {own}', length=False))
    await writer.drain()
    await sleep(0.05)
    own_socket = writer.get_extra_info('socket')
    own_socket.setsockopt(SOL_SOCKET, SO_LINGER, pack('ii', 1, 0))
    writer.transport.abort()


async def answer_for_another(server, writer, own):
    """Send an answer to another request and close."""
    writer.write(answer('another', 'for another'))
    writer.close()


async def answer_unframed(server, writer, own):
    """Send an answer without a length and close."""
    writer.write(answer(own, f'for {own}', length=False))
    writer.close()


async def answer_twice(server, writer, own):
    """Answer, and once more a little later."""
    writer.write(answer(own, f'for {own}'))
    await sleep(0.02)
    writer.write(answer(own, f'for {own}'))


async def answer_and_close(server, writer, own):
    """Answer and close."""
    writer.write(answer(own, f'for {own}'))
    writer.close()


async def say_nothing(server, writer, own):
    """Do not answer."""


FAULTS = {
    'answers each request': answer_plainly,
    'breaks off its answer': break_off,
    'sends bytes that are no answer': send_garbage,
    'resets an answer without a length': reset_unframed,
    'answers for another request only': answer_for_another,
    'ends its answer by closing': answer_unframed,
    'answers each request twice': answer_twice,
    'answers before it has read the body': answer_plainly,
    'closes each connection after its answer': answer_and_close,
    'never answers': say_nothing,
}


class ExchangeSubject:
    """A pool of connections and the server that it sends to."""

    def __init__(self, fault):
        self.loop = new_event_loop()
        self.server = RawServer(fault)
        self.outcomes = []
        address = '127.0.0.1:1'
        if fault:
            address = self.run(self.server.start())
        self.record = ServerRecord('server', 1, 1, 'stock', address, 'a', 4)
        self.pool = self.run(self._make_pool())

    async def _make_pool(self):
        return ConnectionPool()

    def close(self):
        """Stop the server and the loop."""
        self.run(self.server.stop())
        self.loop.close()

    def run(self, coroutine):
        """Run a coroutine to its end."""
        return self.loop.run_until_complete(wait_for(coroutine, PATIENCE_S))

    async def send(self, request_id, body=b''):
        """Send a request."""

        def headers(left_ms):
            return HTTPHeaders(
                {ID: request_id, 'Content-Length': str(len(body))}
            )

        message = OutboundRequest(
            request_line('POST', '/'),
            headers,
            body or None,
            lambda answered: answered.get(ID) == request_id,
        )
        limits = ExchangeLimits(1.0, monotonic() + SILENT_LIMIT_S)
        return await self.pool.exchange(self.record, message, limits)


@given('a server that {fault}')
def given_server(context, fault):
    """Start a server."""
    context.exchange = ExchangeSubject(fault)
    context.resources.callback(context.exchange.close)


@given('no server at the address')
def given_nobody(context):
    """Leave the address without a listener."""
    context.exchange = ExchangeSubject('')
    context.resources.callback(context.exchange.close)


@when('{count:d} requests are sent one after the other')
def when_sent(context, count):
    """Send requests, with a pause in which late bytes arrive."""

    async def send_all():
        for index in range(count):
            outcome = await context.exchange.send(f'r{index}')
            context.exchange.outcomes.append(outcome)
            await sleep(0.01 * (index % 4))

    context.exchange.run(send_all())


@when('a request is sent')
def when_one(context):
    """Send one request."""
    when_sent(context, 1)


@when('a request with a body of {size:d} bytes is sent')
def when_large(context, size):
    """Send a request with a large body."""
    subject = context.exchange
    outcome = subject.run(subject.send('r0', b'x' * size))
    subject.outcomes.append(outcome)


@when('a request is sent and given up')
def when_given_up(context):
    """Cancel a request while it is under way."""

    async def give_up():
        task = create_task(context.exchange.send('r0'))
        await sleep(0.1)
        task.cancel()
        await sleep(0)

    context.exchange.run(give_up())


@then('all have their own answers over {count:d} connections')
@then('all have their own answers over {count:d} connection')
def then_answers(context, count):
    """Check the answers and how many connections were made."""
    then_each(context)
    assert context.exchange.server.connections == count, count


@then('each has its own answer')
@then('it has its own answer')
def then_each(context):
    """Check that each answer belongs to its request."""
    bodies = [
        outcome.response and outcome.response.body
        for outcome in context.exchange.outcomes
    ]
    wanted = [f'for r{index}'.encode() for index in range(len(bodies))]
    assert bodies == wanted, context.exchange.outcomes


@then('its loss is {loss}')
def then_loss(context, loss):
    """Check how the request was lost."""
    outcome = context.exchange.outcomes[0]
    assert outcome.loss is FailureKind(loss), outcome


@then('the server sees its connection closed')
def then_closed(context):
    """Wait until the server has seen the end of the connection."""
    context.exchange.run(context.exchange.server.closed.wait())
