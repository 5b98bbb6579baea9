"""Consensus of one replica together with its timers.

Like :class:`Consensus`, it does no I/O and takes the time as an argument, so
that a whole group can be run in simulated time.
"""

from msgspec import Struct
from msgspec.structs import replace

from fuchsiacart.control.commit_times import CommitTimes
from fuchsiacart.control.consensus import Consensus
from fuchsiacart.control.election_reports import describe_position
from fuchsiacart.control.election_reports import ElectionReport
from fuchsiacart.control.election_reports import is_candidate
from fuchsiacart.control.election_rules import Step
from fuchsiacart.control.elections import ElectionTimer
from fuchsiacart.control.replica_messages import AppendRequest
from fuchsiacart.control.replica_messages import PreVoteRequest
from fuchsiacart.control.replica_messages import SnapshotRequest
from fuchsiacart.control.replica_messages import VoteRequest
from fuchsiacart.control.replica_states import Role
from fuchsiacart.control.voter_contacts import ContactLog
from fuchsiacart.logs import log_event
from fuchsiacart.logs import log_warning
from fuchsiacart.metrics import ELECTIONS
from fuchsiacart.metrics import VOTES_REFUSED
from fuchsiacart.models import ReplicaId


class LearnerPosition(Struct, frozen=True):
    """How far a learner is, as the leader knows it.

    ``is_ready`` is True if it can become a voter now.
    """

    learner: ReplicaId
    match_index: int
    silent_ms: int
    is_ready: bool


