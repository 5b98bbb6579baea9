"""Steps for what backend servers say of themselves, over real sockets."""

from asyncio import create_task
from asyncio import gather
from asyncio import open_connection
from asyncio import sleep
from time import monotonic
from unittest.mock import patch

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from features.steps.forwarding_steps import ForwardingFixture
from features.steps.forwarding_steps import ID_HEADER
from features.steps.forwarding_steps import KINDS
from features.steps.forwarding_steps import NOT_RUN_HEADER
from features.steps.forwarding_steps import PlainDialect
from features.steps.forwarding_steps import PROOF_HEADER
from features.steps.forwarding_steps import REQUEST_ID
from features.steps.route_steps import SERVER
from fuchsiacart.control.departures import DepartureReports
from fuchsiacart.control.route_states import RouteState
from fuchsiacart.gateway.callers import CallerServer
from fuchsiacart.gateway.connection_pools import ConnectionPool
from fuchsiacart.gateway.departures import DepartureLedger
from fuchsiacart.gateway.hop_headers import format_start
from fuchsiacart.gateway.hop_headers import RELAYED_FOR
from fuchsiacart.gateway.hop_headers import RELAYED_ID
from fuchsiacart.gateway.hop_headers import RELAYED_LEAVING
from fuchsiacart.gateway.reachability import Reach
from fuchsiacart.gateway import server_statements
from fuchsiacart.models import Host
from fuchsiacart.servers import ServerState

LEAVING_HEADER = 'Leaving'
KIND = KINDS['an idempotent']
# Within the time-out of the route, which is 2 s.
FOREVER_S = 5.0
PROBE_TIMEOUT_S = 0.3


class StatingDialect(PlainDialect):
    """A dialect in which servers say that they leave."""

    def read_response(self, status, headers):
        """See :meth:`Dialect.read_response`."""
        metadata = super().read_response(status, headers)
        return replace(metadata, is_leaving=LEAVING_HEADER in headers)


def make_head(status, *names, request_id=REQUEST_ID, length=0):
    """Return the head of a response as bytes.

    :param status: status code and reason.
    :param names: names of headers whose value is 1.
    :param request_id: id of the request that it names.
    :param length: length of the body; None for none.
    """
    lines = [f'HTTP/1.1 {status}', f'{ID_HEADER}: {request_id}']
    lines += [f'{name}: 1' for name in names]
    if length is not None:
        lines.append(f'Content-Length: {length}')
    return '\r\n'.join([*lines, '', '']).encode()


OK = make_head('200 OK', PROOF_HEADER)
LEAVING_OK = make_head('200 OK', PROOF_HEADER, LEAVING_HEADER)
LEAVING_START = make_head('200 OK', PROOF_HEADER, LEAVING_HEADER, length=9)


async def answer(server, stream):
    """Answer without a word on the server itself."""
    await stream.write(OK)


async def answer_leaving(server, stream):
    """Answer, and say that the server leaves."""
    await stream.write(LEAVING_OK)


async def refuse_leaving(server, stream):
    """Refuse, and say that the server leaves."""
    head = make_head('503 Full', NOT_RUN_HEADER, LEAVING_HEADER)
    await stream.write(head)


async def fail_leaving(server, stream):
    """Fail, and say that the server leaves."""
    await stream.write(make_head('500 Failed', PROOF_HEADER, LEAVING_HEADER))


async def answer_after_interim(server, stream):
    """Say that the server leaves in an interim response only."""
    hint = make_head('103 Early Hints', LEAVING_HEADER, length=None)
    await stream.write(hint + OK)


async def break_off(server, stream):
    """Say that the server leaves, and close within the body."""
    await stream.write(LEAVING_START)
    stream.close()


async def never_end(server, stream):
    """Say that the server leaves, and send no body."""
    await stream.write(LEAVING_START)
    await sleep(FOREVER_S)


async def answer_another(server, stream):
    """Say that the server leaves, in an answer to another request."""
    if server.served > 1:
        await stream.write(OK)
        return
    await stream.write(
        make_head('200 OK', PROOF_HEADER, LEAVING_HEADER, request_id='another')
    )
    stream.close()


