"""Raft consensus as pure functions on the state of one replica.

Each method takes a state and an event and returns the next state with the
messages to send.  Nothing here does I/O or reads a clock.  The caller must
make the term, the vote and the log durable before it sends the messages.
The model checker in ``models`` runs this class as well.
"""

from msgspec.structs import replace

from fuchsiacart.control.election_rules import ElectionRules
from fuchsiacart.control.election_rules import Step
from fuchsiacart.control.replica_messages import AppendRequest
from fuchsiacart.control.replica_messages import AppendResponse
from fuchsiacart.control.replica_messages import OutboundMessage
from fuchsiacart.control.replica_messages import PreVoteRequest
from fuchsiacart.control.replica_messages import PreVoteResponse
from fuchsiacart.control.replica_messages import SnapshotRequest
from fuchsiacart.control.replica_messages import VoteRequest
from fuchsiacart.control.replica_messages import VoteResponse
from fuchsiacart.control.replica_states import Entry
from fuchsiacart.control.replica_states import latest_group
from fuchsiacart.control.replica_states import Progress
from fuchsiacart.control.replica_states import Role

BATCH_ENTRIES = 256
# A message of this size crosses the link between two regions well within the
# time for which a sender waits.
BATCH_BYTES = 512 * 1024


class Consensus(ElectionRules):
    """Replication of the log and member changes, on top of the elections.

    The rules are those of the Raft algorithm (Ongaro and Ousterhout, 2014)
    with pre-vote, check quorum and single-server membership changes.

    :param batch_entries: maximum number of entries in one message.
    """

    def __init__(self, batch_entries=BATCH_ENTRIES):
        self._batch_entries = batch_entries

    def receive(self, state, message, leader_is_fresh=False):
        """Handle a message from another replica.

        :param state: the receiver's state.
        :param message: the message.
        :param leader_is_fresh: True if the receiver has heard from a
            leader, or as leader from a quorum, within an election timeout;
            vote requests are then refused or ignored.
        :return: the step; unchanged by a message of its own, which was meant
            for an earlier replica on its host.
        """
        if message.sender == state.replica:
            return Step(state)
        if isinstance(message, PreVoteRequest):
            return self._on_pre_vote(state, message, leader_is_fresh)
        if isinstance(message, PreVoteResponse):
            return self._on_pre_vote_response(state, message)
        if isinstance(message, VoteRequest):
            return self._on_vote(state, message, leader_is_fresh)
        if message.term > state.term:
            state = self._adopt_term(state, message.term)
        if isinstance(message, VoteResponse):
            return self._on_vote_response(state, message)
        if isinstance(message, AppendRequest):
            return self._on_append(state, message)
        if isinstance(message, SnapshotRequest):
            return self._on_snapshot(state, message)
        return self._on_append_response(state, message)

    def propose(self, state, entries):
        """Append entries as the leader and replicate them.

        :param state: the leader's state.
        :param entries: bodies of the entries, in order.
        :return: the step; unchanged if the replica is not the leader.
        """
        if state.role is not Role.LEADER:
            return Step(state)
        new_entries = tuple(Entry(state.term, body) for body in entries)
        state = replace(state, log=state.log + new_entries)
        return self._replicate(self._advance_commit(state))

    def propose_group(self, state, group):
        """Append a membership change as the leader.

        :param state: the leader's state.
        :param group: the new members; at most one voter may differ.
        :return: the step; unchanged if the change is not allowed now.
        """
        if not self.may_change_group(state, group):
            return Step(state)
        entry = Entry(state.term, group=group)
        state = replace(state, log=state.log + (entry,), group=group)
        state = self._track_members(state)
        return self._replicate(self._advance_commit(state))

    def may_change_group(self, state, group):
        """Return True if the replica may change the members now.

        It must lead, have committed an entry of its term and have no other
        membership change pending.  At most one voter may differ, a new voter
        must lack fewer committed entries than one message may hold, and one
        voter must remain.
        """
        if state.role is not Role.LEADER:
            return False
        changed = set(group.voters) ^ set(state.group.voters)
        if len(changed) > 1 or not group.voters:
            return False
        if state.term_at(state.commit_index) != state.term:
            return False
        pending = state.entries_from(state.commit_index + 1)
        if any(entry.group is not None for entry in pending):
            return False
        index = max(1, state.commit_index + 1 - self._batch_entries)
        return all(
            self.has_entries(state, voter, index)
            for voter in changed & set(group.voters)
        )

    def heartbeat(self, state):
        """Start a new round: send missing entries or empty heartbeats."""
        if state.role is not Role.LEADER:
            return Step(state)
        return self._replicate(replace(state, round=state.round + 1))

    def confirmed_round(self, state):
        """Return the latest round that a quorum has answered.

        :param state: the leader's state.
        :return: the round; the replica was still the leader at its start.
        """
        rounds = {state.replica: state.round}
        rounds |= {peer.replica: peer.round for peer in state.progress}
        ordered = sorted(
            (rounds.get(voter, 0) for voter in state.group.voters),
            reverse=True,
        )
        return ordered[len(ordered) // 2] if ordered else 0

    def compact(self, state, index):
        """Remove the entries up to ``index``, which a snapshot covers."""
        if index <= state.base_index or index > state.commit_index:
            return Step(state)
        dropped = state.entries_from(state.base_index + 1)
        dropped = dropped[: index - state.base_index]
        return Step(
            replace(
                state,
                base_term=state.term_at(index),
                base_group=latest_group(state.base_group, dropped),
                log=state.entries_from(index + 1),
                base_index=index,
            )
        )

    def snapshot_request(self, state, body):
        """Return the message that sends the leader's snapshot."""
        return SnapshotRequest(
            state.replica,
            state.term,
            state.base_index,
            state.base_term,
            state.base_group,
            body,
            state.round,
        )

    def take_back(self, state, outbound):
        """Note that the entries of a message were held back.

        :param state: the leader's state.
        :param outbound: the :class:`OutboundMessage`.
        :return: the state.
        """
        progress = state.progress_of(outbound.to)
        if progress is None or not isinstance(outbound.message, AppendRequest):
            return state
        next_index = max(progress.match_index, outbound.message.prev_index) + 1
        if next_index >= progress.next_index:
            return state
        progress = replace(progress, next_index=next_index)
        return self._update_progress(state, progress)

    def has_entries(self, state, replica, index):
        """Return True if a replica is known to hold the entries to an index.

        :param state: the leader's state.
        :param replica: the replica, which may be the leader itself.
        :param index: the index.
        """
        if replica == state.replica:
            return True
        progress = state.progress_of(replica)
        return progress is not None and progress.match_index >= index

    def _become_leader(self, state):
        state = replace(
            state,
            role=Role.LEADER,
            leader=state.replica,
            granted=frozenset(),
            progress=(),
            round=1,
        )
        state = self._track_members(state)
        state = replace(state, log=state.log + (Entry(state.term),))
        return self._replicate(self._advance_commit(state))

    def _track_members(self, state):
        tracked = tuple(
            state.progress_of(replica)
            or Progress(replica, state.last_index + 1)
            for replica in state.group.members
            if replica != state.replica
        )
        return replace(state, progress=tracked)

    def _replicate(self, state):
        outbound = []
        tracked = []
        for progress in state.progress:
            request = self._next_request(state, progress)
            outbound.append(OutboundMessage(progress.replica, request))
            tracked.append(self._advance_next_index(progress, request))
        state = replace(state, progress=tuple(tracked))
        return Step(state, tuple(outbound))

    def _next_request(self, state, progress):
        if progress.next_index <= state.base_index:
            return self.snapshot_request(state, b'')
        previous = progress.next_index - 1
        return AppendRequest(
            state.replica,
            state.term,
            previous,
            state.term_at(previous),
            state.entries_from(
                progress.next_index, self._batch_entries, BATCH_BYTES
            ),
            state.commit_index,
            state.round,
        )

    def _advance_next_index(self, progress, request):
        """Advance ``next_index`` as if the entries had arrived.

        A response that rejects them moves it back.
        """
        if isinstance(request, SnapshotRequest):
            return progress
        next_index = progress.next_index + len(request.entries)
        return replace(progress, next_index=next_index)

    def _on_append(self, state, message):
        if message.term < state.term:
            response = AppendResponse(
                state.replica, state.term, False, 0, message.round
            )
            return Step(state, (OutboundMessage(message.sender, response),))
        state = replace(state, role=Role.FOLLOWER, leader=message.sender)
        state, match_index = self._merge_entries(state, message)
        ok = match_index is not None
        if not ok:
            match_index = min(state.last_index, message.prev_index - 1)
        if ok:
            commit = max(
                state.commit_index, min(message.commit_index, match_index)
            )
            state = replace(state, commit_index=commit)
        response = AppendResponse(
            state.replica, state.term, ok, match_index, message.round
        )
        return Step(state, (OutboundMessage(message.sender, response),))

    def _merge_entries(self, state, message):
        """Merge the entries of an append request into the log.

        :return: the state, and the last index that matches the leader's log
            or None if the previous entry does not match.
        """
        index = message.prev_index
        entries = message.entries
        if index < state.base_index:
            skip = state.base_index - index
            # The snapshot covers all of these entries.
            if len(entries) < skip:
                return state, state.base_index
            entries = entries[skip:]
            index = state.base_index
        elif state.term_at(index) != message.prev_term:
            return state, None
        for offset, entry in enumerate(entries):
            own_term = state.term_at(index + offset + 1)
            if own_term == entry.term:
                continue
            kept = state.log[: index + offset - state.base_index]
            log = kept + entries[offset:]
            group = latest_group(state.base_group, log)
            state = replace(state, log=log, group=group)
            break
        return state, index + len(entries)

    def _on_snapshot(self, state, message):
        if message.term < state.term:
            response = AppendResponse(
                state.replica, state.term, False, 0, message.round
            )
            return Step(state, (OutboundMessage(message.sender, response),))
        state = replace(state, role=Role.FOLLOWER, leader=message.sender)
        if message.index > state.commit_index:
            state = self._install_snapshot(state, message)
        response = AppendResponse(
            state.replica, state.term, True, message.index, message.round
        )
        return Step(state, (OutboundMessage(message.sender, response),))

    def _install_snapshot(self, state, message):
        log = ()
        if state.term_at(message.index) == message.index_term:
            log = state.entries_from(message.index + 1)
        return replace(
            state,
            log=log,
            base_index=message.index,
            base_term=message.index_term,
            base_group=message.group,
            group=latest_group(message.group, log),
            commit_index=message.index,
        )

    def _on_append_response(self, state, message):
        if state.role is not Role.LEADER or message.term != state.term:
            return Step(state)
        progress = state.progress_of(message.sender)
        if progress is None:
            return Step(state)
        progress = replace(progress, round=max(progress.round, message.round))
        brings_news = message.match_index > progress.match_index
        if message.ok:
            match_index = max(progress.match_index, message.match_index)
            next_index = max(progress.next_index, match_index + 1)
            progress = replace(
                progress, match_index=match_index, next_index=next_index
            )
        else:
            next_index = max(
                progress.match_index + 1,
                min(progress.next_index - 1, message.match_index + 1),
            )
            progress = replace(progress, next_index=next_index)
        state = self._update_progress(state, progress)
        state = self._advance_commit(state)
        if progress.next_index > state.last_index:
            return Step(state)
        if message.ok and not brings_news:
            # Entries are under way; each answer would be followed by another.
            return Step(state)
        if progress.next_index <= state.base_index and message.ok:
            return Step(state)
        request = self._next_request(state, progress)
        progress = self._advance_next_index(progress, request)
        outbound = OutboundMessage(progress.replica, request)
        return Step(self._update_progress(state, progress), (outbound,))

    def _update_progress(self, state, progress):
        tracked = tuple(
            progress if each.replica == progress.replica else each
            for each in state.progress
        )
        return replace(state, progress=tracked)

    def _advance_commit(self, state):
        """Commit what a quorum holds, if it is an entry of this term.

        Entries of earlier terms are committed along with it, as Raft
        requires.
        """
        matches = {peer.replica: peer.match_index for peer in state.progress}
        matches[state.replica] = state.last_index
        ordered = sorted(
            (matches.get(voter, 0) for voter in state.group.voters),
            reverse=True,
        )
        if not ordered:
            return state
        index = ordered[len(ordered) // 2]
        if index <= state.commit_index:
            return state
        if not self._may_commit(state, index):
            return state
        return replace(state, commit_index=index)

    def _may_commit(self, state, index):
        return state.term_at(index) == state.term
