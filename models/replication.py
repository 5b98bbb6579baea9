"""Model of the replicated log, which runs the product's own transitions.

Each message may be delivered at any time, in any order, or never; a bounded
number is delivered twice.  Late delivery also models a network partition that
heals.  A crash keeps the term, the vote and the log.  A lost disk leaves a
blank replica with a new identity, which the leader adds to the group: in an
operator's steps, or as the product plans the members itself.

In each state all replicas may lose power, with as many further disks lost as
are tolerated then; those left must elect a leader that holds all committed
entries.
"""

from itertools import combinations

from minicheck import Protocol
from msgspec import Struct
from msgspec.structs import replace

from fuchsiacart.control.consensus import Consensus
from fuchsiacart.control.election_rules import Step
from fuchsiacart.control.memberships import MemberCandidate
from fuchsiacart.control.memberships import next_group
from fuchsiacart.control.replica_messages import AppendResponse
from fuchsiacart.control.replica_messages import OutboundMessage
from fuchsiacart.control.replica_messages import PreVoteResponse
from fuchsiacart.control.replica_messages import VoteResponse
from fuchsiacart.control.replica_states import Entry
from fuchsiacart.control.replica_states import Group
from fuchsiacart.control.replica_states import ReplicaState
from fuchsiacart.control.replica_states import Role
from models.fair_elections import FairElections

INITIAL_TERM = 1
VOTER_COUNT = 3
TOLERATED_LOSSES = 1
FAIR_ROUNDS = 4
ONE_LEADER = 'one leader a term'
COMMITTED_STAY = 'committed entries stay'
COMPLETE_LEADERS = 'leaders hold committed entries'
MAJORITY_ELECTS = 'a majority elects a leader with all committed entries'
NOT_A_VOTER = 'not_a_voter'


class Bounds(Struct, frozen=True):
    """Limits of an exploration.

    ``elections`` names, in order, the replicas that start an election; each
    raises a term by at least one.  ``commands``, ``crashes``, ``resends`` and
    ``duplicates`` are maximum numbers; ``lost_disks`` names, in order, the
    replicas that lose their disk, ``exchanged`` those that an operator
    replaces while they run.  ``cut`` holds pairs that can't communicate.
    With ``pre_vote`` elections begin with a pre-vote; with ``planned`` the
    members are changed as the product plans them.
    """

    name: str
    elections: tuple[str, ...]
    commands: int = 0
    crashes: int = 0
    lost_disks: tuple[str, ...] = ()
    exchanged: tuple[str, ...] = ()
    cut: tuple[frozenset, ...] = ()
    pre_vote: bool = False
    planned: bool = False
    batch_entries: int = 1
    resends: int = 0
    duplicates: int = 1


class Faults(Struct, frozen=True):
    """Faults that can be seeded, to prove that the model finds them."""

    vote_not_synced: bool = False
    blank_votes: bool = False
    commits_earlier_term: bool = False
    log_not_synced: bool = False
    founds_again: bool = False
    votes_by_own_group: bool = False
    removed_leader_gives_up: bool = False


class FaultyConsensus(Consensus):
    """The product's transitions with seeded faults.

    :param faults: the :class:`Faults`.
    :param batch_entries: maximum number of entries in an append request.
    """

    def __init__(self, faults, batch_entries):
        super().__init__(batch_entries)
        self._faults = faults

    def _may_commit(self, state, index):
        if self._faults.commits_earlier_term:
            return True
        return super()._may_commit(state, index)

    def find_refusal(self, state, request, leader_is_fresh=False):
        """Return why a replica refuses to vote for a candidate."""
        refusal = super().find_refusal(state, request, leader_is_fresh)
        is_voter = state.replica in state.group.voters
        if refusal is None and self._faults.votes_by_own_group:
            return None if is_voter else NOT_A_VOTER
        return refusal

    def start_election(self, state):
        """Ask for pre-votes after an election timeout."""
        is_voter = state.replica in state.group.voters
        if self._faults.removed_leader_gives_up and not is_voter:
            return Step(state)
        return super().start_election(state)


