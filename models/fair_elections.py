"""Elections among replicas that all reach each other.

A majority that can talk must end up with a leader: the property that the
model of the log and the scenarios of lost disks check.
"""

from collections import deque

from fuchsiacart.control.addresses import host_of
from fuchsiacart.control.replica_states import ReplicaState
from fuchsiacart.control.replica_states import Role


def restarted(state):
    """Return a replica's state after a loss of power: what is durable."""
    return ReplicaState(
        state.replica,
        term=state.term,
        voted_for=state.voted_for,
        log=state.log,
        group=state.group,
    )


class FairElections:
    """Elections among replicas that all reach each other.

    Each starts an election in its turn, and all messages arrive before the
    next one does.  A message goes to a host: to the replica that runs there
    now, whichever one it was meant for.

    :param states: state of each running replica.
    :param rules: the :class:`Consensus`.
    """

    def __init__(self, states, rules):
        self._states = {state.replica: state for state in states}
        self._names = {host_of(name): name for name in self._states}
        self._rules = rules
        self._messages = deque()

    def elect(self, rounds):
        """Run elections until a leader has committed an entry of its term.

        :param rounds: number of elections that each replica may start.
        :return: the leader's state, None if there is none.
        """
        for _ in range(rounds):
            for name in tuple(self._states):
                leader = self._run_election(name)
                if leader is not None:
                    return leader
        return None

    def _run_election(self, name):
        self._apply(name, self._rules.start_election(self._states[name]))
        while self._messages:
            each = self._messages.popleft()
            receiver = self._names.get(host_of(each.to))
            if receiver is not None:
                step = self._rules.receive(
                    self._states[receiver], each.message
                )
                self._apply(receiver, step)
        state = self._states[name]
        if state.role is not Role.LEADER:
            return None
        if state.term_at(state.commit_index) != state.term:
            return None
        return state

    def _apply(self, name, step):
        self._states[name] = step.state
        self._messages.extend(step.outbound)
