"""Steps for control groups in simulated time: no sockets and no clock."""

from heapq import heappop
from heapq import heappush
from itertools import count
from random import Random
from statistics import mean

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace

from fuchsiacart.control.memberships import find_candidates
from fuchsiacart.control.memberships import next_group
from fuchsiacart.control.replica_states import Entry
from fuchsiacart.control.replica_states import Group
from fuchsiacart.control.replica_states import ReplicaState
from fuchsiacart.control.replica_states import Role
from fuchsiacart.control.timed_consensus import TimedConsensus
from fuchsiacart.randomness import make_random
from fuchsiacart.settings import ControlSettings

SETTINGS = ControlSettings(
    election_timeout_ms=800, heartbeat_ms=100, catch_up_s=4
)
TICK_MS = 20
DELAY_MS = 30


class SimulatedGroup:
    """Control hosts whose messages and timers run in simulated time.

    :param host_count: number of hosts.
    :param seed: seed of the election timers.
    :param learner_count: number of hosts that are learners, the last ones;
        the others are voters.
    """

    def __init__(self, host_count, seed, learner_count=0):
        self.now_ms = 0
        self.seed = seed
        self.names = [f'c{index}:1/old' for index in range(host_count)]
        self.cuts = set()
        self.stopped = set()
        self._messages = []
        self._order = count()
        voter_count = host_count - learner_count
        group = Group(
            tuple(self.names[:voter_count]), tuple(self.names[voter_count:])
        )
        log = (Entry(1, group=group),)
        self.states = {
            name: ReplicaState(
                name, term=1, log=log, group=group, commit_index=1
            )
            for name in self.names
        }
        self.steps = {
            name: TimedConsensus(SETTINGS, make_random(seed, name), 0)
            for name in self.names
        }
        self.stopped = set(group.learners)
        self.run_until(lambda: self.leader() is not None, 10_000)
        self.stopped.clear()
        self.run(1000)

    def restart(self, spread_ms):
        """Stop all hosts and start them again from their disks.

        :param spread_ms: time within which they start, at random times.
        """
        random = Random(self.seed)
        starts = {
            self.now_ms + random.randrange(spread_ms): name
            for name in self.names
        }
        self.stopped = set(self.names)
        self._messages.clear()
        while starts:
            self.run(1)
            name = starts.pop(self.now_ms, None)
            if name is None:
                continue
            self.states[name] = replace(
                self.states[name], role=Role.FOLLOWER, leader=None
            )
            self.steps[name] = TimedConsensus(
                SETTINGS, make_random(self.seed, f'{name}/2'), self.now_ms
            )
            self.stopped.discard(name)

    def leader(self):
        """Return the running leader with the highest term, or None."""
        leaders = [
            state
            for name, state in self.states.items()
            if state.role is Role.LEADER and name not in self.stopped
        ]
        best = max(leaders, key=lambda state: state.term, default=None)
        return best.replica if best else None

    def follower(self):
        """Return a running host that does not lead."""
        running = set(self.names) - self.stopped - {self.leader()}
        return min(running)

    def isolate(self, name):
        """Cut a host off from all others, both ways."""
        for other in self.names:
            self.cuts |= {(name, other), (other, name)}

    def silent(self, name):
        """Return the voters that a host lists as unresponsive."""
        return self.steps[name].unresponsive_voters(
            self.states[name], self.now_ms
        )

    def planned(self, leader):
        """Return the group that a leader plans next, without any requests."""
        state = self.states[leader]
        ready = self.steps[leader].ready_learners(state, self.now_ms)
        planned = next_group(
            state.group,
            find_candidates((), ready),
            frozenset(),
            len(state.group.members),
        )
        return planned or state.group

    def run(self, duration_ms):
        """Let the given time pass."""
        self.run_until(lambda: False, duration_ms)

    def run_until(self, condition, limit_ms):
        """Let time pass until a condition holds.

        :return: True if it held within the limit.
        """
        end_ms = self.now_ms + limit_ms
        while self.now_ms < end_ms:
            if condition():
                return True
            self._advance()
        return condition()

    def _advance(self):
        """Let a millisecond pass."""
        self.now_ms += 1
        self._deliver()
        if self.now_ms % TICK_MS == 0:
            for name in self.names:
                self._apply(name, self._tick)

    def _delay_ms(self, message):
        """Return how long a message takes, or None if it is lost."""
        return DELAY_MS

    def _tick(self, steps, state):
        return steps.tick(state, self.now_ms)

    def _deliver(self):
        while self._messages and self._messages[0][0] <= self.now_ms:
            _, _, to, message = heappop(self._messages)
            if (message.sender, to) in self.cuts:
                continue
            self._apply(
                to,
                lambda steps, state, message=message: steps.receive(
                    state, message, self.now_ms
                ),
            )

    def _apply(self, name, event):
        """Run an event at a host unless it is stopped; send its messages."""
        if name in self.stopped:
            return
        steps, before = self.steps[name], self.states[name]
        step = event(steps, before)
        self.states[name] = step.state
        is_leader = step.state.role is Role.LEADER
        if is_leader and before.role is not Role.LEADER:
            steps.on_elected(self.now_ms)
        for each in step.outbound:
            message = steps.add_silences(step.state, each.message, self.now_ms)
            delay_ms = self._delay_ms(message)
            if delay_ms is None:
                continue
            entry = (
                self.now_ms + delay_ms,
                next(self._order),
                each.to,
                message,
            )
            heappush(self._messages, entry)