async def answer_leaving_once(server, stream):
    """Say with the first answer only that the server leaves."""
    await stream.write(LEAVING_OK if server.served == 1 else OK)


async def answer_leaving_late(server, stream):
    """Say with the first answer that the server leaves, after 0.3 s."""
    if server.served > 1:
        await stream.write(OK)
        return
    await sleep(0.3)
    await stream.write(LEAVING_OK)


async def break_off_late(server, stream):
    """Close without an answer after 0.2 s."""
    await sleep(0.2)
    stream.close()


SCRIPTS = {
    'answers': answer,
    'says in an answer that it leaves': answer_leaving,
    'says in a refusal that it leaves': refuse_leaving,
    'says in a failure that it leaves': fail_leaving,
    'says in an interim answer that it leaves': answer_after_interim,
    'says that it leaves and breaks its answer off': break_off,
    'says that it leaves and never ends its answer': never_end,
    'says in an answer to another request that it leaves': answer_another,
    'says so once': answer_leaving_once,
    'says after 0.3 s that it leaves': answer_leaving_late,
    'breaks off after 0.2 s': break_off_late,
}


class StatingServer(TCPServer):
    """A backend server that answers each request by a script."""

    def __init__(self, name, script='answers'):
        super().__init__()
        self.name = name
        self.served = 0
        self.respond = SCRIPTS[script]
        self._streams = set()
        sockets = bind_sockets(0, '127.0.0.1')
        self.port = sockets[0].getsockname()[1]
        self.add_sockets(sockets)

    async def handle_stream(self, stream, address):
        """See :class:`TCPServer`."""
        self._streams.add(stream)
        try:
            while True:
                await stream.read_until(b'\r\n\r\n')
                self.served += 1
                await self.respond(self, stream)
        except StreamClosedError:
            self._streams.discard(stream)

    async def close(self):
        """Stop listening and close all connections."""
        self.stop()
        for stream in tuple(self._streams):
            stream.close()


class StatementFixture(ForwardingFixture):
    """A gateway before servers that say that they leave."""

    dialect = StatingDialect
    make_server = StatingServer

    def __init__(self, count, script):
        self.lines = []
        super().__init__(count, script)

    @property
    def first(self):
        """The server to which requests for the first object go."""
        return self.servers[0]

    @property
    def first_record(self):
        """The record of the first server."""
        return self.view.servers[self.first.name]

    def put_record(self, **fields):
        """Change the record of the first server in the view."""
        record = replace(self.first_record, **fields)
        self.view.servers[record.name] = record
        self.forwarder.apply_view(self.view, 1)

    async def serve_objects(self, count):
        """Serve requests for several objects one after the other."""
        outcomes = []
        for index in range(count):
            await self.serve(KIND, object_key=f'object-{index}')
            outcomes.append(self.outcome)
        await self.serve(KIND)
        return [*outcomes, self.outcome]


def _record_lines(fixture):
    """Return a stand-in for ``log_event`` that keeps its lines."""

    def log_event(event, **fields):
        fixture.lines.append((event, fields))

    return log_event


@given('a gateway before {count:d} servers, of which the first {script}')
def given_servers(context, count, script):
    fixture = StatementFixture(count, script)
    context.statements = fixture
    context.resources.callback(fixture.close)
    context.resources.enter_context(
        patch.object(server_statements, 'log_event', _record_lines(fixture))
    )


@when('the gateway serves a request')
@when('the gateway serves another request')
def when_served(context):
    fixture = context.statements
    started_s = monotonic()
    fixture.run(fixture.serve(KIND))
    context.taken_s = monotonic() - started_s


@when('the gateway serves {count:d} requests for several objects')
def when_objects_served(context, count):
    fixture = context.statements
    context.outcomes = fixture.run(fixture.serve_objects(count))


@when('the gateway serves a request whose caller leaves after {after_s:g} s')
def when_caller_leaves(context, after_s):
    fixture = context.statements

    async def serve_and_leave():
        task = create_task(fixture.serve(KIND))
        await sleep(after_s)
        task.cancel()
        await gather(task, return_exceptions=True)

    fixture.run(serve_and_leave())


