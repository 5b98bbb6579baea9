"""Proposals to a leader: which of them enter the log, and who waits."""

from fuchsiacart.control.election_rules import Step
from fuchsiacart.control.order_positions import OrderPositions
from fuchsiacart.control.replica_events import set_error
from fuchsiacart.control.replica_states import Role
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.logs import log_event
from fuchsiacart.metrics import ORDERS_OUTDATED


class ProposalProcessor:
    """Appends proposals to the log of a leader.

    :param rules: the :class:`ElectionRules`.
    :param pending_entries: the :class:`PendingEntries` that are told who
        waits for which entry.
    """

    def __init__(self, rules, pending_entries):
        self._rules = rules
        self._pending_entries = pending_entries
        self._positions = OrderPositions()

    def process(self, state, proposals):
        """Append proposals, and refuse those that are outdated.

        :param state: the :class:`ReplicaState`.
        :param proposals: each a :class:`Proposal`.
        :return: the :class:`Step`.
        """
        if state.role is not Role.LEADER:
            for proposal in proposals:
                set_error(proposal.future, 'this control host does not lead')
            return Step(state)
        self._positions.start_term(state.term, state.last_index)
        accepted = self._select(proposals, state.last_index)
        if not accepted:
            return Step(state)
        step = self._rules.propose(state, [each.body for each in accepted])
        index = state.last_index
        for proposal in accepted:
            index += 1
            self._pending_entries.add(index, step.state.term, proposal.future)
        return step

    def process_group(self, state, proposal):
        """Append a membership change.

        :param state: the :class:`ReplicaState`.
        :param proposal: the :class:`GroupProposal`.
        :return: the :class:`Step`.
        """
        step = self._rules.propose_group(state, proposal.group)
        if step.state is state:
            set_error(proposal.future, 'the members cannot be changed now')
            return step
        self._pending_entries.add(
            step.state.last_index, step.state.term, proposal.future
        )
        return step

    def _select(self, proposals, last_index):
        """Return the proposals that are appended after an index."""
        accepted = []
        for proposal in proposals:
            subject = proposal.subject
            if self._positions.is_outdated(subject, proposal.seen_index):
                _refuse_outdated(proposal)
                continue
            accepted.append(proposal)
            if subject:
                self._positions.note(subject, last_index + len(accepted))
        return accepted


def _refuse_outdated(proposal):
    ORDERS_OUTDATED.labels('later_order').inc()
    log_event(
        'order_outdated',
        subject=proposal.subject,
        seen_index=proposal.seen_index,
    )
    set_error(
        proposal.future,
        f'a later order for {proposal.subject} may have been given',
        kind=ErrorKind.OUTDATED,
    )