@given(
    'groups of {hosts:d} control hosts in simulated time, seeds {first:d} to'
    ' {last:d}'
)
def given_simulated_groups(context, hosts, first, last):
    context.groups = [
        SimulatedGroup(hosts, seed) for seed in range(first, last + 1)
    ]
    context.leaders = [
        (group.leader(), group.states[group.leader()].term)
        for group in context.groups
    ]


@given(
    'groups of {voters:d} voters and a learner in simulated time, seeds'
    ' {first:d} to {last:d}'
)
def given_groups_with_learner(context, voters, first, last):
    context.groups = [
        SimulatedGroup(voters + 1, seed, learner_count=1)
        for seed in range(first, last + 1)
    ]


@when('the leader is lost')
def when_leader_lost(context):
    for group in context.groups:
        group.stopped.add(group.leader())


@when('the learner is lost')
def when_learner_lost(context):
    for group in context.groups:
        group.stopped.add(group.names[-1])


@when(
    'the learner is cut off both ways for {timeouts:d} election timeouts, then'
    ' heals'
)
def when_learner_isolated(context, timeouts):
    context.leaders = []
    for group in context.groups:
        leader = group.leader()
        context.leaders.append((leader, group.states[leader].term))
        group.isolate(group.names[-1])
        group.run(timeouts * SETTINGS.election_timeout_ms)
        group.cuts.clear()
        group.run(3 * SETTINGS.election_timeout_ms)


@when(
    'a follower is cut off both ways for {timeouts:d} election timeouts, then'
    ' heals'
)
def when_follower_isolated(context, timeouts):
    for group in context.groups:
        group.isolate(group.follower())
        group.run(timeouts * SETTINGS.election_timeout_ms)
        group.cuts.clear()
        group.run(3 * SETTINGS.election_timeout_ms)


@when(
    'a follower gets nothing of the leader for {timeouts:d} election timeouts,'
    ' then heals'
)
def when_follower_deaf(context, timeouts):
    for group in context.groups:
        group.cuts.add((group.leader(), group.follower()))
        group.run(timeouts * SETTINGS.election_timeout_ms)
        group.cuts.clear()
        group.run(3 * SETTINGS.election_timeout_ms)


@when('a follower is lost, and the leader {gap_ms:d} ms later')
def when_two_lost(context, gap_ms):
    """Stop a follower, then the leader, and note when the follower stopped."""
    context.lost = []
    for group in context.groups:
        follower = group.follower()
        context.lost.append((follower, group.now_ms))
        group.stopped.add(follower)
        group.run(gap_ms)
        group.stopped.add(group.leader())


