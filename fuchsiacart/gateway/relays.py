"""Relays requests through other gateways while no backend server is reached.

A request takes one hop at most: a gateway that is isolated itself refuses
what another one relays, as not run, and a further gateway is asked.
"""

from time import monotonic

from msgspec.json import decode
from msgspec import MsgspecError
from msgspec import Struct
from msgspec.structs import replace

from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.clocks import steady_ms
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.failure_kinds import FailureKind
from fuchsiacart.gateway.connection_pools import ConnectionPool
from fuchsiacart.gateway.exchanges import ExchangeLimits
from fuchsiacart.gateway.exchanges import OutboundRequest
from fuchsiacart.gateway.exchanges import request_line
from fuchsiacart.gateway.gateway_selectors import may_see
from fuchsiacart.gateway.hop_headers import end_to_end_headers
from fuchsiacart.gateway.hop_headers import parse_start
from fuchsiacart.gateway.hop_headers import RELAYED_FOR
from fuchsiacart.gateway.hop_headers import RELAYED_ID
from fuchsiacart.gateway.hop_headers import RELAYED_LEAVING
from fuchsiacart.gateway.hop_headers import RELAYED_VERSION
from fuchsiacart.logs import log_event
from fuchsiacart.metrics import GATEWAY_RELAYS
from fuchsiacart.problems import Problem
from fuchsiacart.problems import PROBLEM_TYPE
from fuchsiacart.servers import ServerStart

CONNECT_TIMEOUT_S = 0.3
# Statuses by which callers know that a request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# A gateway that reaches no server either, or whose configuration is older.
UNABLE_KINDS = (ErrorKind.ISOLATED, ErrorKind.STALE)


class RelayTarget(Struct, frozen=True):
    """Start and caller address of another gateway."""

    start: ServerStart
    address: str

    @property
    def name(self):
        """Name of the gateway."""
        return self.start.name


