"""Connections of callers, on which requests may be pipelined.

Requests are read ahead and served at the same time; responses are sent in the
order of the requests.  A request that arrives once a response has told the
close of the connection would be sent again by its caller, so a connection is
closed only after the last request that was started, and none is started after
that.
"""

from asyncio import Event
from asyncio import get_running_loop
from asyncio import sleep
from collections import deque
from socket import MSG_DONTWAIT
from socket import MSG_PEEK
from socket import SHUT_WR
from time import monotonic

from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError

from fuchsiacart.gateway.budgets.client_connections import ClientConnection
from fuchsiacart.gateway.budgets.client_connections import unwritten_bytes
from fuchsiacart.gateway.caller_exchanges import Exchange
from fuchsiacart.logs import log_event

# Requests of one connection that are served at the same time, and the bytes of
# their heads and bodies beyond which no further request is read.
MAX_PIPELINED_REQUESTS = 16
MAX_PIPELINED_BYTES = 1024 * 1024
# Time in which a caller reads the last response.  Closing earlier, with
# unread bytes of the caller, would reset the connection.
LINGER_S = 1.0
# Time for the rest of a refused request, which its caller may send to the end
# before it reads the response.
REFUSED_LINGER_S = 10.0
DISCARD_BYTES = 65_536