@when('its heartbeat says that it is ready')
def when_heartbeat(context):
    fixture = context.statements
    fixture.put_record(sequence=fixture.first_record.sequence + 1, slots=5)


@when('it is missing from a view and comes back')
def when_missing(context):
    fixture = context.statements
    record = fixture.view.servers.pop(fixture.first.name)
    fixture.forwarder.apply_view(fixture.view, 1)
    fixture.view.servers[record.name] = record
    fixture.forwarder.apply_view(fixture.view, 1)


@when('its suspension ends')
def when_suspension_ends(context):
    context.statements.forwarder.selector.end_suspensions()


@when('a probe reaches it')
def when_probed(context):
    fixture = context.statements
    record = fixture.first_record
    assert fixture.run(fixture.forwarder.can_connect(record, PROBE_TIMEOUT_S))


@when('it starts again under its name')
def when_starts_again(context):
    """Register a later start, which says nothing of itself."""
    fixture = context.statements
    fixture.first.respond = answer
    fixture.put_record(born_ms=2)


@when('the gateway serves a request, and the server starts again meanwhile')
def when_starts_meanwhile(context):
    fixture = context.statements

    async def serve():
        task = create_task(fixture.serve(KIND))
        await sleep(0.1)
        fixture.put_record(born_ms=2)
        await task

    fixture.run(serve())


@when('the gateway serves a request, and its server leaves once it was chosen')
def when_leaves_once_chosen(context):
    """Let the statement come between the choice and the connection."""
    fixture = context.statements
    exchange = ConnectionPool.exchange

    async def leave_and_exchange(pool, record, request, limits):
        if record.name == fixture.first.name:
            fixture.forwarder.selector.departures.add(record.start)
        return await exchange(pool, record, request, limits)

    with patch.object(ConnectionPool, 'exchange', leave_and_exchange):
        fixture.run(fixture.serve(KIND))


@when('the gateway serves a request, and the other server leaves meanwhile')
def when_other_leaves(context):
    fixture = context.statements
    other = fixture.view.servers[fixture.servers[1].name]

    async def serve():
        task = create_task(fixture.serve(KIND))
        await sleep(0.1)
        fixture.forwarder.selector.departures.add(other.start)
        await task

    fixture.run(serve())


@given(
    'another gateway, which relays an answer of the first server that leaves'
)
def given_other_gateway(context):
    """Start a stand-in for the other gateway."""
    fixture = context.statements
    start = fixture.first_record.start

    async def relay(server, stream):
        headers = (
            'HTTP/1.1 200 OK',
            f'{RELAYED_ID}: {REQUEST_ID}',
            f'{RELAYED_LEAVING}: {format_start(start)}',
            'Content-Length: 0',
        )
        await stream.write('\r\n'.join([*headers, '', '']).encode())

    async def open_gateway():
        server = StatingServer('other')
        server.respond = relay
        return server

    gateway = fixture.run(open_gateway())
    fixture.servers.append(gateway)
    address = f'127.0.0.1:{gateway.port}'
    host = Host('other', 1, 'cymru', 'cymru-a', address, address)
    fixture.forwarder.relay.apply_view((host,))


@when('the gateway serves a request while it reaches no server')
def when_isolated(context):
    fixture = context.statements
    reachability = fixture.forwarder.reachability
    reachability.reach = Reach.ISOLATED
    fixture.run(fixture.serve(KIND))
    assert fixture.outcome == '200', fixture.outcome
    reachability.reach = Reach.REACHED


@then('the first server has got {count:d} request')
@then('the first server has got {count:d} requests')
def then_served(context, count):
    served = context.statements.first.served
    assert served == count, served


@then('the first server has got more than {count:d} request')
def then_served_more(context, count):
    assert context.statements.first.served > count


@then('those requests were answered by others')
def then_answered(context):
    assert set(context.outcomes) == {'200'}, context.outcomes


@then('the request was answered')
def then_request_answered(context):
    assert context.statements.outcome == '200', context.statements.outcome


@then('no other server has got a request')
def then_no_other(context):
    served = [server.served for server in context.statements.servers[1:]]
    assert not any(served), served


