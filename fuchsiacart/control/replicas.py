"""The task that runs one replica: journal, peers and applied state."""

from asyncio import create_task
from asyncio import Future
from asyncio import get_running_loop
from asyncio import Queue
from asyncio import sleep
from asyncio import to_thread
from asyncio import wait_for
from time import monotonic

from msgspec.msgpack import encode
from msgspec import Struct
from msgspec.structs import replace

from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.clocks import steady_ms
from fuchsiacart.control.addresses import FOUNDER
from fuchsiacart.control.addresses import founding_voters
from fuchsiacart.control.addresses import host_of
from fuchsiacart.control.addresses import make_address_book
from fuchsiacart.control.commands import Command
from fuchsiacart.control.commands import COMMANDS
from fuchsiacart.control.consensus import Consensus
from fuchsiacart.control.consensus import Step
from fuchsiacart.control.elections import ElectionTimer
from fuchsiacart.control.journals import Journal
from fuchsiacart.control.replica_messages import AppendRequest
from fuchsiacart.control.replica_messages import Message
from fuchsiacart.control.replica_messages import SnapshotRequest
from fuchsiacart.control.replica_senders import ReplicaSender
from fuchsiacart.control.replica_states import Entry
from fuchsiacart.control.replica_states import Group
from fuchsiacart.control.replica_states import ReplicaState
from fuchsiacart.control.replica_states import Role
from fuchsiacart.control.states import ReplicatedState
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import Run
from fuchsiacart.logs import log_event
from fuchsiacart.logs import log_warning
from fuchsiacart.models import ReplicaId
from fuchsiacart.randomness import make_random
from fuchsiacart.revision_notifiers import RevisionNotifier

TICK_S = 0.02
BATCH_EVENTS = 512


class Inbound(Struct, frozen=True):
    """A message from another replica."""

    message: Message


class Proposal(Struct, frozen=True):
    """A command to commit; the future gets its outcome."""

    command: Command
    done: Future


class GroupProposal(Struct, frozen=True):
    """A change of the members; the future gets None once committed."""

    group: Group
    done: Future


class Bootstrap(Struct, frozen=True):
    """The first members; the future gets None once durable."""

    group: Group
    done: Future


class Barrier(Struct, frozen=True):
    """The future gets None once leadership is confirmed by a quorum."""

    done: Future


class Tick(Struct, frozen=True):
    """Time has passed."""


class Waiter(Struct, frozen=True):
    """Who waits for the entry at an index."""

    term: int
    done: Future


