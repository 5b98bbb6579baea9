"""Requests that take down the backend servers that run them.

They come again under other ids and at other gateways, so they are known by
their content and their caller.  A server that is gone right after it broke off
without an answer speaks against the request; one that still takes connections
does not, as it only lost an answer or had forgotten the connection.
"""

from asyncio import create_task

from fuchsiacart.clocks import wall_ms
from fuchsiacart.logs import log_event
from fuchsiacart.quarantine import Quarantine
from fuchsiacart.quarantine import request_digest

# Time for a new connection; a server that is gone refuses or says nothing.
CHECK_TIMEOUT_S = 0.3
# Suspects in one renewal of the lease; the newest are told first.
REPORT_LIMIT = 16


class SuspectTracker:
    """Suspects known to one gateway.

    :param quarantine_ms: how long a suspect is remembered.
    :param pool: the :class:`ConnectionPool`.
    """

    def __init__(self, quarantine_ms, pool):
        self._quarantine = Quarantine(quarantine_ms)
        self._pool = pool
        self._unreported = {}
        self._checks = set()
        self._listener = None

    def on_suspect(self, listener):
        """Call a function once there is a suspect to report."""
        self._listener = listener

    def refuses(self, request, service):
        """Tell whether a request is not sent to servers any more.

        :param request: the :class:`InboundRequest`.
        :param service: the service that it is for.
        """
        if self._quarantine.is_empty:
            return False
        digest = _digest(request, service)
        return self._quarantine.is_quarantined(digest, wall_ms())

    def record_response(self, request, service):
        """Take note that a server answered a request and lives on."""
        if not self._quarantine.is_empty:
            self._quarantine.clear(_digest(request, service))

    def check(self, request, record):
        """Find out, in the background, whether a request broke a server.

        :param request: the :class:`InboundRequest` that was broken off.
        :param record: the :class:`ServerRecord`.
        """
        task = create_task(self._check(request, record))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    def flush(self):
        """Return the suspects since the last call, a bounded part of them."""
        digests = list(self._unreported)[-REPORT_LIMIT:]
        return tuple(self._unreported.pop(digest) for digest in digests)

    def merge(self, suspects):
        """Take in the suspects that the control group knows."""
        self._quarantine.merge(suspects, wall_ms())

    async def _check(self, request, record):
        if await self._pool.reaches(record, CHECK_TIMEOUT_S):
            return
        digest = _digest(request, record.service)
        suspect = self._quarantine.record_broken(
            digest, record.name, wall_ms()
        )
        self._unreported[digest] = suspect
        log_event(
            'request_suspected',
            request=request.terms.request_id,
            digest=digest,
            server=record.name,
            broken=len(suspect.broken),
        )
        if self._listener is not None:
            self._listener()


def _digest(request, service):
    return request_digest(
        request.caller, service, request.method, request.target, request.body
    )