@then('one line tells that the first server leaves, and by which request')
def then_logged(context):
    fixture = context.statements
    lines = [
        (fields['server'], fields['born_ms'], fields['request'])
        for event, fields in fixture.lines
        if event == 'server_leaving'
    ]
    assert lines == [(fixture.first.name, 1, REQUEST_ID)], lines


@then('it is refused within {limit_s:g} s, with a time to return')
def then_refused(context, limit_s):
    fixture = context.statements
    assert fixture.outcome == 'overloaded', fixture.outcome
    assert context.taken_s < limit_s, context.taken_s
    assert fixture.error.retry_after_ms > 0


async def _answered_headers(fixture, *lines):
    """Return the head of an answer that a caller of the gateway gets."""
    callers = CallerServer(fixture.forwarder, fixture.dialect())
    (listener,) = bind_sockets(0, '127.0.0.1')
    callers.add_sockets([listener])
    reader, writer = await open_connection(*listener.getsockname())
    head = ['GET /1 HTTP/1.1', 'Host: shop.example', *lines, '', '']
    writer.write('\r\n'.join(head).encode())
    answered = await reader.readuntil(b'\r\n\r\n')
    writer.close()
    callers.stop()
    await callers.close_all()
    return answered.decode()


@then('its answer to a relayed request names that start')
def then_names_start(context):
    fixture = context.statements
    expected = f'{RELAYED_LEAVING}: {format_start(fixture.first_record.start)}'
    headers = fixture.run(
        _answered_headers(fixture, f'{RELAYED_FOR}: 10.1.1.1')
    )
    assert expected in headers, headers


@then('its answer to a caller names none')
def then_names_none(context):
    """Ask through a gateway that does not know yet that its server leaves."""
    fixture = context.statements
    fixture.put_record(born_ms=2)
    headers = fixture.run(_answered_headers(fixture))
    assert LEAVING_HEADER in headers, headers
    assert RELAYED_LEAVING not in headers, headers


@given('a control group that knows a server as ready')
def given_group(context):
    context.state = RouteState()
    context.state.record_server(SERVER)
    context.reports = DepartureReports()


@when('{count:d} gateways report that it leaves')
def when_reported(context, count):
    for _ in range(count):
        context.reports.add((SERVER.start,))


@when(
    'the server starts again, and {count:d} gateways report that the earlier'
    ' start leaves'
)
def when_reported_late(context, count):
    context.state.record_server(replace(SERVER, born_ms=SERVER.born_ms + 1))
    when_reported(context, count)


@then('one change records that it drains')
def then_one_change(context):
    (record,) = context.reports.take_records(context.state.servers)
    assert context.state.record_server(record)
    assert context.state.servers[SERVER.name].state is ServerState.DRAINING
    assert not context.reports.take_records(context.state.servers)


@then('calls that the server sent before and after do not undo it')
def then_not_undone(context):
    for sequence in range(SERVER.sequence, SERVER.sequence + 4):
        context.state.record_server(replace(SERVER, sequence=sequence))
    assert context.state.servers[SERVER.name].state is ServerState.DRAINING


@then('a new start of it is ready')
def then_new_start(context):
    context.state.record_server(replace(SERVER, born_ms=SERVER.born_ms + 1))
    assert context.state.servers[SERVER.name].state is ServerState.READY


@then('no change is made')
def then_no_change(context):
    assert not context.reports.take_records(context.state.servers)


@given('a gateway whose server has said that it leaves')
def given_departure(context):
    context.ledger = DepartureLedger()
    assert context.ledger.add(SERVER.start)
    context.records = {SERVER.name: SERVER}


@when('its report is lost')
def when_report_lost(context):
    assert context.ledger.unconfirmed(context.records) == (SERVER.start,)


@then('it reports the departure again')
def then_reported_again(context):
    assert context.ledger.unconfirmed(context.records) == (SERVER.start,)


@when('its view has the server as draining')
def when_view_draining(context):
    draining = replace(SERVER, state=ServerState.DRAINING)
    context.records = {SERVER.name: draining}


@then('it reports no departure')
def then_no_report(context):
    assert context.ledger.unconfirmed(context.records) == ()
