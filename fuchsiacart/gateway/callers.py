"""HTTP server for callers: connections, requests and responses."""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import shield
from asyncio import sleep
from socket import MSG_DONTWAIT
from socket import MSG_PEEK
from time import monotonic
from weakref import WeakKeyDictionary

from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.httputil import ResponseStartLine
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError

from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.exceptions import ANSWERS
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import RequestError
from fuchsiacart.exceptions import Run
from fuchsiacart.gateway.attempts import InboundRequest
from fuchsiacart.gateway.hop_headers import end_to_end_headers
from fuchsiacart.logs import log_error
from fuchsiacart.logs import log_event
from fuchsiacart.metrics import GATEWAY_LATENCY
from fuchsiacart.metrics import GATEWAY_REQUESTS
from fuchsiacart.problems import problem_document
from fuchsiacart.problems import PROBLEM_TYPE

# Event loop iterations in which a request that has already been read is
# dispatched.
DISPATCH_ITERATIONS = 20
NO_CONTENT = 204
NOT_MODIFIED = 304


def _set_polled_events(stream, events):
    """Replace the events that the event loop polls a stream for."""
    stream.io_loop.update_handler(stream.fileno(), events)


def _has_unread_bytes(stream):
    """Return True if the socket has received bytes that are not read yet."""
    try:
        return bool(stream.socket.recv(1, MSG_PEEK | MSG_DONTWAIT))
    except BlockingIOError:
        return False
    except OSError as error:
        log_event('caller_connection_lost', detail=repr(error))
        return False


class CallerServer(HTTPServerConnectionDelegate):
    """Accepts connections of callers and passes requests to the forwarder.

    :param forwarder: the :class:`Forwarder`.
    :param dialect: the :class:`Dialect` of callers.
    """

    def __init__(self, forwarder, dialect):
        self.forwarder = forwarder
        self.dialect = dialect
        self.tasks = set()
        # Maps each open connection to its request in flight, or None.
        self._connections = WeakKeyDictionary()

    @property
    def in_flight(self):
        """Number of requests in flight."""
        return len(self.tasks)

    def start_request(self, server_conn, request_conn):
        """See :class:`HTTPServerConnectionDelegate`."""
        self._connections[server_conn] = None
        return CallerRequestDelegate(self, server_conn, request_conn)

    def mark_busy(self, server_conn, request):
        """Mark a connection as busy with a request."""
        self._connections[server_conn] = request

    def mark_idle(self, server_conn, request):
        """Mark a connection as idle unless a later request is in flight."""
        if self._connections.get(server_conn) is request:
            self._connections[server_conn] = None

    async def close_idle(self):
        """Close the connections that have no request in flight.

        The event loop may have read a request that is not dispatched yet.
        To lose none, reading is paused first, and requests already read get
        time to be dispatched.  The connections that are idle even then are
        closed in one step, without a return to the event loop.
        """
        idle = [
            connection
            for connection, request in self._connections.items()
            if request is None and not connection.stream.closed()
        ]
        for connection in idle:
            _set_polled_events(connection.stream, IOLoop.ERROR)
        for _ in range(DISPATCH_ITERATIONS):
            await sleep(0)
        for connection in idle:
            self._close_if_idle(connection)

    def _close_if_idle(self, connection):
        stream = connection.stream
        if stream.closed():
            return
        is_busy = self._connections.get(connection) is not None
        if is_busy or _has_unread_bytes(stream):
            writing = IOLoop.WRITE if stream.writing() else IOLoop.NONE
            _set_polled_events(stream, IOLoop.READ | IOLoop.ERROR | writing)
            return
        stream.close()


class CallerRequestDelegate(HTTPMessageDelegate):
    """Receives one request from a connection and sends the response."""

    def __init__(self, server, server_conn, request_conn):
        self._server = server
        self._server_conn = server_conn
        self._request_conn = request_conn
        self._start_line = None
        self._headers = None
        self._chunks = []
        self._task = None
        self._received_s = monotonic()

    def headers_received(self, start_line, headers):
        """See :class:`HTTPMessageDelegate`."""
        self._received_s = monotonic()
        self._server.mark_busy(self._server_conn, self)
        self._start_line = start_line
        self._headers = headers

    def data_received(self, chunk):
        """See :class:`HTTPMessageDelegate`."""
        self._chunks.append(chunk)

    def finish(self):
        """Start to serve the request, which has been received completely."""
        self._request_conn.set_close_callback(self._on_disconnect)
        self._task = create_task(self._run())
        self._server.tasks.add(self._task)
        self._task.add_done_callback(self._server.tasks.discard)

    def on_connection_close(self):
        """See :class:`HTTPMessageDelegate`."""
        self._on_disconnect()

    def _on_disconnect(self):
        if self._task is not None:
            self._task.cancel()

    async def _run(self):
        request = InboundRequest(
            self._start_line.method,
            self._start_line.path,
            self._headers.get('Host', ''),
            self._headers,
            b''.join(self._chunks),
            self._server.dialect.read_request(self._headers),
            self._received_s,
            self._request_conn.context.remote_ip,
        )
        outcome = 'failed'
        try:
            outcome = await self._respond(request)
        except CancelledError:
            outcome = 'caller_left'
        except StreamClosedError:
            outcome = 'caller_gone'
        finally:
            self._server.mark_idle(self._server_conn, self)
            self._record_outcome(request, outcome)

    async def _respond(self, request):
        try:
            response = await self._server.forwarder.serve(request)
        except FuchsiacartError as error:
            await self._send_error(error)
            return f'{error.kind.value}: {error.detail}'
        except (OSError, ValueError, KeyError, TypeError) as error:
            log_error(
                'request_failed',
                request=request.metadata.request_id,
                error=repr(error),
            )
            await self._send_error(
                RequestError(repr(error), ErrorKind.INTERNAL, Run.UNKNOWN)
            )
            return 'internal'
        headers = end_to_end_headers(response.headers)
        await self._send(
            response.status, response.reason, headers, response.body
        )
        return str(response.status)

    async def _send_error(self, error):
        headers = HTTPHeaders({'Content-Type': PROBLEM_TYPE})
        if error.retry_after_ms:
            seconds = error.retry_after_ms / MILLISECONDS
            headers['Retry-After'] = f'{seconds:g}'
        answer = ANSWERS[error.kind]
        body = problem_document(error)
        await self._send(answer.status, answer.title, headers, body)

    async def _send(self, status, reason, headers, body):
        """Send the response; return once the socket has accepted it."""
        has_body = status not in (NO_CONTENT, NOT_MODIFIED)
        if has_body:
            headers['Content-Length'] = str(len(body))
        if self._start_line.method == 'HEAD' or not has_body:
            body = b''
        line = ResponseStartLine('HTTP/1.1', status, reason)
        written = self._request_conn.write_headers(line, headers, body)
        self._request_conn.finish()
        # Cancellation by a caller that disconnects must not stop the write.
        await shield(written)

    def _record_outcome(self, request, outcome):
        taken_s = monotonic() - self._received_s
        label = outcome.partition(':')[0]
        GATEWAY_REQUESTS.labels(label).inc()
        GATEWAY_LATENCY.labels(label).observe(taken_s)
        log_event(
            'request',
            request=request.metadata.request_id,
            method=request.method,
            host=request.host_name,
            path=request.path,
            outcome=outcome,
            taken_ms=int(taken_s * MILLISECONDS),
            version=self._server.forwarder.version,
        )
