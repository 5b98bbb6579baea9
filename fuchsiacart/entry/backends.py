"""HTTP client for backend servers: one attempt at one request."""

from asyncio import CancelledError
from enum import Enum
from enum import unique

from msgspec.json import decode
from msgspec import Struct
from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPInputError
from tornado.simple_httpclient import HTTPTimeoutError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import Run
from fuchsiacart.failure_kinds import FailureKind
from fuchsiacart.gateway.budgets.bodies import BodyBuffer
from fuchsiacart.gateway.budgets.memory_budgets import MemoryBudget
from fuchsiacart.gateway.budgets.memory_budgets import MemoryHolder
from fuchsiacart.gateway.hop_headers import HOP_HEADERS
from fuchsiacart.messages import ForwardReply
from fuchsiacart.messages import Header
from fuchsiacart.messages import Refusal

DEADLINE_HEADER = 'Fuchsiacart-Deadline-Ms'
REQUEST_ID_HEADER = 'Fuchsiacart-Request-Id'
RUN_HEADER = 'Fuchsiacart-Run'
CANCEL_PATH = '/fuchsiacart/cancel'
CANCEL_TIMEOUT_S = 1.0
RUNNING_PATH = '/fuchsiacart/running'
PROBE_TIMEOUT_S = 1.0
MAX_CLIENTS = 100_000
# Bound of the largest body, and of all bodies in flight together.
BODY_LIMIT_BYTES = 64 * 1024 * 1024
# Far more than the response to a probe or a cancellation has.
PROBE_LIMIT_BYTES = 4096
STATUS_UNAVAILABLE = 503
# Headers of the callers' interface that are not forwarded.
UNFORWARDED_HEADERS = frozenset(('host', 'authorization'))
BODY_METHODS = frozenset(('POST', 'PUT', 'PATCH'))


@unique
class ProbeResult(Enum):
    """Result of asking a backend server whether it runs a request."""

    RUNNING = 'running'
    NOT_RUNNING = 'not_running'
    UNKNOWN = 'unknown'


class RunningDocument(Struct, frozen=True):
    """Body of a backend server's response to a probe."""

    running: bool


class AttemptResult(Struct, frozen=True):
    """Result of an attempt; ``failure`` is None for a complete response."""

    reply: ForwardReply
    failure: FailureKind | None = None


def select_forwarded_headers(headers):
    """Return the headers to forward.

    Hop-by-hop headers and ``UNFORWARDED_HEADERS`` are left out.

    :param headers: tornado's headers.
    :return: a tuple of :class:`Header`.
    """
    return tuple(
        Header(name, value)
        for name, value in headers.get_all()
        if name.lower() not in HOP_HEADERS | UNFORWARDED_HEADERS
    )


class _BodyReader(MemoryHolder):
    """Collects the body of a response within a :class:`MemoryBudget`.

    :param server_name: name of the server.
    :param budget: the budget.
    """

    given_up_event = 'response_too_large'

    def __init__(self, server_name, budget):
        self._server_name = server_name
        self._budget = budget
        self._buffer = BodyBuffer()
        self._is_aborted = False

    @property
    def peer_name(self):
        """See :class:`MemoryHolder`."""
        return self._server_name

    def receive(self, chunk):
        """Take a piece of the body.

        :raises HTTPInputError: if the body was given up; tornado then closes
            the connection.
        """
        if not self._is_aborted:
            self._budget.add(self, self._buffer.add(chunk))
        if self._is_aborted:
            raise HTTPInputError('the response is too large')

    def abort(self):
        """Give the body up; the next piece closes the connection."""
        self._is_aborted = True
        self._buffer.clear()

    def read_body(self):
        """Return the whole body."""
        return b''.join(self._buffer.take())


