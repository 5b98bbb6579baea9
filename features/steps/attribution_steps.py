"""Steps for the start that a statement is of, over real sockets."""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from time import time
from unittest.mock import patch

from behave import given
from behave import then
from behave import when

from features.steps.backoff_steps import count_at_once
from features.steps.stating_servers import answer
from features.steps.stating_servers import FOREVER_S
from features.steps.stating_servers import KIND
from features.steps.stating_servers import OK
from features.steps.stating_servers import REFUSAL
from features.steps.stating_servers import StatingServer
from features.steps.stating_servers import WAIT_HEADER
from fuchsiacart.clocks import steady_ms
from fuchsiacart.gateway.connection_pools import ConnectionPool

EARLIER_AGE_MS = 60_000
LATER_AGE_MS = 1_000
REFUSAL_FOR_200_MS = REFUSAL[:-2] + f'{WAIT_HEADER}: 200\r\n\r\n'.encode()


@given(
    'the first server has started again, and the view has its earlier start'
)
def given_started_again(context):
    fixture = context.statements
    now_ms = int(time() * 1000)
    context.later_born_ms = now_ms - LATER_AGE_MS
    fixture.put_record(born_ms=now_ms - EARLIER_AGE_MS)


@when('its view has the later start')
def when_later_start(context):
    context.statements.put_record(born_ms=context.later_born_ms)


@given(
    'the first server holds its first request, and refuses the second for'
    ' 0.2 s'
)
def given_holding(context):
    async def respond(server, stream):
        if server.served == 1:
            await sleep(FOREVER_S)
        if server.served == 2:
            await stream.write(REFUSAL_FOR_200_MS)
            return
        await answer(server, stream)

    context.statements.first.respond = respond


@when(
    'the gateway serves a request every 0.1 s for 1.5 s beside the one that'
    ' is held'
)
def when_beside_held(context):
    fixture = context.statements
    context.outcomes = []

    async def serve():
        held = create_task(fixture.serve(KIND))
        await sleep(0.1)
        for _ in range(15):
            await fixture.serve(KIND)
            context.outcomes.append(fixture.outcome)
            await sleep(0.1)
        held.cancel()
        await gather(held, return_exceptions=True)

    fixture.run(serve())


@then('requests were answered after the refusal')
def then_answered_after(context):
    assert '200' in context.outcomes, context.outcomes


@given(
    'the first server answers 3 requests after 0.6 s, then refuses one for'
    ' 0.2 s'
)
def given_slow_then_full(context):
    async def respond(server, stream):
        if server.served == 4:
            await stream.write(REFUSAL_FOR_200_MS)
            return
        await sleep(0.6)
        await stream.write(OK)

    context.statements.first.respond = respond


@when('the gateway serves 4 requests at once')
def when_at_once(context):
    fixture = context.statements
    fixture.run(_serve_at_once(fixture, 4))
    assert fixture.first.served == 4, fixture.first.served


async def _serve_at_once(fixture, count):
    await gather(*(fixture.serve(KIND) for _ in range(count)))


@then('at most {most:d} requests at once may be sent to the first server')
def then_at_most(context, most):
    fixture = context.statements
    start = fixture.first_record.start
    backoffs = fixture.forwarder.selector.backoffs
    may_send = count_at_once(backoffs, start, steady_ms())
    assert 0 < may_send <= most, may_send


@when(
    'the gateway serves a request, and the second server leaves once it was'
    ' chosen'
)
def when_second_leaves(context):
    fixture = context.statements
    exchange = ConnectionPool.exchange
    chosen = []

    async def leave_and_exchange(pool, record, request, limits):
        chosen.append(record.name)
        if len(chosen) == 2:
            fixture.forwarder.selector.departures.add(record.start)
        return await exchange(pool, record, request, limits)

    with patch.object(ConnectionPool, 'exchange', leave_and_exchange):
        fixture.run(fixture.serve(KIND))
    assert len(chosen) >= 2, chosen


@when('the first server moves to another address under its start')
def when_moved(context):
    fixture = context.statements

    async def open_server():
        return StatingServer(fixture.first.name)

    context.moved = fixture.run(open_server())
    fixture.servers.append(context.moved)
    context.served_before = fixture.first.served
    fixture.put_record(
        sequence=fixture.first_record.sequence + 1,
        address=f'127.0.0.1:{context.moved.port}',
    )


@then('no request has reached its earlier address since')
def then_none_since(context):
    served = context.statements.first.served - context.served_before
    assert served == 0, served


@then('requests have reached its new address')
def then_reached_new(context):
    assert context.moved.served, 'none has'
