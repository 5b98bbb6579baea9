"""HTTP server for callers: requests and responses."""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from time import monotonic

from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError
from tornado.tcpserver import TCPServer

from fuchsiacart.bounds import check_target
from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.exceptions import ANSWERS
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import RequestError
from fuchsiacart.exceptions import Run
from fuchsiacart.gateway.attempts import InboundRequest
from fuchsiacart.gateway.budgets.client_connections import ClientConnections
from fuchsiacart.gateway.budgets.connection_limits import connection_limit
from fuchsiacart.gateway.budgets.connection_limits import refuse_stalled
from fuchsiacart.gateway.budgets.memory_budgets import MemoryBudget
from fuchsiacart.gateway.caller_connections import CallerConnection
from fuchsiacart.gateway.caller_connections import close_idle_connections
from fuchsiacart.gateway.hop_headers import end_to_end_headers
from fuchsiacart.gateway.hop_headers import format_start
from fuchsiacart.gateway.hop_headers import parse_version
from fuchsiacart.gateway.hop_headers import RELAYED_FOR
from fuchsiacart.gateway.hop_headers import RELAYED_ID
from fuchsiacart.gateway.hop_headers import RELAYED_LEAVING
from fuchsiacart.gateway.hop_headers import RELAYED_VERSION
from fuchsiacart.logs import log_error
from fuchsiacart.logs import log_event
from fuchsiacart.metrics import GATEWAY_LATENCY
from fuchsiacart.metrics import GATEWAY_REQUESTS
from fuchsiacart.problems import problem_document
from fuchsiacart.problems import PROBLEM_TYPE

# Event loop iterations in which a request that has already been read is
# started.
START_ITERATIONS = 20
# Event loop iterations in which all waiting connections are accepted; tornado
# accepts 128 in one.
ACCEPT_ITERATIONS = 10
# Time between two looks for requests that do not go on.
WATCH_INTERVAL_S = 1.0
# Before the first configuration sets its own limits.
BODY_LIMIT_BYTES = 64 * 1024 * 1024
# Largest head that is read, whatever the configuration allows.  A stream looks
# for the end of a head whenever its buffer has doubled, so this is well below
# the size of that buffer.
HEADER_LIMIT_BYTES = BODY_LIMIT_BYTES // 4