class BackendClient:
    """Sends each request to a backend server over a new connection.

    Connections are not reused, so a dead connection cannot affect later
    requests and a response cannot belong to another request.

    :param connect_timeout_ms: timeout of a new connection.
    """

    def __init__(self, connect_timeout_ms):
        self._connect_timeout_s = connect_timeout_ms / 1000
        self._client = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
            max_body_size=BODY_LIMIT_BYTES,
        )
        self._budget = MemoryBudget(BODY_LIMIT_BYTES, small_part=0)

    @property
    def held_bytes(self):
        """Bytes of all response bodies that are being received."""
        return self._budget.held_bytes

    async def send(self, server, request, left_ms):
        """Send a request and read the complete response.

        :param server: the :class:`BackendServer`.
        :param request: the :class:`ForwardRequest`.
        :param left_ms: milliseconds left until the deadline.
        :return: the :class:`AttemptResult`, also for a failed attempt.
        """
        reader = _BodyReader(server.name, self._budget)
        http_request = self._make_http_request(server, request, left_ms)
        http_request.streaming_callback = reader.receive
        try:
            response = await self._client.fetch(
                http_request, raise_error=False
            )
        except CancelledError:
            reader.abort()
            raise
        except HTTPTimeoutError as error:
            if 'connecting' in str(error) or 'queue' in str(error):
                return _make_failed_result(
                    server, FailureKind.NOT_CONNECTED, str(error)
                )
            return _make_failed_result(
                server, FailureKind.TOO_LATE, str(error)
            )
        except ConnectionRefusedError as error:
            return _make_failed_result(
                server, FailureKind.NOT_CONNECTED, str(error)
            )
        except Exception as error:
            return _make_failed_result(server, FailureKind.BROKEN, repr(error))
        finally:
            self._budget.release(reader)
        return self._read_result(server, response, reader.read_body())

    async def probe(self, server, request_id):
        """Ask a server over a new connection whether it runs a request.

        :param server: the :class:`BackendServer`.
        :param request_id: id of the request.
        :return: the :class:`ProbeResult`; UNKNOWN if the probe fails.
        """
        url = f'http://{server.address}{RUNNING_PATH}/{request_id}'
        request = HTTPRequest(
            url,
            connect_timeout=PROBE_TIMEOUT_S,
            request_timeout=PROBE_TIMEOUT_S,
        )
        reader = _limit_body(request, server)
        try:
            await self._client.fetch(request)
            document = decode(reader.read_body(), type=RunningDocument)
        except Exception:
            return ProbeResult.UNKNOWN
        return (
            ProbeResult.RUNNING
            if document.running
            else ProbeResult.NOT_RUNNING
        )

    async def cancel(self, server, request_id):
        """Ask a server to cancel a request whose response is not needed.

        Errors are ignored.

        :param server: the :class:`BackendServer`.
        :param request_id: id of the request.
        """
        url = f'http://{server.address}{CANCEL_PATH}/{request_id}'
        request = HTTPRequest(
            url,
            method='POST',
            body=b'',
            connect_timeout=CANCEL_TIMEOUT_S,
            request_timeout=CANCEL_TIMEOUT_S,
        )
        _limit_body(request, server)
        try:
            await self._client.fetch(request, raise_error=False)
        except Exception:
            return

    def close(self):
        """Close the HTTP client."""
        self._client.close()

    def _make_http_request(self, server, request, left_ms):
        headers = HTTPHeaders()
        for header in request.headers:
            headers.add(header.name, header.value)
        headers[DEADLINE_HEADER] = str(int(left_ms))
        headers[REQUEST_ID_HEADER] = request.request_id
        has_body = request.body or request.method in BODY_METHODS
        return HTTPRequest(
            f'http://{server.address}{request.path}',
            method=request.method,
            headers=headers,
            body=request.body if has_body else None,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            decompress_response=False,
            connect_timeout=min(self._connect_timeout_s, left_ms / 1000),
            request_timeout=left_ms / 1000,
        )

    def _read_result(self, server, response, body):
        headers = response.headers
        if _is_shed(response):
            refusal = Refusal(
                ErrorKind.OVERLOADED, 'shed by the backend server', Run.NO
            )
            reply = ForwardReply(server.name, refusal=refusal, shed=True)
            return AttemptResult(reply)
        is_delimited = (
            'Content-Length' in headers
            or 'Transfer-Encoding' in headers
            or response.code in (204, 304)
        )
        if not is_delimited:
            return _make_failed_result(
                server, FailureKind.BROKEN, 'the end cannot be told'
            )
        reply = ForwardReply(
            server.name,
            response.code,
            select_forwarded_headers(headers),
            body,
        )
        return AttemptResult(reply)


def _limit_body(request, server):
    """Let a request read a small response only.

    :return: the :class:`_BodyReader` of its body.
    """
    reader = _BodyReader(server.name, MemoryBudget(PROBE_LIMIT_BYTES))
    request.streaming_callback = reader.receive
    return reader


def _is_shed(response):
    if response.code != STATUS_UNAVAILABLE:
        return False
    return response.headers.get(RUN_HEADER, '') == Run.NO.value


def make_silent_result(server):
    """Return the result of an attempt whose connection is dead.

    :param server: the :class:`BackendServer`.
    """
    detail = 'it runs no more, and its connection is silent'
    return _make_failed_result(server, FailureKind.SILENT, detail)


def _make_failed_result(server, failure, detail):
    kinds = {
        FailureKind.NOT_CONNECTED: ErrorKind.NO_BACKEND,
        FailureKind.TOO_LATE: ErrorKind.DEADLINE,
        FailureKind.BROKEN: ErrorKind.OUTCOME_UNKNOWN,
        FailureKind.SILENT: ErrorKind.OUTCOME_UNKNOWN,
    }
    run = Run.NO if failure is FailureKind.NOT_CONNECTED else Run.UNKNOWN
    refusal = Refusal(kinds[failure], f'{server.name}: {detail}', run)
    reply = ForwardReply(
        server.name, refusal=refusal, broken=failure is FailureKind.BROKEN
    )
    return AttemptResult(reply, failure)
