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
from resource import getrusage
from resource import RUSAGE_SELF
from socket import SO_LINGER
from socket import SOL_SOCKET
from struct import pack
from time import monotonic

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace
from tornado.httputil import HTTPHeaders

from fuchsiacart.failure_kinds import FailureKind
from fuchsiacart.gateway.connection_pools import ConnectionPool
from fuchsiacart.gateway.exchanges import ExchangeLimits
from fuchsiacart.gateway.exchanges import OutboundRequest
from fuchsiacart.gateway.exchanges import request_line
from fuchsiacart.servers import ServerRecord

ID_HEADER = 'Request-Id'
CONNECTION_ENDS = (
    CancelledError,
    ConnectionError,
    IncompleteReadError,
    LimitOverrunError,
)
WAIT_TIMEOUT_S = 10.0
DEADLINE_S = 0.5
PIECE_BYTES = 65_536


def answer(request_id, body, length=True):
    """Return the bytes of an answer, with or without its length."""
    lines = ['HTTP/1.1 200 OK', f'{ID_HEADER}: {request_id}']
    if length:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines + ['', body]).encode()


def chunked_head(request_id):
    """Return the head of a chunked answer."""
    lines = ['HTTP/1.1 200 OK', f'{ID_HEADER}: {request_id}']
    lines += ['Transfer-Encoding: chunked', '', '']
    return '\r\n'.join(lines).encode()


def refusal(request_id=''):
    """Return the bytes of a refusal, with or without an id."""
    lines = ['HTTP/1.1 503 Full', 'Not-Run: 1', 'Content-Length: 0']
    if request_id:
        lines.append(f'{ID_HEADER}: {request_id}')
    return '\r\n'.join(lines + ['', '']).encode()


def peak_memory_mb():
    """Return the largest memory that this process has had."""
    return getrusage(RUSAGE_SELF).ru_maxrss / 1024


class RawServer:
    """A server that writes raw bytes, whole or faulty."""

    def __init__(self, fault):
        self.fault = fault
        self.connections = 0
        self.requests = 0
        self.closed = Event()
        self._server = None
        self._tasks = set()

    async def start(self):
        """Listen on a free port and return the address."""
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
        except CONNECTION_ENDS:
            self.closed.set()
            writer.close()

    async def stop(self):
        """Cancel all connections."""
        for task in self._tasks:
            task.cancel()
        await gather(*self._tasks, return_exceptions=True)

    async def _answer(self, head, reader, writer):
        lines = head.split('\r\n')
        fields = dict(line.split(': ', 1) for line in lines[1:] if line)
        request_id = fields[ID_HEADER]
        self.requests += 1
        if self.fault != 'answers before it has read the body':
            await reader.readexactly(int(fields.get('Content-Length', 0)))
        await FAULTS[self.fault](self, writer, request_id)


async def answer_whole(server, writer, request_id):
    """Send a whole answer."""
    writer.write(answer(request_id, f'for {request_id}'))


async def break_off(server, writer, request_id):
    """Send an answer without its last 3 bytes and close."""
    writer.write(answer(request_id, f'for {request_id}')[:-3])
    writer.close()


async def send_garbage(server, writer, request_id):
    """Send bytes that are not HTTP and close."""
    writer.write(b'\x00\x01garbage\r\n\r\n')
    writer.close()


async def reset_without_length(server, writer, request_id):
    """Send an answer without a length and reset the connection."""
    writer.write(answer(request_id, f'for {request_id}', length=False))
    await writer.drain()
    await sleep(0.05)
    own_socket = writer.get_extra_info('socket')
    own_socket.setsockopt(SOL_SOCKET, SO_LINGER, pack('ii', 1, 0))
    writer.transport.abort()


async def answer_for_another(server, writer, request_id):
    """Send an answer with another request's ID and close."""
    writer.write(answer('another', 'for another'))
    writer.close()


async def answer_without_length(server, writer, request_id):
    """Send an answer without a length and close."""
    writer.write(answer(request_id, f'for {request_id}', length=False))
    writer.close()


async def answer_twice(server, writer, request_id):
    """Send the answer, and again 20 ms later."""
    writer.write(answer(request_id, f'for {request_id}'))
    await sleep(0.02)
    writer.write(answer(request_id, f'for {request_id}'))


async def answer_and_close(server, writer, request_id):
    """Send a whole answer and close."""
    writer.write(answer(request_id, f'for {request_id}'))
    writer.close()


async def break_off_chunks(server, writer, request_id):
    """Send a chunked answer without its last chunk and close."""
    writer.write(chunked_head(request_id) + b'4\r\nfor \r\n')
    writer.close()