class CallerServer(TCPServer):
    """Accepts connections of callers and passes requests to the forwarder.

    ``idle_timeout_s`` is the time after which an idle connection is closed,
    or None.  Once ``is_stopping`` is set, each connection is closed after its
    last response.

    :param forwarder: the :class:`Forwarder`.
    :param dialect: the :class:`Dialect` of callers.
    :param connections: the :class:`ClientConnections` of the process.
    """

    def __init__(self, forwarder, dialect, connections=None):
        super().__init__(max_buffer_size=BODY_LIMIT_BYTES)
        self._forwarder = forwarder
        self.connections = connections or ClientConnections(
            MemoryBudget(), connection_limit()
        )
        self._dialect = dialect
        self._tasks = set()
        self._connections = set()
        self._parameters = HTTP1ConnectionParameters(
            max_body_size=BODY_LIMIT_BYTES
        )
        self.idle_timeout_s = None
        self.is_stopping = False

    @property
    def in_flight(self):
        """Number of requests in flight."""
        return len(self._tasks)

    @property
    def is_busy(self):
        """True while a request is received, served or answered."""
        return bool(self._tasks) or any(
            connection.is_busy and not connection.is_closed
            for connection in self._connections
        )

    def set_limits(self, header_bytes, body_bytes, idle_timeout_s):
        """Set the limits of all requests that have not begun to arrive.

        The idle timeout counts for connections that are idle now, too.

        :param header_bytes: bytes of the head of a request; of more than
            ``HEADER_LIMIT_BYTES``, those are used.
        :param body_bytes: bytes of its body.
        :param idle_timeout_s: see :class:`CallerServer`.
        """
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=min(header_bytes, HEADER_LIMIT_BYTES),
            max_body_size=body_bytes,
        )
        if idle_timeout_s == self.idle_timeout_s:
            return
        self.idle_timeout_s = idle_timeout_s
        for connection in tuple(self._connections):
            connection.apply_idle_timeout()

    def parameters(self):
        """Return the :class:`HTTP1ConnectionParameters` in force."""
        return self._parameters

    async def handle_stream(self, stream, address):
        """See :class:`TCPServer`."""
        connection = CallerConnection(self, stream, address[0])
        self._connections.add(connection)
        self.connections.add(connection)
        try:
            await connection.serve()
        except Exception as error:
            # No response can be sent: what was read is not known.
            log_error(
                'caller_connection_failed',
                caller=connection.remote_ip,
                error=repr(error),
            )
            raise
        finally:
            self._connections.discard(connection)
            connection.close()
            connection.end()

    async def watch(self):
        """Refuse requests that do not go on, until cancelled."""
        while True:
            await sleep(WATCH_INTERVAL_S)
            refuse_stalled(self._connections, self.idle_timeout_s, monotonic())

    async def stop_accepting(self):
        """Accept the connections that wait in the backlog, and no others.

        Closing the listener at once would reset them.
        """
        for _ in range(ACCEPT_ITERATIONS):
            await sleep(0)
        self.stop()

    async def close_idle(self):
        """Close the connections that have no request in flight.

        See :func:`close_idle_connections`.
        """
        await close_idle_connections(self._connections, START_ITERATIONS)

    async def close_all(self):
        """Close all connections and wait for their requests to end."""
        for connection in tuple(self._connections):
            connection.close()
        await gather(*self._tasks, return_exceptions=True)

    def find_owner(self, exchange):
        """Return the address of the client that a request comes from.

        Another gateway relays for many of them.

        :param exchange: the :class:`Exchange`.
        """
        remote_ip = exchange.connection.remote_ip
        if not exchange.relayed_for:
            return remote_ip
        is_gateway = self._forwarder.relay.selector.is_gateway(remote_ip)
        return exchange.relayed_for if is_gateway else remote_ip

    def start(self, exchange):
        """Start to serve a request.

        :param exchange: the :class:`Exchange`.
        :return: the task.
        """
        return self._start_task(self._run(exchange))

    def start_refusal(self, exchange):
        """Start to refuse a request that cannot be read.

        :param exchange: the :class:`Exchange`.
        :return: the task.
        """
        return self._start_task(self._refuse(exchange))

    def _start_task(self, coroutine):
        task = create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run(self, exchange):
        await self._serve(exchange)
        # The process goes on until the caller has read the last response.
        await exchange.connection.wait_if_ended()

    async def _serve(self, exchange):
        request = InboundRequest(
            exchange.start_line.method,
            exchange.start_line.path,
            exchange.headers.get('Host', ''),
            exchange.headers,
            exchange.body,
            self._dialect.read_request(exchange.headers),
            exchange.received_s,
            exchange.connection.remote_ip,
            exchange.headers.get(RELAYED_FOR, ''),
            parse_version(exchange.headers.get(RELAYED_VERSION, '')),
        )
        outcome = 'failed'
        try:
            outcome = await self._respond(exchange, request)
        except CancelledError:
            outcome = 'caller_left'
        except StreamClosedError:
            outcome = 'caller_gone'
        finally:
            exchange.connection.complete(exchange)
            self._record_outcome(request, outcome, exchange)

    async def _refuse(self, exchange):
        outcome = exchange.refusal.kind.value
        try:
            await exchange.send_refusal()
        except CancelledError:
            outcome = 'caller_left'
        except StreamClosedError:
            outcome = 'caller_gone'
        finally:
            exchange.connection.complete(exchange)
            GATEWAY_REQUESTS.labels(outcome).inc()
            log_event(
                'request_refused',
                caller=exchange.connection.remote_ip,
                outcome=outcome,
                kind=exchange.refusal.kind.value,
                detail=exchange.refusal.detail,
                ahead=exchange.ahead,
            )
        await exchange.connection.wait_if_ended()

    async def _respond(self, exchange, request):
        try:
            check_target(request.target)
            response = await self._forwarder.serve(request)
        except FuchsiacartError as error:
            exchange.answered_s = monotonic()
            await _send_error(exchange, request, error)
            return f'{error.kind.value}: {error.detail}'
        except Exception as error:
            log_error(
                'request_failed',
                request=request.metadata.request_id,
                error=repr(error),
            )
            await _send_error(
                exchange,
                request,
                RequestError(repr(error), ErrorKind.INTERNAL, Run.UNKNOWN),
            )
            return 'internal'
        exchange.answered_s = monotonic()
        headers = end_to_end_headers(response.headers)
        _name_request(headers, request)
        if response.leaving is not None and self._forwarder.relay.is_relayed(
            request
        ):
            headers[RELAYED_LEAVING] = format_start(response.leaving)
        await exchange.send(
            response.status, response.reason, headers, response.body
        )
        return str(response.status)

    def _record_outcome(self, request, outcome, exchange):
        now_s = monotonic()
        taken_s = now_s - request.received_s
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
            ahead=exchange.ahead,
            held_ms=int((now_s - exchange.answered_s) * MILLISECONDS),
            version=self._forwarder.version,
        )


def _name_request(headers, request):
    """Let the gateway that relayed a request recognize the response."""
    if request.is_relayed and request.metadata.request_id:
        headers[RELAYED_ID] = request.metadata.request_id


async def _send_error(exchange, request, error):
    """Send the problem document of an error."""
    headers = HTTPHeaders({'Content-Type': PROBLEM_TYPE})
    _name_request(headers, request)
    if error.kind is ErrorKind.UNAUTHORIZED:
        headers['WWW-Authenticate'] = 'Bearer'
    if error.retry_after_ms:
        seconds = error.retry_after_ms / MILLISECONDS
        headers['Retry-After'] = f'{seconds:g}'
    answer = ANSWERS[error.kind]
    body = problem_document(error)
    await exchange.send(answer.status, answer.title, headers, body)
