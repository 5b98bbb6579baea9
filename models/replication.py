"""Model of the replicated log: it steps the product's own transitions.

Each message may be delivered at any time, in any order, or never; a bounded
number is delivered twice.  A cut that heals is a message delivered late.  A
crash keeps the term, the vote and the log.  A lost disk leaves a blank
replica with a new identity, which the leader lets in: by an operator's steps,
or as the product plans its members itself.
"""

from minicheck import Protocol
from msgspec import Struct
from msgspec.structs import replace

from fuchsiacart.control.consensus import Consensus
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

FIRST_TERM = 1
VOTERS = 3


class Bounds(Struct, frozen=True):
    """How far a model is explored.

    ``elections`` names, in order, who may stand; each election raises a
    term by one at least.  ``cut`` holds pairs that never hear each other.
    ``pre_vote`` puts elections through the pre-vote, ``planned`` has the
    members changed as the product plans them.
    """

    name: str
    elections: tuple[str, ...]
    commands: int = 0
    crashes: int = 0
    lost_disks: tuple[str, ...] = ()
    cut: tuple[frozenset, ...] = ()
    pre_vote: bool = False
    planned: bool = False
    batch_entries: int = 1
    resends: int = 0
    duplicates: int = 1


class Faults(Struct, frozen=True):
    """Faults that the model can be given, to prove that it finds them."""

    vote_not_synced: bool = False
    blank_votes: bool = False
    commits_earlier_term: bool = False
    log_not_synced: bool = False
    founds_again: bool = False


class FaultyConsensus(Consensus):
    """The product's transitions with faults put in."""

    def __init__(self, faults, batch_entries):
        super().__init__(batch_entries)
        self._faults = faults

    def _may_vote(self, state):
        return self._faults.blank_votes or super()._may_vote(state)

    def _may_commit(self, state, index):
        if self._faults.commits_earlier_term:
            return True
        return super()._may_commit(state, index)


def second_of(name):
    """Return the replica that a host has after its disk was lost."""
    return f'{name}/2'


class Committed(Struct, frozen=True):
    """An entry seen as committed, and the term of who saw it first."""

    entry: Entry
    term: int


class World(Struct, frozen=True):
    """State of the model.

    ``leaders`` and ``committed`` remember what has been seen; ``broken``
    names the invariant that a step broke.
    """

    replicas: tuple[ReplicaState, ...]
    network: frozenset[OutboundMessage]
    elections: int = 0
    commands: int = 0
    crashes: int = 0
    lost: int = 0
    resends: int = 0
    duplicates: int = 0
    leaders: frozenset = frozenset()
    committed: tuple[Committed, ...] = ()
    broken: str = ''


