"""Steps for what a replica reports of its elections."""

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace

from fuchsiacart.control.consensus import Consensus
from fuchsiacart.control.election_reports import ElectionReport
from fuchsiacart.control.replica_states import Entry
from fuchsiacart.control.replica_states import Group
from fuchsiacart.control.replica_states import ReplicaState

RULES = Consensus()


@given('a group of {count:d} voters of which one has a longer log')
def given_voters(context, count):
    names = tuple(f'c{index}:1/old' for index in range(count))
    group = Group(names)
    log = (Entry(1, group=group),)
    context.states = {
        name: ReplicaState(name, term=1, log=log, group=group, commit_index=1)
        for name in names
    }
    context.ahead = names[1]
    context.states[names[1]] = replace(
        context.states[names[1]], log=log + (Entry(1),)
    )


@when('a voter that is behind asks for pre-votes and two others do not run')
def when_asks(context):
    """Let the first voter ask; the last two do not answer."""
    asking, *running = list(context.states)[:-2]
    report = ElectionReport()
    step = RULES.start_election(context.states[asking])
    state = step.state
    for each in step.outbound:
        if each.to not in running:
            continue
        answer = RULES.receive(context.states[each.to], each.message)
        before = state
        state = RULES.receive(state, answer.outbound[0].message).state
        report.record(before, state, answer.outbound[0].message)
    context.request = step.outbound[0].message
    context.described = report.describe(state)


@then(
    'its report names the one with the longer log as refusing and two as'
    ' silent'
)
def then_report(context):
    assert context.described['refused'] == context.ahead, context.described
    silent = ' '.join(list(context.states)[-2:])
    assert context.described['silent'] == silent, context.described


@then('the one with the longer log gives "{reason}" as the reason')
def then_reason(context, reason):
    refusal = RULES.find_refusal(
        context.states[context.ahead], context.request
    )
    assert refusal.value == reason, refusal
