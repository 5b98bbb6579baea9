"""Backend servers that have said in their answers that they leave.

Answers a load that goes on while servers are replaced: a server may say that
it leaves long before its heartbeats do, and its answers go to the gateways
that use it.  Other gateways learn of it through the control group.
"""

from fuchsiacart.servers import ServerStart
from fuchsiacart.servers import ServerState

# Names that are kept; the oldest are dropped first.
DEPARTURE_LIMIT = 4096
# Starts in one renewal of a lease.
MAX_REPORTED = 64


class DepartureLedger:
    """Knows which starts of backend servers leave.  Performs no I/O.

    A departure ends with its start only: it outlives views, also those that
    lack the server for a while.  Of one name, the latest start counts.
    """

    def __init__(self):
        self._born_ms = {}

    def add(self, start):
        """Record that a start of a server leaves.

        :param start: the :class:`ServerStart`.
        :return: False if that was known.
        """
        if self.covers(start):
            return False
        self._born_ms.pop(start.name, None)
        self._born_ms[start.name] = start.born_ms
        while len(self._born_ms) > DEPARTURE_LIMIT:
            del self._born_ms[next(iter(self._born_ms))]
        return True

    def covers(self, start):
        """Return True if a start of a server leaves, or a later one does.

        :param start: the :class:`ServerStart`.
        """
        born_ms = self._born_ms.get(start.name)
        return born_ms is not None and start.born_ms <= born_ms

    def unconfirmed(self, records):
        """Return what the control group does not seem to know.

        :param records: each :class:`ServerRecord` of the view, by name.
        :return: at most ``MAX_REPORTED`` :class:`ServerStart`.
        """
        starts = (
            ServerStart(name, born_ms)
            for name, born_ms in self._born_ms.items()
            if name in records
        )
        unknown = [
            start
            for start in starts
            if records[start.name].start == start
            and records[start.name].state is ServerState.READY
        ]
        return tuple(unknown[:MAX_REPORTED])
