"""Steps that read bodies in chunks from a connection."""

from asyncio import create_task
from asyncio import run
from asyncio import sleep
from asyncio import wait_for
from random import Random
from socket import socketpair

from behave import given
from behave import then
from behave import when
from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPMessageDelegate
from tornado.iostream import IOStream

from fuchsiacart.gateway.message_streams import MessageStream

LIMIT_BYTES = 1024 * 1024
BODY_BYTES = 20_000
READ_TIMEOUT_S = 10.0
HEAD = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
FOLLOWING = b'GET /next HTTP/1.1\r\n\r\n'
SEED = 52


class Collector(HTTPMessageDelegate):
    """Collects a body as the gateway's parser passes it on."""

    def __init__(self, message):
        self._message = message
        self.body = b''
        self.is_finished = False

    def headers_received(self, start_line, headers):
        self._message.expect_body(0, LIMIT_BYTES)

    def data_received(self, chunk):
        self.body += chunk

    def finish(self):
        self.is_finished = True


def encode_chunks(random, least, most, extras):
    """Return a body and the chunks that it is sent in."""
    body, chunks = b'', b''
    while len(body) < min(BODY_BYTES, 700 * most):
        part = random.randbytes(random.randint(least, most))
        # Bytes that look like chunks must be left alone.
        part = random.choice((part, b'1\r\nx\r\n'[: len(part)], part))
        extension = b''
        if extras == 'extensions' and random.random() < 0.1:
            extension = b';a=b'
        size = random.choice((b'%x', b'%X', b'0%x')) % len(part)
        chunks += size + extension + b'\r\n' + part + b'\r\n'
        body += part
    trailers = b'x-sum: 1\r\n' if extras == 'trailers' else b''
    return body, chunks + b'0\r\n' + trailers + b'\r\n'


async def read_body(sent, pieces):
    """Read a request as a gateway does.

    :return: its :class:`Collector` and the bytes behind it.
    """
    client, server = socketpair()
    with client, server:
        client.setblocking(False)
        stream = IOStream(server)
        parameters = HTTP1ConnectionParameters(
            max_header_size=65_536, max_body_size=LIMIT_BYTES
        )
        message = MessageStream(stream, lambda: parameters)
        collector = Collector(message)
        parser = HTTP1Connection(message, False, parameters)
        sender = IOStream(client)

        async def send():
            start = 0
            for size in pieces:
                await sender.write(sent[start : start + size])
                await sleep(0)
                start += size
                if start >= len(sent):
                    return

        async def receive():
            return await parser.read_response(collector)

        sending = create_task(send())
        receiving = create_task(receive())
        # The parser ends only with the answer, which nobody gives here.
        for _ in range(int(READ_TIMEOUT_S * 100)):
            if collector.is_finished or receiving.done():
                break
            await sleep(0.01)
        await wait_for(sending, READ_TIMEOUT_S)
        receiving.cancel()
        rest = b''
        if collector.is_finished:
            rest = await wait_for(
                stream.read_bytes(len(FOLLOWING)), READ_TIMEOUT_S
            )
        sender.close()
        stream.close()
        return collector, rest


@given(
    '{count:d} bodies in chunks of {least:d} to {most:d} bytes,'
    ' with {extras}'
)
def given_bodies(context, count, least, most, extras):
    context.random = Random(SEED)
    context.bodies = [
        encode_chunks(context.random, least, most, extras)
        for _ in range(count)
    ]


@when(
    'each arrives in pieces of 1 to {most:d} bytes, with a request behind it'
)
def when_arrived(context, most):
    random = context.random
    context.results = []
    for _, chunks in context.bodies:
        sent = HEAD + chunks + FOLLOWING
        pieces = [random.randint(1, most) for _ in range(len(sent))]
        context.results.append(run(read_body(sent, pieces)))


@when('a body of {chunks} is read')
def when_malformed(context, chunks):
    sent = HEAD + chunks.encode().decode('unicode_escape').encode()
    context.results = [run(read_body(sent + FOLLOWING, [len(sent) + 100]))]


@then('each body is read as it was sent')
def then_read(context):
    for (body, _), (collector, _) in zip(context.bodies, context.results):
        assert collector.is_finished
        assert collector.body == body, (len(collector.body), len(body))


@then('the request behind it is left to be read')
def then_left(context):
    for _, rest in context.results:
        assert rest == FOLLOWING, rest


@then('the body is refused as malformed')
def then_refused(context):
    ((collector, _),) = context.results
    assert not collector.is_finished, collector.body
