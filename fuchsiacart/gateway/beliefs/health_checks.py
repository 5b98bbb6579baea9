"""Asks backend servers whether they take requests."""

from asyncio import create_task
from asyncio import shield
from asyncio import wait_for
from time import monotonic

from tornado.httputil import HTTPHeaders

from fuchsiacart.bounds import is_request_path
from fuchsiacart.clocks import boot_ms
from fuchsiacart.gateway.doubtful_starts import CheckOutcome
from fuchsiacart.gateway.doubtful_starts import judge_check
from fuchsiacart.gateway.exchanges import ExchangeLimits
from fuchsiacart.gateway.exchanges import OutboundRequest
from fuchsiacart.gateway.exchanges import request_line
from fuchsiacart.logs import log_event
from fuchsiacart.metrics import SERVER_CHECKS

CONNECT_TIMEOUT_S = 0.3
CHECK_TIMEOUT_S = 1.0


class HealthChecker:
    """Sends health checks and records what servers say of themselves.

    :param dialect: the :class:`Dialect` of backend servers.
    :param pool: the :class:`ConnectionPool`.
    :param statements: the :class:`ServerStatements`.
    """

    def __init__(self, dialect, pool, statements):
        self._dialect = dialect
        self._pool = pool
        self._statements = statements
        self._route_table = None
        self._running = {}

    def apply_view(self, route_table):
        """Use the health paths of a new view.

        :param route_table: the :class:`RouteTable` of its configuration.
        """
        self._route_table = route_table

    async def check(self, server, timeout_s=CHECK_TIMEOUT_S):
        """Ask a server; all who ask at the same time share one check.

        :param server: the :class:`TrackedServer`.
        :param timeout_s: seconds to wait for its answer.
        :return: the :class:`CheckOutcome`.
        """
        start = server.record.start
        if start not in self._running:
            task = create_task(self._check(server))
            self._running[start] = task
            task.add_done_callback(lambda _: self._running.pop(start))
        try:
            return await wait_for(shield(self._running[start]), timeout_s)
        except TimeoutError:
            return CheckOutcome.UNKNOWN

    async def _check(self, server):
        record = server.record
        asked_ms = boot_ms()
        outcome, detail = await self._ask(record)
        if outcome is CheckOutcome.USABLE:
            server.record_told(asked_ms)
        SERVER_CHECKS.labels(outcome.value).inc()
        log_event(
            'server_checked',
            server=record.name,
            born_ms=record.born_ms,
            outcome=outcome.value,
            detail=detail,
        )
        return outcome

    async def _ask(self, record):
        """Send a health check and record what the server says.

        :return: the :class:`CheckOutcome` and its detail.
        """
        terms = self._route_table.service_terms(record.service)
        if terms is None or not is_request_path(terms.health_path):
            return CheckOutcome.USABLE, 'its service has no health check'
        result = await self._pool.exchange(
            record,
            OutboundRequest(
                request_line('GET', terms.health_path),
                lambda left_ms: HTTPHeaders({'Host': record.address}),
                None,
                '',
                self._dialect.read_request_id,
            ),
            ExchangeLimits(CONNECT_TIMEOUT_S, monotonic() + CHECK_TIMEOUT_S),
        )
        response = result.response
        if response is None:
            return CheckOutcome.UNKNOWN, result.failure.value
        metadata = self._dialect.read_response(
            response.status, response.headers
        )
        outcome = judge_check(record.name, response.status, metadata)
        if outcome is CheckOutcome.LEAVING:
            self._statements.record_departure(record.start, record.address)
        if outcome is CheckOutcome.FULL:
            self._statements.record_backoff(
                record.start, record.address, metadata.retry_after_ms
            )
        return outcome, str(response.status)