class CallerConnection(ClientConnection):
    """One connection of a caller.

    :param server: the :class:`CallerServer`.
    :param stream: tornado's stream.
    :param remote_ip: IP address of the caller.
    """

    def __init__(self, server, stream, remote_ip):
        super().__init__(server.connections, stream, remote_ip)
        self._server = server
        # Requests that are not answered yet, in the order of their arrival.
        self._exchanges = deque()
        self._receiving = None
        self._is_receiving = False
        # True once no further request is started.
        self._is_closing = False
        self._is_ended = False
        self._answered = Event()
        self._closed = Event()
        self._idle_timer = None
        self._idle_since_s = monotonic()
        self._linger_limit_s = LINGER_S
        self._discarded_s = 0.0
        stream.set_close_callback(self._on_close)

    @property
    def is_busy(self):
        """True while a request is received or unanswered."""
        return self._is_receiving or bool(self._exchanges)

    @property
    def has_requests(self):
        """True while a request is unanswered."""
        return bool(self._exchanges)

    @property
    def is_receiving(self):
        """True while a request with a complete head arrives."""
        return self._is_receiving

    @property
    def is_closed(self):
        """True once the connection is closed."""
        return self._stream.closed()

    async def serve(self):
        """Read requests until the connection ends."""
        self._restart_idle_timer()
        try:
            while await self._receive():
                await self._wait_for_room()
            await self._discard()
        except StreamClosedError:
            # The caller has closed; the outcome of each request is logged.
            self._on_close()

    def on_head(self):
        """Note that the head of a request has arrived."""
        self._is_receiving = True
        self._stop_idle_timer()

    def start(self, exchange):
        """Start to serve a request that was received completely.

        A request behind one that closes the connection counts as not read;
        in a planned stop that is the response after which none is left.

        :param exchange: the :class:`Exchange`.
        """
        self._is_receiving = False
        if self._is_closing:
            return
        self._is_closing = exchange.is_last
        exchange.ahead = len(self._exchanges)
        self._append(exchange)
        exchange.task = self._server.start(exchange)

    def refuse(self, exchange):
        """Refuse a request that has not arrived, as the last one.

        :param exchange: the :class:`Exchange`.
        """
        self._is_receiving = False
        if self._is_closing:
            return
        self._is_closing = True
        self._linger_limit_s = REFUSED_LINGER_S
        exchange.ahead = len(self._exchanges)
        self._append(exchange)
        exchange.task = self._server.start_refusal(exchange)

    def charge(self, exchange, size):
        """Charge bytes of a request or its answer to the budget.

        :param exchange: the :class:`Exchange` that holds them.
        :param size: the bytes.
        """
        self.measure()
        self._server.connections.budget.add(exchange, size)

    def release(self, exchange):
        """Release what a request holds."""
        self._server.connections.budget.release(exchange)

    def find_owner(self, exchange):
        """Return the address of the client that a request comes from."""
        return self._server.find_owner(exchange)

    def measure_socket(self):
        """See :class:`ClientConnection`; a response shrinks as it is read."""
        super().measure_socket()
        if not self._exchanges or not self._exchanges[0].is_writing:
            return
        exchange = self._exchanges[0]
        left_bytes = unwritten_bytes(self._stream)
        self._server.connections.budget.set(
            exchange, exchange.held_bytes + left_bytes
        )

    def record_discarded(self):
        """Note that the caller sends on what nobody reads."""
        self._discarded_s = monotonic()

    def find_stalled(self, since_s):
        """Return the request of which nothing has arrived lately, or None.

        :param since_s: time since which something must have arrived.
        """
        exchange = self._receiving
        if exchange is None or self._is_closing or not self._is_receiving:
            return None
        return exchange if exchange.progress_s < since_s else None

    def complete(self, exchange):
        """Remove a request that was answered or given up."""
        self._exchanges.remove(exchange)
        exchange.clear()
        self.release(exchange)
        if self._exchanges:
            self._exchanges[0].turn.set()
        elif self._is_closing:
            self._end()
        else:
            self._restart_idle_timer()
        self._answered.set()

    def must_close_after(self, exchange):
        """Return True if the connection ends with a response.

        :param exchange: the :class:`Exchange`, which is the next to answer.
        """
        if self._server.is_stopping and len(self._exchanges) == 1:
            self._is_closing = True
        return self._is_closing and self._exchanges[-1] is exchange

    async def wait_if_ended(self):
        """Wait for the close of a connection that sends no more."""
        if self._is_ended:
            await self._closed.wait()

    async def wait_until_idle(self):
        """Wait until all requests are answered."""
        while self._exchanges:
            await self._next_answer()

    def apply_idle_timeout(self):
        """Let a changed idle timeout count from the last answer."""
        if self.is_busy or self.is_closed:
            return
        self._stop_idle_timer()
        self._start_idle_timer()

    def pause(self):
        """Stop reading for a moment, see :meth:`CallerServer.close_idle`."""
        self._set_polled_events(IOLoop.ERROR)

    def close_if_idle(self):
        """Close the connection, or read on if a request has arrived."""
        if self._stream.closed():
            return
        if self.is_busy or self._has_unread_bytes():
            writing = IOLoop.WRITE if self._stream.writing() else IOLoop.NONE
            self._set_polled_events(IOLoop.READ | IOLoop.ERROR | writing)
            return
        self.close()

    async def _receive(self):
        """Read one request.

        :return: True if further requests may follow it.
        """
        exchange = Exchange(self, self._stream, self._server.parameters)
        self._receiving = exchange
        if await exchange.read():
            return not self._is_closing
        self.release(exchange)
        self.refuse(exchange)
        return False

    async def _wait_for_room(self):
        while self._is_full():
            await self._next_answer()

    def _is_full(self):
        if len(self._exchanges) >= MAX_PIPELINED_REQUESTS:
            return True
        held_bytes = sum(each.held_bytes for each in self._exchanges)
        return held_bytes > MAX_PIPELINED_BYTES

    async def _next_answer(self):
        self._answered.clear()
        await self._answered.wait()

    async def _discard(self):
        """Read what follows the last request, to notice the caller's close."""
        while True:
            await self._stream.read_bytes(DISCARD_BYTES, partial=True)
            self._discarded_s = monotonic()

    def _end(self):
        """Send no more, and close once the caller has or after a time."""
        if self._is_ended or self._stream.closed():
            return
        self._is_ended = True
        get_running_loop().call_later(
            LINGER_S, self._close_when_quiet, monotonic()
        )
        try:
            self._stream.socket.shutdown(SHUT_WR)
        except OSError as error:
            log_event('caller_connection_lost', detail=repr(error))
            self.close()

    def _close_when_quiet(self, ended_s):
        """Close, unless the caller still sends and may not have read yet.

        :param ended_s: when the last response was sent.
        """
        now_s = monotonic()
        quiet_s = now_s - self._discarded_s
        left_s = ended_s + self._linger_limit_s - now_s
        if quiet_s >= LINGER_S or left_s <= 0:
            self.close()
            return
        get_running_loop().call_later(
            min(left_s, LINGER_S - quiet_s), self._close_when_quiet, ended_s
        )

    def _append(self, exchange):
        self._exchanges.append(exchange)
        if self._exchanges[0] is exchange:
            exchange.turn.set()

    def _on_close(self):
        self._closed.set()
        self._answered.set()
        self._stop_idle_timer()
        if self._receiving not in self._exchanges:
            self.release(self._receiving)
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()

    def _restart_idle_timer(self):
        self._idle_since_s = self.active_s = monotonic()
        self._stop_idle_timer()
        if self._server.idle_timeout_s is None or self._stream.closed():
            return
        self._start_idle_timer()

    def _start_idle_timer(self):
        end_s = self._idle_since_s + self._server.idle_timeout_s
        self._idle_timer = get_running_loop().call_later(
            max(0.0, end_s - monotonic()), self._on_idle
        )

    def _stop_idle_timer(self):
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _on_idle(self):
        if not self.is_busy:
            self.close()

    def _set_polled_events(self, events):
        """Replace the events that the event loop polls the stream for."""
        if self._stream.closed():
            return
        self._stream.io_loop.update_handler(self._stream.fileno(), events)

    def _has_unread_bytes(self):
        """Return True if the socket has received bytes not read yet."""
        try:
            return bool(self._stream.socket.recv(1, MSG_PEEK | MSG_DONTWAIT))
        except BlockingIOError:
            return False
        except OSError as error:
            log_event('caller_connection_lost', detail=repr(error))
            return False


async def close_idle_connections(connections, iterations):
    """Close the connections on which no request is received or unanswered.

    The event loop may have read a request that is not started yet.  To lose
    none, reading is paused first, and requests already read get time to be
    started.  The connections that are idle even then are closed in one step,
    without a return to the event loop.

    :param connections: each a :class:`CallerConnection`.
    :param iterations: iterations of the event loop in which a request that
        has been read is started.
    """
    idle = [
        connection
        for connection in connections
        if not connection.is_busy and not connection.is_closed
    ]
    for connection in idle:
        connection.pause()
    for _ in range(iterations):
        await sleep(0)
    for connection in idle:
        connection.close_if_idle()
