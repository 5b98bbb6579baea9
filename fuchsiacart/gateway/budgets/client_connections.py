"""Connections of clients, charged at what they hold unread and unwritten."""

from array import array
from fcntl import ioctl
from socket import SO_RCVBUF
from socket import SO_SNDBUF
from socket import SOL_SOCKET
from termios import FIONREAD
from termios import TIOCOUTQ
from time import monotonic

from tornado.netutil import bind_sockets

from fuchsiacart.gateway.budgets.connection_limits import close_surplus
from fuchsiacart.gateway.budgets.memory_budgets import MemoryHolder
from fuchsiacart.gateway.budgets.memory_limits import CONNECTION_BYTES
from fuchsiacart.logs import log_event
from fuchsiacart.metrics import CONNECTIONS_CLOSED
from fuchsiacart.metrics import HELD_BYTES


class ClientConnections:
    """The connections of all listeners of a process.

    :param budget: the :class:`MemoryBudget` that they are charged to.
    :param limit: how many there may be.
    """

    def __init__(self, budget, limit):
        self.budget = budget
        self._limit = limit
        self._connections = set()
        HELD_BYTES.set_function(lambda: budget.held_bytes)

    def add(self, connection):
        """Add a connection, and close one if there are too many now.

        :param connection: the :class:`ClientConnection`.
        """
        self._connections.add(connection)
        connection.measure()
        close_surplus(self._connections, self._limit)

    def discard(self, connection):
        """Remove a connection and release what it holds."""
        self._connections.discard(connection)
        self.budget.release(connection)

    def measure(self):
        """Charge what all of them hold just now."""
        for connection in tuple(self._connections):
            connection.measure_socket()


class ClientConnection(MemoryHolder):
    """One connection of a client.

    ``has_requests`` is True while a request is served, and ``is_receiving``
    while one arrives that can be refused in place of closing the connection.

    :param connections: the :class:`ClientConnections`.
    :param stream: tornado's stream.
    :param remote_ip: IP address of the client.
    """

    given_up_event = 'connection_given_up'
    has_requests = False
    is_receiving = False

    def __init__(self, connections, stream, remote_ip):
        self._connections = connections
        self._stream = stream
        self._socket_bytes = 0
        self.remote_ip = remote_ip
        self.active_s = monotonic()
        self._read_from_fd = stream.read_from_fd
        stream.read_from_fd = self._read

    @property
    def owner(self):
        """See :class:`MemoryHolder`."""
        return self.remote_ip

    @property
    def peer_name(self):
        """See :class:`MemoryHolder`."""
        return self.remote_ip

    @property
    def is_abortable(self):
        """True unless a request holds more, or may run."""
        return not self.has_requests and not self.is_receiving

    def abort(self):
        """Close the connection."""
        CONNECTIONS_CLOSED.labels('memory').inc()
        self.close()

    def close(self):
        """Close the connection at once."""
        self._stream.close()
        # Its close callback may run only after others are accepted.
        self._connections.discard(self)

    def measure(self, arrived_bytes=0):
        """Charge what is in the buffers of the stream.

        :param arrived_bytes: bytes that are about to be added to them.
        """
        if self._stream.closed():
            return
        size = CONNECTION_BYTES + self._socket_bytes + arrived_bytes
        size += buffered_bytes(self._stream)
        self._connections.budget.set(self, size)

    def measure_socket(self):
        """Charge what the kernel holds, too, where nobody reads or writes."""
        if self._stream.closed():
            return
        self._socket_bytes = count_socket_bytes(self._stream)
        self.measure()

    def end(self):
        """Release all after the close of the connection."""
        self._connections.discard(self)
        # Without this cycle it is freed at once.
        self._stream.__dict__.pop('read_from_fd', None)

    def _read(self, buffer):
        """Read from the socket; see :class:`BaseIOStream`."""
        count = self._read_from_fd(buffer)
        if count:
            self.active_s = monotonic()
            self.measure(count)
        return count


def buffered_bytes(stream):
    """Return how many bytes a stream of tornado has read and not passed on.

    Tornado has no public name for it.
    """
    return stream._read_buffer_size


def unwritten_bytes(stream):
    """Return how many bytes a stream of tornado has not written yet.

    Tornado has no public name for it.
    """
    return len(stream._write_buffer)


def count_socket_bytes(stream):
    """Return the bytes that the kernel holds for a stream, if these wait.

    :param stream: tornado's stream.
    """
    total_bytes = 0
    if not stream.reading():
        total_bytes += _ask_socket(stream, FIONREAD)
    if stream.writing():
        total_bytes += _ask_socket(stream, TIOCOUTQ)
    return total_bytes


def listen(server, port, address, backlog, socket_bytes):
    """Let a server listen at an address.

    :param server: tornado's :class:`TCPServer`.
    :param port: port, 0 for any free one.
    :param address: IP address.
    :param backlog: connections that may wait to be accepted.
    :param socket_bytes: bound of what the kernel holds for each connection,
        in each direction.
    :return: the port in use.
    """
    sockets = bind_sockets(port, address, backlog=backlog)
    for each in sockets:
        each.setsockopt(SOL_SOCKET, SO_RCVBUF, socket_bytes)
        each.setsockopt(SOL_SOCKET, SO_SNDBUF, socket_bytes)
    server.add_sockets(sockets)
    return sockets[0].getsockname()[1]


def _ask_socket(stream, request):
    count = array('i', [0])
    try:
        ioctl(stream.fileno(), request, count)
    except OSError as error:
        log_event('socket_not_measured', error=repr(error))
        return 0
    return count[0]
