"""Steps for crowds of clients at each listener of the system's processes.

The bound is the memory of the smallest machine, 200 MB.  Nothing here depends
on the speed of the machine.
"""

from asyncio import gather
from asyncio import open_connection
from asyncio import sleep
from asyncio import wait_for
from contextlib import suppress
from os import listdir
from os import sysconf
from pathlib import Path

from behave import given
from behave import then
from behave import when
from grpc.aio import AioRpcError
from grpc.aio import insecure_channel
from grpc.aio import UsageError
from msgspec.json import encode

from features.steps.caller_memory_steps import ask_all
from features.steps.caller_memory_steps import BODY_BYTES
from features.steps.caller_memory_steps import CLOSED
from features.steps.caller_memory_steps import Crowd
from features.steps.caller_memory_steps import head
from features.steps.caller_memory_steps import MIB
from features.steps.caller_memory_steps import peak_bytes
from features.steps.caller_memory_steps import PIECE_BYTES
from features.steps.caller_memory_steps import ReadingInstance
from features.steps.caller_memory_steps import SETTLE_S
from features.steps.caller_memory_steps import stop_short
from features.steps.caller_memory_steps import WAITING_PATH
from features.steps.caller_memory_steps import write_body
from fuchsiacart.peering_pb2 import Packet

FIELDS = ''.join(f'{index:x}:\r\n' for index in range(2500))
TINY_CHUNKS = b'2\r\nxx\r\n' * 4096
TINY_ROUNDS = 32
# Time after which a client of the crowd that cannot write on stops.
PATIENCE_S = 10.0
POLL_S = 1.0
MAX_POLLS = 200
LARGE_REQUESTS = 12
MESSAGE_BYTES = 16 * MIB
UPLOAD_BYTES = 16 * MIB
CONTROL_LISTENERS = ('control', 'directory')


class Target:
    """What a crowd asks for at a listener.

    :param method: method of a request with a body.
    :param path: path of a request that is answered.
    """

    def __init__(self, method, path):
        self.method = method
        self.path = path


TARGETS = {
    'caller': Target('POST', '/stock/1'),
    'ready': Target('POST', '/api/readyz'),
    'own': Target('POST', '/metrics'),
    'directory': Target('POST', '/api/resolve'),
    'control': Target('PUT', '/api/config'),
    'peer': Target('POST', '/'),
}


async def stop_in_tiny_chunks(reader, writer, target):
    """Send a body in chunks of two bytes, without its last chunk."""
    writer.write(
        head(target.method, target.path, 'Transfer-Encoding: chunked')
    )
    for _ in range(TINY_ROUNDS):
        writer.write(TINY_CHUNKS)
        await writer.drain()
    await sleep(SETTLE_S)


async def stop_behind_fields(reader, writer, target):
    """Send a head of many fields and a body but for its last byte."""
    lines = FIELDS[:-2]
    writer.write(head(target.method, target.path, 'Content-Length: 2', lines))
    writer.write(b'x')
    await writer.drain()


async def stop_in_fields(reader, writer, target):
    """Send a head of many fields but for its last byte."""
    writer.write(head(target.method, target.path, FIELDS[:-2])[:-1])
    await writer.drain()


async def send_waiting_fields(reader, writer, target):
    """Send requests with heads of many fields that are not answered."""
    for _ in range(16):
        writer.write(head('GET', WAITING_PATH, FIELDS[:-2]))
        await writer.drain()
    await sleep(SETTLE_S)


async def write_on(reader, writer, target):
    """Send a body of 4 MiB that waits, and bodies behind it."""
    line = f'Content-Length: {BODY_BYTES}'

    async def write_all():
        for _ in range(4):
            writer.write(head('POST', WAITING_PATH, line))
            await write_body(writer, BODY_BYTES)

    await wait_for(write_all(), PATIENCE_S)


async def read_nothing_of_echoes(reader, writer, target):
    """Send requests with large answers and read none of them."""
    writer.transport.pause_reading()
    for _ in range(LARGE_REQUESTS):
        writer.write(head('GET', '/stock/large', FIELDS[:8000].rstrip()))
        await writer.drain()
    await sleep(SETTLE_S)


async def stop_short_at(reader, writer, target):
    """Send a body of 4 MiB but for its last byte."""
    await stop_short(reader, writer, target.path, target.method)


