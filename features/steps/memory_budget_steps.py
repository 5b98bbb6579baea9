"""Steps for who loses what it holds, and for what that is charged at."""

from tracemalloc import get_traced_memory
from tracemalloc import start as start_tracing
from tracemalloc import stop as stop_tracing

from behave import given
from behave import then
from behave import when
from msgspec.json import Decoder
from tornado.httputil import HTTPHeaders

from fuchsiacart.gateway.budgets.bodies import BodyBuffer
from fuchsiacart.gateway.budgets.heads import compute_head_bytes
from fuchsiacart.gateway.budgets.memory_budgets import MemoryBudget
from fuchsiacart.gateway.budgets.memory_budgets import MemoryHolder
from fuchsiacart.gateway.budgets.memory_limits import compute_document_bytes
from fuchsiacart.gateway.budgets.memory_limits import compute_limit_bytes
from fuchsiacart.gateway.callers import CallerServer
from fuchsiacart.platform.documents import PutBody

UNIT_BYTES = 1024 * 1024
MIB = 1024 * 1024
PART_BYTES = 65_536
PART_S = 0.01
TRICKLE_PARTS = 50
BODY_BYTES = 2 * MIB
HEAD_COUNT = 50


class Client(MemoryHolder):
    """A client that holds a body."""

    def __init__(self, owner, may_run=False):
        self._owner = owner
        self._may_run = may_run
        self.is_aborted = False

    @property
    def owner(self):
        """See :class:`MemoryHolder`."""
        return self._owner

    @property
    def is_abortable(self):
        """See :class:`MemoryHolder`."""
        return not self._may_run

    @property
    def peer_name(self):
        """See :class:`MemoryHolder`."""
        return self._owner

    def abort(self):
        """Note that the body was given up."""
        self.is_aborted = True