class ReplicationModel:
    """Builds the protocol that the checker explores.

    :param bounds: how far to explore.
    :param faults: faults to put in.
    """

    def __init__(self, bounds, faults=Faults()):
        self._bounds = bounds
        self._faults = faults
        self._is_refuted = False
        self._consensus = Consensus(bounds.batch_entries)
        if faults != Faults():
            self._consensus = FaultyConsensus(faults, bounds.batch_entries)

    def protocol(self):
        """Return the protocol."""
        return Protocol(
            name=self._bounds.name,
            candidate=False,
            fields=('world',),
            initial=(self._initial(),),
            transitions=self._transitions,
            invariants={
                'one leader a term': lambda s: s['world'].broken != 'leader',
                'committed entries stay': (
                    lambda s: s['world'].broken != 'committed'
                ),
                'leaders hold committed entries': (
                    lambda s: s['world'].broken != 'complete'
                ),
            },
        )

    def _initial(self):
        names = ('r1', 'r2', 'r3')
        group = Group(names)
        log = (Entry(FIRST_TERM, group=group),)
        replicas = tuple(
            ReplicaState(
                name,
                term=FIRST_TERM,
                log=log,
                group=group,
                commit_index=1,
            )
            for name in names
        )
        return World(replicas, frozenset(), committed=(Committed(log[0], 1),))

    def _transitions(self, fields):
        world = fields[0]
        if world.broken or self._is_refuted:
            return []
        found = []
        for label, following in self._steps(world):
            if self._faults != Faults() and following.broken:
                self._is_refuted = True
            if following != world:
                found.append((label, (following,)))
        return found

    def _steps(self, world):
        yield from self._elect(world)
        yield from self._deliver(world)
        yield from self._command(world)
        yield from self._resend(world)
        yield from self._crash(world)
        yield from self._lose_disk(world)
        yield from self._change_group(world)

    def _elect(self, world):
        if world.elections >= len(self._bounds.elections):
            return
        name = self._bounds.elections[world.elections]
        for position, state in enumerate(world.replicas):
            if state.replica != name or state.role is Role.LEADER:
                continue
            step = self._consensus.start_election(state)
            if not self._bounds.pre_vote and step.state is not state:
                step = self._consensus._become_candidate(state)
            counted = replace(world, elections=world.elections + 1)
            yield f'{name} stands', self._take(counted, position, step)

    def _deliver(self, world):
        places = {
            state.replica: position
            for position, state in enumerate(world.replicas)
        }
        for send in world.network:
            position = places.get(send.to)
            if position is None:
                continue
            state = world.replicas[position]
            step = self._consensus.receive(state, send.message)
            left = replace(world, network=world.network - {send})
            yield send, self._take(left, position, step)
            if world.duplicates < self._bounds.duplicates:
                kept = replace(world, duplicates=world.duplicates + 1)
                yield 'again', self._take(kept, position, step)

    def _command(self, world):
        if world.commands >= self._bounds.commands:
            return
        for position, state in enumerate(world.replicas):
            if state.role is not Role.LEADER:
                continue
            body = f'command {world.commands}'.encode()
            step = self._consensus.propose(state, [body])
            counted = replace(world, commands=world.commands + 1)
            yield f'{state.replica} proposes', self._take(
                counted, position, step
            )

    def _resend(self, world):
        if world.resends >= self._bounds.resends:
            return
        for position, state in enumerate(world.replicas):
            if state.role is not Role.LEADER:
                continue
            step = self._consensus.propose(state, [])
            counted = replace(world, resends=world.resends + 1)
            yield f'{state.replica} sends again', self._take(
                counted, position, step
            )

    def _crash(self, world):
        if world.crashes >= self._bounds.crashes:
            return
        for position, state in enumerate(world.replicas):
            kept = self._durable(state)
            counted = replace(world, crashes=world.crashes + 1)
            yield f'{state.replica} restarts', _with(counted, position, kept)

    def _durable(self, state):
        """Return what a replica holds after a restart."""
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

    def _lose_disk(self, world):
        if world.lost >= len(self._bounds.lost_disks):
            return
        if world.lost and not self._is_replaced(world):
            return
        name = self._bounds.lost_disks[world.lost]
        for position, state in enumerate(world.replicas):
            if state.replica != name:
                continue
            blank = ReplicaState(second_of(name))
            if self._faults.blank_votes:
                blank = ReplicaState(name)
            if self._faults.founds_again:
                blank = self._initial().replicas[position]
            counted = replace(world, lost=world.lost + 1)
            yield f'{name} loses its disk', _with(counted, position, blank)

    def _is_replaced(self, world):
        """Tell whether the last lost replica has been replaced."""
        old = self._bounds.lost_disks[world.lost - 1]
        groups = [
            held.entry.group for held in world.committed if held.entry.group
        ]
        return (
            second_of(old) in groups[-1].voters
            and old not in groups[-1].voters
        )

    def _change_group(self, world):
        for position, state in enumerate(world.replicas):
            if state.role is not Role.LEADER:
                continue
            for group in self._next_groups(world, state):
                step = self._consensus.propose_group(state, group)
                label = f'{state.replica} changes to {group}'
                yield label, self._take(world, position, step)

    def _next_groups(self, world, state):
        """Yield the steps of a replacement that come next."""
        group = state.group
        if self._bounds.planned:
            planned = self._planned_group(world, state)
            if planned is not None:
                yield planned
            return
        for index in range(world.lost):
            old = self._bounds.lost_disks[index]
            new = second_of(old)
            if new not in group.members:
                yield Group(group.voters, group.learners + (new,))
            elif new in group.learners:
                yield Group(group.voters + (new,), ())
            elif old in group.voters:
                voters = tuple(name for name in group.voters if name != old)
                yield Group(voters, group.learners)

    def _planned_group(self, world, state):
        """Return the next members as the product plans them, or None."""
        lost = self._bounds.lost_disks[: world.lost]
        candidates = []
        for replica in map(second_of, lost):
            progress = state.progress_of(replica)
            matched = progress.match_index if progress else 0
            is_caught_up = matched >= state.commit_index
            candidates.append(MemberCandidate(replica, is_caught_up))
        return next_group(state.group, candidates, set(lost), VOTERS)

    def _take(self, world, position, step):
        """Return the world after a step, with its invariants checked."""
        before = world.replicas[position]
        following = _with(world, position, step.state)
        following = self._sent(following, step.outbound)
        following = _check_leader(following, before, step.state)
        return _check_commit(following, before, step.state)

    def _sent(self, world, sends):
        """Put messages in the network; take out what nobody heeds.

        A message is left out where its delivery can change nothing, now or
        later, or where it cannot be delivered at all.
        """
        states = {state.replica: state for state in world.replicas}
        network = frozenset(
            send
            for send in world.network | frozenset(sends)
            if send.to in states
            and frozenset((send.to, send.message.sender))
            not in self._bounds.cut
            and not is_dead(states[send.to], send.message)
        )
        return replace(world, network=network)


def is_dead(state, message):
    """Tell whether a replica will never heed a message.

    Terms only grow, and a replica stands once in a term at most, so an
    answer to an earlier election or to an earlier leadership is ignored.
    """
    if isinstance(message, PreVoteResponse):
        heeded = message.granted or message.own_term > state.term
        return not heeded or (
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


def _with(world, position, state):
    replicas = list(world.replicas)
    replicas[position] = state
    return replace(world, replicas=tuple(replicas))


def _check_leader(world, before, state):
    if state.role is not Role.LEADER or before.role is Role.LEADER:
        return world
    broken = world.broken
    for term, name in world.leaders:
        if term == state.term and name != state.replica:
            broken = 'leader'
    if not broken and not _is_complete(state, world.committed):
        broken = 'complete'
    leaders = world.leaders | {(state.term, state.replica)}
    return replace(world, leaders=leaders, broken=broken)


def _is_complete(state, committed):
    """Tell whether a new leader holds what earlier terms committed."""
    return all(
        state.entries_from(index + 1, 1) == (held.entry,)
        for index, held in enumerate(committed)
        if held.term < state.term
    )


def _check_commit(world, before, state):
    if state.commit_index <= before.commit_index or world.broken:
        return world
    committed = state.log[: state.commit_index]
    for entry, held in zip(committed, world.committed):
        if entry != held.entry:
            return replace(world, broken='committed')
    added = committed[len(world.committed) :]
    known = tuple(Committed(entry, state.term) for entry in added)
    return replace(world, committed=world.committed + known)
