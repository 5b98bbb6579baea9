"""Forwards requests by route, with retries on other backend servers."""

from time import monotonic

from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.clocks import steady_ms
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import RequestError
from fuchsiacart.failure_kinds import FailureKind
from fuchsiacart.gateway.admissions import choose_retry_after_ms
from fuchsiacart.gateway.admissions import MIN_RETRY_AFTER_MS
from fuchsiacart.gateway.admissions import RankedAdmission
from fuchsiacart.gateway.admissions import scale_room
from fuchsiacart.gateway.attempts import Attempts
from fuchsiacart.gateway.connection_pools import ConnectionPool
from fuchsiacart.gateway.demands import DemandMeter
from fuchsiacart.gateway.dialects import Dialect
from fuchsiacart.gateway.evidence import EvidenceMeter
from fuchsiacart.gateway.exchanges import ExchangeLimits
from fuchsiacart.gateway.exchanges import OutboundRequest
from fuchsiacart.gateway.exchanges import request_line
from fuchsiacart.gateway.hop_headers import end_to_end_headers
from fuchsiacart.gateway.placements import PlacementRequest
from fuchsiacart.gateway.placements import ServerSelector
from fuchsiacart.gateway.planned_stops import PlannedStop
from fuchsiacart.gateway.response_checks import is_promise
from fuchsiacart.gateway.retry_budgets import SharedRetryBudget
from fuchsiacart.gateway.route_tables import RouteTable
from fuchsiacart.gateway.route_tables import TargetSplitter
from fuchsiacart.gateway.suspects import SuspectTracker
from fuchsiacart.gateway.view_freshness import ViewFreshness
from fuchsiacart.logs import log_event
from fuchsiacart.metrics import GATEWAY_ATTEMPTS

# A lost SYN is retransmitted only after a second, so another server is tried
# before that.
CONNECT_TIMEOUT_S = 0.3
SUCCESS_STATUSES = range(200, 300)
MIN_SERVER_ERROR_STATUS = 500
# Status of a server that reaches the deadline that it was given.
STATUS_GATEWAY_TIMEOUT = 504


