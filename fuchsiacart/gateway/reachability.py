"""Decides whether a gateway reaches any backend server.

A single server that fails says nothing about the gateway.  Several that fail
in a row, with no sign of life of any other, raise the suspicion that the
gateway itself is cut off.  Attempts to connect confirm that or clear it, and
tell when servers are reached again.
"""

from asyncio import Event
from enum import Enum
from enum import unique

# Servers that must have failed before the gateway is suspected.
SUSPICION_SERVERS = 3
# Servers that are asked for a connection to confirm or clear a suspicion.
PROBED_SERVERS = 3


@unique
class Reach(Enum):
    """What a gateway knows of its way to the backend servers.

    ``SUSPECTED``: they seem out of reach, which is being confirmed;
    ``ISOLATED``: none is reached.
    """

    REACHED = 'reached'
    SUSPECTED = 'suspected'
    ISOLATED = 'isolated'


class ServerReachability:
    """Knows from attempts and probes whether servers are reached.

    Performs no I/O.  Two kinds of evidence count: servers that gave no sign
    of life, and servers to which no new connection could be opened.  The
    second goes on counting while connections opened earlier still work.
    """

    def __init__(self):
        self.reach = Reach.REACHED
        self._server_count = 0
        self._silent = set()
        self._unconnected = set()
        self._doubted = Event()

    @property
    def is_isolated(self):
        """True if no backend server is reached."""
        return self.reach is Reach.ISOLATED

    def apply_view(self, server_count):
        """Set the number of backend servers of the view.

        :param server_count: the number.
        """
        self._server_count = server_count

    def record_connected(self):
        """Record that a new connection to a server was opened."""
        self._unconnected.clear()
        self._silent.clear()

    def record_response(self):
        """Record that a server answered, on any connection."""
        self._silent.clear()

    def record_unconnected(self, server_name):
        """Record that no connection to a server could be opened.

        :param server_name: the server.
        """
        self._unconnected.add(server_name)
        self.record_silent(server_name)

    def record_silent(self, server_name):
        """Record that a server gave no answer.

        :param server_name: the server.
        """
        self._silent.add(server_name)
        needed = max(1, min(SUSPICION_SERVERS, self._server_count))
        most = max(len(self._silent), len(self._unconnected))
        if self.reach is Reach.REACHED and most >= needed:
            self.reach = Reach.SUSPECTED
            self._doubted.set()

    def record_probe(self, is_reached):
        """Record whether any of the probed servers took a connection.

        :param is_reached: True if one did.
        :return: True if the gateway has become isolated or is no longer.
        """
        was_isolated = self.is_isolated
        if is_reached:
            self.record_connected()
            self.reach = Reach.REACHED
            self._doubted.clear()
        else:
            self.reach = Reach.ISOLATED
        return was_isolated != self.is_isolated

    async def wait_for_doubt(self):
        """Wait until the gateway is suspected or isolated."""
        await self._doubted.wait()
