"""Steps for pipelined requests of callers, over real sockets."""

from asyncio import IncompleteReadError
from asyncio import new_event_loop
from asyncio import open_connection
from asyncio import sleep
from asyncio import wait_for
from time import monotonic

from behave import given
from behave import then
from behave import when
from prometheus_client import REGISTRY
from tornado.httputil import HTTPHeaders
from tornado.netutil import bind_sockets

from fuchsiacart.gateway.callers import CallerServer
from fuchsiacart.gateway.dialects import RequestMetadata
from fuchsiacart.gateway.exchanges import ServerResponse

WAIT_TIMEOUT_S = 10.0
LIMIT_BYTES = 1_000_000
READ_LIMIT_BYTES = 4_000_000
QUICK_MS = 20
POLL_S = 0.005


class TimedForwarder:
    """Answers a request with its path, after the time that it names."""

    version = 1

    def __init__(self):
        self.started_s = []
        self.bodies = []
        self.running = 0
        self.most_running = 0

    async def serve(self, request):
        """Return the answer."""
        self.started_s.append(monotonic())
        self.bodies.append(request.body)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await sleep(int(request.path.split('/')[1]) / 1000)
        finally:
            self.running -= 1
        return ServerResponse(200, 'OK', HTTPHeaders(), request.path.encode())


class PlainDialect:
    """A dialect of requests without metadata."""

    def read_request(self, headers):
        """Return metadata without a deadline or an object key."""
        return RequestMetadata('request', None, '')


class PipeliningFixture:
    """A caller server and one caller's connection to it."""

    def __init__(self):
        self.loop = new_event_loop()
        self.forwarder = TimedForwarder()
        self.callers = None
        self.reader = self.writer = None
        self.sent = []
        self.sent_s = 0.0
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
        address = sockets[0].getsockname()
        self.reader, self.writer = await open_connection(
            *address, limit=READ_LIMIT_BYTES
        )

    async def set_limits(
        self,
        header_bytes=LIMIT_BYTES,
        body_bytes=LIMIT_BYTES,
        idle_timeout_s=WAIT_TIMEOUT_S,
    ):
        """Change the limits for callers."""
        self.callers.set_limits(header_bytes, body_bytes, idle_timeout_s)

    def add_request(self, duration_ms, headers='', body=b''):
        """Write a request without waiting for its answer."""
        path = f'/{duration_ms}/{len(self.sent)}'
        self.sent.append(path)
        method = 'POST' if body else 'GET'
        if body:
            headers += f'Content-Length: {len(body)}\r\n'
        head = f'{method} {path} HTTP/1.1\r\nHost: shop.example\r\n{headers}'
        self.sent_s = self.sent_s or monotonic()
        self.writer.write(head.encode() + b'\r\n' + body)

    async def read_head(self):
        """Read the head of an answer."""
        return (await self.reader.readuntil(b'\r\n\r\n')).decode()

    async def read_answer(self):
        """Read an answer.

        :return: its head and its body.
        """
        head = await self.read_head()
        _, _, rest = head.partition('Content-Length: ')
        body = await self.reader.readexactly(int(rest.split('\r\n')[0]))
        return head, body.decode()

    async def read_answers(self, count):
        """Read answers and compare each with its request.

        :return: their heads.
        """
        heads = []
        for path in self.sent[:count]:
            head, body = await self.read_answer()
            assert ' 200 ' in head and body == path, (head, body, path)
            heads.append(head)
        del self.sent[:count]
        return heads

    async def ends(self):
        """Return True once the connection has ended without more bytes."""
        return await self.reader.read() == b''

    async def wait_until(self, condition):
        """Wait until a condition holds."""
        while not condition():
            await sleep(POLL_S)

    def close(self):
        """Close all connections and the loop."""
        self.writer.close()
        self.callers.stop()
        self.run(self.callers.close_all())
        self.run(sleep(0.01))
        self.loop.close()