@when(
    'a follower is cut off from the leader only, and the leader is lost'
    ' {gap_ms:d} ms later'
)
def when_cut_from_leader(context, gap_ms):
    context.cut_off = []
    for group in context.groups:
        follower, leader = group.follower(), group.leader()
        group.cuts |= {(follower, leader), (leader, follower)}
        context.cut_off.append(follower)
        group.run(gap_ms)
        group.stopped.add(leader)


@when('the leader is paused for {pause_ms:d} ms')
def when_leader_paused(context, pause_ms):
    for group in context.groups:
        paused = group.leader()
        group.stopped.add(paused)
        group.run(pause_ms)
        group.stopped.discard(paused)


@when('all lose power and start again within {spread_ms:d} ms of each other')
def when_all_restart(context, spread_ms):
    context.waits_ms = []
    for group in context.groups:
        group.restart(spread_ms)
        started_ms = group.now_ms
        limit_ms = 5 * SETTINGS.election_timeout_ms
        assert group.run_until(lambda: group.leader() is not None, limit_ms)
        context.waits_ms.append(group.now_ms - started_ms)


@when('two hosts that have lost the leader ask each other for a pre-vote')
def when_two_ask(context):
    (group,) = context.groups
    context.first, context.second = sorted(
        name for name in group.names if name != group.leader()
    )[:2]
    rules = group.steps[context.first].rules
    asking = {
        name: rules.start_election(group.states[name])
        for name in (context.first, context.second)
    }
    context.after = {}
    for name, other in (
        (context.first, context.second),
        (context.second, context.first),
    ):
        request = asking[other].outbound[0].message
        context.after[name] = rules.receive(asking[name].state, request)


@then('the first by name goes on, and the other grants and waits')
def then_first_goes_on(context):
    first, second = context.after[context.first], context.after[context.second]
    assert first.state.role is Role.PRE_CANDIDATE, first.state.role
    assert second.state.role is Role.FOLLOWER, second.state.role
    assert second.outbound[0].message.granted


@then(
    'each has a leader, on average a quarter of an election timeout after the'
    ' last start'
)
def then_elected_soon(context):
    limit_ms = SETTINGS.election_timeout_ms / 4
    assert mean(context.waits_ms) <= limit_ms, mean(context.waits_ms)


@then('each leader and its term are the same as before')
def then_leaders_same(context):
    for group, (leader, term) in zip(context.groups, context.leaders):
        assert group.leader() == leader
        assert group.states[leader].term == term


@then(
    'each new leader lists the lost follower within {limit_ms:d} ms of its'
    ' loss'
)
def then_lost_listed(context, limit_ms):
    for group, lost in zip(context.groups, context.lost):
        follower, lost_ms = lost

        def lists(group=group, follower=follower):
            leader = group.leader()
            return leader is not None and follower in group.silent(leader)

        assert group.run_until(lists, lost_ms + limit_ms - group.now_ms), lost


@then('no new leader lists the follower as silent within {limit_ms:d} ms')
def then_not_listed(context, limit_ms):
    for group, follower in zip(context.groups, context.cut_off):

        def lists(group=group, follower=follower):
            leader = group.leader()
            return leader is not None and follower in group.silent(leader)

        assert not group.run_until(lists, limit_ms), follower
        assert group.leader() is not None


@then(
    'each new leader promotes the learner {limit_ms:d} ms after its election'
    ' at the latest, though the learner does not ask again'
)
def then_promoted(context, limit_ms):
    for group in context.groups:
        assert group.run_until(
            lambda group=group: group.leader() is not None, 10_000
        )
        leader, learner = group.leader(), group.names[-1]
        assert group.run_until(
            lambda group=group, leader=leader, learner=learner: learner
            in group.planned(leader).voters,
            limit_ms,
        ), group.seed


@then('no leader plans to promote the learner {after_ms:d} ms later')
def then_not_promoted(context, after_ms):
    for group in context.groups:
        group.run(after_ms)
        leader, learner = group.leader(), group.names[-1]
        assert learner not in group.planned(leader).voters, group.seed


@then('the paused leader lists no silent voter at the moment it goes on')
def then_paused_lists_none(context):
    for group, (leader, _) in zip(context.groups, context.leaders):
        assert group.silent(leader) == frozenset()
