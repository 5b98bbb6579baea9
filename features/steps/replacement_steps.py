"""Steps for disks that are lost while the control group's members change."""

from behave import given
from behave import then
from behave import when

from fuchsiacart.control.consensus import Consensus
from fuchsiacart.control.replica_states import Entry
from fuchsiacart.control.replica_states import Group
from fuchsiacart.control.replica_states import latest_group
from fuchsiacart.control.replica_states import ReplicaState
from fuchsiacart.control.replica_states import Role
from models.fair_elections import FairElections
from models.fair_elections import restarted

ROUNDS = 20


@given(
    'four voters and a learner, whose promotion is committed on three voters'
)
def given_promotion(context):
    voters, learner = ('a', 'b', 'c', 'd'), 'e'
    before = (Entry(1, group=Group(voters, (learner,))),)
    after = before + (Entry(1, group=Group(voters + (learner,))),)
    logs = {'a': after, 'b': after, 'c': after, 'd': before, 'e': before}
    context.states = {
        name: ReplicaState(
            name, term=1, log=log, group=latest_group(Group(), log)
        )
        for name, log in logs.items()
    }
    context.promotion = after[-1]


@when('two of these lose their disks and all others lose power')
def when_two_lost(context):
    context.running = [
        restarted(context.states[name]) for name in ('c', 'd', 'e')
    ]


@when('three of these lose their disks and come back with new ones')
def when_three_wiped(context):
    context.running = [
        ReplicaState(f'{name}/2') for name in ('a', 'b', 'c')
    ] + [restarted(context.states[name]) for name in ('d', 'e')]


@then('the three hosts left elect a leader that holds the promotion')
def then_elected(context):
    leader = FairElections(context.running, Consensus()).elect(ROUNDS)
    assert leader is not None, 'no leader'
    assert context.promotion in leader.log, leader.log


@then('no leader is elected among all five')
def then_not_elected(context):
    leader = FairElections(context.running, Consensus()).elect(ROUNDS)
    assert leader is None, leader


@given(
    'four voters whose leader holds its own removal, which no other one has'
)
def given_removal(context):
    names = ('a', 'b', 'c', 'd')
    before = (Entry(1, group=Group(names)),)
    context.removal = Entry(1, group=Group(names[1:]))
    logs = dict.fromkeys(names, before) | {'a': before + (context.removal,)}
    context.states = {
        name: ReplicaState(
            name, term=1, log=log, group=latest_group(Group(), log)
        )
        for name, log in logs.items()
    }


@when('one of the others loses its disk and all lose power')
def when_one_lost(context):
    context.running = [
        restarted(context.states[name]) for name in ('a', 'b', 'c')
    ]


@when('the learner hears no leader')
def when_learner_waits(context):
    state = restarted(context.states['e'])
    context.before, context.step = state, Consensus().start_election(state)


@then('the three hosts left elect the leader, which commits its removal')
def then_elected_again(context):
    leader = FairElections(context.running, Consensus()).elect(ROUNDS)
    assert leader is not None, 'no leader'
    assert leader.replica == 'a', leader
    assert context.removal in leader.log[: leader.commit_index], leader


@then('it asks for no votes')
def then_no_election(context):
    assert context.step.state is context.before, context.step
    assert not context.step.outbound, context.step


@given('three blank hosts, the first of which gets the first members')
def given_blank(context):
    context.group = Group(('a', 'b', 'c'))
    context.states = {name: ReplicaState(name) for name in 'abc'}
    context.states['a'] = context.states['a'].with_initial_group(context.group)


def ask_for_vote(context, candidate, voter):
    """Let one host ask another one for its pre-vote and its vote.

    :return: the last response.
    """
    rules = Consensus()
    step = rules.start_election(context.states[candidate])
    for _ in range(2):
        request = next(
            each.message for each in step.outbound if each.to == voter
        )
        answer = rules.receive(context.states[voter], request)
        context.states[voter] = answer.state
        response = answer.outbound[0].message
        if not response.granted:
            break
        step = rules.receive(step.state, response)
    context.states[candidate] = step.state
    return response


@when('it is elected by the second one, which then gets the members too')
def when_elected(context):
    assert ask_for_vote(context, 'a', 'b').granted
    assert context.states['a'].role is Role.LEADER
    context.states['b'] = context.states['b'].with_initial_group(context.group)


@when('the third one gets the members and asks the second one for its vote')
def when_third_asks(context):
    context.states['c'] = context.states['c'].with_initial_group(context.group)
    context.response = ask_for_vote(context, 'c', 'b')


@then('the second one refuses, as it has voted in that term')
def then_refused(context):
    assert not context.response.granted
    assert context.states['c'].role is not Role.LEADER


@given(
    'three voters and a learner that has an entry of a lost leader, and an'
    ' earlier leader that holds its promotion'
)
def given_longest_learner(context):
    voters, learner = ('a', 'b', 'c'), 'e'
    context.committed = (
        Entry(1, group=Group(voters)),
        Entry(2, group=Group(voters, (learner,))),
    )
    promotion = Entry(2, group=Group(voters + (learner,)))
    logs = {
        'a': context.committed + (promotion,),
        'b': context.committed[:1],
        'c': context.committed + (Entry(3),),
        'e': context.committed + (Entry(3),),
    }
    terms = {'a': 2, 'b': 3, 'c': 3, 'e': 3}
    context.states = {
        name: ReplicaState(
            name, term=terms[name], log=log, group=latest_group(Group(), log)
        )
        for name, log in logs.items()
    }


@when('the voter that led last loses its disk and all others lose power')
def when_last_leader_lost(context):
    context.running = [
        restarted(context.states[name]) for name in ('a', 'b', 'e')
    ]


@then('the three hosts left elect a leader that holds the committed entries')
def then_elected_with_committed(context):
    leader = FairElections(context.running, Consensus()).elect(ROUNDS)
    assert leader is not None, 'no leader'
    held = leader.entries_from(1, len(context.committed))
    assert held == context.committed, leader
