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
from tornado.netutil import bind_sockets

from features.steps.forwarding_steps import REQUEST_ID
from features.steps.stating_servers import answer
from features.steps.stating_servers import HEALTHY
from features.steps.stating_servers import KIND
from features.steps.stating_servers import LEAVING_HEADER
from features.steps.stating_servers import StatementFixture
from features.steps.stating_servers import StatingServer
from fuchsiacart.clocks import steady_ms
from fuchsiacart.gateway.callers import CallerServer
from fuchsiacart.gateway.connection_pools import ConnectionPool
from fuchsiacart.gateway.hop_headers import format_start
from fuchsiacart.gateway.hop_headers import parse_start
from fuchsiacart.gateway.hop_headers import RELAYED_FOR
from fuchsiacart.gateway.hop_headers import RELAYED_ID
from fuchsiacart.gateway.hop_headers import RELAYED_LEAVING
from fuchsiacart.gateway.reachability import Reach
from fuchsiacart.gateway import server_statements
from fuchsiacart.models import Host

PROBE_TIMEOUT_S = 0.3


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
    fixture.first.health = HEALTHY
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


def _serve_with_statement(fixture, state):
    """Let a statement of the first server come between choice and send.

    :param state: takes the :class:`ServerStart` that says it.
    """
    exchange = ConnectionPool.exchange

    async def state_and_exchange(pool, record, request, limits):
        if record.name == fixture.first.name:
            state(record.start)
        return await exchange(pool, record, request, limits)

    with patch.object(ConnectionPool, 'exchange', state_and_exchange):
        fixture.run(fixture.serve(KIND))


@when('the gateway serves a request, and its server leaves once it was chosen')
def when_leaves_once_chosen(context):
    fixture = context.statements
    _serve_with_statement(fixture, fixture.forwarder.selector.departures.add)


@when(
    'the gateway serves a request, and its server is full once it was chosen'
)
def when_full_once_chosen(context):
    fixture = context.statements
    backoffs = fixture.forwarder.selector.backoffs
    _serve_with_statement(
        fixture, lambda start: backoffs.record(start, 1000.0, steady_ms())
    )


@when('the other server is full for {wait_s:g} s')
def when_other_full(context, wait_s):
    fixture = context.statements
    other = fixture.view.servers[fixture.servers[1].name]
    fixture.forwarder.selector.backoffs.record(
        other.start, wait_s * 1000, steady_ms()
    )


@when('the gateway serves a request {after_s:g} s later')
def when_served_later(context, after_s):
    fixture = context.statements
    fixture.run(sleep(after_s))
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


@then(
    'it is refused within {limit_s:g} s, to return after {least_ms:d} to'
    ' {most_ms:d} ms'
)
def then_refused_until(context, limit_s, least_ms, most_ms):
    then_refused(context, limit_s)
    retry_after_ms = context.statements.error.retry_after_ms
    assert least_ms <= retry_after_ms <= most_ms, retry_after_ms


@then('one line tells that the first server is full, for {wait_ms:d} ms')
def then_full_logged(context, wait_ms):
    check_full_lines(context.statements, REQUEST_ID, wait_ms)


def check_full_lines(fixture, request_id, wait_ms):
    """Check that one line tells that the first server is full.

    :param request_id: the request that was refused, '' for a check.
    """
    lines = [
        (fields['server'], fields['request'], fields['wait_ms'])
        for event, fields in fixture.lines
        if event == 'server_full'
    ]
    assert lines == [(fixture.first.name, request_id, wait_ms)], lines


@then('it has no evidence against the first server')
def then_no_evidence(context):
    fixture = context.statements
    evidence = {each.name: each for each in fixture.forwarder.evidence.flush()}
    assert fixture.first.name not in evidence, evidence


@then('the text "{text}" names no start')
def then_no_start(context, text):
    assert parse_start(text) is None


@then('it knows no load of the first server')
def then_no_load(context):
    fixture = context.statements
    server = fixture.forwarder.selector.find(fixture.first.name)
    assert fixture.first.served == 1, fixture.first.served
    assert server.reported_ms == 0.0, server


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


@then('its answer to a request that a gateway relays names that start')
def then_names_start(context):
    """Let the gateway that relays have the address of this process."""
    fixture = context.statements
    address = '127.0.0.1:1'
    host = Host('relaying', 1, 'cymru', 'cymru-a', address, address)
    fixture.forwarder.relay.apply_view((host,))
    expected = f'{RELAYED_LEAVING}: {format_start(fixture.first_record.start)}'
    headers = fixture.run(
        _answered_headers(fixture, f'{RELAYED_FOR}: 10.1.1.1')
    )
    assert expected in headers, headers


@then('its answer to a caller names none')
def then_names_none(context):
    """Ask a gateway that does not know yet that its server leaves.

    The caller claims to be a gateway.
    """
    fixture = context.statements
    fixture.forwarder.relay.apply_view(())
    fixture.first.health = HEALTHY
    fixture.put_record(born_ms=2)
    fixture.run(fixture.finish_checks())
    headers = fixture.run(
        _answered_headers(fixture, f'{RELAYED_FOR}: 10.1.1.1')
    )
    assert LEAVING_HEADER in headers, headers
    assert RELAYED_LEAVING not in headers, headers