class Forwarder:
    """Forwards requests to the backend servers of their routes.

    :param settings: the settings of the process.
    :param dialect: the :class:`Dialect` of callers and backend servers.
    """

    def __init__(self, settings, dialect: Dialect):
        self._settings = settings
        self._dialect = dialect
        self._splitter = TargetSplitter()
        self._pool = ConnectionPool()
        self._retry_budgets = {}
        self._started_ms = steady_ms()
        self._gateway_count = 1
        self.route_table = None
        self.selector = ServerSelector(
            settings.host.region, settings.routes.regions
        )
        self._admission = RankedAdmission()
        self.freshness = ViewFreshness()
        self.planned_stop = PlannedStop()
        self.demands = DemandMeter()
        self.evidence = EvidenceMeter()
        self.suspects = SuspectTracker(
            settings.entry.quarantine_ms, self._pool
        )

    @property
    def version(self):
        """Version of the configuration in force, 0 for none."""
        return self.route_table.version if self.route_table else 0

    def apply_view(self, view, gateway_count):
        """Apply a new view.

        Connections to servers that are no longer in the view are closed.

        :param view: the :class:`RouteView`.
        :param gateway_count: gateways that share the retry budget.
        """
        if self.route_table is None or (
            self.route_table.version != view.configuration.version
        ):
            self.route_table = RouteTable(view.configuration)
        self._gateway_count = max(1, gateway_count)
        self.selector.apply_view(view, self.route_table, steady_ms())
        self._pool.retain(view.servers)
        if self.version:
            self.freshness.record_use()

    async def serve(self, request):
        """Forward a request and wait for its response.

        :param request: the :class:`InboundRequest`.
        :return: the :class:`ServerResponse` of a backend server.
        :raises RequestError: if the request is refused or all attempts
            failed.
        """
        if not self.version and self.planned_stop.has_begun:
            raise _make_stop_error(request)
        if not self.version:
            await self.freshness.wait_for_first(request.retry_after_ms)
        elif self.freshness.needs_wait(steady_ms()):
            await self.freshness.wait(steady_ms())
        route = self._find_route(request)
        service = self._splitter.choose(route)
        self._check_quarantine(request, service)
        now_ms = steady_ms()
        self._admission.record_arrival(service, route.rank, now_ms)
        urgency = self._admission.urgency(service, route.rank, now_ms)
        attempts = Attempts(request, route, service, urgency)
        self._retry_budget(service).record_request(now_ms)
        self.demands.record_arrival(service)
        while True:
            self._check_stop(attempts)
            server = self._choose_server(attempts)
            response = await self._make_attempt(attempts, server)
            if response is not None:
                return response
            if attempts.left_s <= 0:
                raise attempts.make_deadline_error()
            if not attempts.may_try_again(
                self._retry_budget(attempts.service)
            ):
                raise attempts.make_error(self._time_to_room_ms(attempts))

    def _find_route(self, request):
        if not self.version:
            raise RequestError(
                'no configuration is known yet',
                ErrorKind.STALE,
                retry_after_ms=request.retry_after_ms,
            )
        route = self.route_table.find(request.host_name, request.path)
        if route is None:
            raise RequestError(request.path, ErrorKind.NOT_FOUND)
        return route

    def _check_quarantine(self, request, service):
        if self.suspects.is_quarantined(request, service):
            raise RequestError(
                'it broke the servers that ran it',
                ErrorKind.NO_BACKEND,
                retry_after_ms=request.retry_after_ms,
            )

    def _check_stop(self, attempts):
        """Start no attempt that the end of this gateway may cut off."""
        usual_ms = self.demands.mean_service_ms(attempts.service)
        if self.planned_stop.may_start(
            monotonic(), attempts.deadline_s, usual_ms / MILLISECONDS
        ):
            return
        if attempts.may_have_run:
            raise attempts.make_error(None)
        raise _make_stop_error(attempts.request)

    def _retry_budget(self, service):
        if service not in self._retry_budgets:
            self._retry_budgets[service] = SharedRetryBudget(
                self._settings.routes, self._started_ms
            )
        budget = self._retry_budgets[service]
        budget.gateway_count = self._gateway_count
        return budget

    def _choose_server(self, attempts):
        placement = self._make_placement(attempts)
        now_ms = steady_ms()
        server = self.selector.choose(placement, now_ms)
        attempts.room = placement.max_requests_per_slot
        if server is None:
            raise attempts.make_error(
                self._time_to_room_ms(attempts),
                f'no server of {attempts.service} has room',
            )
        attempts.believed_load = server.load(now_ms)
        attempts.load_age_ms = server.report_age_ms(now_ms)
        return server

    def _time_to_room_ms(self, attempts):
        return self.selector.time_to_room_ms(
            self._make_placement(attempts),
            self.demands.mean_service_ms(attempts.service),
            steady_ms(),
        )

    def _make_placement(self, attempts):
        metadata = attempts.request.metadata
        room = self.demands.max_requests_per_slot(
            attempts.service, attempts.objective_left_s
        )
        return PlacementRequest(
            attempts.service,
            metadata.object_key or metadata.request_id,
            scale_room(room, attempts.urgency),
            attempts.route.home_regions,
            attempts.excluded,
        )

    async def _make_attempt(self, attempts, server):
        """Send a request to a server.

        :return: the response, or None if the attempt failed.
        :raises RequestError: if the deadline has passed already.
        """
        request, record = attempts.request, server.record
        attempts.excluded |= {record.name}
        left_s = attempts.left_s
        if left_s <= 0:
            raise attempts.make_deadline_error()
        server.in_flight += 1
        started_s = monotonic()
        try:
            result = await self._pool.exchange(
                record,
                OutboundRequest(
                    request_line(request.method, request.target),
                    lambda left_ms: self._make_headers(
                        request, record, left_ms
                    ),
                    request.body or None,
                    request.metadata.request_id,
                    self._dialect.read_request_id,
                ),
                ExchangeLimits(
                    min(CONNECT_TIMEOUT_S, left_s), attempts.deadline_s
                ),
            )
        finally:
            server.in_flight -= 1
        taken_s = monotonic() - started_s
        if result.failure is not None:
            self._record_failed_attempt(attempts, server, result, taken_s)
            return None
        return self._handle_response(attempts, server, result, taken_s)

    def _handle_response(self, attempts, server, result, taken_s):
        """Record a response and return it, or None if it is not accepted."""
        attempts.sent += 1
        response = result.response
        metadata = self._dialect.read_response(
            response.status, response.headers
        )
        if metadata.load is not None:
            server.record_report(metadata.load, steady_ms())
        if metadata.not_run and is_promise(
            attempts.request.metadata.request_id,
            self._dialect.read_request_id(response.headers),
        ):
            server.is_misdirected = metadata.is_misdirected
            attempts.last_failure = f'{server.name} refused it'
            self._log_attempt(attempts, server, f'not_run_{response.status}')
            return None
        if metadata.not_run or _is_foreign(response, metadata):
            attempts.may_have_run = True
            attempts.last_failure = f'{server.name} sent no answer of its own'
            self._record_failure(server)
            self._log_attempt(attempts, server, 'foreign_answer')
            return None
        self._log_attempt(attempts, server, response.status, taken_s=taken_s)
        self.demands.record_service_time(
            attempts.service, taken_s, metadata.load
        )
        if response.status == STATUS_GATEWAY_TIMEOUT:
            self._record_served(server, result, None)
            return response
        server.record_success()
        self.suspects.record_response(attempts.request, attempts.service)
        if response.status >= MIN_SERVER_ERROR_STATUS:
            self.evidence.record_failure(server.record)
            return response
        self._record_served(server, result, metadata.load)
        return response

    def _record_served(self, server, result, load):
        served_ms = result.served_s * MILLISECONDS
        self.evidence.record_response(server.record, served_ms, load)

    def _record_failure(self, server):
        server.record_failure(steady_ms())
        self.evidence.record_failure(server.record)

    def _record_failed_attempt(self, attempts, server, result, taken_s):
        attempts.last_failure = f'{server.name}: {result.failure.value}'
        self._log_attempt(
            attempts, server, result.failure.value, result.detail, taken_s
        )
        if result.failure is FailureKind.NOT_SENT:
            return
        if result.failure is FailureKind.NOT_CONNECTED:
            attempts.unreachable += 1
        else:
            attempts.sent += 1
            attempts.may_have_run = True
        if result.failure is FailureKind.BROKEN and not result.has_headers:
            self.suspects.check_server(attempts.request, server.record)
        if result.failure is not FailureKind.TOO_LATE:
            self._record_failure(server)
        elif taken_s >= attempts.objective_s:
            # A shorter wait says nothing about the server.
            self.evidence.record_failure(server.record)

    def _make_headers(self, request, record, left_ms):
        """Return the headers of a forwarded request."""
        headers = end_to_end_headers(request.headers)
        self._dialect.write_metadata(headers, record.name, left_ms)
        if request.body or request.method not in ('GET', 'HEAD'):
            headers['Content-Length'] = str(len(request.body))
        return headers

    def _log_attempt(self, attempts, server, result, detail='', taken_s=0.0):
        GATEWAY_ATTEMPTS.labels(attempts.service, str(result)).inc()
        log_event(
            'attempt',
            request=attempts.request.metadata.request_id,
            object=attempts.request.metadata.object_key,
            server=server.name,
            load=round(attempts.believed_load, 1),
            load_age_ms=int(attempts.load_age_ms),
            room=round(attempts.room, 2),
            result=result,
            taken_ms=int(taken_s * MILLISECONDS),
            detail=detail,
        )


def _make_stop_error(request):
    """Return the refusal of a request that another gateway can take."""
    return RequestError(
        'this gateway stops',
        ErrorKind.DRAINING,
        retry_after_ms=int(
            choose_retry_after_ms(MIN_RETRY_AFTER_MS, request.retry_after_ms)
        ),
    )


def _is_foreign(response, metadata):
    """Return True if a response does not come from the backend server.

    Backend servers send no ``Content-Encoding``, and prove that they sent a
    successful response.
    """
    if 'Content-Encoding' in response.headers:
        return True
    return response.status in SUCCESS_STATUSES and not metadata.is_authentic
