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
from fuchsiacart.control.replica_events import InboundMessage
from fuchsiacart.control.replica_events import put_ticks_last
from fuchsiacart.control.replica_events import Tick
from fuchsiacart.control.replica_messages import PreVoteResponse
from fuchsiacart.control.replica_messages import VoteResponse
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
# Callers are served again 15 s after a loss of power.
SLOW_LIMIT_MS = 15_000


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
        # Further delay of messages from and to a host.
        self.extra_ms = {}
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

    def propose(self, leader):
        """Let a leader append a command."""
        self._apply(
            leader,
            lambda steps, state: steps.rules.propose(state, [b'command']),
        )

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
        for each in step.outbound:
            message = steps.add_silences(step.state, each.message, self.now_ms)
            self._send(name, each.to, message)

    def _send(self, name, to, message):
        """Send a message of a host; it arrives after its delay."""
        delay_ms = self._delay_ms(message)
        if delay_ms is None:
            return
        delay_ms += self.extra_ms.get(name, 0) + self.extra_ms.get(to, 0)
        entry = (self.now_ms + delay_ms, next(self._order), to, message)
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


@when(
    'the learner is {extra_ms:d} ms further away, and a change comes each'
    ' {gap_ms:d} ms'
)
def when_far_learner(context, extra_ms, gap_ms):
    """Note in how many polls of 100 ms the learner is ready."""
    context.ready_shares = []
    for group in context.groups:
        leader, learner = group.leader(), group.names[-1]
        group.extra_ms[learner] = extra_ms
        ready = []
        for at_ms in range(0, 3000, gap_ms):
            group.propose(leader)
            group.run(gap_ms)
            if at_ms >= 1000 and at_ms % 100 == 0:
                ready.append(learner in group.planned(leader).voters)
        context.ready_shares.append(mean(ready))


@then('the learner is planned as a voter at each poll')
def then_always_ready(context):
    assert min(context.ready_shares) == 1.0, context.ready_shares


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
        assert group.silent(leader) == ()


class SlowDiskGroup:
    """Voters whose durable writes take long, from a loss of power on.

    Like :class:`ReplicaTask`, each handles in one batch what has arrived
    while it was writing.

    :param voter_count: number of voters.
    :param running_count: number of those that run.
    :param write_ms: time that a durable write takes.
    :param seed: seed of the election timers.
    """

    def __init__(self, voter_count, running_count, write_ms, seed):
        names = [f'c{index}:1/old' for index in range(voter_count)]
        group = Group(tuple(names))
        log = (Entry(1, group=group),)
        running = names[:running_count]
        self._write_ms = write_ms
        self.states = {
            name: ReplicaState(name, term=1, log=log, group=group)
            for name in running
        }
        self._steps = {
            name: TimedConsensus(SETTINGS, make_random(seed, name), 0)
            for name in running
        }
        self._inboxes = {name: [] for name in running}
        self._busy_until_ms = dict.fromkeys(running, 0)
        self._messages = []
        self._order = count()

    def elect(self, limit_ms):
        """Let time pass until a leader has committed an entry of its term.

        :return: the time that it took, None if it takes longer.
        """
        for now_ms in range(limit_ms):
            while self._messages and self._messages[0][0] <= now_ms:
                _, _, to, message = heappop(self._messages)
                if to in self._inboxes:
                    self._inboxes[to].append(InboundMessage(message))
            for name, inbox in self._inboxes.items():
                if now_ms % TICK_MS == 0:
                    inbox.append(Tick())
                if inbox and self._busy_until_ms[name] <= now_ms:
                    self._run_batch(name, now_ms)
                    if self._has_committed(name):
                        return now_ms
        return None

    def _run_batch(self, name, now_ms):
        steps, before = self._steps[name], self.states[name]
        state, outbound = before, []
        for event in put_ticks_last(self._inboxes[name]):
            if isinstance(event, Tick):
                step = steps.tick(state, now_ms)
            else:
                step = steps.receive(state, event.message, now_ms)
            state = step.state
            outbound += step.outbound
        self._inboxes[name].clear()
        self.states[name] = state
        end_ms = now_ms
        if is_written(before, state):
            end_ms += self._write_ms
            steps.on_written(self._write_ms)
        self._busy_until_ms[name] = end_ms
        for each in outbound:
            heappush(
                self._messages,
                (end_ms + DELAY_MS, next(self._order), each.to, each.message),
            )

    def _has_committed(self, name):
        state = self.states[name]
        if state.role is not Role.LEADER:
            return False
        return state.term_at(state.commit_index) == state.term


def is_written(before, after):
    """Return True if the step between two states needs a durable write."""
    return (before.term, before.voted_for, before.last_index) != (
        after.term,
        after.voted_for,
        after.last_index,
    )


@given(
    '{running:d} of {voters:d} voters that run, whose writes take'
    ' {write_ms:d} ms'
)
def given_slow_disks(context, running, voters, write_ms):
    context.slow_groups = [
        SlowDiskGroup(voters, running, write_ms, seed) for seed in range(1, 21)
    ]


@when('they start after a loss of power')
def when_slow_start(context):
    context.waits_ms = [
        group.elect(SLOW_LIMIT_MS) for group in context.slow_groups
    ]


@then('each group has a leader in the end')
def then_all_elected(context):
    assert None not in context.waits_ms, context.waits_ms


@given('a voter that is elected long after its start')
def given_late_winner(context):
    """Let a voter of three become a candidate."""
    names = ('a', 'b', 'c')
    group = Group(names)
    log = (Entry(1, group=group),)
    context.now_ms = 10 * SETTINGS.election_timeout_ms
    context.steps = TimedConsensus(SETTINGS, make_random(1, 'a'), 0)
    state = ReplicaState('a', term=1, log=log, group=group)
    state = context.steps.tick(state, context.now_ms).state
    response = PreVoteResponse('b', 2, 1, True)
    context.state = context.steps.receive(
        state, response, context.now_ms
    ).state


@when('the deciding vote and late ticks come in one batch')
def when_same_batch(context):
    # The replica was busy until its own timer was due.
    context.now_ms += 2 * SETTINGS.election_timeout_ms
    events = [Tick(), InboundMessage(VoteResponse('b', 2, True)), Tick()]
    for event in put_ticks_last(events):
        if isinstance(event, Tick):
            step = context.steps.tick(context.state, context.now_ms)
        else:
            step = context.steps.receive(
                context.state, event.message, context.now_ms
            )
        context.state = step.state


@then('it goes on to lead')
def then_leads(context):
    assert context.state.role is Role.LEADER, context.state.role