@given('a gateway that answers each request after its own time')
def given_gateway(context):
    context.pipeline = PipeliningFixture()
    context.resources.callback(context.pipeline.close)


@given('connections are closed after {idle_ms:d} ms without a request')
@when('connections are closed after {idle_ms:d} ms without a request')
def given_idle_timeout(context, idle_ms):
    """Set the limit as a new configuration does."""
    context.pipeline.run(
        context.pipeline.set_limits(idle_timeout_s=idle_ms / 1000)
    )


@then('a request on the connection is served after {pause_ms:d} ms')
def then_served_after(context, pause_ms):
    context.pipeline.run(sleep(pause_ms / 1000))
    then_further(context)


@when('a caller pipelines requests that take {times} ms')
def when_pipelined(context, times):
    for duration in times.replace(' and ', ', ').split(', '):
        context.pipeline.add_request(int(duration))
    context.pipeline.run(sleep(0.05))


@when(
    'a caller pipelines requests that take {first:d} and {second:d} ms, the'
    ' last with a body'
)
def when_body_last(context, first, second):
    context.pipeline.add_request(first)
    context.pipeline.add_request(second, body=b'order')


@when('a caller pipelines {count:d} requests that take {duration:d} ms')
def when_many(context, count, duration):
    for _ in range(count):
        context.pipeline.add_request(duration)


@when('a caller pipelines {count:d} requests with bodies of {size:d} bytes')
def when_bodies(context, count, size):
    for _ in range(count):
        context.pipeline.add_request(QUICK_MS, body=b'x' * size)


@when(
    'a caller pipelines {before:d} requests, one that closes the connection'
    ' and {behind:d} more'
)
def when_closing_between(context, before, behind):
    for _ in range(before):
        context.pipeline.add_request(QUICK_MS)
    context.pipeline.add_request(QUICK_MS, 'Connection: close\r\n')
    for _ in range(behind):
        context.pipeline.add_request(QUICK_MS)


@when(
    'a caller pipelines {before:d} requests, a malformed one and {behind:d}'
    ' more'
)
def when_malformed_between(context, before, behind):
    """Make the requests before it slow, so that it is read early."""
    for _ in range(before):
        context.pipeline.add_request(200)
    context.pipeline.writer.write(b'NO SUCH LINE\r\n\r\n')
    for _ in range(behind):
        context.pipeline.add_request(QUICK_MS)


@when('the gateway begins to stop and the caller pipelines {count:d} more')
def when_stopping(context, count):
    context.pipeline.callers.is_stopping = True
    for _ in range(count):
        context.pipeline.add_request(QUICK_MS)


@when(
    'the gateway begins to stop and the caller sends {count:d} more with the'
    ' first answer'
)
def when_stopping_late(context, count):
    """Send as soon as the answer that tells the close begins to arrive."""
    pipeline = context.pipeline
    pipeline.callers.is_stopping = True

    async def send_late():
        while not pipeline.reader._buffer:
            await sleep(POLL_S / 10)
        for _ in range(count):
            pipeline.add_request(QUICK_MS)
        await sleep(0.1)

    pipeline.run(send_late())


@when('the limits for callers change')
def when_limits_change(context):
    context.pipeline.callers.set_limits(
        LIMIT_BYTES - 1, LIMIT_BYTES - 1, WAIT_TIMEOUT_S - 1
    )


@when('the caller leaves')
def when_left(context):
    context.pipeline.writer.transport.abort()


@when(
    'a caller pipelines a request of {duration:d} ms and one that expects to'
    ' continue'
)
def when_expecting(context, duration):
    context.pipeline.add_request(duration)
    context.pipeline.add_request(
        QUICK_MS, 'Expect: 100-continue\r\n', b'order'
    )


