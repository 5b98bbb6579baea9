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
    ``CONFINED``: they are reached over connections opened before only;
    ``ISOLATED``: none is reached.
    """

    REACHED = 'reached'
    SUSPECTED = 'suspected'
    CONFINED = 'confined'
    ISOLATED = 'isolated'


class ServerReachability:
    """Knows from attempts and probes whether servers are reached.

    Performs no I/O.  Two kinds of evidence count: servers that gave no sign
    of life, and servers that refused a new connection.  A response speaks
    against the first only, as connections that were opened earlier may live
    on; a new connection speaks against both.
    """

    def __init__(self):
        self.reach = Reach.REACHED
        self._server_count = 0
        self._silent = set()
        self._refusing = set()
        # Since the suspicion, or the last probe.
        self._has_response = False
        self._has_connection = False
        self._doubted = Event()

    @property
    def is_isolated(self):
        """True if no backend server is reached."""
        return self.reach is Reach.ISOLATED

    @property
    def is_confined(self):
        """True if only connections opened before reach servers."""
        return self.reach is Reach.CONFINED

    @property
    def doubted_names(self):
        """Names of the servers that have failed."""
        return self._silent | self._refusing

    def apply_view(self, server_count):
        """Set the number of backend servers of the view.

        :param server_count: the number.
        """
        self._server_count = server_count

    def record_connected(self):
        """Record that a new connection to a server was opened."""
        self._refusing.clear()
        self._silent.clear()
        self._has_connection = True

    def record_response(self):
        """Record that a server answered, on any connection."""
        self._silent.clear()
        self._has_response = True

    def record_refused(self, server_name):
        """Record that a server refused a new connection.

        :param server_name: the server.
        """
        self._refusing.add(server_name)
        self.record_silent(server_name)

    def record_silent(self, server_name):
        """Record that a server gave no sign of life in time.

        :param server_name: the server.
        """
        self._silent.add(server_name)
        if self.reach is not Reach.REACHED:
            return
        if self._is_enough(self._silent) or self._is_enough(self._refusing):
            self.reach = Reach.SUSPECTED
            self._has_response = False
            self._has_connection = False
            self._doubted.set()

    def record_probe(self, is_reached):
        """Record whether any of the probed servers took a connection.

        :param is_reached: True if one did.
        :return: True if the gateway has become isolated or is no longer.
        """
        was_isolated = self.is_isolated
        if is_reached or self._is_contradicted():
            self._silent.clear()
            self._refusing.clear()
            self.reach = Reach.REACHED
            self._doubted.clear()
        elif self._has_response:
            self.reach = Reach.CONFINED
        else:
            self.reach = Reach.ISOLATED
        self._has_response = False
        self._has_connection = False
        return was_isolated != self.is_isolated

    async def wait_for_doubt(self):
        """Wait until the gateway is suspected or isolated."""
        await self._doubted.wait()

    def _is_contradicted(self):
        """Return True if requests have reached a server meanwhile."""
        if self._has_connection:
            return True
        return self._has_response and not self._is_enough(self._refusing)

    def _is_enough(self, failed):
        needed = max(1, min(SUSPICION_SERVERS, self._server_count))
        return len(failed) >= needed
