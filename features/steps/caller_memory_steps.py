"""Steps for crowds of callers that hold memory of the system's processes.

The crowds and bounds are those of the users' machines, which have 200 MB and
more for each process.  Nothing here depends on the speed of the machine.
"""

from asyncio import gather
from asyncio import IncompleteReadError
from asyncio import open_connection
from asyncio import sleep
from asyncio import wait_for
from os import listdir
from pathlib import Path
from resource import getrlimit
from resource import RLIMIT_NOFILE
from resource import setrlimit

from behave import given
from behave import then
from behave import when
from msgspec.json import encode
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from features.steps.platform_path_steps import given_processes
from features.steps.platform_path_steps import Instance
from features.steps.platform_path_steps import InstanceHandler

MIB = 1024 * 1024
BODY_BYTES = 4 * MIB
PIECE_BYTES = 64 * 1024
ADDRESSES = 20
# Time in which a crowd that is not refused has sent all.
CROWD_TIMEOUT_S = 60.0
SETTLE_S = 1.0
WAITING_S = 120.0
ANSWER_BYTES = 1 * MIB
LARGE_PATH = '/stock/large'
WAITING_PATH = '/stock/waits'
CLOSED = (ConnectionError, IncompleteReadError, TimeoutError)


class ReadingHandler(InstanceHandler):
    """Reads a body and answers its size, or answers with a large body."""

    async def post(self):
        """Answer the size of the body."""
        await self._wait()
        self.set_header('X-Attempt-Id', self.request.headers['X-Attempt-Id'])
        self.set_header('X-Server-Stamp', 'stamp')
        self.finish(str(len(self.request.body)))

    async def get(self):
        """Answer, with ``ANSWER_BYTES`` on one path."""
        await self._wait()
        if self.request.path != LARGE_PATH:
            await super().get()
            return
        self.set_header('X-Attempt-Id', self.request.headers['X-Attempt-Id'])
        self.set_header('X-Server-Stamp', 'stamp')
        self.finish(b'x' * ANSWER_BYTES)

    async def _wait(self):
        """Wait on ``WAITING_PATH`` for longer than the scenario takes."""
        if self.request.path == WAITING_PATH:
            await sleep(WAITING_S)


class ReadingInstance(Instance):
    """An instance that takes bodies of any size that is allowed."""

    handler = ReadingHandler

    def __init__(self, name, fixture):
        super().__init__(name, fixture)
        self._server.stop()
        self._server = HTTPServer(
            Application([('.*', self.handler)], instance=self),
            max_body_size=80 * MIB,
            max_buffer_size=80 * MIB,
        )
        sockets = bind_sockets(0, self.address)
        self._server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]


def head(method, path, *lines):
    """Return the head of a request as bytes."""
    lines = (
        f'{method} {path} HTTP/1.1',
        'Host: shop.example',
        'X-Attempt-Id: request',
        'X-Deadline-Ms: 60000',
        *lines,
        '',
        '',
    )
    return '\r\n'.join(lines).encode()


async def write_body(writer, size):
    """Write the bytes of a body in pieces."""
    for start in range(0, size, PIECE_BYTES):
        writer.write(b'x' * min(PIECE_BYTES, size - start))
        await writer.drain()


async def stop_short(reader, writer, path='/stock/1', method='POST'):
    """Send all but the last byte of a body with a length."""
    writer.write(head(method, path, f'Content-Length: {BODY_BYTES}'))
    await write_body(writer, BODY_BYTES - 1)


async def stop_short_in_chunks(reader, writer):
    """Send all but the last byte of a body in chunks."""
    writer.write(head('POST', '/stock/1', 'Transfer-Encoding: chunked'))
    for _ in range(0, BODY_BYTES - PIECE_BYTES, PIECE_BYTES):
        writer.write(b'%x\r\n' % PIECE_BYTES + b'x' * PIECE_BYTES + b'\r\n')
        await writer.drain()
    writer.write(b'%x\r\n' % PIECE_BYTES + b'x' * (PIECE_BYTES - 1))
    await writer.drain()


async def send_whole(reader, writer):
    """Send a whole body and read the answer."""
    writer.write(head('POST', '/stock/1', f'Content-Length: {BODY_BYTES}'))
    await write_body(writer, BODY_BYTES)
    await reader.readuntil(b'\r\n\r\n')


async def send_three(reader, writer):
    """Send three whole bodies and read no answer."""
    for _ in range(3):
        writer.write(head('POST', '/stock/1', f'Content-Length: {BODY_BYTES}'))
        await write_body(writer, BODY_BYTES)


async def read_nothing(reader, writer):
    """Ask for large answers and read none of them."""
    writer.transport.pause_reading()
    for _ in range(12):
        writer.write(head('GET', LARGE_PATH))
    await writer.drain()
    await sleep(SETTLE_S)


async def stop_in_head(reader, writer):
    """Send a part of a head."""
    writer.write(b'GET /stock/1 HTTP/1.1\r\nHost: shop.ex')
    await writer.drain()


ACTS = {
    'stop one byte short of a body with a length': stop_short,
    'stop one byte short of a body in chunks': stop_short_in_chunks,
    'send a whole body at once': send_whole,
    'send three bodies one behind the other': send_three,
    'read nothing of the answers to twelve requests': read_nothing,
    'stop in the middle of a head': stop_in_head,
}