class Relay:
    """Sends requests to other gateways.

    :param selector: the :class:`GatewaySelector`.
    :param dialect: the :class:`Dialect` of callers and backend servers.
    :param statements: the :class:`ServerStatements`.
    :param budget: the :class:`MemoryBudget` of all bodies of the process.
    """

    def __init__(self, selector, dialect, statements, budget=None):
        self.selector = selector
        self._dialect = dialect
        self._statements = statements
        self._pool = ConnectionPool(budget=budget)

    def apply_view(self, hosts):
        """Apply a new view.

        :param hosts: each :class:`Host` of the view.
        """
        self.selector.apply_view(hosts)
        self._pool.retain(map(_target_of, self.selector.hosts))

    def read(self, request):
        """Return a request with the caller for whom it was relayed.

        Only other gateways are believed.

        :param request: the :class:`InboundRequest`.
        """
        if self.is_relayed(request):
            return replace(request, caller=request.relayed_for)
        return request

    def is_relayed(self, request):
        """Return True if another gateway relayed a request.

        :param request: the :class:`InboundRequest`, before :meth:`read`.
        """
        return request.is_relayed and self.selector.is_gateway(request.caller)

    def needed_version(self, request):
        """Return the version of the configuration that a request needs.

        That of the gateway that relayed it, or 0 for any version.

        :param request: the :class:`InboundRequest`, before :meth:`read`.
        """
        return request.relayed_version if self.is_relayed(request) else 0

    async def make_attempt(self, attempts, may_send):
        """Send a request to another gateway.

        :param attempts: the :class:`Attempts` of the request.
        :param may_send: asked once the connection is open; brings the home
            regions of the attempts up to date and returns False if the key of
            the request does not hold any more.
        :return: the :class:`ServerResponse`, or None if the attempt failed.
        :raises RequestError: if no gateway is left, or the request was
            relayed already.
        """
        if attempts.request.is_relayed:
            raise attempts.make_isolated_error()
        host = self.selector.choose(
            attempts.route.home_regions, attempts.excluded, steady_ms()
        )
        if host is None:
            raise attempts.make_isolated_error()
        attempts.excluded |= {host.name}
        left_s = attempts.left_s
        if left_s <= 0:
            raise attempts.make_deadline_error()
        started_s = monotonic()
        self.selector.in_flight[host.name] += 1
        try:
            result = await self._pool.exchange(
                _target_of(host),
                self._make_request(
                    attempts,
                    host.name,
                    lambda: may_send()
                    and may_see(host.region, attempts.route.home_regions),
                ),
                ExchangeLimits(
                    min(CONNECT_TIMEOUT_S, left_s), attempts.deadline_s
                ),
            )
        finally:
            self.selector.in_flight[host.name] -= 1
        attempts.record_result(result)
        response = self._record(attempts, host, result)
        self._log(attempts, host, result, monotonic() - started_s)
        return response

    def _make_request(self, attempts, gateway, may_send):
        request = attempts.request
        return OutboundRequest(
            request_line(request.method, request.target),
            lambda left_ms: self._make_headers(attempts, left_ms),
            request.body or None,
            request.metadata.request_id,
            self._read_id,
            lambda status, headers: self._read_statement(
                request, gateway, headers
            ),
            may_send,
        )

    def _read_statement(self, request, gateway, headers):
        """Note that the server of a relayed response leaves."""
        start = parse_start(headers.get(RELAYED_LEAVING, ''))
        if start is not None:
            self._statements.record_departure(
                start, '', request.metadata.request_id, gateway
            )

    def _make_headers(self, attempts, left_ms):
        request = attempts.request
        headers = end_to_end_headers(request.headers)
        self._dialect.write_deadline(headers, left_ms)
        headers[RELAYED_FOR] = request.caller
        headers[RELAYED_VERSION] = str(attempts.version)
        # A gateway that doesn't know the header drops what this one lists.
        headers['Connection'] = RELAYED_VERSION
        if request.has_length:
            headers['Content-Length'] = str(len(request.body))
        return headers

    def _read_id(self, headers):
        return headers.get(RELAYED_ID, '')

    def _record(self, attempts, host, result):
        """Record a result and return its response, None if it has none."""
        response = result.response
        if response is not None and self._is_unable(response):
            attempts.last_failure = f'{host.name} cannot serve it'
            attempts.failed_relays += 1
            self.selector.avoid(host.name, steady_ms())
            return None
        if response is not None and not (
            attempts.may_have_run and self._is_promise(response)
        ):
            return response
        if response is not None:
            # The other gateway speaks for its own attempts only.
            attempts.sent += 1
            return None
        attempts.last_failure = f'{host.name}: {result.failure.value}'
        if result.failure is FailureKind.NOT_SENT:
            return None
        if result.failure is FailureKind.NOT_CONNECTED:
            attempts.failed_relays += 1
            self.selector.avoid(host.name, steady_ms())
            return None
        attempts.sent += 1
        attempts.may_have_run = True
        return None

    def _is_promise(self, response):
        """Return True if a gateway says that the request has not run."""
        metadata = self._dialect.read_response(
            response.status, response.headers
        )
        is_refusal = response.status in NOT_RUN_STATUSES
        return is_refusal and not metadata.is_authentic

    def _is_unable(self, response):
        """Return True if another gateway may serve what this one refused."""
        if response.headers.get('Content-Type') != PROBLEM_TYPE:
            return False
        metadata = self._dialect.read_response(
            response.status, response.headers
        )
        if metadata.is_authentic:
            return False
        try:
            problem = decode(response.body, type=Problem)
        except MsgspecError as error:
            log_event('problem_not_read', detail=str(error))
            return False
        return problem.kind in UNABLE_KINDS

    def _log(self, attempts, host, result, taken_s):
        outcome = (
            str(result.response.status)
            if result.response
            else result.failure.value
        )
        GATEWAY_RELAYS.labels(outcome).inc()
        log_event(
            'relay',
            request=attempts.request.metadata.request_id,
            gateway=host.name,
            revision=attempts.revision,
            view_age_ms=attempts.view_age_ms,
            result=outcome,
            taken_ms=int(taken_s * MILLISECONDS),
            detail=result.detail,
        )


def _target_of(host):
    """Return the :class:`RelayTarget` of a gateway."""
    start = ServerStart(host.name, host.incarnation)
    return RelayTarget(start, host.http_address)
