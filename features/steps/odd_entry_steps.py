"""Steps for odd entries of other writers: bounds, log, view and answers."""

from asyncio import gather
from re import fullmatch
from time import monotonic

from behave import given
from behave import then
from behave import when
from msgspec.json import decode
from msgspec.json import encode
from msgspec.msgpack import encode as encode_binary
from msgspec.structs import replace
from tornado.httputil import HTTPHeaders

from features.steps.control_group_steps import make_change
from features.steps.exchange_steps import ID_HEADER
from fuchsiacart.adapters import Method
from fuchsiacart.configurations import ConfigurationOrder
from fuchsiacart.configurations import Item
from fuchsiacart.configurations import ItemId
from fuchsiacart.control.commands import ChangeConfiguration
from fuchsiacart.control.commands import COMMANDS
from fuchsiacart.control.commands import RecordServer
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import Run
from fuchsiacart.gateway.exchanges import ExchangeLimits
from fuchsiacart.gateway.exchanges import OutboundRequest
from fuchsiacart.gateway.exchanges import request_line
from fuchsiacart.messages import ProposeRequest
from fuchsiacart.platform.documents import read_put
from fuchsiacart.platform.headers import PlatformDialect
from fuchsiacart.platform.heartbeats import read_departure
from fuchsiacart.platform.heartbeats import read_heartbeat
from fuchsiacart.servers import ServerRecord

MARK = '@odd@'
LONG_INTEGER = 2**70


def write_oddity(text):
    """Return the JSON text of an oddity, or the text itself."""
    if match := fullmatch(r'a list (\d+) deep', text):
        depth = int(match[1])
        return '[' * depth + ']' * depth
    if match := fullmatch(r'a number of (\d+) digits', text):
        return '9' * int(match[1])
    if match := fullmatch(r'a text of (\d+) (digits|letters)', text):
        letter = '9' if match[2] == 'digits' else 's'
        return f'"{letter * int(match[1])}"'
    return text


def set_field(document, path, oddity):
    """Return a document as JSON bytes with an oddity at a dotted path."""
    *parents, last = path.split('.')
    part = document
    for name in parents:
        part = part[int(name) if name.isdigit() else name]
    part[last] = MARK
    text = encode(document).decode()
    return text.replace(f'"{MARK}"', write_oddity(oddity)).encode()


def odd_commands(count):
    """Yield commands that can't be encoded, or not be decoded again."""
    record = ServerRecord('odd', 1, LONG_INTEGER, 'stock', '1.1.1.1:1', 'a', 4)
    item = Item(ItemId('colours', 'red'), None, b'')
    order = ConfigurationOrder(1, 0, 'digest', True, (item,))
    for index in range(count):
        if index % 2:
            yield ChangeConfiguration(order, index)
        else:
            yield RecordServer(record, index)


@given('a departure as an instance sends it')
def given_departure(context):
    context.departure = {'born': 1_796_000_000_000}


@when('another writer sets its {field} to {oddity}')
def when_odd(context, field, oddity):
    """Set a field of the document that the scenario has."""
    if 'document' in context:
        body = set_field(context.document, field, oddity)
        context.read = lambda: read_put(body)
    elif 'departure' in context:
        body = set_field(context.departure, field, oddity)
        context.read = lambda: read_departure(body)
    else:
        body = set_field(context.heartbeat_document, field, oddity)
        context.read = lambda: read_heartbeat('i-1', body)


@when('another writer sends it under {name}')
def when_odd_name(context, name):
    body = encode(context.heartbeat_document)
    text = decode(write_oddity(name))
    context.read = lambda: read_heartbeat(text, body)


@then('the entry is refused as malformed')
def then_refused(context):
    try:
        result = context.read()
    except ChangeError as error:
        assert error.kind is ErrorKind.BAD_REQUEST, error
        return
    raise AssertionError(f'an odd entry was taken: {str(result)[:200]}')


@then('it is stored as a command and read again')
def then_stored(context):
    command = RecordServer(context.read(), 1)
    assert COMMANDS.decode(encode_binary(command)) == command


@when('a server answers 200 with a load of {oddity}')
def when_odd_load(context, oddity):
    running = write_oddity(oddity.removesuffix(' running'))
    headers = HTTPHeaders({'X-Server-Load': f'{running},1,4'})
    context.metadata = PlatformDialect().read_response(200, headers)


@when('{odd:d} orders that no log can hold arrive among {good:d} changes')
def when_odd_orders(context, odd, good):
    """Propose all at the same time, the changes between the orders."""
    control = context.control
    replica = control.network.replicas[control.first_leader]
    proposals = list(odd_commands(odd))
    for index in range(good):
        position = (index + 1) * len(proposals) // (good + 1)
        proposals.insert(position, make_change(index))

    async def propose_all():
        return await gather(
            *(replica.propose(command, 2.0) for command in proposals),
            return_exceptions=True,
        )

    context.outcomes_in_log = control.run(propose_all())


@then('the {odd:d} are refused as malformed and the {good:d} are accepted')
def then_odd_refused(context, odd, good):
    refused = [
        each
        for each in context.outcomes_in_log
        if isinstance(each, ChangeError)
        and each.kind is ErrorKind.BAD_REQUEST
        and each.run is Run.NO
    ]
    accepted = [
        each
        for each in context.outcomes_in_log
        if not isinstance(each, BaseException) and each.error is None
    ]
    assert (len(refused), len(accepted)) == (odd, good), (
        len(refused),
        len(accepted),
        context.outcomes_in_log[:2],
    )


@then('the leader has gone on all the time')
def then_leader_runs(context):
    task = context.control.tasks[context.control.first_leader]
    assert not task.done(), task


@when('a command that cannot be encoded is sent to it')
def when_odd_call(context):
    """Call the process with a command that can't be encoded."""
    connection = context.connection
    message = ProposeRequest(next(odd_commands(1)))
    context.error = None
    try:
        connection.run(
            connection.adapter.call(
                connection.address, Method.PROPOSE, message, 1.0
            )
        )
    except FuchsiacartError as error:
        context.error = error


@then('the call is refused as malformed and not run')
def then_call_refused(context):
    assert context.error.kind is ErrorKind.BAD_REQUEST, context.error
    assert context.error.run is Run.NO, context.error


@when('the view names {address} as the address of the first')
def when_odd_address(context, address):
    fixture = context.forwarding
    name = fixture.servers[0].name
    record = fixture.view.servers[name]
    fixture.view.servers[name] = replace(record, address=address)


@when('a request is sent whose headers cannot be written')
def when_odd_headers(context):
    fixture = context.exchange
    message = OutboundRequest(
        request_line('GET', '/'),
        lambda left_ms: HTTPHeaders({ID_HEADER: 'a\r\nb'}),
        None,
        'r0',
        lambda received: received.get(ID_HEADER, ''),
    )
    started_s = monotonic()
    limits = ExchangeLimits(1.0, started_s + 2.0)
    outcome = fixture.run(
        fixture.pool.exchange(fixture.record, message, limits)
    )
    fixture.outcomes.append(outcome)
    context.taken_s = monotonic() - started_s


@then('it fails within {limit_ms:d} ms')
def then_fails_soon(context, limit_ms):
    assert context.exchange.outcomes[-1].failure is not None
    assert context.taken_s * 1000 <= limit_ms, context.taken_s