@then('all of them are started within {limit_ms:d} ms')
def then_started(context, limit_ms):
    pipeline, count = context.pipeline, len(context.pipeline.sent)
    started_s = pipeline.forwarder.started_s
    pipeline.run(pipeline.wait_until(lambda: len(started_s) == count))
    taken_s = started_s[-1] - pipeline.sent_s
    assert taken_s * 1000 <= limit_ms, taken_s


@then('the answers arrive whole and in order')
def then_in_order(context):
    pipeline = context.pipeline
    pipeline.run(pipeline.read_answers(len(pipeline.sent)))


@then('the first answer arrives within {limit_ms:d} ms')
def then_first_early(context, limit_ms):
    pipeline = context.pipeline
    pipeline.run(pipeline.read_answers(1))
    taken_s = monotonic() - pipeline.sent_s
    assert taken_s * 1000 <= limit_ms, taken_s


@then('{count:d} requests were served at the same time')
def then_most_running(context, count):
    forwarder = context.pipeline.forwarder
    assert forwarder.most_running == count, forwarder.most_running


@then(
    '{count:d} answers arrive whole and in order, the last closes the'
    ' connection'
)
def then_last_closes(context, count):
    pipeline = context.pipeline
    heads = pipeline.run(pipeline.read_answers(count))
    closing = ['Connection: close' in head for head in heads]
    assert closing == [False] * (count - 1) + [True], heads
    assert pipeline.run(pipeline.ends())


@then('{count:d} answers arrive whole and in order, then a 400 and the end')
def then_rejected(context, count):
    pipeline = context.pipeline
    pipeline.run(pipeline.read_answers(count))
    head, _ = pipeline.run(pipeline.read_answer())
    assert head.startswith('HTTP/1.1 400 '), head
    assert pipeline.run(pipeline.ends())


@then('{count:d} requests were started')
def then_count_started(context, count):
    started_s = context.pipeline.forwarder.started_s
    assert len(started_s) == count, len(started_s)


@then('a further request on the connection is answered')
def then_further(context):
    context.pipeline.add_request(QUICK_MS)
    context.pipeline.run(context.pipeline.read_answers(1))


@then('the connection ends within {limit_ms:d} ms')
def then_ends(context, limit_ms):
    pipeline = context.pipeline
    assert pipeline.run(wait_for(pipeline.ends(), limit_ms / 1000))


@then('no request is in flight within {limit_ms:d} ms')
def then_none_in_flight(context, limit_ms):
    pipeline = context.pipeline
    pipeline.run(
        wait_for(
            pipeline.wait_until(lambda: not pipeline.callers.in_flight),
            limit_ms / 1000,
        )
    )
    assert not pipeline.forwarder.running


@then('the interim response follows the first answer')
def then_interim_second(context):
    pipeline = context.pipeline
    pipeline.run(pipeline.read_answers(1))
    try:
        head = pipeline.run(pipeline.read_head())
    except IncompleteReadError as error:
        raise AssertionError(error.partial) from error
    assert head.startswith('HTTP/1.1 100 '), head
    pipeline.run(pipeline.read_answers(1))


def count_outcomes():
    """Return the requests that were answered and those whose caller left."""
    return tuple(
        REGISTRY.get_sample_value(
            'fuchsiacart_gateway_requests_total', {'outcome': outcome}
        )
        or 0
        for outcome in ('200', 'caller_left')
    )


@when(
    'a caller sends a request that closes the connection, and leaves with the'
    ' answer'
)
def when_left_with_answer(context):
    fixture = context.pipeline
    context.outcomes = count_outcomes()
    fixture.add_request(QUICK_MS, 'Connection: close\r\n')
    fixture.run(fixture.read_answers(1))
    fixture.writer.close()
    fixture.run(
        fixture.wait_until(lambda: count_outcomes() != context.outcomes)
    )


@then('one more request counts as 200 and none as left')
def then_counted(context):
    answered, left = context.outcomes
    assert count_outcomes() == (answered + 1, left), count_outcomes()
