"""Forwards requests by route, with retries on other backend servers."""

from time import monotonic

from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.clocks import steady_ms
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import RequestError
from fuchsiacart.failure_kinds import FailureKind
from fuchsiacart.gateway.attempts import Attempts
from fuchsiacart.gateway.demands import DemandMeter
from fuchsiacart.gateway.dialects import Dialect
from fuchsiacart.gateway.evidence import EvidenceMeter
from fuchsiacart.gateway.exchanges import ConnectionPool
from fuchsiacart.gateway.exchanges import ExchangeLimits
from fuchsiacart.gateway.exchanges import OutboundRequest
from fuchsiacart.gateway.exchanges import request_line
from fuchsiacart.gateway.hop_headers import passed_headers
from fuchsiacart.gateway.placements import PlacementRequest
from fuchsiacart.gateway.placements import ServerSelector
from fuchsiacart.gateway.route_tables import RouteTable
from fuchsiacart.gateway.route_tables import TargetSplitter
from fuchsiacart.gateway.suspects import SuspectTracker
from fuchsiacart.logs import log_event
from fuchsiacart.metrics import GATEWAY_ATTEMPTS
from fuchsiacart.retries import SharedRetryBudget

# A lost SYN is retransmitted only after a second, so another server is tried
# before that.
CONNECT_TIMEOUT_S = 0.3
# Retry-After of requests that arrive before the first configuration.
RETRY_AFTER_MS = 300
SUCCESS_STATUSES = range(200, 300)
SERVER_ERROR = 500
# Status of a server that reaches the deadline that it was given.
GATEWAY_TIMEOUT = 504


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
        self._budgets = {}
        self._gateway_count = 1
        self.table = None
        self.selector = ServerSelector(
            settings.host.region, settings.routes.regions
        )
        self.demands = DemandMeter()
        self.evidence = EvidenceMeter()
        self.suspects = SuspectTracker(
            settings.entry.quarantine_ms, self._pool
        )

    @property
    def version(self):
        """Version of the configuration in force, 0 for none."""
        return self.table.version if self.table else 0

    def apply_view(self, view, gateway_count):
        """Apply a new view.

        Connections to servers that are no longer in the view are closed.

        :param view: the :class:`RouteView`.
        :param gateway_count: gateways that share the retry budget.
        """
        if self.table is None or (
            self.table.version != view.configuration.version
        ):
            self.table = RouteTable(view.configuration)
        self._gateway_count = max(1, gateway_count)
        self.selector.apply_view(view, self.table, steady_ms())
        self._pool.retain(view.servers)

    async def serve(self, request):
        """Forward a request and wait for its response.

        :param request: the :class:`InboundRequest`.
        :return: the :class:`ServerResponse` of a backend server.
        :raises RequestError: if the request is refused or all attempts
            failed.
        """
        route = self._find_route(request)
        service = self._splitter.choose(route)
        self._check_quarantine(request, service)
        attempts = Attempts(request, route, service)
        self._budget(service).record_request()
        self.demands.note_request(service)
        while True:
            server = self._choose(attempts)
            answer = await self._attempt(attempts, server)
            if answer is not None:
                return answer
            if attempts.left_s <= 0:
                raise attempts.end_late()
            if not attempts.may_go_on(self._budget(attempts.service)):
                raise attempts.end()

    def _find_route(self, request):
        if not self.version:
            raise RequestError(
                'no configuration is known yet',
                ErrorKind.STALE,
                retry_after_ms=RETRY_AFTER_MS,
            )
        route = self.table.find(request.host_name, request.path)
        if route is None:
            raise RequestError(request.path, ErrorKind.NOT_FOUND)
        return route

    def _check_quarantine(self, request, service):
        if self.suspects.refuses(request, service):
            raise RequestError(
                'it broke the servers that ran it',
                ErrorKind.NO_BACKEND,
                retry_after_ms=request.retry_after_ms,
            )

    def _budget(self, service):
        if service not in self._budgets:
            self._budgets[service] = SharedRetryBudget(self._settings.routes)
        budget = self._budgets[service]
        budget.gateway_count = self._gateway_count
        return budget

    def _choose(self, attempts):
        terms = attempts.request.terms
        wanted = PlacementRequest(
            attempts.service,
            terms.object_key or terms.request_id,
            self.demands.slots_factor(
                attempts.service, attempts.objective_left_s
            ),
            attempts.route.home_regions,
            attempts.excluded,
        )
        server = self.selector.choose(wanted, steady_ms())
        if server is None:
            raise attempts.end(f'no server of {attempts.service} has room')
        return server

    async def _attempt(self, attempts, server):
        """Send a request to a server.

        :return: the response, or None if the attempt failed.
        :raises RequestError: if the deadline has passed already.
        """
        request, record = attempts.request, server.record
        attempts.excluded |= {record.name}
        left_s = attempts.left_s
        if left_s <= 0:
            raise attempts.end_late()
        server.in_flight += 1
        started_s = monotonic()
        try:
            outcome = await self._pool.exchange(
                record,
                OutboundRequest(
                    request_line(request.method, request.target),
                    lambda left_ms: self._headers(request, record, left_ms),
                    request.body or None,
                    lambda answered: self._answers(request, answered),
                ),
                ExchangeLimits(
                    min(CONNECT_TIMEOUT_S, left_s), attempts.deadline_s
                ),
            )
        finally:
            server.in_flight -= 1
        taken_s = monotonic() - started_s
        if outcome.loss is not None:
            self._note_loss(attempts, server, outcome, taken_s)
            return None
        return self._judge(attempts, server, outcome, taken_s)

    def _judge(self, attempts, server, outcome, taken_s):
        """Record a response and return it, or None if it is not accepted."""
        attempts.sent += 1
        answer = outcome.response
        terms = self._dialect.read_response(answer.status, answer.headers)
        if terms.load is not None:
            server.note_report(terms.load, steady_ms())
        if terms.not_run:
            server.is_misdirected = terms.is_misdirected
            attempts.last = f'{server.name} refused it'
            self._log_attempt(attempts, server, f'not_run_{answer.status}')
            return None
        if _is_foreign(answer, terms):
            attempts.may_have_run = True
            attempts.last = f'{server.name} sent no answer of its own'
            self._note_failure(server)
            self._log_attempt(attempts, server, 'foreign_answer')
            return None
        self._log_attempt(attempts, server, answer.status, taken_s=taken_s)
        self.demands.note_served(attempts.service, taken_s, terms.load)
        if answer.status == GATEWAY_TIMEOUT:
            self._note_served(server, outcome, None)
            return answer
        server.note_success()
        self.suspects.record_response(attempts.request, attempts.service)
        if answer.status >= SERVER_ERROR:
            self.evidence.record_failure(server.record)
            return answer
        self._note_served(server, outcome, terms.load)
        return answer

    def _note_served(self, server, outcome, load):
        served_ms = outcome.served_s * MILLISECONDS
        self.evidence.record_response(server.record, served_ms, load)

    def _note_failure(self, server):
        server.record_failure(steady_ms())
        self.evidence.record_failure(server.record)

    def _note_loss(self, attempts, server, outcome, taken_s):
        attempts.last = f'{server.name}: {outcome.loss.value}'
        self._log_attempt(
            attempts, server, outcome.loss.value, outcome.detail, taken_s
        )
        if outcome.loss is FailureKind.NOT_CONNECTED:
            attempts.unreachable += 1
        else:
            attempts.sent += 1
            attempts.may_have_run = True
        if outcome.loss is FailureKind.BROKEN and not outcome.has_begun:
            self.suspects.check(attempts.request, server.record)
        if outcome.loss is not FailureKind.TOO_LATE:
            self._note_failure(server)
        elif taken_s >= attempts.objective_s:
            # A shorter deadline does not show that the server is slow.
            self.evidence.record_failure(server.record)

    def _headers(self, request, record, left_ms):
        """Return the headers of a forwarded request."""
        headers = passed_headers(request.headers)
        self._dialect.write_metadata(headers, record.name, left_ms)
        if request.body or request.method not in ('GET', 'HEAD'):
            headers['Content-Length'] = str(len(request.body))
        return headers

    def _answers(self, request, headers):
        """Return True if the headers can belong to a response to the request.

        A response that names no request is accepted.
        """
        answered = self._dialect.read_request_id(headers)
        return not answered or answered == request.terms.request_id

    def _log_attempt(self, attempts, server, result, detail='', taken_s=0.0):
        GATEWAY_ATTEMPTS.labels(attempts.service, str(result)).inc()
        log_event(
            'attempt',
            request=attempts.request.terms.request_id,
            server=server.name,
            load=round(server.load(steady_ms()), 1),
            result=result,
            taken_ms=int(taken_s * MILLISECONDS),
            detail=detail,
        )


def _is_foreign(answer, terms):
    """Return True if a response does not come from the backend server.

    Backend servers encode no content, and mark their successful responses.
    """
    if 'Content-Encoding' in answer.headers:
        return True
    return answer.status in SUCCESS_STATUSES and not terms.is_authentic
