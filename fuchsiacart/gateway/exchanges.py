"""Connections to backend servers that carry one request at a time.

A connection is kept for further requests.  A response is accepted only if its
headers match the request, since a server may send bytes that belong to no
request or to an earlier one.
"""

from asyncio import create_task
from asyncio import wait_for
from collections.abc import Callable
from socket import AF_INET
from socket import IPPROTO_TCP
from socket import MSG_DONTWAIT
from socket import MSG_PEEK
from socket import SOCK_STREAM
from socket import socket
from socket import TCP_NODELAY
from socket import TCP_USER_TIMEOUT
from time import monotonic

from msgspec import Struct
from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPInputError
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError

from fuchsiacart.bounds import split_address
from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.failure_kinds import FailureKind
from fuchsiacart.gateway.budgets.bodies import Body
from fuchsiacart.gateway.budgets.bodies import BodyBuffer
from fuchsiacart.gateway.budgets.bodies import make_body
from fuchsiacart.gateway.budgets.memory_budgets import MemoryHolder
from fuchsiacart.gateway.budgets.memory_budgets import RESPONSE_LIMIT_BYTES
from fuchsiacart.gateway.hop_headers import IDLE_LIMIT_S
from fuchsiacart.gateway.hop_headers import read_idle_timeout_s
from fuchsiacart.gateway.request_writers import StartedRequest
from fuchsiacart.gateway.request_writers import write_rest
from fuchsiacart.gateway.request_writers import write_start
from fuchsiacart.gateway.response_checks import is_own_response
from fuchsiacart.logs import log_error
from fuchsiacart.logs import log_event
from fuchsiacart.logs import log_warning
from fuchsiacart.servers import ServerStart

# Statuses that RFC 9110 allows; the parser takes any three digits.
STATUSES = range(100, 600)
HEADER_LIMIT_BYTES = 65_536
# Bytes that a connection reads before its response is asked for them.
BUFFER_LIMIT_BYTES = 256 * 1024
# Unacknowledged data closes the connection after this time, which covers the
# longest round trip and two transmissions of a lost packet.
USER_TIMEOUT_MS = 1_000
# Limit of the responses read for one request; those that belong to other
# requests are skipped.
MAX_RESPONSES_READ = 3
CONNECTION_PARAMETERS = HTTP1ConnectionParameters(
    max_header_size=HEADER_LIMIT_BYTES,
    max_body_size=RESPONSE_LIMIT_BYTES,
    decompress=False,
)


class ServerResponse(Struct, frozen=True):
    """A complete response of a backend server.

    ``body`` is a :class:`Body`, or bytes if it is small.
    ``leaving`` is the start of the server if the response says that it leaves.
    """

    status: int
    reason: str
    headers: HTTPHeaders
    body: Body | bytes
    leaving: ServerStart | None = None


class ExchangeResult(Struct, frozen=True):
    """The response of a server, or the kind and detail of the failure.

    ``served_s`` is the time from sending the request to the complete
    response, less one round trip.  ``has_headers`` is True if the headers of
    a response arrived.
    """

    response: ServerResponse | None = None
    failure: FailureKind | None = None
    detail: str = ''
    served_s: float = 0.0
    has_headers: bool = False


class OutboundRequest(Struct, frozen=True):
    """A request to a backend server.

    ``make_headers`` takes the milliseconds left until the deadline and
    returns the headers; ``read_id`` takes the headers of a response and
    returns the id of the request that it belongs to, or ''.  ``on_headers``
    is called with the status and the headers of each response to the request
    as soon as they arrive, interim responses included.  ``may_send`` is asked
    once the connection is open, right before the request is sent.
    """

    start_line: RequestStartLine
    make_headers: Callable[[float], HTTPHeaders]
    body: Body | bytes | None
    request_id: str
    read_id: Callable[[HTTPHeaders], str]
    on_headers: Callable[[int, HTTPHeaders], None] | None = None
    may_send: Callable[[], bool] | None = None


class ExchangeLimits(Struct, frozen=True):
    """Time limits of an exchange.

    ``connect_s`` is the timeout of a new connection, ``deadline_s`` a time
    of the monotonic clock.
    """

    connect_s: float
    deadline_s: float