async def reset_chunks(server, writer, request_id):
    """Send a chunked answer without its last chunk and reset."""
    writer.write(chunked_head(request_id) + b'4\r\nfor \r\n')
    await writer.drain()
    await sleep(0.05)
    own_socket = writer.get_extra_info('socket')
    own_socket.setsockopt(SOL_SOCKET, SO_LINGER, pack('ii', 1, 0))
    writer.transport.abort()


async def refuse_before_second(server, writer, request_id):
    """Send a refusal without an id before the answer to r1."""
    if request_id == 'r1':
        writer.write(refusal())
    writer.write(answer(request_id, f'for {request_id}'))


async def repeat_before_second(server, writer, request_id):
    """Send the refusal of an earlier request before the answer to r1."""
    if request_id == 'r1':
        writer.write(refusal('r0'))
    writer.write(answer(request_id, f'for {request_id}'))


async def repeat_for_second(server, writer, request_id):
    """Send the refusal of an earlier request instead of the answer to r1."""
    if request_id == 'r1':
        writer.write(refusal('r0'))
        return
    writer.write(answer(request_id, f'for {request_id}'))


async def send_endless(writer, head, piece):
    """Send a head, then a piece again and again until the caller closes."""
    writer.write(head)
    while True:
        writer.write(piece)
        await writer.drain()


async def send_endless_body(server, writer, request_id):
    """Send a body that only the end of the connection would end."""
    head = answer(request_id, '', length=False)
    await send_endless(writer, head, b'x' * PIECE_BYTES)


async def send_endless_chunks(server, writer, request_id):
    """Send a chunked body without a last chunk."""
    piece = b'10000\r\n' + b'x' * PIECE_BYTES + b'\r\n'
    await send_endless(writer, chunked_head(request_id), piece)


async def send_endless_head(server, writer, request_id):
    """Send header lines without end."""
    await send_endless(writer, b'HTTP/1.1 200 OK\r\n', b'A: b\r\n' * 1000)


async def send_endless_interim(server, writer, request_id):
    """Send interim responses without end."""
    await send_endless(writer, b'', b'HTTP/1.1 103 Early Hints\r\n\r\n' * 100)


def keep_alive_of(digits):
    """Return a fault that states an idle time of so many digits."""

    async def answer_and_keep(server, writer, request_id):
        """Send a whole answer with the idle time."""
        line = f'\r\nKeep-Alive: timeout={"9" * digits}\r\n'.encode()
        whole = answer(request_id, f'for {request_id}')
        writer.write(whole.replace(b'\r\n', line, 1))

    return answer_and_keep


async def never_answer(server, writer, request_id):
    """Send nothing."""


FAULTS = {
    'answers each request': answer_whole,
    'breaks off its answer': break_off,
    'sends bytes that are no answer': send_garbage,
    'resets an answer without a length': reset_without_length,
    'answers for another request only': answer_for_another,
    'ends its answer by closing': answer_without_length,
    'answers each request twice': answer_twice,
    'answers before it has read the body': answer_whole,
    'closes each connection after its answer': answer_and_close,
    'never answers': never_answer,
    'breaks off a chunked answer': break_off_chunks,
    'resets a chunked answer': reset_chunks,
    'sends a refusal without an id before the second answer': (
        refuse_before_second
    ),
    'sends an earlier refusal before the second answer': repeat_before_second,
    'sends an earlier refusal instead of the second answer': repeat_for_second,
    'sends a body without end': send_endless_body,
    'sends chunks without end': send_endless_chunks,
    'sends a head without end': send_endless_head,
    'sends interim responses without end': send_endless_interim,
    'keeps its connections for a time of 400 digits': keep_alive_of(400),
    'keeps its connections for a time of 5000 digits': keep_alive_of(5000),
}


class ExchangeFixture:
    """A connection pool and the server that it sends to."""

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
        """Run a coroutine to completion."""
        return self.loop.run_until_complete(
            wait_for(coroutine, WAIT_TIMEOUT_S)
        )

    async def send(self, request_id, body=b'', record=None, left_s=DEADLINE_S):
        """Send a request and return its outcome."""

        def headers(left_ms):
            return HTTPHeaders(
                {ID_HEADER: request_id, 'Content-Length': str(len(body))}
            )

        message = OutboundRequest(
            request_line('POST', '/'),
            headers,
            body or None,
            request_id,
            lambda received: received.get(ID_HEADER, ''),
        )
        limits = ExchangeLimits(1.0, monotonic() + left_s)
        return await self.pool.exchange(record or self.record, message, limits)


@given('a server that {fault}')
def given_server(context, fault):
    context.exchange = ExchangeFixture(fault)
    context.resources.callback(context.exchange.close)


