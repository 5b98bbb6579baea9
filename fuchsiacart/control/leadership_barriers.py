"""Rounds in which a quorum confirms that a replica leads."""

from fuchsiacart.control.election_rules import Step
from fuchsiacart.control.replica_events import set_error
from fuchsiacart.control.replica_events import set_result
from fuchsiacart.control.replica_states import Role


class LeadershipBarriers:
    """Futures that wait for a round that began after them.

    All that wait when a round begins share it; the others wait for the next.

    :param rules: the :class:`Consensus`.
    """

    def __init__(self, rules):
        self._rules = rules
        self._waiting = []
        self._in_round = []
        self._round = 0

    def add(self, future):
        """Let a future wait for the next round."""
        self._waiting.append(future)

    def start_round(self, state):
        """Start a round if futures wait and none is under way.

        :param state: the :class:`ReplicaState`.
        :return: the :class:`Step`.
        """
        if self._in_round or not self._waiting:
            return Step(state)
        if state.role is not Role.LEADER:
            return Step(state)
        step = self._rules.heartbeat(state)
        self._in_round, self._waiting = self._waiting, []
        self._round = step.state.round
        return step

    def resolve(self, state):
        """Resolve the futures of a round that a quorum has confirmed.

        :param state: the :class:`ReplicaState`.
        :return: True if a further round should start.
        """
        if not self._in_round and not self._waiting:
            return False
        if state.role is not Role.LEADER:
            self.fail()
            return False
        if state.term_at(state.commit_index) != state.term:
            return False
        if self._rules.confirmed_round(state) < self._round:
            return False
        for future in self._in_round:
            set_result(future, None)
        self._in_round = []
        return bool(self._waiting)

    def fail(self):
        """Fail all futures, as the replica leads no longer."""
        for future in self._in_round + self._waiting:
            set_error(future, 'leadership was lost')
        self._in_round = []
        self._waiting = []
