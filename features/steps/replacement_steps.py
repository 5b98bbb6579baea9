"""Steps for disks that are lost while the control group's members change."""

from asyncio import create_task
from asyncio import gather
from asyncio import run
from asyncio import wait_for
from contextlib import suppress
from time import monotonic

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace

from fuchsiacart.control.consensus import Consensus
from fuchsiacart.control.member_tasks import MemberTask
from fuchsiacart.control.replica_states import Entry
from fuchsiacart.control.replica_states import Group
from fuchsiacart.control.replica_states import latest_group
from fuchsiacart.control.replica_states import ReplicaState
from fuchsiacart.control.replica_states import Role
from fuchsiacart.messages import JoinGroup
from fuchsiacart.settings import ControlSettings
from fuchsiacart.settings import Settings
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


@when('a host with a new disk and one that was removed hear no leader')
def when_others_wait(context):
    removed = replace(
        restarted(context.states['a']), replica='z', commit_index=2
    )
    context.before = (ReplicaState('a/2'), removed)
    context.steps = [
        Consensus().start_election(state) for state in context.before
    ]


@then('the three hosts left elect the leader, which commits its removal')
def then_elected_again(context):
    leader = FairElections(context.running, Consensus()).elect(ROUNDS)
    assert leader is not None, 'no leader'
    assert leader.replica == 'a', leader
    assert context.removal in leader.log[: leader.commit_index], leader


@then('they ask for no votes')
def then_no_election(context):
    for before, step in zip(context.before, context.steps):
        assert step.state is before, step
        assert not step.outbound, step


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


class StubReplica:
    """The replica of a leader, as the task that maintains the group sees it.

    :param group: the members.
    """

    is_leader = True

    def __init__(self, group):
        self.state = ReplicaState('c0:1/old', group=group)
        self.ready = frozenset()
        self.silent = ()
        self.member_addresses = ()

    def ready_learners(self):
        """See :class:`ReplicaTask`."""
        return self.ready & set(self.state.group.learners)

    def unresponsive_voters(self):
        """See :class:`ReplicaTask`."""
        return self.silent

    async def change_group(self, group):
        """See :class:`ReplicaTask`."""
        self.state = replace(self.state, group=group)


class StubService:
    """Takes the handlers that a task registers."""

    def register_handler(self, kind, handler):
        """See :class:`ControlService`."""


@given(
    'the task that maintains a group of {count:d} voters that should have'
    ' {target:d}'
)
def given_member_task(context, count, target):
    voters = tuple(f'c{index}:1/old' for index in range(count))
    context.learner = 'c9:1/new'
    context.replica = StubReplica(Group(voters, (context.learner,)))
    settings = Settings.model_construct(
        control=ControlSettings(tolerated_losses=target // 2), seeds=()
    )
    context.task = MemberTask(settings, context.replica, StubService(), None)


def maintain(context, *actions):
    """Run the task for half a second, after other actions have begun.

    :param actions: each a coroutine.
    """

    async def run_all():
        others = [create_task(action) for action in actions]
        with suppress(TimeoutError):
            await wait_for(context.task.maintain_group(), 0.5)
        await gather(*others)

    run(run_all())


async def ask(context, replica, leaves):
    """Ask the leader for a voter, and note how long the answer takes."""
    started_s = monotonic()
    await context.task._on_join(JoinGroup(replica, leaves=leaves))
    context.taken_s = monotonic() - started_s
    context.voters_then = context.replica.state.group.voters


@when(
    'a learner is ready and a voter is silent to the leader, but asks to join'
)
def when_silent_asks(context):
    context.voter = context.replica.state.group.voters[2]
    context.replica.silent = (context.voter,)
    context.replica.ready = frozenset([context.learner])
    maintain(context, ask(context, context.voter, False))


@when('a learner is ready and a voter is silent to the leader')
def when_silent(context):
    context.voter = context.replica.state.group.voters[2]
    context.replica.silent = (context.voter,)
    context.replica.ready = frozenset([context.learner])
    maintain(context)


@when('a learner is ready and a voter asks to leave')
def when_leaves(context):
    context.voter = context.replica.state.group.voters[2]
    context.replica.ready = frozenset([context.learner])
    maintain(context, ask(context, context.voter, True))


@when('no learner is ready and a voter asks to leave')
def when_leaves_alone(context):
    context.voter = context.replica.state.group.voters[2]
    maintain(context, ask(context, context.voter, True))


@then('the task keeps that voter')
def then_kept(context):
    assert context.voter in context.replica.state.group.voters


@then('the task replaces that voter')
def then_task_replaces(context):
    voters = context.replica.state.group.voters
    assert context.voter not in voters and context.learner in voters, voters


@then('the voter is answered within {limit_ms:d} ms, and is replaced by then')
def then_left(context, limit_ms):
    assert context.taken_s * 1000 <= limit_ms, context.taken_s
    assert context.voter not in context.voters_then, context.voters_then
    assert context.learner in context.voters_then, context.voters_then


@then('the voter is answered within {limit_ms:d} ms, and is a voter still')
def then_not_left(context, limit_ms):
    assert context.taken_s * 1000 <= limit_ms, context.taken_s
    assert context.voter in context.voters_then, context.voters_then


@when('the removal is committed and the leader loses power')
def when_removal_committed(context):
    state = restarted(context.states['a'])
    context.state = replace(state, commit_index=state.last_index)


@when('a learner is ready and no request to join comes')
def when_ready(context):
    context.replica.ready = frozenset([context.learner])
    maintain(context)


@then('it asks for no votes once it knows that the removal is committed')
def then_does_not_ask(context):
    step = Consensus().start_election(context.state)
    assert step.state is context.state, step
    assert not step.outbound, step


@then('the task promotes the learner')
def then_task_promotes(context):
    assert context.learner in context.replica.state.group.voters


@then('the learner leads and may make itself a voter')
def then_learner_leads(context):
    rules = Consensus()
    leader = FairElections(context.running, rules).elect(ROUNDS)
    assert leader is not None and leader.replica == 'e', leader
    group = Group(leader.group.voters + ('e',))
    assert rules.may_change_group(leader, group), leader
