"""What came of the elections of one replica, for its log lines."""

from enum import Enum
from enum import unique

from fuchsiacart.control.replica_messages import PreVoteResponse
from fuchsiacart.control.replica_messages import VoteResponse
from fuchsiacart.control.replica_states import Role


@unique
class Standing(Enum):
    """What a replica is in its control group, by its own log."""

    BLANK = 'blank'
    LEARNER = 'learner'
    VOTER = 'voter'
    REMOVED = 'removed'


def find_standing(state):
    """Return the :class:`Standing` of a replica.

    :param state: the :class:`ReplicaState`.
    """
    if not state.group.members:
        return Standing.BLANK
    if state.replica in state.group.voters:
        return Standing.VOTER
    if state.replica in state.group.learners:
        return Standing.LEARNER
    return Standing.REMOVED


def describe_position(state):
    """Return the log and the group that a replica goes by, as log fields.

    :param state: the :class:`ReplicaState`.
    """
    return {
        'standing': find_standing(state).value,
        'term': state.term,
        'last_index': state.last_index,
        'last_term': state.last_term,
        'commit_index': state.commit_index,
        'voters': ' '.join(state.group.voters),
        'learners': ' '.join(state.group.learners),
    }


class ElectionReport:
    """Collects the responses to the current election.  Performs no I/O."""

    def __init__(self):
        self._refused = set()

    def start(self):
        """Forget the responses to earlier elections."""
        self._refused.clear()

    def record(self, before, after, message):
        """Record a response.

        :param before: the state in which it was received.
        :param after: the state that followed.
        :param message: the message; others than responses are passed over.
        """
        if (before.role, after.role) == (Role.PRE_CANDIDATE, Role.CANDIDATE):
            # Pre-votes say nothing about the votes that are asked for next.
            self._refused.clear()
        if not isinstance(message, PreVoteResponse | VoteResponse):
            return
        if not message.granted:
            self._refused.add(message.sender)

    def describe(self, state):
        """Return who answered how, as log fields.

        :param state: the state of the candidate or pre-candidate.
        """
        voters = set(state.group.voters)
        refused = voters & self._refused
        return {
            'stage': state.role.value,
            'granted': ' '.join(sorted(state.granted & voters)),
            'refused': ' '.join(sorted(refused)),
            'silent': ' '.join(sorted(voters - state.granted - refused)),
        }


def is_candidate(state):
    """Return True if the replica asks for votes or pre-votes.

    :param state: the :class:`ReplicaState`.
    """
    return state.role in (Role.PRE_CANDIDATE, Role.CANDIDATE)