@given('no server at the address')
def given_no_server(context):
    """Use an address without a listener."""
    context.exchange = ExchangeFixture('')
    context.resources.callback(context.exchange.close)


@when('{count:d} requests are sent one after the other')
def when_sent(context, count):
    """Send requests, with pauses in which late bytes can arrive."""

    async def send_all():
        for index in range(count):
            outcome = await context.exchange.send(f'r{index}')
            context.exchange.outcomes.append(outcome)
            await sleep(0.01 * (index % 4))

    context.exchange.run(send_all())


@when('a request is sent')
def when_one_sent(context):
    when_sent(context, 1)


@when('a request with a body of {size:d} bytes is sent')
def when_large_sent(context, size):
    fixture = context.exchange
    outcome = fixture.run(fixture.send('r0', b'x' * size))
    fixture.outcomes.append(outcome)


@when('the server starts again under its name')
def when_started_again(context):
    """Register a later start; the earlier one still listens."""
    fixture = context.exchange
    fixture.record = replace(fixture.record, born_ms=2)


@when('a request is sent to the new start')
def when_sent_to_new_start(context):
    fixture = context.exchange
    request_id = f'r{len(fixture.outcomes)}'
    fixture.outcomes.append(fixture.run(fixture.send(request_id)))


@when('a request is sent and cancelled')
def when_cancelled(context):
    """Cancel a request 0.1 s after it was sent."""

    async def send_and_cancel():
        task = create_task(context.exchange.send('r0'))
        await sleep(0.1)
        task.cancel()
        await sleep(0)

    context.exchange.run(send_and_cancel())


@then('each gets its own answer over {count:d} connections')
@then('each gets its own answer over {count:d} connection')
def then_answers(context, count):
    """Check the answers and the number of connections."""
    then_own_answers(context)
    assert context.exchange.server.connections == count, count


@then('each has its own answer')
@then('it has its own answer')
def then_own_answers(context):
    """Check that each answer belongs to its request."""
    bodies = [
        outcome.response and outcome.response.body
        for outcome in context.exchange.outcomes
    ]
    expected = [f'for r{index}'.encode() for index in range(len(bodies))]
    assert bodies == expected, context.exchange.outcomes


@then('it fails as {kind}')
def then_failure_kind(context, kind):
    outcome = context.exchange.outcomes[0]
    assert outcome.failure is FailureKind(kind), outcome


@then('the server sees its connection closed')
def then_closed(context):
    """Wait until the server has seen the end of its connection."""
    context.exchange.run(context.exchange.server.closed.wait())


@when(
    '{faulty:d} requests are sent to it at once, and {good:d} to a server that'
    ' {kind}'
)
def when_sent_to_both(context, faulty, good, kind):
    """Send to the faulty server and, one after the other, to the good one."""
    fixture = context.exchange
    context.memory_mb = peak_memory_mb()

    async def send_good():
        server = RawServer(kind)
        address = await server.start()
        record = ServerRecord('good', 1, 1, 'stock', address, 'a', 4)
        outcomes = []
        for index in range(good):
            outcomes.append(await fixture.send(f'r{index}', record=record))
            await sleep(0.02)
        await server.stop()
        return outcomes

    async def send_all():
        *failed, fixture.outcomes = await gather(
            *(fixture.send(f'f{index}') for index in range(faulty)),
            send_good(),
        )
        return failed

    context.unanswered = fixture.run(send_all())


@then('the {count:d} have their own answers')
def then_good_answered(context, count):
    assert len(context.exchange.outcomes) == count
    then_own_answers(context)


@then(
    'the {count:d} fail, the memory of the process grew by at most {most:d} MB'
)
def then_failed_in_memory(context, count, most):
    assert all(each.response is None for each in context.unanswered)
    assert len(context.unanswered) == count
    grown_mb = peak_memory_mb() - context.memory_mb
    assert grown_mb <= most, grown_mb


@then('the second one has no answer')
def then_second_unanswered(context):
    first, second = context.exchange.outcomes
    assert first.response is not None and second.response is None, second


@when('a request is sent whose time has just passed')
def when_sent_late(context):
    """Send a request whose deadline passed 10 ms ago."""
    outcome = context.exchange.run(context.exchange.send('r0', left_s=-0.01))
    context.exchange.outcomes.append(outcome)


@then('the request was not sent, and the server got none')
def then_not_sent(context):
    outcome = context.exchange.outcomes.pop()
    assert outcome.failure is FailureKind.NOT_SENT, outcome
    context.exchange.run(sleep(0.1))
    assert context.exchange.server.requests == 0