class Crowd:
    """Callers that act at once and keep their connections open."""

    def __init__(self, fixture):
        self._fixture = fixture
        self.connections = []

    async def act(self, count, act, address):
        """Let callers connect and act, whatever becomes of it."""
        members = (self._join(index, act, address) for index in range(count))
        await gather(*members)
        await sleep(SETTLE_S)

    async def _join(self, index, act, address):
        own = (f'127.0.5.{1 + index % ADDRESSES}', 0)
        try:
            connection = await open_connection(*address, local_addr=own)
            self.connections.append(connection)
            await wait_for(act(*connection), CROWD_TIMEOUT_S)
        except CLOSED:
            # A caller of the crowd may be refused or closed.
            return

    def close(self):
        """Close all connections."""

        async def close_all():
            for _, writer in self.connections:
                writer.transport.abort()
            await sleep(0)

        self._fixture.run(close_all())


def peak_bytes(process):
    """Return the largest memory that a process has had."""
    for line in Path(f'/proc/{process.pid}/status').read_text().splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) * 1024
    raise AssertionError('the process has ended')


def gather_crowd(context, count, act, address):
    """Let a crowd act; it stays until the end of the scenario."""
    fixture = context.platform
    crowd = Crowd(fixture)
    context.resources.callback(crowd.close)
    fixture.run(crowd.act(count, act, address))


@given(
    '3 control hosts and 2 gateways started for the first time,'
    ' each with {count:d} descriptors'
)
def given_few_descriptors(context, count):
    limits = getrlimit(RLIMIT_NOFILE)
    setrlimit(RLIMIT_NOFILE, (count, limits[1]))
    try:
        given_processes(context)
    finally:
        setrlimit(RLIMIT_NOFILE, limits)


@given('{count:d} instances that read the bodies of requests')
def given_instances(context, count):
    fixture = context.platform

    async def start():
        for index in range(count):
            instance = ReadingInstance(f'i-{index}', fixture)
            fixture.instances.append(instance)
            task = fixture.loop.create_task(instance.send_heartbeats())
            fixture.tasks.append(task)

    fixture.run(start())


@when('the operator puts a configuration that allows bodies of {size:d} MiB')
def when_configured(context, size):
    fixture = context.platform
    body = fixture.configuration(['/stock/'])
    body['resources'][0]['spec'] |= {'timeout_s': 60, 'slo_s': 60}
    body['resources'].append(
        {
            'type': 'limits',
            'metadata': {},
            'spec': {
                'max_header_bytes': 16384,
                'max_body_bytes': size * MIB,
                'header_timeout_s': 3,
                'idle_timeout_s': 15,
            },
        }
    )
    reply = fixture.run(fixture.control('PUT', '/api/config', body))
    assert reply is not None and reply.code == 200, reply
    ask_all(context)


def ask_all(context):
    """Wait until each gateway answers an ordinary request."""
    fixture = context.platform

    async def is_answered(ip):
        reply = await fixture.send_request(ip)
        return reply is not None and reply.code == 200

    for ip in fixture.gateways:
        fixture.run(fixture.wait_until(lambda ip=ip: is_answered(ip)))


@when('{count:d} callers each {act} to a gateway')
def when_gateway_crowded(context, count, act):
    fixture = context.platform
    context.process = fixture.processes[fixture.gateways[0]]
    address = (fixture.gateways[0], fixture.ports['caller'])
    gather_crowd(context, count, ACTS[act], address)


@when('{count:d} callers each {act} to a control host')
def when_control_crowded(context, count, act):
    fixture = context.platform
    context.process = fixture.processes[fixture.seeds[0]]
    address = (fixture.seeds[0], fixture.ports['control'])

    async def act_on_control(reader, writer):
        await ACTS[act](reader, writer, '/api/config', 'PUT')

    gather_crowd(context, count, act_on_control, address)


@when('a caller sends a body of {size:d} MiB to a gateway')
def when_single(context, size):
    fixture = context.platform
    context.process = fixture.processes[fixture.gateways[0]]
    context.size = size * MIB

    async def send():
        reader, writer = await open_connection(
            fixture.gateways[0], fixture.ports['caller']
        )
        length = f'Content-Length: {context.size}'
        writer.write(head('POST', '/stock/1', length))
        await write_body(writer, context.size)
        context.head = (await reader.readuntil(b'\r\n\r\n')).decode()
        context.body = await reader.read(PIECE_BYTES)
        writer.close()

    fixture.run(send())


@then('the {role} lives, within {size:d} MB and {count:d} descriptors')
def then_bounded(context, role, size, count):
    process = context.process
    assert process.poll() is None, process.returncode
    peak = peak_bytes(process)
    assert peak <= size * 1e6, f'{peak / 1e6:.0f} MB'
    opened = len(listdir(f'/proc/{process.pid}/fd'))
    assert opened <= count, opened


@then('an ordinary request of another caller is answered by it')
def then_answered(context):
    """Ask once, on a new connection, without a second try."""
    fixture = context.platform

    async def ask():
        reader, writer = await open_connection(
            fixture.gateways[0],
            fixture.ports['caller'],
            local_addr=('127.0.6.1', 0),
        )
        writer.write(head('POST', '/stock/1', 'Content-Length: 5') + b'hello')
        answer = await reader.readuntil(b'\r\n\r\n')
        writer.close()
        return answer.split()[1]

    status = fixture.run(ask())
    assert status == b'200', status


@then('an ordinary order is accepted by it')
def then_accepted(context):
    fixture = context.platform
    url = f'http://{fixture.seeds[0]}:{fixture.ports["control"]}/api/config'
    body = fixture.configuration(['/stock/', '/more/'])
    reply = fixture.run(fixture.fetch('PUT', url, body))
    assert reply is not None and reply.code == 200, (reply, encode(body))


@then('it is answered {status:d} with the size of the body')
def then_size(context, status):
    assert int(context.head.split()[1]) == status, context.head
    assert context.body == str(context.size).encode(), context.body
