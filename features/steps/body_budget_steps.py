"""Steps for the memory of response bodies."""

from asyncio import create_task
from asyncio import gather
from asyncio import new_event_loop
from asyncio import sleep
from asyncio import wait_for
from pathlib import Path

from behave import given
from behave import then
from behave import when

from features.steps.exchange_steps import ID_HEADER
from features.steps.exchange_steps import RawServer
from features.steps.exchange_steps import send_endless_chunks
from fuchsiacart.entry.backends import BackendClient
from fuchsiacart.entry.backends import ProbeResult
from fuchsiacart.gateway.budgets.memory_budgets import MemoryBudget
from fuchsiacart.gateway.budgets.memory_budgets import MemoryHolder
from fuchsiacart.messages import ForwardRequest
from fuchsiacart.messages import Header
from fuchsiacart.models import BackendServer
from fuchsiacart.models import Rank

PIECE_BYTES = 100
CONNECT_TIMEOUT_MS = 1000
DEADLINE_MS = 5000
CANCEL_AFTER_S = 0.02
PROBE_FAULT = 'answers probes without end'
# Writing this to the file lets the peak of the memory begin anew.
RESET_PEAK = '5'


class Reader(MemoryHolder):
    """Receives a body.

    :param size: bytes of the body.
    """

    def __init__(self, size):
        self.size = size
        self.is_aborted = False

    @property
    def peer_name(self):
        """See :class:`MemoryHolder`."""
        return f'server-{self.size}'

    def abort(self):
        """Note that the body was given up."""
        self.is_aborted = True


def receive(budget, reader):
    """Charge a whole body, unless it is given up on the way."""
    for _ in range(0, reader.size, PIECE_BYTES):
        if not reader.is_aborted:
            budget.add(reader, PIECE_BYTES)


@given('a budget of {limit:d} bytes for all bodies in flight')
def given_budget(context, limit):
    context.budget = MemoryBudget(limit)


@when(
    'bodies of {first:d}, {second:d} and {third:d} bytes arrive piece by piece'
)
def when_bodies(context, first, second, third):
    context.readers = [Reader(size) for size in (first, second, third)]
    for reader in context.readers:
        receive(context.budget, reader)


@when('bodies of {size:d} bytes arrive one after the other')
def when_one_after_the_other(context, size):
    context.readers = [Reader(size), Reader(size)]
    for reader in context.readers:
        receive(context.budget, reader)
        context.budget.release(reader)


@then('the one of {size:d} bytes is given up and the others are kept')
def then_given_up(context, size):
    given_up = [each.size for each in context.readers if each.is_aborted]
    assert given_up == [size], given_up


@then('{size:d} bytes are held')
def then_held(context, size):
    assert context.budget.held_bytes == size, context.budget.held_bytes


@then('none is given up')
def then_none(context):
    assert not any(each.is_aborted for each in context.readers)


class ProbedServer(RawServer):
    """A server that sends chunks without end, whatever it is asked."""

    def __init__(self):
        super().__init__(PROBE_FAULT)

    async def _answer(self, head, reader, writer):
        await send_endless_chunks(self, writer, '')


class EntryFixture:
    """The client of an entry host for backend servers, and two of these."""

    def __init__(self, fault):
        self.loop = new_event_loop()
        self.raw_servers = [
            ProbedServer() if fault == PROBE_FAULT else RawServer(fault),
            RawServer('answers each request'),
        ]
        self.servers = [
            BackendServer(
                f'server-{index}',
                1,
                'stock',
                'cymru',
                'cymru-a',
                self.run(raw_server.start()),
                4,
                100,
            )
            for index, raw_server in enumerate(self.raw_servers)
        ]
        self.client = self.run(self._make_client())

    async def _make_client(self):
        return BackendClient(CONNECT_TIMEOUT_MS)

    def run(self, coroutine):
        """Run a coroutine to completion."""
        return self.loop.run_until_complete(coroutine)

    async def send(self, server, request_id):
        """Send a request to a server and return the result."""
        request = ForwardRequest(
            request_id,
            'shop',
            'stock',
            'GET',
            '/',
            (Header(ID_HEADER, request_id),),
            b'',
            Rank.URGENT,
            10,
            DEADLINE_MS,
        )
        return await self.client.send(server, request, DEADLINE_MS)

    def close(self):
        """Stop the servers and the client."""
        for each in self.raw_servers:
            self.run(each.stop())
        self.client.close()
        self.loop.close()


@given('an entry host and a backend server that {fault}')
def given_entry(context, fault):
    context.entry = EntryFixture(fault)
    context.resources.callback(context.entry.close)


@when(
    'it sends it {count:d} requests at once, and {good_count:d} to a backend'
    ' server that answers each request'
)
def when_entry_sends(context, count, good_count):
    fixture = context.entry
    faulty, good = fixture.servers
    context.memory_mb = start_measuring()

    async def send_all():
        return await gather(
            *(fixture.send(faulty, f'f{index}') for index in range(count)),
            *(fixture.send(good, f'r{index}') for index in range(good_count)),
        )

    results = fixture.run(send_all())
    context.unanswered = results[:count]
    context.answered = results[count:]


@then('the {count:d} have their own answers from backend servers')
def then_answered(context, count):
    bodies = [each.reply.body.decode() for each in context.answered]
    expected = [f'for r{index}' for index in range(count)]
    assert bodies == expected, context.answered


@then(
    'the {count:d} have none, the memory of the process grew by at most'
    ' {most:d} MB'
)
def then_entry_failed(context, count, most):
    assert len(context.unanswered) == count
    assert all(each.failure for each in context.unanswered)
    check_growth(context, most)


def start_measuring():
    """Let the peak of the memory begin anew; return its present MB."""
    Path('/proc/self/clear_refs').write_text(RESET_PEAK)
    return read_peak_mb()


def read_peak_mb():
    """Return the largest memory since the peak began."""
    for line in Path('/proc/self/status').read_text().splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) / 1024
    raise AssertionError('the kernel states no peak')


def check_growth(context, most):
    """Check how much memory was added since ``memory_mb`` at the peak."""
    grown_mb = read_peak_mb() - context.memory_mb
    assert grown_mb <= most, grown_mb


@when(
    'it asks the backend server {count:d} times at once whether it runs a'
    ' request'
)
def when_probed(context, count):
    fixture = context.entry
    context.memory_mb = start_measuring()

    async def probe_all():
        return await gather(
            *(
                fixture.client.probe(fixture.servers[0], f'f{index}')
                for index in range(count)
            )
        )

    context.probes = fixture.run(probe_all())


@when('it sends it {count:d} requests at once and cancels them all')
def when_cancelled(context, count):
    fixture = context.entry

    async def send_and_cancel():
        tasks = [
            create_task(fixture.send(fixture.servers[0], f'f{index}'))
            for index in range(count)
        ]
        await sleep(CANCEL_AFTER_S)
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)

    fixture.run(send_and_cancel())


@then(
    'it holds no bytes of them a moment later, and the connections are closed'
)
def then_nothing_held(context):
    fixture = context.entry
    raw_server = fixture.raw_servers[0]
    fixture.run(wait_for(raw_server.closed.wait(), DEADLINE_MS / 1000))
    fixture.run(sleep(CANCEL_AFTER_S))
    assert fixture.client.held_bytes == 0, fixture.client.held_bytes


@then(
    'all probes are unanswered, the memory of the process grew by at most'
    ' {most:d} MB'
)
def then_probes_unanswered(context, most):
    assert set(context.probes) == {ProbeResult.UNKNOWN}, context.probes
    check_growth(context, most)
