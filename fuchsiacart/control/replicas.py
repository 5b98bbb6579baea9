"""Task that runs one replica: its journal, peers and applied state."""

from asyncio import create_task
from asyncio import get_running_loop
from asyncio import Queue
from asyncio import sleep
from asyncio import to_thread
from asyncio import wait_for
from time import monotonic

from msgspec.structs import replace

from fuchsiacart.clocks import boot_ms
from fuchsiacart.clocks import steady_ms
from fuchsiacart.control.addresses import FOUNDER
from fuchsiacart.control.addresses import founding_voters
from fuchsiacart.control.addresses import host_of
from fuchsiacart.control.addresses import make_address_book
from fuchsiacart.control.commands import COMMANDS
from fuchsiacart.control.commands import encode_command
from fuchsiacart.control.compactions import CompactionTrigger
from fuchsiacart.control.election_rules import Step
from fuchsiacart.control.journals import Journal
from fuchsiacart.control.leadership_barriers import LeadershipBarriers
from fuchsiacart.control.message_checks import check_recovered
from fuchsiacart.control.order_positions import find_subject
from fuchsiacart.control.proposals import ProposalProcessor
from fuchsiacart.control.pulls import ViewPacker
from fuchsiacart.control.replica_events import Barrier
from fuchsiacart.control.replica_events import BATCH_EVENTS
from fuchsiacart.control.replica_events import Bootstrap
from fuchsiacart.control.replica_events import GroupProposal
from fuchsiacart.control.replica_events import InboundMessage
from fuchsiacart.control.replica_events import merge_proposals
from fuchsiacart.control.replica_events import PendingEntries
from fuchsiacart.control.replica_events import Proposal
from fuchsiacart.control.replica_events import put_ticks_last
from fuchsiacart.control.replica_events import set_error
from fuchsiacart.control.replica_events import set_result
from fuchsiacart.control.replica_events import split_response
from fuchsiacart.control.replica_events import take_batch
from fuchsiacart.control.replica_events import Tick
from fuchsiacart.control.replica_messages import OutboundMessage
from fuchsiacart.control.replica_messages import SnapshotRequest
from fuchsiacart.control.replica_senders import ReplicaSender
from fuchsiacart.control.replica_states import Group
from fuchsiacart.control.replica_states import ReplicaState
from fuchsiacart.control.replica_states import Role
from fuchsiacart.control.states import ReplicatedState
from fuchsiacart.control.timed_consensus import TimedConsensus
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import Run
from fuchsiacart.logs import log_event
from fuchsiacart.models import ReplicaId
from fuchsiacart.pauses import PauseWatch
from fuchsiacart.randomness import make_random
from fuchsiacart.revision_notifiers import RevisionNotifier

TICK_S = 0.02


