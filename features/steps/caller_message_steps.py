"""Steps for the sizes and the form of what callers send to a gateway."""

from asyncio import sleep

from behave import given
from behave import then
from behave import when
from msgspec.json import decode

from features.steps.pipelining_steps import LIMIT_BYTES
from features.steps.pipelining_steps import QUICK_MS


@given('callers may send {part} of {limit:d} bytes')
@when('callers may send {part} of {limit:d} bytes')
def given_size_limit(context, part, limit):
    """Set the limit as a new configuration does."""
    sizes = {'heads': (limit, LIMIT_BYTES), 'bodies': (LIMIT_BYTES, limit)}
    context.pipeline.run(context.pipeline.set_limits(*sizes[part]))


@when('the caller sends {part} of {size:d} bytes on the same connection')
def when_large_sent(context, part, size):
    if part == 'bodies':
        context.pipeline.add_request(QUICK_MS, body=bytes(size))
    else:
        context.pipeline.add_request(QUICK_MS, f'X-Filler: {"a" * size}\r\n')


@when('the caller sends heads of {size:d} bytes in one piece')
def when_head_sent(context, size):
    start = b'GET /20/big HTTP/1.1\r\nX-Filler: '
    end = b'\r\n\r\n'
    filler = b'a' * (size - len(start) - len(end))
    context.pipeline.writer.write(start + filler + end)


@when('the caller sends bodies of {size:d} bytes {way}')
def when_body_sent(context, size, way):
    body = bytes(size)
    length = f'Content-Length: {size}\r\n'
    if way == 'in chunks':
        length = 'Transfer-Encoding: chunked\r\n'
        body = b'%x\r\n%b\r\n0\r\n\r\n' % (size, body)
    if way == 'once told to go on':
        length += 'Expect: 100-continue\r\n'
        body = b''
    head = f'POST /20/big HTTP/1.1\r\nHost: shop.example\r\n{length}\r\n'
    context.pipeline.writer.write(head.encode() + body)


@when(
    'the caller sends a body of {size:d} bytes for {duration_ms:d} ms before'
    ' it reads'
)
def when_body_sent_slowly(context, size, duration_ms):
    pipeline = context.pipeline
    pieces = 50

    async def send():
        pipeline.writer.write(
            b'POST /20/big HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % size
        )
        for _ in range(pieces):
            pipeline.writer.write(bytes(size // pieces))
            await pipeline.writer.drain()
            await sleep(duration_ms / 1000 / pieces)

    pipeline.run(send())


@when('the caller asks for a path with the bytes {text}')
def when_raw_path_sent(context, text):
    path = b'/20/' + bytes.fromhex(text)
    context.pipeline.writer.write(
        b'GET %b HTTP/1.1\r\nHost: shop.example\r\n\r\n' % path
    )


@when('a caller pipelines a request for {path}')
def when_path_sent(context, path):
    context.pipeline.sent.append(path)
    context.pipeline.writer.write(
        f'GET {path} HTTP/1.1\r\nHost: shop.example\r\n\r\n'.encode()
    )


@then(
    'the answer is a problem {status:d} of kind {kind} and nothing is started'
)
def then_problem_alone(context, status, kind):
    pipeline = context.pipeline
    head, body = pipeline.run(pipeline.read_answer())
    assert head.startswith(f'HTTP/1.1 {status} '), head
    assert decode(body)['kind'] == kind, body
    assert not pipeline.forwarder.started_s


@when('the caller sends the chunks {chunks} and one more request')
def when_chunks_sent(context, chunks):
    """Send chunks, in which a slash ends a line."""
    chunks = chunks.replace('/', '\r\n').replace('\\n', '\n')
    chunks = chunks.replace('FILLER', 'a' * 5000)
    pipeline = context.pipeline
    pipeline.writer.write(
        b'POST /20/body HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
        + chunks.encode()
    )
    pipeline.add_request(QUICK_MS)


@then('the gateway serves a body of {body} and the request behind it')
def then_body_served(context, body):
    pipeline = context.pipeline
    pipeline.sent.insert(0, '/20/body')
    pipeline.run(pipeline.read_answers(2))
    expected = b'' if body == '-' else body.encode()
    assert pipeline.forwarder.bodies == [expected, b'']


@when('the caller sends a body whose chunk has no size')
def when_sizeless_sent(context):
    context.pipeline.writer.write(
        b'POST /20/big HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'many\r\nabcd\r\n0\r\n\r\n'
    )


@then(
    '{count:d} answers arrive whole and in order, then a problem {status:d} of'
    ' kind {kind}'
)
def then_problem(context, count, status, kind):
    pipeline = context.pipeline
    pipeline.run(pipeline.read_answers(count))
    head, body = pipeline.run(pipeline.read_answer())
    assert head.startswith(f'HTTP/1.1 {status} '), head
    assert 'Content-Type: application/problem+json\r\n' in head, head
    assert 'Connection: close\r\n' in head, head
    problem = decode(body)
    assert problem['kind'] == kind and problem['run'] == 'no', problem
    assert pipeline.run(pipeline.ends())


@then('it is answered')
def then_answered(context):
    context.pipeline.run(context.pipeline.read_answers(1))


@then('it is refused')
def then_refused(context):
    """Check that the connection ends after an error that says why."""
    pipeline = context.pipeline
    answer = pipeline.run(pipeline.reader.read())
    assert b' 413 ' in answer or b' 431 ' in answer, answer
    assert len(pipeline.forwarder.started_s) == 1