class ReplicaTask:
    """Owns the journal and the replicated state of one control host.

    :param settings: the settings of the process.
    :param adapter: transport to the other control hosts.
    """

    def __init__(self, settings, adapter):
        self._settings = settings
        self._consensus = Consensus()
        self._addresses = make_address_book(settings)
        self._sender = ReplicaSender(adapter, self._addresses)
        self._inbox = Queue()
        founders = founding_voters(settings)
        self._is_founder = bool(founders)
        self._journal = Journal(
            settings.control.data_folder,
            FOUNDER if self._is_founder else None,
        )
        self._heard_ms = {}
        self._random = make_random(settings.seed, settings.host.name)
        self._waiters = {}
        self._waiting_barriers = []
        self._round_barriers = []
        self._barrier_round = 0
        self._snapshot = b''
        self._applied_index = 0
        self.notifier = RevisionNotifier(
            lambda: self.replicated_state.stored.revision
        )
        self._last_heartbeat_ms = 0.0
        self.led_since_s = 0.0
        self._opened_ms = steady_ms()
        self.replicated_state = ReplicatedState()
        self._state = ReplicaState(self.replica)
        self._timer = None
        self._open()

    @property
    def replica(self):
        """Return this replica's id, which lives with its data folder."""
        identity = self._journal.identity
        return ReplicaId(f'{self._settings.replica_host}/{identity.replica}')

    @property
    def state(self):
        """Return the durable state of the replica."""
        return self._state

    @property
    def is_leader(self):
        """Tell whether this replica leads, as far as it knows."""
        return self._state.role is Role.LEADER

    @property
    def is_blank(self):
        """Tell whether this replica has no members and no data yet."""
        return not self._state.group.members

    @property
    def bytes_written(self):
        """Return the bytes written to the journal since the start."""
        return self._journal.bytes_written

    @property
    def leader_address(self):
        """Return the address of the leader, or an empty string."""
        if self._state.leader is None:
            return ''
        return self._addresses.get(host_of(self._state.leader), '')

    @property
    def member_addresses(self):
        """Return the addresses of all members that are known."""
        members = self._state.group.members
        addresses = [self._addresses.get(host_of(each)) for each in members]
        return tuple(address for address in addresses if address)

    def has_contact(self):
        """Tell whether a leader, or as leader a quorum, was heard lately."""
        now_ms = steady_ms()
        if self.is_leader:
            return self._timer.has_fresh_quorum(now_ms)
        return self._timer.has_fresh_leader(now_ms)

    def silent_ms(self, replica):
        """Return how long another replica has not been heard."""
        heard_ms = self._heard_ms.get(replica, self._opened_ms)
        if self.is_leader:
            heard_ms = max(heard_ms, self.led_since_s * MILLISECONDS)
        return steady_ms() - heard_ms

    def deliver(self, message):
        """Take in a message from another replica."""
        self._inbox.put_nowait(Inbound(message))

    async def propose(self, command, timeout_s=5.0):
        """Commit a command as the leader.

        :param command: the command.
        :param timeout_s: seconds to wait.
        :return: its outcome.
        :raises ChangeError: when this replica does not lead (not run) or no
            quorum answers in time (unknown).
        """
        done = get_running_loop().create_future()
        return await self._ask(Proposal(command, done), done, timeout_s)

    async def change_group(self, group, timeout_s=10.0):
        """Commit a change of the members as the leader."""
        done = get_running_loop().create_future()
        return await self._ask(GroupProposal(group, done), done, timeout_s)

    async def bootstrap(self, group):
        """Set the first members of a blank replica."""
        done = get_running_loop().create_future()
        return await self._ask(Bootstrap(group, done), done, 10.0)

    async def confirm_leadership(self, timeout_s=2.0):
        """Return once a quorum confirms that this replica leads.

        :param timeout_s: seconds to wait.
        :raises ChangeError: when it does not lead or no quorum answers.
        """
        done = get_running_loop().create_future()
        await self._ask(Barrier(done), done, timeout_s)

    async def run(self):
        """Run until cancelled."""
        ticker = create_task(self._tick())
        try:
            while True:
                await self._handle(await self._next_batch())
        finally:
            ticker.cancel()
            self._sender.close()
            self._journal.close()

    def _open(self):
        stored = self._journal.load()
        self._state = replace(stored.state, replica=self.replica)
        if self._is_founder and self.is_blank:
            self._found_group()
        if stored.snapshot is not None:
            self._snapshot = stored.snapshot
            self.replicated_state.restore(stored.snapshot)
            self._applied_index = self._state.base_index
        self._timer = ElectionTimer(
            self._settings.control.election_timeout_ms,
            self._random,
            steady_ms(),
        )
        log_event(
            'replica_opened',
            replica=self.replica,
            boots=self._journal.identity.boots,
            term=self._state.term,
            last_index=self._state.last_index,
        )

    def _found_group(self):
        """Start as one of the first voters, each of which does the same."""
        group = Group(founding_voters(self._settings))
        founded = _with_first_group(self._state, group)
        self._journal.save(self._state, founded)
        self._state = founded
        log_event('group_founded', voters=group.voters)

    async def _ask(self, event, done, timeout_s):
        self._inbox.put_nowait(event)
        try:
            return await wait_for(done, timeout_s)
        except TimeoutError as error:
            raise ChangeError(
                'no quorum answered in time',
                ErrorKind.NO_QUORUM,
                Run.UNKNOWN,
            ) from error

    async def _tick(self):
        while True:
            await sleep(TICK_S)
            if self._inbox.qsize() < BATCH_EVENTS:
                self._inbox.put_nowait(Tick())

    async def _next_batch(self):
        events = [await self._inbox.get()]
        while len(events) < BATCH_EVENTS and not self._inbox.empty():
            events.append(self._inbox.get_nowait())
        return events

    async def _handle(self, events):
        before = self._state
        state = before
        sends = []
        for event in _merge_proposals(events):
            step = self._take(state, event)
            state = step.state
            sends.extend(step.outbound)
        state, more = self._start_barrier_round(state)
        sends.extend(more)
        await self._persist(before, state)
        self._state = state
        self._note_role(before, state)
        for send in sends:
            self._sender.send(send, self._snapshot)
        self._apply_committed()
        self._resolve_barriers()
        await self._compact()

    def _take(self, state, event):
        if isinstance(event, Inbound):
            return self._take_message(state, event.message)
        if isinstance(event, list):
            return self._take_proposals(state, event)
        if isinstance(event, GroupProposal):
            return self._take_group(state, event)
        if isinstance(event, Bootstrap):
            return self._take_bootstrap(state, event)
        if isinstance(event, Barrier):
            self._waiting_barriers.append(event.done)
        return self._take_tick(state)

    def _take_message(self, state, message):
        now_ms = steady_ms()
        self._heard_ms[message.sender] = now_ms
        fresh = self._timer.has_fresh_leader(now_ms)
        if state.role is Role.LEADER:
            fresh = self._timer.has_fresh_quorum(now_ms)
        step = self._consensus.receive(state, message, fresh)
        is_leading = isinstance(message, AppendRequest | SnapshotRequest)
        if is_leading and message.term == step.state.term:
            self._timer.hear_leader(now_ms)
        granted = step.state.voted_for not in (state.voted_for, None)
        if granted and step.state.voted_for != state.replica:
            self._timer.restart(now_ms)
        if step.state.role is Role.LEADER:
            confirmed = self._consensus.confirmed_round(step.state)
            self._timer.confirm_round(confirmed, now_ms)
        if isinstance(message, SnapshotRequest):
            self._take_snapshot(state, step.state, message)
        return step

    def _take_snapshot(self, before, after, message):
        if after.base_index == before.base_index:
            return
        self._snapshot = message.body
        self.replicated_state.restore(message.body)
        self._applied_index = message.index
        log_event('snapshot_installed', index=message.index)

    def _take_proposals(self, state, proposals):
        if state.role is not Role.LEADER:
            for proposal in proposals:
                _refuse(proposal.done, 'this control host does not lead')
            return Step(state)
        bodies = [encode(proposal.command) for proposal in proposals]
        step = self._consensus.propose(state, bodies)
        index = state.last_index
        for proposal in proposals:
            index += 1
            self._waiters[index] = Waiter(step.state.term, proposal.done)
        return step

    def _take_group(self, state, event):
        step = self._consensus.propose_group(state, event.group)
        if step.state is state:
            _refuse(event.done, 'the members cannot be changed now')
            return step
        waiter = Waiter(step.state.term, event.done)
        self._waiters[step.state.last_index] = waiter
        return step

    def _take_bootstrap(self, state, event):
        if state.group == event.group:
            _resolve(event.done, None)
            return Step(state)
        if state.group.members:
            _refuse(event.done, 'this control host has members already')
            return Step(state)
        self._waiters[1] = Waiter(1, event.done)
        return Step(_with_first_group(state, event.group))

    def _take_tick(self, state):
        now_ms = steady_ms()
        if state.role is Role.LEADER:
            return self._take_leader_tick(state, now_ms)
        if not self._timer.is_due(now_ms):
            return Step(state)
        self._timer.restart(now_ms)
        return self._consensus.start_election(state)

    def _take_leader_tick(self, state, now_ms):
        if not self._timer.has_fresh_quorum(now_ms):
            log_warning('leader_without_quorum', term=state.term)
            return self._consensus.step_down(state)
        due_ms = self._settings.control.heartbeat_ms
        if now_ms - self._last_heartbeat_ms < due_ms:
            return Step(state)
        self._last_heartbeat_ms = now_ms
        return self._consensus.heartbeat(state)

    def _start_barrier_round(self, state):
        if self._round_barriers or not self._waiting_barriers:
            return state, ()
        if state.role is not Role.LEADER:
            return state, ()
        step = self._consensus.heartbeat(state)
        self._round_barriers = self._waiting_barriers
        self._waiting_barriers = []
        self._barrier_round = step.state.round
        return step.state, step.outbound

    async def _persist(self, before, after):
        if after.base_index != before.base_index:
            await to_thread(self._journal.save_snapshot, after, self._snapshot)
            return
        if after is before:
            return
        await to_thread(self._journal.save, before, after)

    def _note_role(self, before, after):
        now_ms = steady_ms()
        if after.role is before.role and after.term == before.term:
            return
        if after.role is Role.LEADER:
            self._timer.on_elected(now_ms)
            self.led_since_s = monotonic()
            log_event('leader_elected', term=after.term, leader=self.replica)
            return
        if before.role is Role.LEADER:
            log_event('leader_stepped_down', term=after.term)
            self._drop_waiters()

    def _drop_waiters(self):
        for waiter in self._waiters.values():
            _refuse(waiter.done, 'leadership was lost', Run.UNKNOWN)
        self._waiters.clear()
        for done in self._round_barriers + self._waiting_barriers:
            _refuse(done, 'leadership was lost')
        self._round_barriers = []
        self._waiting_barriers = []

    def _apply_committed(self):
        state = self._state
        revision = self.replicated_state.stored.revision
        pending = state.entries_from(
            self._applied_index + 1, state.commit_index - self._applied_index
        )
        for entry in pending:
            self._applied_index += 1
            outcome = None
            if entry.body:
                outcome = self.replicated_state.apply(
                    COMMANDS.decode(entry.body)
                )
            waiter = self._waiters.pop(self._applied_index, None)
            if waiter is None:
                continue
            if waiter.term == entry.term:
                _resolve(waiter.done, outcome)
            else:
                _refuse(waiter.done, 'another entry was committed')
        if self.replicated_state.stored.revision != revision:
            self.notifier.notify()

    def _resolve_barriers(self):
        if not self._round_barriers and not self._waiting_barriers:
            return
        state = self._state
        if state.role is not Role.LEADER:
            self._drop_waiters()
            return
        if state.term_at(state.commit_index) != state.term:
            return
        if self._consensus.confirmed_round(state) < self._barrier_round:
            return
        for done in self._round_barriers:
            _resolve(done, None)
        self._round_barriers = []
        if self._waiting_barriers:
            self._inbox.put_nowait(Tick())

    async def _compact(self):
        state = self._state
        held = self._applied_index - state.base_index
        if held < self._settings.control.compact_entries:
            return
        body = self.replicated_state.snapshot()
        after = self._consensus.compact(state, self._applied_index).state
        await to_thread(self._journal.save_snapshot, after, body)
        self._snapshot = body
        self._state = after
        log_event('snapshot_saved', index=after.base_index, bytes=len(body))


def _with_first_group(state, group):
    """Return a blank state with the first members as its only entry."""
    first = Entry(1, group=group)
    return replace(state, term=1, log=(first,), group=group, commit_index=1)


def _merge_proposals(events):
    """Yield the events with neighbouring proposals as one list."""
    proposals = []
    for event in events:
        if isinstance(event, Proposal):
            proposals.append(event)
            continue
        if proposals:
            yield proposals
            proposals = []
        yield event
    if proposals:
        yield proposals


def _resolve(done, result):
    if not done.done():
        done.set_result(result)


def _refuse(done, detail, run=Run.NO):
    if not done.done():
        done.set_exception(ChangeError(detail, ErrorKind.NO_QUORUM, run))
