"""Steps for control hosts that are replaced in simulated time."""

from collections import defaultdict
from itertools import combinations
from itertools import pairwise

from behave import given
from behave import then
from behave import when
from msgspec import Struct

from features.steps.simulated_group_steps import DELAY_MS
from features.steps.simulated_group_steps import SETTINGS
from features.steps.simulated_group_steps import SimulatedGroup
from fuchsiacart.control.addresses import host_of
from fuchsiacart.control.consensus import Consensus
from fuchsiacart.control.member_tasks import CANDIDATE_TIMEOUT_MS
from fuchsiacart.control.member_tasks import JOIN_INTERVAL_S
from fuchsiacart.control.member_tasks import MAINTAIN_INTERVAL_S
from fuchsiacart.control.memberships import find_candidates
from fuchsiacart.control.memberships import latest_requests
from fuchsiacart.control.memberships import next_group
from fuchsiacart.control.replica_states import Group
from fuchsiacart.control.replica_states import latest_group
from fuchsiacart.control.replica_states import ReplicaState
from fuchsiacart.control.replica_states import Role
from fuchsiacart.control.timed_consensus import TimedConsensus
from fuchsiacart.randomness import make_random
from models.fair_elections import FairElections
from models.fair_elections import restarted

VOTER_COUNT = 5
ROUNDS = 20
JOIN_INTERVAL_MS = int(JOIN_INTERVAL_S * 1000)
MAINTAIN_INTERVAL_MS = int(MAINTAIN_INTERVAL_S * 1000)
COMMAND_INTERVAL_MS = 250
LOST_SHARE = 0.05
LATE_SHARE = 0.1
LATE_MS = 300
SLOW_DISK_MS = 200
RETURN_MS = (100, 800)
OUTAGE_MS = (300, 900)
LEADER_LOSS_MS = 2000
NEW_HOST = 'c5:1'
SECOND_NEW_HOST = 'c6:1'
CONNECTED_MS = (200, 1200)
CUT_OFF_MS = (300, 1500)
REPLACEMENT_LIMIT_MS = 30_000


class Replacement(Struct):
    """A lost voter and the replica that takes its place.

    ``started_ms`` is the start of the successor, ``replaced_ms`` the time of
    the commit from which the group has the successor and not the lost voter.
    """

    lost: str
    successor: str
    started_ms: int
    replaced_ms: int | None = None


