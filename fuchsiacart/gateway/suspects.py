"""Detects requests that crash the backend servers that run them.

Such requests are sent again under other ids, from other addresses and through
other gateways, and a split route sends them to other services.  They are
identified by a digest of their content and the object that they concern, so
that requests for other objects at the same path are served.  A request is
suspected if its server broke the connection before a response and accepts no
new connection right afterwards.  A server that still accepts connections has
only lost a response or the state of the connection.
"""

from asyncio import create_task

from fuchsiacart.clocks import steady_ms
from fuchsiacart.clocks import wall_ms
from fuchsiacart.gateway.budgets.bodies import pieces_of
from fuchsiacart.gateway.hop_headers import format_start
from fuchsiacart.gateway.suspect_reports import SuspectReports
from fuchsiacart.logs import log_event
from fuchsiacart.quarantine import MAX_SUSPECTS_IN_MESSAGE
from fuchsiacart.quarantine import Quarantine
from fuchsiacart.quarantine import request_digest

# Timeout of the check; a crashed server refuses the connection or does not
# answer.
CHECK_TIMEOUT_S = 0.3


class SuspectTracker:
    """Keeps the suspected requests known to one gateway.

    :param quarantine_ms: milliseconds after which a suspect is forgotten.
    :param suspicion_ms: the same for one that is not refused, after the
        leader last told of it.
    :param pool: the :class:`ConnectionPool`.
    :param trials: the :class:`TrialSchedule`.
    """

    def __init__(self, quarantine_ms, suspicion_ms, pool, trials):
        self._quarantine = Quarantine(quarantine_ms, suspicion_ms)
        self._pool = pool
        self._trials = trials
        self._reports = SuspectReports()
        self._checks = set()
        self._listener = None

    def on_suspect(self, listener):
        """Set the function that is called after each new suspect.

        :param listener: takes no arguments.
        """
        self._listener = listener

    def admit(self, request, gateway_count):
        """Return True unless a request is refused.

        A refused request is admitted once when its trial is due.

        :param request: the :class:`InboundRequest`.
        :param gateway_count: gateways that refuse it too.
        """
        if self._quarantine.is_empty:
            return True
        digest, now_ms = _digest(request), wall_ms()
        if not self._quarantine.is_quarantined(digest, now_ms):
            self._trials.forget(digest)
            return True
        if self._quarantine.is_proved(digest, now_ms):
            return False
        if not self._trials.take_trial(digest, gateway_count, steady_ms()):
            return False
        log_event(
            'suspect_tried',
            request=request.metadata.request_id,
            digest=digest,
        )
        return True

    def record_response(self, request):
        """Clear a suspect after a response.

        The response shows that the request did not crash the server.

        :param request: the :class:`InboundRequest`.
        """
        if self._quarantine.is_empty:
            return
        digest = _digest(request)
        if self._quarantine.clear(digest):
            self._reports.add_answer(digest)

    def losses_in_row(self, request):
        """Return how many servers were lost in a row running a request.

        :param request: the :class:`InboundRequest`.
        """
        if self._quarantine.is_empty:
            return 0
        return self._quarantine.losses_in_row(_digest(request), wall_ms())

    def check_server(self, request, record, known_losses, earlier_check):
        """Check in the background whether a request crashed a server.

        :param request: the :class:`InboundRequest` without a response.
        :param record: the :class:`ServerRecord`.
        :param known_losses: result of :meth:`losses_in_row` when the request
            was sent to the server.
        :param earlier_check: the task that checks the server of the attempt
            before, or None.
        :return: the task.
        """
        task = create_task(
            self._check_server(request, record, known_losses, earlier_check)
        )
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)
        return task

    def make_report(self):
        """See :meth:`SuspectReports.make_report`."""
        return self._reports.make_report()

    def merge(self, report):
        """Merge the leader's reply to the last report.

        Requests that this gateway refuses and that the leader does not know,
        as it has just been elected, are reported to it.

        :param report: the leader's :class:`SuspectReport`.
        """
        now_ms = wall_ms()
        self._reports.confirm()
        self._quarantine.merge(report.lost, now_ms)
        for digest in report.answered:
            if not self._reports.has_loss(digest):
                self._quarantine.clear(digest)
        if len(report.lost) >= MAX_SUSPECTS_IN_MESSAGE:
            return
        known = {suspect.digest for suspect in report.lost}
        for suspect in self._quarantine.quarantined(now_ms):
            if suspect.digest not in known:
                self._reports.add_loss(suspect)

    async def _check_server(
        self, request, record, known_losses, earlier_check
    ):
        """Return the losses in a row, 0 if the server is not lost."""
        if await self._pool.can_connect(record, CHECK_TIMEOUT_S):
            return 0
        if earlier_check is not None:
            known_losses = max(known_losses, await earlier_check)
        digest = _digest(request)
        suspect = self._quarantine.record_broken(
            digest, format_start(record.start), known_losses, wall_ms()
        )
        self._reports.add_loss(suspect)
        log_event(
            'request_suspected',
            request=request.metadata.request_id,
            caller=request.caller,
            method=request.method,
            host=request.host_name,
            path=request.path,
            digest=digest,
            server=record.name,
            broken=len(suspect.broken),
            losses_in_row=suspect.losses_in_row,
        )
        if self._listener is not None:
            self._listener()
        return suspect.losses_in_row


def _digest(request):
    return request_digest(
        request.metadata.object_key,
        request.host_name.partition(':')[0].lower(),
        request.method,
        request.target,
        pieces_of(request.body),
    )