class _PeekStream(IOStream):
    """A stream that can detect unexpected bytes without reading them."""

    def is_idle(self):
        """Return True if the peer has sent no bytes and has not closed."""
        if self.closed() or self._read_buffer_size:
            return False
        try:
            self.socket.recv(1, MSG_PEEK | MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError as error:
            log_event('kept_connection_lost', detail=repr(error))
        return False


class _ResponseReader(HTTPMessageDelegate, MemoryHolder):
    """Collects a response; it is complete once ``finished`` is set.

    :param connection: the :class:`ServerConnection`.
    :param request: the :class:`OutboundRequest`.
    """

    given_up_event = 'response_too_large'

    def __init__(self, connection, request):
        self._connection = connection
        self._request = request
        self._is_aborted = False
        self.start_line = None
        self.headers = None
        self._buffer = BodyBuffer()
        self.finished = False

    @property
    def peer_name(self):
        """See :class:`MemoryHolder`."""
        return self._connection.server_name

    def abort(self):
        """Give the response up and close its connection."""
        self._is_aborted = True
        self._buffer.clear()
        self._connection.close()

    def headers_received(self, start_line, headers):
        self.start_line = start_line
        self.headers = headers
        if start_line.code not in STATUSES:
            log_warning(
                'status_not_allowed',
                request=self._request.request_id,
                server=self.peer_name,
                status=start_line.code,
            )
            self.abort()
            return
        if self._request.on_headers is not None and self.is_own():
            self._request.on_headers(start_line.code, headers)

    def data_received(self, chunk):
        if not self._is_aborted:
            self._connection.budget.add(self, self._buffer.add(chunk))

    def finish(self):
        self.finished = not self._is_aborted

    def is_own(self):
        """Return True if the response may belong to the request."""
        return is_own_response(
            self._request.request_id,
            self._request.read_id(self.headers),
            self._connection.is_reused,
        )

    def is_delimited(self):
        """Return True if the headers say where the response ends."""
        return (
            'Content-Length' in self.headers
            or 'Transfer-Encoding' in self.headers
        )

    def to_response(self):
        """Return the :class:`ServerResponse`, and keep no part of it."""
        return ServerResponse(
            self.start_line.code,
            self.start_line.reason,
            self.headers,
            make_body(self._buffer.take()),
        )


class ServerConnection:
    """One connection to a backend server.

    :param server_name: name of the server.
    :param budget: the :class:`MemoryBudget` of all connections.
    """

    def __init__(self, server_name, budget):
        self.server_name = server_name
        self.budget = budget
        self.is_reused = False
        self._stream = _PeekStream(
            socket(AF_INET, SOCK_STREAM), max_buffer_size=BUFFER_LIMIT_BYTES
        )
        self._idle_until_s = 0.0
        self._is_complete = False
        self._round_trip_s = 0.0
        self._has_headers = False

    @property
    def is_reusable(self):
        """True if another request may be sent on the connection."""
        return (
            self._is_complete
            and monotonic() < self._idle_until_s
            and self._stream.is_idle()
        )

    async def connect(self, address, timeout_s):
        """Connect to a server and measure the round trip.

        :param address: IP:port of the server.
        :param timeout_s: seconds to wait.
        :raises OSError: if the server cannot be reached.
        :raises TimeoutError: if the connection is not open in time.
        :raises ValueError: if no host can be reached at the address.
        """
        peer = split_address(address)
        started_s = monotonic()
        try:
            await wait_for(self._stream.connect(peer), timeout_s)
        except StreamClosedError as error:
            raise OSError(repr(error.real_error)) from error
        self._round_trip_s = monotonic() - started_s
        own_socket = self._stream.socket
        own_socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        own_socket.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        self._is_complete = True
        self._idle_until_s = monotonic() + IDLE_LIMIT_S

    async def send_request(self, request, deadline_s):
        """Send a request and read its response.

        :param request: the :class:`OutboundRequest`.
        :param deadline_s: deadline of the response, a time of the monotonic
            clock; the caller has to enforce it.
        :return: the :class:`ExchangeResult`.
        """
        return await self.read_result(
            request, self.start_request(request, deadline_s)
        )

    def start_request(self, request, deadline_s):
        """Write the head of a request, and its body if that is small.

        Nothing else runs meanwhile, so that what was checked right before
        holds.  The deadline given to the server is earlier by the round trip,
        so that its response arrives in time.

        :param request: the :class:`OutboundRequest`.
        :param deadline_s: see :meth:`send_request`.
        :return: the :class:`StartedRequest`.
        """
        self._is_complete = False
        self._has_headers = False
        sent_s = monotonic()
        connection = HTTP1Connection(self._stream, True, CONNECTION_PARAMETERS)
        left_s = deadline_s - sent_s - self._round_trip_s
        headers = request.make_headers(max(0.0, left_s) * MILLISECONDS)
        try:
            written = write_start(connection, request, headers)
        except ValueError as error:
            # No byte was written, and no response will come.
            log_error(
                'request_not_written',
                request=request.request_id,
                server=self.server_name,
                error=repr(error),
            )
            self.close()
            written = None
        return StartedRequest(connection, sent_s, written)

    async def read_result(self, request, started):
        """Write the rest of a request and read its response.

        :param request: the :class:`OutboundRequest`.
        :param started: the :class:`StartedRequest`.
        :return: the :class:`ExchangeResult`.
        """
        connection, sent_s = started.connection, started.sent_s
        sending = create_task(write_rest(connection, request, started))
        try:
            reader = await self._read_response(connection, request)
        except (StreamClosedError, HTTPInputError, ValueError) as error:
            return self._make_broken_result(repr(error))
        finally:
            is_sent = sending.done()
            sending.cancel()
        if reader is None:
            return self._make_broken_result(repr(self._stream.error))
        self._is_complete = is_sent and reader.is_delimited()
        self.is_reused = True
        self._idle_until_s = monotonic() + read_idle_timeout_s(reader.headers)
        served_s = monotonic() - sent_s - self._round_trip_s
        return ExchangeResult(
            reader.to_response(), served_s=max(0.0, served_s)
        )

    def close(self):
        """Close the connection."""
        self._stream.close()

    def _make_broken_result(self, detail):
        return ExchangeResult(
            failure=FailureKind.BROKEN,
            detail=detail,
            has_headers=self._has_headers,
        )

    async def _read_response(self, connection, request):
        """Return the reader of the response to the request, or None.

        None means that the response is incomplete or that
        ``MAX_RESPONSES_READ`` responses belonged to other requests.
        """
        for _ in range(MAX_RESPONSES_READ):
            reader = _ResponseReader(self, request)
            try:
                await connection.read_response(reader)
            finally:
                self.budget.release(reader)
            self._has_headers |= reader.headers is not None
            if not reader.finished:
                return None
            if not reader.is_delimited() and self._stream.error is not None:
                return None
            if reader.is_own():
                return reader
            log_event(
                'response_discarded',
                request=request.request_id,
                server=self.server_name,
                answered=request.read_id(reader.headers),
                status=reader.start_line.code,
            )
            self.is_reused = True
        return None


def request_line(method, target):
    """Return the start line of an HTTP/1.1 request.

    :param method: HTTP method.
    :param target: path and query as the caller sent them.
    """
    return RequestStartLine(method, target, 'HTTP/1.1')