class ReplacingGroup(SimulatedGroup):
    """Control hosts that join and replace each other as the product plans it.

    While ``is_checked``, each step that changes what is on a disk checks that
    the further losses that are tolerated leave a leader with all committed
    entries; ``failures`` describes the steps after which they do not.

    :param seed: seed of the timers and of the network.
    :param founders: number of voters at the start; the losses that these
        tolerate are checked, also while the group grows.
    """

    def __init__(self, seed, founders=VOTER_COUNT):
        self.random = make_random(seed, 'network')
        self.tolerated_losses = founders // 2
        self.slow_host = None
        self.has_bad_network = False
        self.leader_loses_power = False
        self.is_checked = False
        self.checks = 0
        self.failures = []
        self.replacements = []
        self.committed = ()
        self.history = []
        self._starts = {}
        self._asking = defaultdict(dict)
        self._survivals = {}
        super().__init__(founders, seed)

    def lose_disk(self, name, successor_host=None):
        """Lose a voter with its disk; a blank replica starts soon after.

        :param name: the voter.
        :param successor_host: host of the blank replica, the same by default.
        """
        self.names.remove(name)
        self.stopped.add(name)
        self._starts.pop(name, None)
        del self.states[name]
        host = successor_host or host_of(name)
        successor = f'{host}/{len(self.replacements)}'
        started_ms = self.now_ms + self.random.randint(*RETURN_MS)
        self.replacements.append(Replacement(name, successor, started_ms))
        self._starts[successor] = started_ms

    def add_host(self, host):
        """Start a blank replica on a new host."""
        self._starts[f'{host}/0'] = self.now_ms + 1

    def lose_power(self, name):
        """Stop a replica, which starts again soon from its disk."""
        self.stopped.add(name)
        self._starts[name] = self.now_ms + self.random.randint(*OUTAGE_MS)

    def voter_of(self, host):
        """Return the voter on a host."""
        group = self._committed_group()
        return next(each for each in group.voters if host_of(each) == host)

    def has_all_voters(self):
        """Return True if the group has as many voters as it should have."""
        return len(self._committed_group().voters) == VOTER_COUNT

    def is_replaced(self):
        """Return True if all lost voters are replaced."""
        return all(each.replaced_ms is not None for each in self.replacements)

    def _committed_group(self):
        return latest_group(Group(), self.committed)

    def _advance(self):
        super()._advance()
        for name, start_ms in tuple(self._starts.items()):
            if start_ms <= self.now_ms:
                del self._starts[name]
                self._start(name)
        if self.now_ms % JOIN_INTERVAL_MS == 0:
            self._ask_to_join()
        if self.now_ms % MAINTAIN_INTERVAL_MS == 0:
            for name in self.names:
                self._apply(name, self._maintain)
        if self.now_ms % COMMAND_INTERVAL_MS == 0:
            for name in self.names:
                self._apply(name, self._propose)

    def _start(self, name):
        if name not in self.states:
            self.names.append(name)
            self.states[name] = ReplicaState(name)
        self.states[name] = restarted(self.states[name])
        self.steps[name] = TimedConsensus(
            SETTINGS, make_random(self.seed, name), self.now_ms
        )
        self._asking[name] = {}
        self.stopped.discard(name)

    def _ask_to_join(self):
        leader = self.leader()
        if leader is None:
            return
        for name in self.names:
            state = self.states[name]
            is_voter = name in state.group.voters
            if is_voter and self.steps[name].has_contact(state, self.now_ms):
                continue
            if name in self.stopped or (name, leader) in self.cuts:
                continue
            if name != leader and not self._is_lost():
                self._asking[leader][name] = self.now_ms

    def _maintain(self, steps, state):
        is_pending = any(
            entry.group is not None
            for entry in state.entries_from(state.commit_index + 1)
        )
        if state.role is Role.LEADER and not is_pending:
            requested_ms = {
                name: asked_ms
                for name, asked_ms in self._asking[state.replica].items()
                if self.now_ms - asked_ms < CANDIDATE_TIMEOUT_MS
            }
            planned = next_group(
                state.group,
                find_candidates(
                    latest_requests(requested_ms),
                    steps.ready_learners(state, self.now_ms),
                ),
                steps.unresponsive_voters(state, self.now_ms),
                VOTER_COUNT,
            )
            if planned is not None:
                return steps.rules.propose_group(state, planned)
        return steps.rules.propose(state, ())

    def _propose(self, steps, state):
        return steps.rules.propose(state, (str(self.now_ms).encode(),))

    def _is_lost(self):
        return self.has_bad_network and self.random.random() < LOST_SHARE

    def _delay_ms(self, message):
        if self._is_lost():
            return None
        delay_ms = DELAY_MS
        if self.has_bad_network and self.random.random() < LATE_SHARE:
            delay_ms += self.random.randrange(LATE_MS)
        if host_of(message.sender) == self.slow_host:
            delay_ms += SLOW_DISK_MS
        return delay_ms

    def _apply(self, name, event):
        if name in self.stopped:
            return
        before = self.states[name]
        super()._apply(name, event)
        state = self.states[name]
        if state.commit_index > len(self.committed):
            self.committed = state.entries_from(1, state.commit_index)
            self._note_replacements()
        is_durable = (
            state.log is not before.log
            or state.term != before.term
            or state.voted_for != before.voted_for
        )
        if self.is_checked and is_durable:
            self._check_losses()

    def _note_replacements(self):
        group = self._committed_group()
        if not self.history or group != self.history[-1]:
            self.history.append(group)
        voters = group.voters
        for each in self.replacements:
            if each.lost in voters or each.successor not in voters:
                continue
            if each.replaced_ms is None:
                each.replaced_ms = self.now_ms

    def _check_losses(self):
        """Check that the losses that are tolerated now leave a leader."""
        missing = sum(each.replaced_ms is None for each in self.replacements)
        losses = self.tolerated_losses - missing
        holding = [
            restarted(state) for state in self.states.values() if state.log
        ]
        blank = [
            restarted(state) for state in self.states.values() if not state.log
        ]
        for lost in combinations(holding, losses):
            running = [each for each in holding if each not in lost] + blank
            if not self._survives(tuple(running)):
                names = [each.replica for each in lost]
                self.failures.append(self._describe(names))

    def _survives(self, running):
        self.checks += 1
        key = (running, len(self.committed))
        if key not in self._survivals:
            leader = FairElections(running, Consensus()).elect(ROUNDS)
            self._survivals[key] = leader is not None and (
                leader.entries_from(1, len(self.committed)) == self.committed
            )
        return self._survivals[key]

    def _describe(self, lost):
        """Return a line on the disks lost, and one on each replica."""
        group = self._committed_group()
        lines = [
            f'seed {self.seed} at {self.now_ms} ms, lost {lost}, committed'
            f' {len(self.committed)}, voters {group.voters}'
        ]
        lines += [
            f'  {state.replica}: term {state.term}, last'
            f' {state.last_term}/{state.last_index},'
            f' commit {state.commit_index}, {state.group}'
            for state in self.states.values()
        ]
        return '\n'.join(lines)