def replacement_of(name):
    """Return the name of the replica that replaces one with a lost disk."""
    return f'{name}/2'


class Committed(Struct, frozen=True):
    """A committed entry, and the term of the replica that saw it first."""

    entry: Entry
    term: int


class World(Struct, frozen=True):
    """State of the model.

    ``elections`` to ``duplicates`` count the steps that :class:`Bounds`
    limits.  ``leaders`` and ``committed`` hold all leaders and committed
    entries observed so far.  ``violation`` names the invariant that the last
    step broke, if any.
    """

    replicas: tuple[ReplicaState, ...]
    network: frozenset[OutboundMessage]
    elections: int = 0
    commands: int = 0
    crashes: int = 0
    disk_losses: int = 0
    resends: int = 0
    duplicates: int = 0
    leaders: frozenset = frozenset()
    committed: tuple[Committed, ...] = ()
    violation: str = ''


class ReplicationModel:
    """Builds the protocol that the checker explores.

    With faults, no further states are explored once one violates an
    invariant.

    :param bounds: the :class:`Bounds`.
    :param faults: the :class:`Faults` to seed.
    """

    def __init__(self, bounds, faults=Faults()):
        self._bounds = bounds
        self._faults = faults
        self._has_counterexample = False
        self._elections_cache = {}
        self._consensus = Consensus(bounds.batch_entries)
        if faults != Faults():
            self._consensus = FaultyConsensus(faults, bounds.batch_entries)

    def protocol(self):
        """Return the protocol, with its steps and invariants."""
        return Protocol(
            name=self._bounds.name,
            candidate=False,
            fields=('world',),
            initial=(self._initial(),),
            transitions=self._transitions,
            invariants={
                ONE_LEADER: (lambda s: s['world'].violation != 'leader'),
                COMMITTED_STAY: (
                    lambda s: s['world'].violation != 'committed'
                ),
                COMPLETE_LEADERS: (
                    lambda s: s['world'].violation != 'complete'
                ),
                MAJORITY_ELECTS: lambda s: self._survives(s['world']),
            },
        )

    def _initial(self):
        names = ('r1', 'r2', 'r3')
        group = Group(names)
        log = (Entry(INITIAL_TERM, group=group),)
        replicas = tuple(
            ReplicaState(
                name,
                term=INITIAL_TERM,
                log=log,
                group=group,
                commit_index=1,
            )
            for name in names
        )
        replicas += tuple(
            ReplicaState(replacement_of(name))
            for name in self._bounds.exchanged
        )
        return World(replicas, frozenset(), committed=(Committed(log[0], 1),))

    def _transitions(self, fields):
        world = fields[0]
        if world.violation or self._has_counterexample:
            return []
        transitions = []
        for label, next_world in self._steps(world):
            if self._faults != Faults() and next_world.violation:
                self._has_counterexample = True
            if next_world != world:
                transitions.append((label, (next_world,)))
        return transitions

    def _steps(self, world):
        yield from self._election_steps(world)
        yield from self._delivery_steps(world)
        yield from self._command_steps(world)
        yield from self._resend_steps(world)
        yield from self._crash_steps(world)
        yield from self._disk_loss_steps(world)
        yield from self._group_change_steps(world)

    def _election_steps(self, world):
        if world.elections >= len(self._bounds.elections):
            return
        name = self._bounds.elections[world.elections]
        for position, state in enumerate(world.replicas):
            if state.replica != name or state.role is Role.LEADER:
                continue
            step = self._consensus.start_election(state)
            if not self._bounds.pre_vote and step.state is not state:
                step = self._consensus._become_candidate(state)
            next_world = replace(world, elections=world.elections + 1)
            yield f'{name} starts an election', self._apply_step(
                next_world, position, step
            )

    def _delivery_steps(self, world):
        places = {
            state.replica: position
            for position, state in enumerate(world.replicas)
        }
        for outbound in world.network:
            position = places.get(outbound.to)
            if position is None:
                continue
            state = world.replicas[position]
            step = self._consensus.receive(state, outbound.message)
            delivered = replace(world, network=world.network - {outbound})
            yield outbound, self._apply_step(delivered, position, step)
            if world.duplicates < self._bounds.duplicates:
                duplicated = replace(world, duplicates=world.duplicates + 1)
                yield 'delivered again', self._apply_step(
                    duplicated, position, step
                )

    def _command_steps(self, world):
        if world.commands >= self._bounds.commands:
            return
        for position, state in enumerate(world.replicas):
            if state.role is not Role.LEADER:
                continue
            body = f'command {world.commands}'.encode()
            step = self._consensus.propose(state, [body])
            next_world = replace(world, commands=world.commands + 1)
            yield f'{state.replica} proposes', self._apply_step(
                next_world, position, step
            )

    def _resend_steps(self, world):
        if world.resends >= self._bounds.resends:
            return
        for position, state in enumerate(world.replicas):
            if state.role is not Role.LEADER:
                continue
            step = self._consensus.propose(state, [])
            next_world = replace(world, resends=world.resends + 1)
            yield f'{state.replica} sends again', self._apply_step(
                next_world, position, step
            )

    def _crash_steps(self, world):
        if world.crashes >= self._bounds.crashes:
            return
        for position, state in enumerate(world.replicas):
            restarted = self._durable_state(state)
            next_world = replace(world, crashes=world.crashes + 1)
            yield f'{state.replica} restarts', _replace_replica(
                next_world, position, restarted
            )

    def _durable_state(self, state):
        """Return the state of a replica after a restart."""
        log = state.log
        if self._faults.log_not_synced and len(log) > state.commit_index:
            log = log[: state.commit_index]
        voted_for = state.voted_for
        if self._faults.vote_not_synced:
            voted_for = None
        return ReplicaState(
            state.replica,
            term=state.term,
            voted_for=voted_for,
            log=log,
            group=state.group,
            commit_index=min(1, len(log)),
        )

    def _disk_loss_steps(self, world):
        if world.disk_losses >= len(self._bounds.lost_disks):
            return
        if not self._is_replaced(world):
            return
        name = self._bounds.lost_disks[world.disk_losses]
        for position, state in enumerate(world.replicas):
            if state.replica != name:
                continue
            blank = ReplicaState(replacement_of(name))
            if self._faults.blank_votes:
                blank = ReplicaState(name)
            if self._faults.founds_again:
                blank = self._initial().replicas[position]
            next_world = replace(world, disk_losses=world.disk_losses + 1)
            yield f'{name} loses its disk', _replace_replica(
                next_world, position, blank
            )

    def _is_replaced(self, world):
        """Return True if the replica that lost its disk last was replaced."""
        if not world.disk_losses:
            return True
        old = self._bounds.lost_disks[world.disk_losses - 1]
        groups = [
            seen.entry.group for seen in world.committed if seen.entry.group
        ]
        return (
            replacement_of(old) in groups[-1].voters
            and old not in groups[-1].voters
        )

    def _survives(self, world):
        """Return True if losses that are tolerated now leave a leader.

        While a lost disk is not replaced no further one may be lost.  All
        replicas that keep their disks lose power.
        """
        if world.violation:
            return True
        durable = tuple(map(self._durable_state, world.replicas))
        losses = TOLERATED_LOSSES if self._is_replaced(world) else 0
        committed = tuple(seen.entry for seen in world.committed)
        return all(
            self._elects(running, committed)
            for running in combinations(durable, len(durable) - losses)
        )

    def _elects(self, running, committed):
        key = (running, committed)
        if key not in self._elections_cache:
            elections = FairElections(running, self._consensus)
            leader = elections.elect(FAIR_ROUNDS)
            self._elections_cache[key] = leader is not None and (
                leader.entries_from(1, len(committed)) == committed
            )
        return self._elections_cache[key]

    def _group_change_steps(self, world):
        for position, state in enumerate(world.replicas):
            if state.role is not Role.LEADER:
                continue
            for group in self._next_groups(world, state):
                step = self._consensus.propose_group(state, group)
                label = f'{state.replica} changes to {group}'
                yield label, self._apply_step(world, position, step)

    def _next_groups(self, world, state):
        """Yield the groups that a leader may propose next in a replacement."""
        group = state.group
        if self._bounds.planned:
            planned = self._planned_group(world, state)
            if planned is not None:
                yield planned
            return
        lost = self._bounds.lost_disks[: world.disk_losses]
        for old in lost + self._bounds.exchanged:
            new = replacement_of(old)
            if new not in group.members:
                yield Group(group.voters, group.learners + (new,))
            elif new in group.learners:
                yield Group(group.voters + (new,), ())
            elif old in group.voters:
                voters = tuple(name for name in group.voters if name != old)
                yield Group(voters, group.learners)

    def _planned_group(self, world, state):
        """Return the next group as the product plans it, or None."""
        lost = self._bounds.lost_disks[: world.disk_losses]
        lost += self._bounds.exchanged
        candidates = []
        for replica in map(replacement_of, lost):
            progress = state.progress_of(replica)
            matched = progress.match_index if progress else 0
            is_caught_up = matched >= state.commit_index
            candidates.append(MemberCandidate(replica, is_caught_up))
        return next_group(state.group, candidates, set(lost), VOTER_COUNT)

    def _apply_step(self, world, position, step):
        """Return the world after a replica's step, with checked invariants."""
        before = world.replicas[position]
        next_world = _replace_replica(world, position, step.state)
        next_world = self._send(next_world, step.outbound)
        next_world = _check_leader(next_world, before, step.state)
        return _check_commit(next_world, before, step.state)

    def _send(self, world, outbound_messages):
        """Add messages to the network and remove those without effect.

        These are messages that cannot be delivered, or whose delivery can
        change nothing now or later.
        """
        states = {state.replica: state for state in world.replicas}
        network = frozenset(
            outbound
            for outbound in world.network | frozenset(outbound_messages)
            if outbound.to in states
            and frozenset((outbound.to, outbound.message.sender))
            not in self._bounds.cut
            and not is_ignored(states[outbound.to], outbound.message)
        )
        return replace(world, network=network)


