"""Sends requests to backend servers and records what comes of it."""

from time import monotonic

from msgspec.structs import replace

from fuchsiacart.accounts import without_credentials
from fuchsiacart.clocks import boot_ms
from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.clocks import steady_ms
from fuchsiacart.failure_kinds import FailureKind
from fuchsiacart.gateway.exchanges import ExchangeLimits
from fuchsiacart.gateway.exchanges import OutboundRequest
from fuchsiacart.gateway.exchanges import request_line
from fuchsiacart.gateway.hop_headers import end_to_end_headers
from fuchsiacart.gateway.response_checks import is_promise
from fuchsiacart.logs import log_event
from fuchsiacart.metrics import GATEWAY_ATTEMPTS

# A lost SYN is retransmitted only after a second, so another server is tried
# before that.
CONNECT_TIMEOUT_S = 0.3
SUCCESS_STATUSES = range(200, 300)
# Failures after which no byte of the request has reached the server.
UNSENT = (FailureKind.NOT_SENT, FailureKind.NOT_CONNECTED)
MIN_SERVER_ERROR_STATUS = 500
# Status of a server that reaches the deadline that it was given.
STATUS_GATEWAY_TIMEOUT = 504


class ServerSender:
    """Makes single attempts at backend servers.

    :param dialect: the :class:`Dialect` of callers and backend servers.
    :param pool: the :class:`ConnectionPool`.
    :param reachability: the :class:`ServerReachability`.
    :param demands: the :class:`DemandMeter`.
    :param evidence: the :class:`EvidenceMeter`.
    :param suspects: the :class:`SuspectTracker`.
    :param statements: the :class:`ServerStatements`.
    :param backoffs: the :class:`BackoffLedger`.
    """

    def __init__(
        self,
        dialect,
        pool,
        reachability,
        demands,
        evidence,
        suspects,
        statements,
        backoffs,
    ):
        self._dialect = dialect
        self._pool = pool
        self._reachability = reachability
        self._demands = demands
        self._evidence = evidence
        self._suspects = suspects
        self._statements = statements
        self._backoffs = backoffs

    async def make_attempt(self, attempts, server, may_send):
        """Send a request to a server.

        :param attempts: the :class:`Attempts` of the request.
        :param server: the :class:`TrackedServer`.
        :param may_send: asked once the connection is open; returns False if
            the request must not be sent to the server any more.
        :return: the response, or None if the attempt failed.
        :raises RequestError: if the deadline has passed already.
        """
        request, record = attempts.request, server.record
        attempts.excluded |= {record.name}
        left_s = attempts.left_s
        if left_s <= 0:
            raise attempts.make_deadline_error()
        attempts.is_refunded = False
        known_losses = self._suspects.losses_in_row(request)
        counted = self._backoffs.begin(record.start)
        server.in_flight += 1
        asked_ms = boot_ms()
        started_s = monotonic()
        try:
            result = await self._pool.exchange(
                record,
                OutboundRequest(
                    request_line(request.method, request.target),
                    lambda left_ms: self._make_headers(
                        attempts, record, left_ms
                    ),
                    request.body or None,
                    request.metadata.request_id,
                    self._dialect.read_request_id,
                    lambda status, headers: self._read_statement(
                        request, record, status, headers
                    ),
                    lambda: may_send()
                    and self._backoffs.may_send(
                        record.start, counted, steady_ms()
                    ),
                ),
                ExchangeLimits(
                    min(CONNECT_TIMEOUT_S, left_s), attempts.deadline_s
                ),
            )
        finally:
            server.in_flight -= 1
            self._backoffs.end(counted)
        taken_s = monotonic() - started_s
        attempts.record_result(result)
        attempts.is_refunded = result.failure in UNSENT
        if result.failure is not None:
            self._record_failed_attempt(attempts, server, result, taken_s)
            if result.failure is FailureKind.BROKEN and not result.has_headers:
                attempts.server_check = self._suspects.check_server(
                    request, record, known_losses, attempts.server_check
                )
            return None
        if self._dialect.read_response(
            result.response.status, result.response.headers
        ).is_staying:
            server.record_told(asked_ms)
        response = self._handle_response(attempts, server, result, taken_s)
        if response is not None and response.status < MIN_SERVER_ERROR_STATUS:
            self._backoffs.record_success(record.start, counted)
        return response

    def _read_statement(self, request, record, status, headers):
        """Act on what a server says of itself at the head of a response."""
        metadata = self._dialect.read_response(status, headers)
        request_id = request.metadata.request_id
        if metadata.is_leaving and not metadata.is_misdirected:
            self._statements.record_departure(
                record.start, record.address, request_id
            )
        if metadata.names_wait(status):
            self._statements.record_backoff(
                record.start,
                record.address,
                metadata.retry_after_ms,
                request_id,
            )

    def _handle_response(self, attempts, server, result, taken_s):
        """Record a response and return it, or None if it is not accepted."""
        attempts.sent += 1
        self._reachability.record_response()
        response = result.response
        metadata = self._dialect.read_response(
            response.status, response.headers
        )
        if metadata.load is not None and not metadata.is_misdirected:
            server.record_report(metadata.load, steady_ms())
        if metadata.is_leaving:
            response = replace(response, leaving=server.record.start)
        if metadata.not_run and is_promise(
            attempts.request.metadata.request_id,
            self._dialect.read_request_id(response.headers),
        ):
            server.is_misdirected = metadata.is_misdirected
            attempts.is_refunded = True
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
        if metadata.names_wait(response.status):
            return response
        self._demands.record_service_time(
            attempts.service, taken_s, metadata.load
        )
        if response.status == STATUS_GATEWAY_TIMEOUT:
            self._record_served(server, result, None)
            return response
        server.record_success()
        self._suspects.record_response(attempts.request)
        if response.status >= MIN_SERVER_ERROR_STATUS:
            self._evidence.record_failure(server.record)
            return response
        self._record_served(server, result, metadata.load)
        return response

    def _record_served(self, server, result, load):
        served_ms = result.served_s * MILLISECONDS
        self._evidence.record_response(server.record, served_ms, load)

    def _record_failure(self, server):
        server.record_failure(steady_ms())
        self._evidence.record_failure(server.record)

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
            self._record_sign_of_life(server, result)
        if result.failure is not FailureKind.TOO_LATE:
            self._record_failure(server)
        elif taken_s >= attempts.objective_s:
            # A shorter wait says nothing about the server.
            self._evidence.record_failure(server.record)

    def _record_sign_of_life(self, server, result):
        if result.has_headers:
            self._reachability.record_response()
        else:
            self._reachability.record_silent(server.name)

    def _make_headers(self, attempts, record, left_ms):
        """Return the headers of a forwarded request."""
        request = attempts.request
        headers = end_to_end_headers(request.headers)
        if attempts.has_accounts:
            without_credentials(headers)
            self._dialect.write_account(headers, attempts.account_name)
        self._dialect.write_metadata(headers, record.name, left_ms)
        if request.has_length:
            headers['Content-Length'] = str(len(request.body))
        return headers

    def _log_attempt(self, attempts, server, result, detail='', taken_s=0.0):
        GATEWAY_ATTEMPTS.labels(attempts.service, str(result)).inc()
        log_event(
            'attempt',
            request=attempts.request.metadata.request_id,
            object=attempts.request.metadata.object_key,
            account=attempts.account_name,
            server=server.name,
            born_ms=server.record.born_ms,
            state=server.record.state.value,
            region=server.region,
            homes=','.join(attempts.route.home_regions),
            version=attempts.version,
            revision=attempts.revision,
            view_age_ms=attempts.view_age_ms,
            load=round(attempts.believed_load, 1),
            load_age_ms=int(attempts.load_age_ms),
            room=round(attempts.room, 2),
            result=result,
            taken_ms=int(taken_s * MILLISECONDS),
            detail=detail,
        )


def _is_foreign(response, metadata):
    """Return True if a response does not come from the backend server.

    Backend servers send no ``Content-Encoding``, and prove that they sent a
    successful response.
    """
    if 'Content-Encoding' in response.headers:
        return True
    return response.status in SUCCESS_STATUSES and not metadata.is_authentic