class Clock:
    """A clock that is set by hand."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def send(context, client, size):
    """Let a client send bytes, unless it is given up on the way."""
    for index, start in enumerate(range(0, size, PART_BYTES)):
        context.clock.now_s += PART_S
        if context.are_trickling and index % TRICKLE_PARTS == 0:
            trickle(context)
        if not client.is_aborted:
            context.budget.add(client, min(PART_BYTES, size - start))


def trickle(context):
    """Let each client that has not lost its bytes send one."""
    for client in context.clients:
        if not client.is_aborted:
            context.budget.add(client, 1)


def hold(context, count, size, may_run=False):
    """Let clients of addresses of their own hold bytes from now on."""
    context.clients = [
        Client(f'127.0.5.{index}', may_run) for index in range(count)
    ]
    for client in context.clients:
        context.budget.add(client, size * UNIT_BYTES)


@given('a memory budget of {size:d} units')
def given_budget(context, size):
    context.clock = Clock()
    context.budget = MemoryBudget(size * UNIT_BYTES, context.clock)
    context.others = []
    context.are_trickling = False


@given(
    '{count:d} clients that hold {size:d} units each and stand still for 2 s'
)
def given_still(context, count, size):
    hold(context, count, size)
    context.clock.now_s += 2.0


@given(
    '{count:d} clients that hold {size:d} units each and stand still for 2 s,'
    ' in requests that run'
)
def given_running(context, count, size):
    hold(context, count, size, may_run=True)
    context.clock.now_s += 2.0


@given(
    '{count:d} clients that hold {size:d} units each and send a byte each'
    ' 0.5 s from 3 s ago on'
)
def given_trickling(context, count, size):
    hold(context, count, size)
    for _ in range(6):
        context.clock.now_s += 0.5
        trickle(context)
    context.are_trickling = True


@given('{count:d} clients of one address that hold {size:d} units each')
def given_one_address(context, count, size):
    context.clients = [Client('127.0.5.1') for _ in range(count)]
    for client in context.clients:
        context.budget.add(client, size * UNIT_BYTES)


@when('another client sends {size:d} units without a pause')
def when_sent(context, size):
    client = Client(f'127.0.6.{len(context.others)}')
    context.others.append(client)
    send(context, client, size * UNIT_BYTES)


@when('another client sends {size:d} bytes')
def when_small_sent(context, size):
    client = Client(f'127.0.6.{len(context.others)}')
    context.others.append(client)
    send(context, client, size)


@when('all clients release what they hold')
def when_released(context):
    for client in context.clients + context.others:
        context.budget.release(client)
        context.budget.release(client)


@then('it keeps them, and clients that stand still lose theirs')
def then_kept(context):
    assert not context.others[0].is_aborted
    assert any(each.is_aborted for each in context.clients)


@then(
    'each of these keeps them, and a client of the one address loses its own'
)
def then_address_loses(context):
    assert not any(each.is_aborted for each in context.others)
    assert any(each.is_aborted for each in context.clients)


@then('it loses them, and the {count:d} keep theirs')
def then_lost(context, count):
    assert context.others[0].is_aborted
    assert not any(each.is_aborted for each in context.clients)


@then('it keeps them, and the {count:d} keep theirs')
def then_all_kept(context, count):
    assert not context.others[0].is_aborted
    assert not any(each.is_aborted for each in context.clients)


@then('nothing is charged')
def then_nothing(context):
    assert context.budget.held_bytes == 0, context.budget.held_bytes


@then(
    'on a machine of {size:d} MB they may hold {least:d} to {most:d} MB'
    ' together'
)
def then_limit(context, size, least, most):
    limit_bytes = compute_limit_bytes(size * 1_000_000)
    assert least * 1e6 <= limit_bytes <= most * 1e6, limit_bytes
    context.budget = MemoryBudget(limit_bytes)


@then('a request of 64 MiB fits in')
def then_fits(context):
    assert context.budget.limit_bytes >= 64 * MIB, context.budget.limit_bytes


@when('a body of 2 MiB is collected in parts of {size:d} bytes')
def when_collected(context, size):
    parts = -(-BODY_BYTES // size)
    start_tracing()
    try:
        buffer = BodyBuffer()
        context.charged_bytes = sum(
            buffer.add(b'x' * size) for _ in range(parts)
        )
        context.pieces = buffer.take()
        context.taken_bytes, _ = get_traced_memory()
    finally:
        stop_tracing()
    context.size = parts * size


@then('it takes at most 2.5 MiB, and is charged at no less than 2 MiB')
def then_collected(context):
    assert context.taken_bytes <= 2.5 * MIB, context.taken_bytes
    assert context.charged_bytes >= BODY_BYTES, context.charged_bytes


@then('its pieces make up the body')
def then_pieces(context):
    assert b''.join(context.pieces) == b'x' * context.size


@when('{heads:d} heads of {count:d} fields are parsed')
def when_parsed(context, heads, count):
    fields = ''.join(f'x-{index:x}: {index}\r\n' for index in range(count))
    start_tracing()
    try:
        kept = [HTTPHeaders.parse(fields) for _ in range(heads)]
        context.taken_bytes, _ = get_traced_memory()
    finally:
        stop_tracing()
    head = f'GET / HTTP/1.1\r\n{fields}\r\n'.encode()
    context.charged_bytes = len(kept) * compute_head_bytes(head)


@when('an order of 1 MiB in items of one byte is decoded')
def when_decoded(context):
    start = b'{"version":"r9","base_version":"r3","resources":['
    order = start + b'0,' * (MIB // 2) + b'0]}'
    decoder = Decoder(PutBody)
    start_tracing()
    try:
        context.document = decoder.decode(order)
        context.taken_bytes, _ = get_traced_memory()
    finally:
        stop_tracing()
    context.charged_bytes = compute_document_bytes([order])


@then('they take no more than they are charged at')
@then('it takes no more than it is charged at')
def then_charged(context):
    taken, charged = context.taken_bytes, context.charged_bytes
    assert taken <= charged, (taken, charged)


class FakeRelay:
    """Knows which addresses are those of gateways."""

    def __init__(self, gateways):
        self.selector = self
        self.relay = self
        self._gateways = gateways

    def is_gateway(self, address):
        """Return True if a gateway has the address."""
        return address in self._gateways


class RelayedExchange:
    """A request with the address that its sender names."""

    def __init__(self, sender, relayed_for):
        self.connection = self
        self.remote_ip = sender
        self.relayed_for = relayed_for


@when('a request comes from {sender}, and names {caller} as its caller')
def when_relayed(context, sender, caller):
    addresses = {'another gateway': '10.0.0.8', 'a caller': '10.0.0.9'}
    server = CallerServer(FakeRelay({'10.0.0.8'}), None)
    context.found = server.find_owner(
        RelayedExchange(addresses[sender], caller)
    )


@then('it counts as a request of {owner}')
def then_owner(context, owner):
    assert context.found == owner, context.found