async def send_items(reader, writer, target):
    """Send an order of 4 MiB whose items have one byte."""
    start = b'{"version":"r90","base_version":"r3","resources":['
    items = b'0,' * ((BODY_BYTES - len(start)) // 2 - 2)
    order = start + items + b'0]}'
    line = f'Content-Length: {len(order)}'
    writer.write(head(target.method, target.path, line) + order)
    await writer.drain()
    await reader.readuntil(b'\r\n\r\n')


async def read_no_configuration(reader, writer, target):
    """Ask for the configuration and read nothing of it."""
    writer.transport.pause_reading()
    writer.write(head('GET', target.path))
    await writer.drain()
    await sleep(SETTLE_S)


async def send_nothing(reader, writer, target):
    """Keep the connection open."""


ACTS = {
    'stop short of the end of a body in chunks of two bytes': (
        stop_in_tiny_chunks
    ),
    'stop one byte short of a body behind a head of 2500 fields': (
        stop_behind_fields
    ),
    'stop one byte short of the end of a head': stop_in_fields,
    'send 16 requests with heads of 2500 fields that wait': (
        send_waiting_fields
    ),
    'write on behind a request that waits': write_on,
    'read nothing of the answers to large requests': read_nothing_of_echoes,
    'stop one byte short of a body of 4 MiB': stop_short_at,
    'send an order of 4 MiB in items of one byte': send_items,
    'read nothing of the configuration': read_no_configuration,
    'connect and send nothing': send_nothing,
}


def find_address(context, listener):
    """Return the address of a listener, and note whose process it is."""
    fixture = context.platform
    is_control = listener in CONTROL_LISTENERS
    ip = fixture.seeds[0] if is_control else fixture.gateways[0]
    context.process = fixture.processes[ip]
    if listener == 'own':
        return ip, int(fixture.http_port(ip))
    return ip, fixture.ports[listener]


async def ask(address, request):
    """Send a request on a new connection; return the status of the answer."""
    reader, writer = await open_connection(
        *address, local_addr=('127.0.6.1', 0)
    )
    writer.write(request)
    answer = await reader.readuntil(b'\r\n\r\n')
    writer.close()
    return answer.split()[1]


def unread_bytes(process):
    """Return the bytes that the kernel holds for the process.

    They have arrived and are not read, or wait until a client reads.
    """
    inodes = set()
    for descriptor in Path(f'/proc/{process.pid}/fd').iterdir():
        # It may have been closed since.
        with suppress(FileNotFoundError):
            name = str(descriptor.readlink())
            if name.startswith('socket:['):
                inodes.add(name[len('socket:[') : -1])
    total = 0
    for line in Path('/proc/net/tcp').read_text().splitlines()[1:]:
        fields = line.split()
        is_listener = fields[3] == '0A'
        if fields[9] in inodes and not is_listener:
            sent, _, received = fields[4].partition(':')
            total += int(sent, 16) + int(received, 16)
    return total


class RoomyInstance(ReadingInstance):
    """An instance that serves a crowd at the same time."""

    slots = 1000


@given('2 instances with 1000 slots that read the bodies of requests')
def given_roomy_instances(context):
    fixture = context.platform

    async def start():
        for index in range(2):
            instance = RoomyInstance(f'i-{index}', fixture)
            fixture.instances.append(instance)
            task = fixture.loop.create_task(instance.send_heartbeats())
            fixture.tasks.append(task)

    fixture.run(start())


@when('the operator puts a configuration of 1000 routes')
def when_large_configuration(context):
    fixture = context.platform
    prefixes = ['/stock/', *(f'/stock/{index}/' for index in range(999))]
    body = fixture.configuration(prefixes)
    reply = fixture.run(fixture.control('PUT', '/api/config', body))
    assert reply is not None and reply.code == 200, reply
    ask_all(context)


@when('a crowd of {count:d} clients each {act}, at the {listener} address')
def when_crowd(context, count, act, listener):
    fixture = context.platform
    crowd = Crowd(fixture)
    context.resources.callback(crowd.close)
    address = find_address(context, listener)

    async def act_at(reader, writer):
        await ACTS[act](reader, writer, TARGETS[listener])

    fixture.run(crowd.act(count, act_at, address))
    wait_until_at_rest(context)


def wait_until_at_rest(context):
    """Wait until the process has read what there is and has no work left."""
    used_s = used_cpu_s(context.process)
    for _ in range(MAX_POLLS):
        context.platform.run(sleep(POLL_S))
        before_s, used_s = used_s, used_cpu_s(context.process)
        if used_s - before_s < POLL_S / 2:
            return


def used_cpu_s(process):
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f'/proc/{process.pid}/stat').read_text().rsplit(')')[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / sysconf('SC_CLK_TCK')


@when(
    'a crowd of {count:d} strangers each send a message of 16 MiB to a {role}'
)
def when_strangers(context, count, role):
    fixture = context.platform
    is_control = role == 'control host'
    ip = fixture.seeds[0] if is_control else fixture.gateways[0]
    context.process = fixture.processes[ip]
    packet = Packet(body=bytes(MESSAGE_BYTES))

    async def send(index):
        options = (
            ('grpc.use_local_subchannel_pool', 1),
            ('grpc.max_send_message_length', -1),
            ('grpc.enable_http_proxy', 0),
        )
        address = f'{ip}:{fixture.ports["peer"]}'
        async with insecure_channel(address, options) as channel:
            call = channel.unary_unary(
                '/fuchsiacart.Peering/Pull',
                request_serializer=Packet.SerializeToString,
            )
            try:
                await call(packet, timeout=10)
            except (AioRpcError, UsageError):
                # A stranger may be refused.
                return

    async def send_all():
        await gather(*map(send, range(count)))

    fixture.run(send_all())
    wait_until_at_rest(context)


@then(
    'the process lives, within {size:d} MB with what it has not read,'
    ' and {count:d} descriptors'
)
def then_bounded(context, size, count):
    process = context.process
    assert process.poll() is None, process.returncode
    unread = unread_bytes(process)
    peak = peak_bytes(process)
    measured = f'{peak / 1e6:.0f} MB, {unread / 1e6:.0f} MB in the kernel'
    print(measured)
    assert peak + unread <= size * 1e6, measured
    opened = len(listdir(f'/proc/{process.pid}/fd'))
    assert opened <= count, opened


def check_answered(context, address, request):
    """Send a request on new connections until it is answered with 200.

    A refusal with 503 lets clients come back.
    """
    fixture = context.platform
    statuses = []

    async def is_answered():
        try:
            statuses.append(await ask(address, request))
        except CLOSED as error:
            statuses.append(repr(error))
        return statuses[-1] == b'200'

    try:
        fixture.run(fixture.wait_until(is_answered))
    finally:
        print('answers:', len(statuses), statuses[-5:])


@then('an ordinary request is answered by it, once it is accepted')
def then_request_answered(context):
    fixture = context.platform
    address = fixture.gateways[0], fixture.ports['caller']
    request = head('POST', '/stock/1', 'Content-Length: 5') + b'hello'
    check_answered(context, address, request)


@then('an ordinary look-up is answered by it, once it is accepted')
def then_looked_up(context):
    fixture = context.platform
    query = '/api/resolve?name=shop.example&region=cymru&zone=cymru-a'
    address = fixture.seeds[0], fixture.ports['directory']
    check_answered(context, address, head('GET', query))


@then('an ordinary order is answered by it, once it is accepted')
def then_order_answered(context):
    fixture = context.platform
    address = fixture.seeds[0], fixture.ports['control']
    body = encode(fixture.configuration(['/stock/', '/more/']))
    line = f'Content-Length: {len(body)}'
    order = head('PUT', '/api/config', line) + body
    check_answered(context, address, order)


@then('a body of 16 MiB of another caller, in pieces, is answered by it')
def then_upload_answered(context):
    fixture = context.platform

    async def upload():
        reader, writer = await open_connection(
            fixture.gateways[0],
            fixture.ports['caller'],
            local_addr=('127.0.6.1', 0),
        )
        line = f'Content-Length: {UPLOAD_BYTES}'
        writer.write(head('POST', '/stock/1', line))
        for _ in range(0, UPLOAD_BYTES, PIECE_BYTES):
            await write_body(writer, PIECE_BYTES)
            await sleep(0)
        answer = await reader.readuntil(b'\r\n\r\n')
        writer.close()
        return answer.split()[1]

    status = fixture.run(upload())
    assert status == b'200', status