def lose_random_disk(group, successor_host=None):
    """Lose the disk of a random host.

    :param group: the :class:`ReplacingGroup`.
    :param successor_host: see :meth:`ReplacingGroup.lose_disk`.
    """
    group.lose_disk(group.random.choice(sorted(group.names)), successor_host)


def finish_replacements(group):
    """Wait for the replacements; the leader may lose power meanwhile."""
    if group.leader_loses_power:
        group.run(group.random.randrange(LEADER_LOSS_MS))
        leader = group.leader()
        if leader is not None:
            group.lose_power(leader)
    assert group.run_until(group.is_replaced, REPLACEMENT_LIMIT_MS), (
        group.seed,
        group.replacements,
    )


@given(
    'groups of {founders:d} voters in simulated time that lose and delay'
    ' messages, one with a slow disk, seeds {first:d} to {last:d}'
)
def given_replacing_groups(context, founders, first, last):
    context.groups = [
        ReplacingGroup(seed, founders) for seed in range(first, last + 1)
    ]
    for group in context.groups:
        group.has_bad_network = True
        group.slow_host = host_of(group.random.choice(group.names))
        group.is_checked = True


@given('leaders that lose power while a disk is replaced')
def given_power_loss(context):
    for group in context.groups:
        group.leader_loses_power = True


@when('a disk is lost and the host comes back')
def when_disk_lost(context):
    for group in context.groups:
        lose_random_disk(group)
        finish_replacements(group)


@when('two disks are lost at once and the hosts come back')
def when_two_disks_lost(context):
    for group in context.groups:
        lose_random_disk(group)
        lose_random_disk(group)
        finish_replacements(group)


@when('a voter is lost for good and a new host joins')
def when_host_gone(context):
    for group in context.groups:
        lose_random_disk(group, NEW_HOST)
        finish_replacements(group)


@when('the same host loses its disk and comes back {count:d} times in a row')
def when_exchanged(context, count):
    for group in context.groups:
        host = host_of(group.random.choice(group.names))
        for _ in range(count):
            group.lose_disk(group.voter_of(host))
            finish_replacements(group)


@when('two hosts join while the leader is cut off {count:d} times')
def when_group_grows(context, count):
    for group in context.groups:
        for host in (NEW_HOST, SECOND_NEW_HOST):
            group.add_host(host)
        for _ in range(count):
            group.run(group.random.randrange(*CONNECTED_MS))
            leader = group.leader()
            if leader is not None:
                group.isolate(leader)
            group.run(group.random.randrange(*CUT_OFF_MS))
            group.cuts.clear()
        assert group.run_until(group.has_all_voters, REPLACEMENT_LIMIT_MS)


@then(
    'at each step the further losses that are tolerated leave a leader with'
    ' all committed entries'
)
def then_survived(context):
    for group in context.groups:
        assert group.checks, group.seed
        assert not group.failures, group.failures[0]


@then('no replica is a member again once it was removed')
def then_none_returned(context):
    for group in context.groups:
        removed = set()
        for before, after in pairwise(group.history):
            removed |= set(before.members) - set(after.members)
            returned = removed & set(after.members)
            assert not returned, (group.seed, returned)


@then('each new replica is a voter within the time to catch up')
def then_replaced_in_time(context):
    limit_ms = SETTINGS.catch_up_s * 1000
    late = [
        (group.seed, each.successor, each.replaced_ms - each.started_ms)
        for group in context.groups
        for each in group.replacements
        if each.replaced_ms - each.started_ms > limit_ms
    ]
    assert not late, late
