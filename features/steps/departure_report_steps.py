"""Steps for departures that gateways report, without a network."""

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace

from features.steps.route_steps import SERVER
from fuchsiacart.control.departures import DepartureReports
from fuchsiacart.control.route_states import RouteState
from fuchsiacart.gateway.departures import DepartureLedger
from fuchsiacart.servers import ServerState


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
