"""Log lines on the state of the control group, while it is not sound."""

from asyncio import sleep

from fuchsiacart.control.election_reports import describe_position
from fuchsiacart.logs import log_event
from fuchsiacart.logs import log_warning

REPORT_INTERVAL_S = 1.0


class GroupReporter:
    """Logs each second what keeps the control group from being whole.

    :param replica: the :class:`ReplicaTask` of this host.
    """

    def __init__(self, replica):
        self._replica = replica

    async def run(self):
        """Log until cancelled."""
        while True:
            await sleep(REPORT_INTERVAL_S)
            self.report()

    def report(self):
        """Log a missing leader, or learners and sends that lag behind."""
        sends = self._replica.sender.take_counts()
        state = self._replica.state
        if not self._replica.has_contact():
            log_warning('no_leader_heard', **describe_position(state))
            return
        if not self._replica.is_leader:
            return
        for position in self._replica.learner_positions():
            if position.is_ready:
                continue
            log_event(
                'learner_behind',
                learner=position.learner,
                match_index=position.match_index,
                last_index=state.last_index,
                base_index=state.base_index,
                silent_ms=position.silent_ms,
            )
        for receiver, counts in sends.items():
            if not counts.failed and not counts.held_back:
                continue
            log_event(
                'replica_sends',
                receiver=receiver,
                sent=counts.sent,
                failed=counts.failed,
                held_back=counts.held_back,
                entry_bytes=counts.entry_bytes,
            )
