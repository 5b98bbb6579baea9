"""Steps for starts of backend servers that have ended."""

from asyncio import sleep

from behave import given
from behave import then
from behave import when
from msgspec.msgpack import encode
from msgspec.structs import replace

from features.steps.departure_steps import send_for
from features.steps.route_steps import SERVER
from fuchsiacart.bounds import MAX_INTEGER
from fuchsiacart.control.commands import ForgetServer
from fuchsiacart.control.commands import RecordServer
from fuchsiacart.control.departures import DepartureReports
from fuchsiacart.control.ended_starts import plan_departure
from fuchsiacart.control.ended_starts import plan_expiry
from fuchsiacart.control.route_states import RouteState
from fuchsiacart.servers import ServerState
from tools.compatibility import lay_out_build
from tools.compatibility import production_commit
from tools.compatibility import run_samples

AT_MS = 1
EARLIER = replace(SERVER, born_ms=SERVER.born_ms - 1, sequence=9)
LATER = replace(SERVER, born_ms=SERVER.born_ms + 1, sequence=1)
OTHER = replace(LATER, name='other')
DRAINING = replace(
    SERVER, sequence=SERVER.sequence + 1, state=ServerState.DRAINING
)
SILENCE = ForgetServer(SERVER.name, SERVER.born_ms, False, AT_MS)
EARLIER_SILENCE = ForgetServer(SERVER.name, EARLIER.born_ms, False, AT_MS)
OTHER_LEFT = ForgetServer(OTHER.name, OTHER.born_ms, True, AT_MS)
# Commands that lead to what the group knows of the start.
KNOWN = {
    'unknown': (),
    'registered': (RecordServer(SERVER, AT_MS),),
    'unknown, but an earlier one registered': (RecordServer(EARLIER, AT_MS),),
    'registered with the largest sequence': (
        RecordServer(replace(SERVER, sequence=MAX_INTEGER), AT_MS),
    ),
    'draining': (RecordServer(SERVER, AT_MS), RecordServer(DRAINING, AT_MS)),
    'removed for its silence': (RecordServer(SERVER, AT_MS), SILENCE),
    'removed, its address used by another': (
        RecordServer(SERVER, AT_MS),
        SILENCE,
        RecordServer(OTHER, AT_MS),
    ),
    'removed, and an earlier one too': (
        RecordServer(EARLIER, AT_MS),
        EARLIER_SILENCE,
        RecordServer(SERVER, AT_MS),
        SILENCE,
    ),
}
LEFT_OUT = {
    'all of it': 0,
    'all but the last change': 1,
    'all but the last two changes': 2,
}
# Time in which held up heartbeats would lead to requests.
LATE_S = 3.0


def apply_all(state, commands):
    """Apply commands as replicas do."""
    for command in commands:
        if isinstance(command, RecordServer):
            state.record_server(command.record)
        else:
            state.forget_server(
                command.name, command.born_ms, command.has_left
            )


def is_used(state):
    """Return True if requests may go to the start."""
    record = state.servers.get(SERVER.name)
    return (
        record is not None
        and record.start == SERVER.start
        and record.state is ServerState.READY
    )


@given('a control group to which a start of a server is {known}')
def given_known(context, known):
    context.state = RouteState()
    context.commands = list(KNOWN.get(known, KNOWN['registered']))
    apply_all(context.state, context.commands)
    if known == 'reported to leave':
        when_reported(context)


@given('a control host that has applied {lag}')
def given_host(context, lag):
    kept = len(context.commands) - LEFT_OUT.get(lag, len(context.commands))
    context.seen = RouteState()
    apply_all(context.seen, context.commands[:kept])


@when('the start leaves by that host')
def when_leaves(context):
    commands = plan_departure(context.seen, SERVER.start, AT_MS)
    context.commands += commands
    apply_all(context.state, commands)


@when('a gateway reports that this start leaves')
def when_reported(context):
    reports = DepartureReports()
    reports.add((SERVER.start,))
    (record,) = reports.take_records(context.state.servers)
    apply_all(context.state, (RecordServer(record, AT_MS),))


@when('the leader removes it for its silence')
def when_silent(context):
    record = context.state.servers[SERVER.name]
    apply_all(context.state, (plan_expiry(record, AT_MS),))
    assert SERVER.name not in context.state.servers


@when('the leader removes it for its silence, as it knew no report')
def when_silent_before(context):
    apply_all(context.state, (SILENCE,))


@then('no call of it registers the server, however late')
def then_not_registered(context):
    state = context.state
    assert state.has_ended(SERVER.start), state
    apply_all(state, (OTHER_LEFT,))
    context.commands.append(OTHER_LEFT)
    then_not_ready(context)


@then('no call of it registers the server as ready')
def then_not_ready(context):
    state = context.state
    assert not is_used(state), state.servers
    for sequence in (1, SERVER.sequence, 1000, MAX_INTEGER):
        call = RecordServer(replace(SERVER, sequence=sequence), AT_MS)
        context.commands.append(call)
        apply_all(state, (call,))
        assert not is_used(state), sequence


@then('a later start registers it')
def then_later(context):
    call = RecordServer(LATER, AT_MS)
    context.commands.append(call)
    apply_all(context.state, (call,))
    assert context.state.servers[SERVER.name] == LATER, context.state


@then('its next call registers the server')
def then_next(context):
    call = replace(SERVER, sequence=SERVER.sequence + 1)
    apply_all(context.state, (RecordServer(call, AT_MS),))
    assert is_used(context.state)


@then('the build in production comes to the same state by these commands')
def then_same_state(context):
    written = {
        str(position): encode(command).hex()
        for position, command in enumerate(context.commands)
    }
    states = [
        run_samples(lay_out_build(commit), 'apply', {'command': written})
        for commit in (production_commit(), '')
    ]
    assert states[0] == states[1]
    (record,) = states[0]['routes']['servers'].values()
    assert record['born_ms'] == LATER.born_ms, record


@when('the first instance is silent until it is removed')
def when_removed(context):
    fixture = context.platform
    instance = fixture.instances[0]
    fixture.tasks.pop(0).cancel()

    async def is_removed():
        logs = (
            (fixture.folder / f'{ip}.log').read_text() for ip in fixture.seeds
        )
        return any(
            f'event=server_expired server={instance.name}' in log
            for log in logs
        )

    fixture.run(fixture.wait_until(is_removed))


@when(
    'it leaves by one control host, and its held up heartbeats arrive at all'
)
def when_late(context):
    """Send the heartbeats with the sequences of the time of silence."""
    fixture = context.platform
    instance = fixture.instances[0]

    async def leave():
        body = {'born': instance.born_ms}
        path = f'/api/instances/{instance.name}'
        reply = await fixture.control('DELETE', path, body)
        assert reply is not None and reply.code == 200, reply
        seeds = fixture.seeds
        try:
            for ip in seeds:
                fixture.seeds = [ip]
                await instance.send_heartbeat()
        finally:
            fixture.seeds = seeds
        instance.served.clear()
        context.statuses = []
        await sleep(1.0)
        await send_for(context, fixture.gateways, LATE_S)

    fixture.run(leave())


@then('it gets no request for 3 s')
def then_no_request(context):
    assert not context.platform.instances[0].served
    assert set(context.statuses) == {200}, context.statuses
