"""TCP ports that are kept for processes of a scenario."""

from socket import SO_REUSEADDR
from socket import socket
from socket import SOL_SOCKET

LOOPBACK = '127.0.0.1'


class PortReservations:
    """Keeps ports until they are released.

    A port that is only found free may be given to a connection of any other
    process before its own process listens, or while that restarts.  Here a
    socket stays bound to it.  The socket does not listen, so a process that
    sets ``SO_REUSEADDR`` can.
    """

    def __init__(self):
        self._sockets = []

    def reserve(self):
        """Return a port that no other socket is given."""
        reservation = socket()
        reservation.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        reservation.bind((LOOPBACK, 0))
        self._sockets.append(reservation)
        return reservation.getsockname()[1]

    def release(self):
        """Release all ports."""
        for reservation in self._sockets:
            reservation.close()
        self._sockets.clear()