class TimedConsensus:
    """Decides when a replica sends heartbeats, votes and is elected.

    :param settings: the :class:`ControlSettings`.
    :param random: source of the random part of the election timeout.
    :param now_ms: current time, in milliseconds of any steady clock.
    """

    def __init__(self, settings, random, now_ms):
        self._settings = settings
        self._timer = ElectionTimer(
            settings.election_timeout_ms, random, now_ms
        )
        self._contacts = ContactLog(now_ms)
        self._last_heartbeat_ms = 0.0
        self._last_request_ms = 0.0
        self._elected_ms = now_ms
        self._report = ElectionReport()
        self._commits = CommitTimes()
        self.rules = Consensus()

    def receive(self, state, message, now_ms):
        """Handle a message from another replica.

        :param state: the :class:`ReplicaState`.
        :param message: the message.
        :param now_ms: the current time.
        :return: the :class:`Step`.
        """
        self._contacts.record(message.sender, now_ms)
        has_contact = self.has_contact(state, now_ms)
        if isinstance(message, PreVoteRequest | VoteRequest):
            self._log_refusal(state, message, has_contact)
        step = self.rules.receive(state, message, has_contact)
        self._report.record(state, step.state, message)
        self._follow_role(state, step.state, now_ms)
        is_from_leader = isinstance(message, AppendRequest | SnapshotRequest)
        if is_from_leader and message.term == step.state.term:
            self._timer.on_leader_message(now_ms)
            self._adopt_silences(step.state, message, now_ms)
        if _has_granted_vote(state, step.state):
            self._timer.restart(now_ms)
        if step.state.role is Role.LEADER:
            confirmed = self.rules.confirmed_round(step.state)
            self._timer.confirm_round(confirmed, now_ms)
        return step

    def tick(self, state, now_ms):
        """Run the timers that are due.

        :param state: the :class:`ReplicaState`.
        :param now_ms: the current time.
        :return: the :class:`Step`.
        """
        if state.role is Role.LEADER:
            return self._tick_leader(state, now_ms)
        if not self._timer.is_due(now_ms):
            return self._repeat_requests(state, now_ms)
        self._timer.restart_as_candidate(now_ms)
        if is_candidate(state):
            self._log_lost_election(state, 'timeout')
        step = self.rules.start_election(state)
        event = 'election_started'
        if step.state is state:
            event = 'election_not_started'
        log_event(event, **describe_position(state))
        self._report.start()
        self._follow_role(state, step.state, now_ms)
        return step

    def on_written(self, taken_ms):
        """Record how long the latest durable write took.

        :param taken_ms: the time; 0 if there was nothing to write.
        """
        self._timer.on_written(taken_ms)

    def has_contact(self, state, now_ms):
        """Return True if the replica is in contact with its group.

        A follower must have received a message from the leader within the
        election timeout, the leader responses from a quorum.

        :param state: the :class:`ReplicaState`.
        :param now_ms: the current time.
        """
        if state.role is Role.LEADER:
            return self._timer.has_fresh_quorum(now_ms)
        return self._timer.has_fresh_leader(now_ms)

    def unresponsive_voters(self, state, now_ms):
        """Return the voters that another replica may replace, in order.

        The one that has been silent for longest comes first.
        Silence under earlier leaders counts.  A new leader waits until all
        voters had time to answer it, and a leader that was paused finds no
        fresh quorum and names nobody.

        :param state: the leader's :class:`ReplicaState`.
        :param now_ms: the current time.
        """
        led_ms = now_ms - self._elected_ms
        if led_ms < self._settings.election_timeout_ms / 2:
            return ()
        if not self.has_contact(state, now_ms):
            return ()
        limit_ms = self._settings.silence_limit_ms
        silences_ms = {
            voter: self._contacts.silence_ms(voter, now_ms)
            for voter in state.group.voters
            if voter != state.replica
        }
        silent = [each for each in silences_ms if silences_ms[each] > limit_ms]
        return tuple(sorted(silent, key=silences_ms.get, reverse=True))

    def ready_learners(self, state, now_ms):
        """Return the learners that can become voters now.

        They hold all entries that were committed an election timeout ago, and
        answer: a group waits for the answers of its voters.  Later entries
        may be on their way at any time, on a slow host for longer.  A leader
        that is a learner is one of them.

        :param state: the leader's :class:`ReplicaState`.
        :param now_ms: the current time.
        """
        return frozenset(
            position.learner
            for position in self.learner_positions(state, now_ms)
            if position.is_ready
        )

    def learner_positions(self, state, now_ms):
        """Return a :class:`LearnerPosition` for each learner.

        :param state: the leader's :class:`ReplicaState`.
        :param now_ms: the current time.
        """
        limit_ms = self._settings.election_timeout_ms
        index = self._commits.index_before(
            now_ms - limit_ms, state.commit_index
        )
        positions = []
        for learner in state.group.learners:
            silent_ms = self._silence_ms(state, learner, now_ms)
            is_ready = silent_ms < limit_ms and self.rules.has_entries(
                state, learner, index
            )
            progress = state.progress_of(learner)
            match_index = progress.match_index if progress else 0
            positions.append(
                LearnerPosition(learner, match_index, int(silent_ms), is_ready)
            )
        return positions

    def add_silences(self, state, message, now_ms):
        """Return a message of the leader with the members that are silent.

        :param state: the :class:`ReplicaState`.
        :param message: a message to send.
        :param now_ms: the current time.
        """
        if not isinstance(message, AppendRequest):
            return message
        others = [
            each for each in state.group.members if each != state.replica
        ]
        silences = self._contacts.silences(
            others, self._settings.election_timeout_ms, now_ms
        )
        return replace(message, silences=silences) if silences else message

    def _silence_ms(self, state, member, now_ms):
        if member == state.replica:
            return 0
        return self._contacts.silence_ms(member, now_ms)

    def _tick_leader(self, state, now_ms):
        if not self._timer.has_fresh_quorum(now_ms):
            log_warning('leader_without_quorum', term=state.term)
            return self.rules.step_down(state)
        interval_ms = self._settings.heartbeat_ms
        if now_ms - self._last_heartbeat_ms < interval_ms:
            return Step(state)
        self._last_heartbeat_ms = now_ms
        if state.term_at(state.commit_index) == state.term:
            # Before, it does not know yet what was committed.
            self._commits.record(now_ms, state.commit_index)
        return self.rules.heartbeat(state)

    def _repeat_requests(self, state, now_ms):
        """Ask for votes again, as requests or responses may be lost.

        Pre-candidates do not: others leave the election to them, and would
        do so for ever if their responses never arrive.
        """
        if state.role is not Role.CANDIDATE:
            return Step(state)
        interval_ms = self._settings.heartbeat_ms
        if now_ms - self._last_request_ms < interval_ms:
            return Step(state)
        self._last_request_ms = now_ms
        return self.rules.request_votes(state)

    def _log_refusal(self, state, request, has_contact):
        refusal = self.rules.find_refusal(state, request, has_contact)
        if refusal is None:
            return
        VOTES_REFUSED.labels(refusal.value).inc()
        log_event(
            'vote_refused',
            candidate=request.sender,
            kind=type(request).__name__,
            reason=refusal.value,
            candidate_term=request.term,
            candidate_index=request.last_index,
            **describe_position(state),
        )

    def _follow_role(self, before, after, now_ms):
        """Restart the timers when the role has changed."""
        if after.role is before.role:
            return
        if after.role is Role.LEADER:
            ELECTIONS.labels('won').inc()
            self._timer.on_elected(now_ms)
            self._elected_ms = now_ms
            self._commits = CommitTimes()
        elif after.role is Role.CANDIDATE:
            self._last_request_ms = now_ms
            # The votes take another round and the writes of all voters.
            self._timer.restart_as_candidate(now_ms)
        elif is_candidate(before):
            self._log_lost_election(before, _find_end(before, after))
            self._timer.restart_as_candidate(now_ms)

    def _log_lost_election(self, state, reason):
        ELECTIONS.labels('lost').inc()
        log_event(
            'election_lost',
            reason=reason,
            **self._report.describe(state),
            **describe_position(state),
        )

    def _adopt_silences(self, state, message, now_ms):
        if isinstance(message, AppendRequest):
            self._contacts.adopt(state.group.members, message.silences, now_ms)


def _has_granted_vote(before, after):
    """Return True if a step gave the vote of its term to another replica."""
    if after.voted_for in (None, after.replica):
        return False
    return (before.term, before.voted_for) != (after.term, after.voted_for)


def _find_end(before, after):
    """Return why a candidate has become a follower."""
    if after.leader is not None:
        return 'leader_heard'
    return 'term_passed' if after.term > before.term else 'yielded'
