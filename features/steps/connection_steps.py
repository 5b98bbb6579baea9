"""Steps for gRPC channels between processes, over real sockets."""

from asyncio import gather
from asyncio import new_event_loop
from asyncio import open_connection
from asyncio import start_server
from asyncio import wait_for
from random import Random

from behave import given
from behave import then
from behave import when

from fuchsiacart.adapters import GrpcAdapter
from fuchsiacart.adapters import Method
from fuchsiacart.adapters import PeerServer
from fuchsiacart.adapters import SILENCE_LIMIT_S
from fuchsiacart.control.commands import RecordServer
from fuchsiacart.control.pulls import answer_pull
from fuchsiacart.control.pulls import unpack_view
from fuchsiacart.control.pulls import ViewPacker
from fuchsiacart.control.states import ReplicatedState
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import Run
from fuchsiacart.exceptions import TransportError
from fuchsiacart.host_tasks import PULL_TIMEOUT_S
from fuchsiacart.messages import PullReply
from fuchsiacart.messages import PullRequest
from fuchsiacart.servers import ServerRecord
from fuchsiacart.settings import TlsSettings

TOKEN = 'token-between-processes'
TIMEOUT_S = SILENCE_LIMIT_S * 0.75
REQUEST = PullRequest(1, 1)
CHUNK_BYTES = 65_536
MEGABIT_BYTES = 125_000
SEED = 5


class Proxy:
    """Forwards bytes until its open connections are silenced."""

    def __init__(self, port):
        self._port = port
        self._silent = []
        self._generation = 0
        self.port = 0
        self.forwarded_bytes = 0
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await start_server(self._accept, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self):
        """Forward nothing more on the connections that are open now."""
        self._generation += 1

    async def _accept(self, reader, writer):
        generation = self._generation
        server_reader, server_writer = await open_connection(
            '127.0.0.1', self._port
        )
        await gather(
            self._forward(reader, server_writer, generation),
            self._forward(server_reader, writer, generation),
            return_exceptions=True,
        )

    async def _forward(self, reader, writer, generation):
        while True:
            data = await reader.read(CHUNK_BYTES)
            if not data:
                writer.close()
                return
            if generation == self._generation:
                self.forwarded_bytes += len(data)
                writer.write(data)


class ConnectionFixture:
    """A process that answers, a proxy in front of it, and a caller."""

    def __init__(self, handler):
        self.loop = new_event_loop()
        self.run(self._start(handler))

    def run(self, coroutine):
        """Run a coroutine to completion."""
        return self.loop.run_until_complete(coroutine)

    async def _start(self, handler):
        handlers = {Method.PULL: handler}
        self.server = PeerServer(TOKEN, handlers, TlsSettings())
        port = await self.server.start('127.0.0.1', 0)
        self.proxy = Proxy(port)
        await self.proxy.start()
        self.address = f'127.0.0.1:{self.proxy.port}'
        self.server_address = f'127.0.0.1:{port}'
        self.adapter = GrpcAdapter(TOKEN)

    async def call(self, adapter=None, address=None, request=REQUEST):
        """Call the process through the proxy, or at another address."""
        adapter = adapter or self.adapter
        address = address or self.address
        return await adapter.call(address, Method.PULL, request, TIMEOUT_S)

    def close(self):
        """Close the channel, the server and the loop."""
        self.run(self.adapter.close())
        self.run(self.server.stop(0))
        self.loop.close()


class StaticState:
    """A replicated state that does not change."""

    def __init__(self, state):
        self.replicated_state = state
        self.notifier = self
        self.packer = ViewPacker()

    async def wait_past(self, revision, timeout_s):
        """Return at once."""


