"""Checks the backend servers whose start is in doubt."""

from asyncio import Event
from asyncio import gather
from asyncio import sleep
from time import monotonic

from tornado.httputil import HTTPHeaders

from fuchsiacart.bounds import is_request_path
from fuchsiacart.gateway.doubtful_starts import CheckOutcome
from fuchsiacart.gateway.doubtful_starts import judge_check
from fuchsiacart.gateway.exchanges import ExchangeLimits
from fuchsiacart.gateway.exchanges import OutboundRequest
from fuchsiacart.gateway.exchanges import request_line
from fuchsiacart.logs import log_event
from fuchsiacart.metrics import SERVER_CHECKS

CONNECT_TIMEOUT_S = 0.3
CHECK_TIMEOUT_S = 1.0
CHECK_INTERVAL_S = 0.5
# Checks that run at the same time.
MAX_CHECKS = 64


class StartChecker:
    """Sends health checks until no start is in doubt.

    :param selector: the :class:`ServerSelector`.
    :param dialect: the :class:`Dialect` of backend servers.
    :param pool: the :class:`ConnectionPool`.
    :param statements: the :class:`ServerStatements`.
    """

    def __init__(self, selector, dialect, pool, statements):
        self._selector = selector
        self._dialect = dialect
        self._pool = pool
        self._statements = statements
        self._route_table = None
        self._requested = Event()

    def apply_view(self, route_table):
        """Check the servers that a new view has put in doubt.

        :param route_table: the :class:`RouteTable` of its configuration.
        """
        self._route_table = route_table
        self.check_soon()

    def check_soon(self):
        """Check the servers that are in doubt now."""
        self._requested.set()

    async def run(self):
        """Check servers until cancelled."""
        self._requested.set()
        while True:
            await self._requested.wait()
            self._requested.clear()
            doubted = self._selector.doubted_servers()
            for first in range(0, len(doubted), MAX_CHECKS):
                batch = doubted[first : first + MAX_CHECKS]
                await gather(*map(self._check, batch))
            if self._selector.doubted_servers():
                await sleep(CHECK_INTERVAL_S)
                self._requested.set()

    async def _check(self, server):
        record = server.record
        statements = self._selector.doubtful.find(record)
        outcome, detail = await self._ask(record)
        if self._selector.find(record.name) is not server:
            # A later start has answered, or the server is gone.
            return
        if outcome is not CheckOutcome.UNKNOWN:
            self._selector.doubtful.settle(record.name, statements)
        SERVER_CHECKS.labels(outcome.value).inc()
        log_event(
            'server_checked',
            server=record.name,
            born_ms=record.born_ms,
            outcome=outcome.value,
            detail=detail,
        )

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
