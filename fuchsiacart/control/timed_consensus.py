"""Consensus of one replica together with its timers.

Like :class:`Consensus`, it does no I/O and takes the time as an argument, so
that a whole group can be run in simulated time.
"""

from msgspec.structs import replace

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
        self._elected_ms = now_ms
        self._report = ElectionReport()
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
        is_from_leader = isinstance(message, AppendRequest | SnapshotRequest)
        if is_from_leader and message.term == step.state.term:
            self._timer.on_leader_message(now_ms)
            self._adopt_silences(step.state, message, now_ms)
        if state.role is Role.PRE_CANDIDATE and (
            step.state.role is Role.FOLLOWER
        ):
            self._timer.restart_as_candidate(now_ms)
        has_voted = step.state.voted_for not in (state.voted_for, None)
        if has_voted and step.state.voted_for != state.replica:
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
            return Step(state)
        self._timer.restart_as_candidate(now_ms)
        if is_candidate(state):
            self._log_lost_election(state)
        step = self.rules.start_election(state)
        event = 'election_started'
        if step.state is state:
            event = 'election_not_started'
        log_event(event, **describe_position(state))
        self._report.start()
        return step

    def on_elected(self, now_ms):
        """Record that this replica has become the leader."""
        ELECTIONS.labels('won').inc()
        self._timer.on_elected(now_ms)
        self._elected_ms = now_ms

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
        """Return the voters that another replica may replace.

        Silence under earlier leaders counts.  A new leader waits until all
        voters had time to answer it, and a leader that was paused finds no
        fresh quorum and names nobody.

        :param state: the leader's :class:`ReplicaState`.
        :param now_ms: the current time.
        """
        led_ms = now_ms - self._elected_ms
        if led_ms < self._settings.election_timeout_ms / 2:
            return frozenset()
        if not self.has_contact(state, now_ms):
            return frozenset()
        limit_ms = self._settings.silence_limit_ms
        return frozenset(
            voter
            for voter in state.group.voters
            if voter != state.replica
            and self._contacts.silence_ms(voter, now_ms) > limit_ms
        )

    def ready_learners(self, state, now_ms):
        """Return the learners that can become voters now.

        They hold all committed entries and answer: a group waits for the
        answers of its voters.  A leader that is a learner is one of them.

        :param state: the leader's :class:`ReplicaState`.
        :param now_ms: the current time.
        """
        limit_ms = self._settings.election_timeout_ms
        return frozenset(
            learner
            for learner in state.group.learners
            if self.rules.has_committed_entries(state, learner)
            and self._silence_ms(state, learner, now_ms) < limit_ms
        )

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
        return self.rules.heartbeat(state)

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

    def _log_lost_election(self, state):
        ELECTIONS.labels('lost').inc()
        log_event(
            'election_lost',
            **self._report.describe(state),
            **describe_position(state),
        )

    def _adopt_silences(self, state, message, now_ms):
        if isinstance(message, AppendRequest):
            self._contacts.adopt(state.group.members, message.silences, now_ms)