def is_ignored(state, message):
    """Return True if a replica will ignore a message, now and later.

    Terms only grow, and a replica starts at most one election in a term.
    Therefore a response to an earlier election or leadership is ignored.
    """
    if isinstance(message, PreVoteResponse):
        is_relevant = message.granted or message.own_term > state.term
        return not is_relevant or (
            message.own_term <= state.term and message.term <= state.term
        )
    if isinstance(message, VoteResponse):
        if message.term != state.term:
            return message.term < state.term
        return not message.granted or state.role is not Role.CANDIDATE
    if isinstance(message, AppendResponse):
        if message.term != state.term:
            return message.term < state.term
        return state.role is not Role.LEADER
    return False


def _replace_replica(world, position, state):
    replicas = list(world.replicas)
    replicas[position] = state
    return replace(world, replicas=tuple(replicas))


def _check_leader(world, before, state):
    if state.role is not Role.LEADER or before.role is Role.LEADER:
        return world
    violation = world.violation
    for term, name in world.leaders:
        if term == state.term and name != state.replica:
            violation = 'leader'
    if not violation and not _is_complete(state, world.committed):
        violation = 'complete'
    leaders = world.leaders | {(state.term, state.replica)}
    return replace(world, leaders=leaders, violation=violation)


def _is_complete(state, committed):
    """Return True if a leader holds the entries earlier terms committed."""
    return all(
        state.entries_from(index + 1, 1) == (seen.entry,)
        for index, seen in enumerate(committed)
        if seen.term < state.term
    )


def _check_commit(world, before, state):
    if state.commit_index <= before.commit_index or world.violation:
        return world
    committed = state.log[: state.commit_index]
    for entry, seen in zip(committed, world.committed):
        if entry != seen.entry:
            return replace(world, violation='committed')
    added = committed[len(world.committed) :]
    newly_committed = tuple(Committed(entry, state.term) for entry in added)
    return replace(world, committed=world.committed + newly_committed)
