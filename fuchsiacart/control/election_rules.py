"""Elections of Raft consensus, as pure functions on the state of a replica.

:class:`Consensus` adds the replication of the log.
"""

from abc import ABC
from abc import abstractmethod
from enum import Enum
from enum import unique

from msgspec import Struct
from msgspec.structs import replace

from fuchsiacart.control.replica_messages import OutboundMessage
from fuchsiacart.control.replica_messages import PreVoteRequest
from fuchsiacart.control.replica_messages import PreVoteResponse
from fuchsiacart.control.replica_messages import VoteRequest
from fuchsiacart.control.replica_messages import VoteResponse
from fuchsiacart.control.replica_states import ReplicaState
from fuchsiacart.control.replica_states import Role


class Step(Struct, frozen=True):
    """Result of a transition: the next state and messages to send."""

    state: ReplicaState
    outbound: tuple[OutboundMessage, ...] = ()


@unique
class VoteRefusal(Enum):
    """Why a replica refuses its vote or pre-vote."""

    LEADER_HEARD = 'leader_heard'
    TERM_PASSED = 'term_passed'
    VOTED_FOR_ANOTHER = 'voted_for_another'
    LOG_BEHIND = 'log_behind'


class ElectionRules(ABC):
    """Leader election with pre-vote.

    The rules are those of the Raft algorithm (Ongaro and Ousterhout, 2014).
    """

    def start_election(self, state):
        """Ask for pre-votes after an election timeout.

        :param state: state of a replica that has not heard from a leader.
        :return: the step; unchanged if the replica may not be elected or
            leads.
        """
        if not state.may_be_elected:
            return Step(state)
        if state.role is Role.LEADER:
            return Step(state)
        state = replace(
            state,
            role=Role.PRE_CANDIDATE,
            leader=None,
            granted=frozenset([state.replica]),
        )
        if state.group.is_quorum(state.granted):
            return self._become_candidate(state)
        return self.request_votes(state)

    def request_votes(self, state):
        """Ask the voters that have not granted their vote or pre-vote.

        :param state: the state of any replica.
        :return: the step; unchanged unless it is a candidate or
            pre-candidate.
        """
        if state.role is Role.PRE_CANDIDATE:
            kind, term = PreVoteRequest, state.term + 1
        elif state.role is Role.CANDIDATE:
            kind, term = VoteRequest, state.term
        else:
            return Step(state)
        request = kind(state.replica, term, state.last_index, state.last_term)
        outbound = tuple(
            OutboundMessage(voter, request)
            for voter in state.group.voters
            if voter not in state.granted
        )
        return Step(state, outbound)

    def find_refusal(self, state, request, leader_is_fresh=False):
        """Return why a replica refuses to vote for a candidate.

        The group of its own log is not asked: the candidate counts the votes
        by its group, which may be newer and have this replica as a voter.

        :param state: the receiver's state.
        :param request: the :class:`PreVoteRequest` or :class:`VoteRequest`.
        :param leader_is_fresh: see :meth:`Consensus.receive`.
        :return: the :class:`VoteRefusal`, None if the vote is granted.
        """
        if request.term > state.term:
            if leader_is_fresh:
                return VoteRefusal.LEADER_HEARD
        elif isinstance(request, PreVoteRequest) or request.term < state.term:
            return VoteRefusal.TERM_PASSED
        elif state.voted_for not in (None, request.sender):
            return VoteRefusal.VOTED_FOR_ANOTHER
        if not self._is_up_to_date(state, request):
            return VoteRefusal.LOG_BEHIND
        return None

    def step_down(self, state):
        """Become a follower, as when no quorum answers any more."""
        return Step(
            replace(
                state, role=Role.FOLLOWER, leader=None, granted=frozenset()
            )
        )

    @abstractmethod
    def _become_leader(self, state):
        """Begin to lead in the term of the state.

        :param state: state of a candidate that a quorum has voted for.
        :return: the :class:`Step`.
        """

    def _adopt_term(self, state, term):
        return replace(
            state,
            term=term,
            voted_for=None,
            role=Role.FOLLOWER,
            leader=None,
            granted=frozenset(),
        )

    def _is_up_to_date(self, state, message):
        candidate_position = (message.last_term, message.last_index)
        return candidate_position >= (state.last_term, state.last_index)

    def _on_pre_vote(self, state, message, leader_is_fresh):
        granted = self.find_refusal(state, message, leader_is_fresh) is None
        response = PreVoteResponse(
            state.replica, message.term, state.term, granted
        )
        if granted and self._yields_to(state, message.sender):
            state = self.step_down(state).state
        return Step(state, (OutboundMessage(message.sender, response),))

    def _yields_to(self, state, other):
        """Return True if a pre-candidate leaves the election to another.

        Of two that ask at the same time, the first by name goes on, so that
        they do not split the votes.
        """
        return state.role is Role.PRE_CANDIDATE and other < state.replica

    def _on_pre_vote_response(self, state, message):
        if message.own_term > state.term:
            return Step(self._adopt_term(state, message.own_term))
        if state.role is not Role.PRE_CANDIDATE:
            return Step(state)
        if message.term != state.term + 1 or not message.granted:
            return Step(state)
        granted = state.granted | {message.sender}
        state = replace(state, granted=granted)
        if not state.group.is_quorum(granted):
            return Step(state)
        return self._become_candidate(state)

    def _become_candidate(self, state):
        state = replace(
            state,
            term=state.term + 1,
            voted_for=state.replica,
            role=Role.CANDIDATE,
            leader=None,
            granted=frozenset([state.replica]),
        )
        if state.group.is_quorum(state.granted):
            return self._become_leader(state)
        return self.request_votes(state)

    def _on_vote(self, state, message, leader_is_fresh):
        if leader_is_fresh and message.term > state.term:
            return Step(state)
        if message.term > state.term:
            state = self._adopt_term(state, message.term)
        granted = self.find_refusal(state, message) is None
        if granted:
            state = replace(state, voted_for=message.sender)
        response = VoteResponse(state.replica, state.term, granted)
        return Step(state, (OutboundMessage(message.sender, response),))

    def _on_vote_response(self, state, message):
        if state.role is not Role.CANDIDATE or message.term != state.term:
            return Step(state)
        if not message.granted:
            return Step(state)
        granted = state.granted | {message.sender}
        state = replace(state, granted=granted)
        if not state.group.is_quorum(granted):
            return Step(state)
        return self._become_leader(state)