def changed_state(count, times):
    """Return a state whose servers have each registered ``times`` times."""
    random = Random(SEED)
    names = [f'i-{random.getrandbits(40):010x}' for _ in range(count)]
    state = ReplicatedState()
    for born_ms in range(times):
        for index, name in enumerate(names):
            domain = f'domain-{index % 9}'
            address = f'10.{index % 9}.64.{index}:8748'
            record = ServerRecord(
                name, born_ms, 1, f's{index % 2}', address, domain, 5
            )
            state.apply(RecordServer(record, born_ms))
    return state


async def answer(request):
    """Answer a call."""
    return PullReply()


async def refuse(request):
    """Refuse a call."""
    raise FuchsiacartError('full', ErrorKind.OVERLOADED, Run.UNKNOWN)


@given('a process that answers behind a proxy')
def given_process(context):
    context.connection = ConnectionFixture(answer)
    context.resources.callback(context.connection.close)


@given('a process that refuses as overloaded with run unknown')
def given_refusing(context):
    context.connection = ConnectionFixture(refuse)
    context.resources.callback(context.connection.close)


@given('the address of a process that has ended')
def given_ended(context):
    """Start a process, stop it and use its address without the proxy."""
    context.connection = ConnectionFixture(answer)
    context.resources.callback(context.connection.close)
    context.connection.run(context.connection.server.stop(0))
    context.connection.address = context.connection.server_address


@given('a working channel to it through the proxy')
def given_channel(context):
    assert context.connection.run(context.connection.call()) == PullReply()


@when('the open connections go silent for good while new ones work')
def when_silent(context):
    context.connection.proxy.silence()


@when('it is called with another token')
def when_other_token(context):
    connection = context.connection
    connection.adapter = GrpcAdapter('another-token-of-no-use')
    when_called(context)


@when('it is called')
def when_called(context):
    """Call once and keep the error."""
    context.error = None
    try:
        context.connection.run(context.connection.call())
    except FuchsiacartError as error:
        context.error = error


@then('calls work again within {count:d} more timeouts')
def then_works_again(context, count):
    """Call until one call works; each may time out."""
    connection = context.connection

    async def call_until_success():
        for _ in range(count):
            try:
                return await wait_for(connection.call(), 5 * TIMEOUT_S)
            except TransportError:
                continue
        raise AssertionError('no call worked on a new channel')

    assert connection.run(call_until_success()) == PullReply()


@then('the call is refused')
def then_refused(context):
    assert isinstance(context.error, TransportError)
    assert 'unauthenticated' in context.error.detail, context.error.detail


@then('the caller gets the same kind and run')
def then_same_error(context):
    assert context.error.kind is ErrorKind.OVERLOADED
    assert context.error.run is Run.UNKNOWN


@then('the call failed and was not run')
def then_not_run(context):
    assert isinstance(context.error, TransportError)
    assert context.error.run is Run.NO, context.error.detail


@given(
    'a control host whose {count:d} servers have changed {times:d} times each'
)
def given_state(context, count, times):
    """Serve pulls from a state with these servers."""
    source = StaticState(changed_state(count, times))
    context.connection = ConnectionFixture(
        lambda request: answer_pull(source, request)
    )
    context.resources.callback(context.connection.close)


@when('a new host pulls from it')
def when_pulls(context):
    """Pull with revision 0."""
    fixture = context.connection
    call = fixture.call(request=PullRequest(0, 1))
    context.reply = fixture.run(call)


@then('it gets {count:d} servers')
def then_gets_servers(context, count):
    assert context.reply.packed_view, len(context.reply.deltas)
    snapshot = unpack_view(context.reply.packed_view)
    assert len(snapshot.routes.servers) == count, snapshot.revision


@then(
    '{hosts:d} hosts get as much over a link of {megabits:d} Mbit/s'
    ' within the timeout of a pull'
)
def then_few_bytes(context, hosts, megabits):
    """Check the bytes that crossed the proxy for one host."""
    most = megabits * MEGABIT_BYTES * PULL_TIMEOUT_S / hosts
    forwarded = context.connection.proxy.forwarded_bytes
    assert forwarded <= most, (forwarded, most)