class ReplicaTask:
    """Owns the journal and the replicated state of one control host.

    All events go through one inbox.  The task handles them in batches, so
    that one write to the journal covers many of them.

    :param settings: the settings of the process.
    :param adapter: transport to the other control hosts.
    """

    def __init__(self, settings, adapter):
        self._settings = settings
        self._addresses = make_address_book(settings)
        self.sender = ReplicaSender(adapter, self._addresses, self.deliver)
        self._inbox = Queue()
        self._is_founder = bool(founding_voters(settings))
        self._journal = Journal(
            settings.control.data_folder,
            FOUNDER if self._is_founder else None,
        )
        self._steps = TimedConsensus(
            settings.control,
            make_random(settings.seed, settings.host.name),
            steady_ms(),
        )
        self._pending_entries = PendingEntries()
        self._proposals = ProposalProcessor(
            self._steps.rules, self._pending_entries
        )
        self._barriers = LeadershipBarriers(self._steps.rules)
        self._pauses = PauseWatch(boot_ms())
        self._compaction = CompactionTrigger(settings.control)
        self._snapshot = b''
        self._applied_index = 0
        self.notifier = RevisionNotifier(
            lambda: self.replicated_state.stored.revision
        )
        self.packer = ViewPacker()
        self.led_since_s = 0.0
        self.replicated_state = ReplicatedState()
        self._state = ReplicaState(self.replica)
        self._recover()

    @property
    def replica(self):
        """Return the id of this replica, from its host and data folder."""
        identity = self._journal.identity
        return ReplicaId(f'{self._settings.replica_host}/{identity.replica}')

    @property
    def state(self):
        """Return the :class:`ReplicaState`, as last made durable."""
        return self._state

    @property
    def is_leader(self):
        """Return True if this replica considers itself the leader."""
        return self._state.role is Role.LEADER

    @property
    def is_blank(self):
        """Return True if this replica has no members and no data yet."""
        return not self._state.group.members

    @property
    def leader_address(self):
        """Return the address of the leader, empty if it is not known."""
        leader = self._state.leader
        return self._addresses.get(host_of(leader), '') if leader else ''

    @property
    def member_addresses(self):
        """Return the known addresses of all members."""
        members = self._state.group.members
        addresses = [self._addresses.get(host_of(each)) for each in members]
        return tuple(address for address in addresses if address)

    @property
    def applied_index(self):
        """Return the index up to which the log is applied."""
        return self._applied_index

    def was_paused(self):
        """Return True if what is read now may have waited in a pause."""
        return self._pauses.was_paused(boot_ms())

    def has_contact(self):
        """See :meth:`TimedConsensus.has_contact`."""
        return self._steps.has_contact(self._state, steady_ms())

    def unresponsive_voters(self):
        """See :meth:`TimedConsensus.unresponsive_voters`."""
        return self._steps.unresponsive_voters(self._state, steady_ms())

    def ready_learners(self):
        """See :meth:`TimedConsensus.ready_learners`."""
        return self._steps.ready_learners(self._state, steady_ms())

    def learner_positions(self):
        """See :meth:`TimedConsensus.learner_positions`."""
        return self._steps.learner_positions(self._state, steady_ms())

    def deliver(self, message):
        """Queue a message from another replica; does not wait."""
        self._inbox.put_nowait(InboundMessage(message))

    async def respond(self, message):
        """Handle a message from another replica.

        :param message: the message.
        :return: the response to its sender, None if there is none.
        """
        response = get_running_loop().create_future()
        self._inbox.put_nowait(InboundMessage(message, response))
        return await response

    async def propose(self, command, timeout_s=5.0, seen_index=None):
        """Commit a command as the leader.

        :param command: the command.
        :param timeout_s: seconds to wait.
        :param seen_index: see :class:`OrderPositions`.
        :return: its :class:`Outcome`.
        :raises ChangeError: if the command cannot be stored, may be outdated
            or this replica does not lead (not run), or no quorum answers in
            time (unknown).
        """
        future = get_running_loop().create_future()
        proposal = Proposal(
            encode_command(command), future, find_subject(command), seen_index
        )
        return await self._submit(proposal, timeout_s)

    async def change_group(self, group, timeout_s=10.0):
        """Commit a membership change as the leader.

        :param group: the new members.
        :param timeout_s: seconds to wait.
        :raises ChangeError: if the change is refused or no quorum answers in
            time.
        """
        future = get_running_loop().create_future()
        return await self._submit(GroupProposal(group, future), timeout_s)

    async def bootstrap(self, group):
        """Set the initial members of a blank replica.

        :param group: the initial members.
        :raises ChangeError: if it has other members already.
        """
        future = get_running_loop().create_future()
        return await self._submit(Bootstrap(group, future), 10.0)

    async def confirm_leadership(self, timeout_s=2.0):
        """Wait until a quorum confirms that this replica leads.

        :param timeout_s: seconds to wait.
        :raises ChangeError: if it does not lead or no quorum answers in time.
        """
        future = get_running_loop().create_future()
        await self._submit(Barrier(future), timeout_s)

    async def run(self):
        """Handle events until cancelled."""
        ticker = create_task(self._tick())
        try:
            while True:
                await self._process_batch(await take_batch(self._inbox))
        finally:
            ticker.cancel()
            self.sender.close()
            self._journal.close()

    def _recover(self):
        recovered = self._journal.load(check_recovered)
        self._state = replace(recovered.state, replica=self.replica)
        if self._is_founder and self.is_blank:
            self._save_founding_group()
        if recovered.snapshot is not None:
            self._snapshot = recovered.snapshot
            self.replicated_state.restore(recovered.snapshot)
            self._applied_index = self._state.base_index
        log_event(
            'replica_opened',
            replica=self.replica,
            boots=self._journal.identity.boots,
            term=self._state.term,
            last_index=self._state.last_index,
        )

    def _save_founding_group(self):
        """Save the initial members; each founding voter saves the same."""
        group = Group(founding_voters(self._settings))
        founding_state = self._state.with_initial_group(group)
        self._journal.save(self._state, founding_state)
        self._state = founding_state
        log_event('group_founded', voters=group.voters)

    async def _submit(self, event, timeout_s):
        self._inbox.put_nowait(event)
        try:
            return await wait_for(event.future, timeout_s)
        except TimeoutError as error:
            raise ChangeError(
                'no quorum answered in time',
                ErrorKind.NO_QUORUM,
                Run.UNKNOWN,
            ) from error

    async def _tick(self):
        while True:
            await sleep(TICK_S)
            self._pauses.tick(boot_ms())
            if self._inbox.qsize() < BATCH_EVENTS:
                self._inbox.put_nowait(Tick())

    async def _process_batch(self, events):
        state = before = self._state
        outbound = []
        responses = []
        for event in merge_proposals(put_ticks_last(events)):
            step = self._process_event(state, event)
            state = step.state
            answered, others = split_response(event, step.outbound)
            responses.extend(answered)
            outbound.extend(others)
        step = self._barriers.start_round(state)
        state = step.state
        outbound.extend(step.outbound)
        await self._persist(before, state)
        self._state = state
        self._on_role_change(before, state)
        for answered in responses:
            set_result(*answered)
        self._send(outbound)
        self._apply_committed()
        if self._barriers.resolve(self._state):
            # The next batch starts their round.
            self._inbox.put_nowait(Tick())
        await self._compact()

    def _process_event(self, state, event):
        if isinstance(event, InboundMessage):
            return self._process_message(state, event.message)
        if isinstance(event, list):
            return self._proposals.process(state, event)
        if isinstance(event, GroupProposal):
            return self._proposals.process_group(state, event)
        if isinstance(event, Bootstrap):
            return self._process_bootstrap(state, event)
        if isinstance(event, Barrier):
            self._barriers.add(event.future)
        return self._steps.tick(state, steady_ms())

    def _process_message(self, state, message):
        step = self._steps.receive(state, message, steady_ms())
        if isinstance(message, SnapshotRequest):
            self._restore_snapshot(state, step.state, message)
        return step

    def _restore_snapshot(self, before, after, message):
        if after.base_index == before.base_index:
            return
        self._snapshot = message.body
        self.replicated_state.restore(message.body)
        self._applied_index = message.index
        self._compaction.reset()
        log_event('snapshot_installed', index=message.index)

    def _process_bootstrap(self, state, event):
        if state.group == event.group:
            set_result(event.future, None)
            return Step(state)
        if state.group.members:
            set_error(event.future, 'this control host has members already')
            return Step(state)
        self._pending_entries.add(1, 1, event.future)
        return Step(state.with_initial_group(event.group))

    async def _persist(self, before, after):
        started_ms = steady_ms()
        if after.base_index != before.base_index:
            await to_thread(self._journal.save_snapshot, after, self._snapshot)
        elif after is not before:
            await to_thread(self._journal.save, before, after)
        self._steps.on_written(steady_ms() - started_ms)

    def _send(self, outbound):
        now_ms = steady_ms()
        for each in outbound:
            message = self._steps.add_silences(
                self._state, each.message, now_ms
            )
            addressed = OutboundMessage(each.to, message)
            if not self.sender.send(addressed, self._snapshot):
                self._state = self._steps.rules.take_back(self._state, each)

    def _on_role_change(self, before, after):
        if after.role is before.role and after.term == before.term:
            return
        if after.role is Role.LEADER:
            self.led_since_s = monotonic()
            log_event('leader_elected', term=after.term, leader=self.replica)
        elif before.role is Role.LEADER:
            log_event('leader_stepped_down', term=after.term)
            self._pending_entries.fail()
            self._barriers.fail()

    def _apply_committed(self):
        state = self._state
        revision = self.replicated_state.stored.revision
        count = state.commit_index - self._applied_index
        for entry in state.entries_from(self._applied_index + 1, count):
            self._applied_index += 1
            self._compaction.record(entry)
            outcome = None
            if entry.body:
                outcome = self.replicated_state.apply(
                    COMMANDS.decode(entry.body)
                )
            self._pending_entries.resolve(
                self._applied_index, entry.term, outcome
            )
        if self.replicated_state.stored.revision != revision:
            self.notifier.notify()

    async def _compact(self):
        if not self._compaction.is_due:
            return
        body = self.replicated_state.snapshot()
        step = self._steps.rules.compact(self._state, self._applied_index)
        after = step.state
        await to_thread(self._journal.save_snapshot, after, body)
        self._compaction.reset()
        self._snapshot = body
        self._state = after
        log_event('snapshot_saved', index=after.base_index, bytes=len(body))
