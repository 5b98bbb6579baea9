"""Requests of emulated callers, and what became of them."""

from collections import defaultdict
from enum import Enum
from enum import unique

from msgspec import Struct

from standins.emulation.deployments import Kind

WINDOW_MS = 2000.0


@unique
class Ending(Enum):
    """What a caller got in the end."""

    IN_TIME = 'in_time'
    LATE = 'late'
    REFUSED = 'refused'
    FAILED = 'failed'


class Request(Struct, eq=False):
    """A request of a caller over all its tries.

    ``received_ms`` is the arrival of the present try at its gateway,
    ``excluded`` and ``sends`` are the servers that this try was sent to.
    ``unreachable`` counts the servers and gateways that took no connection,
    ``relay_ms`` is the way back from the gateway that relays it.
    ``is_isolated`` holds whether the gateway of its first try was cut off from
    all servers.
    """

    kind: Kind
    object_key: str
    region: str
    sent_ms: float
    tries: int = 0
    received_ms: float = 0.0
    excluded: frozenset = frozenset()
    sends: int = 0
    unreachable: int = 0
    relay_ms: float = 0.0
    is_isolated: bool = False


class Tally(Struct):
    """Endings of one group of requests, and their credit."""

    owed: float = 0.0
    earned: float = 0.0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0

    @property
    def count(self):
        """Number of requests."""
        return self.in_time + self.late + self.refused + self.failed

    @property
    def credit(self):
        """Earned share of the credit."""
        return self.earned / self.owed if self.owed else 1.0

    def add(self, kind, ending):
        """Add the ending of a request."""
        self.owed += kind.worth
        if ending is Ending.IN_TIME:
            self.earned += kind.worth
        elif ending is Ending.LATE:
            self.earned += kind.worth * kind.late_worth
        name = ending.value
        setattr(self, name, getattr(self, name) + 1)


class Tallies:
    """Tallies of all requests, by region, kind and window of time."""

    def __init__(self):
        self.total = Tally()
        self.by_region = defaultdict(Tally)
        self.by_kind = defaultdict(Tally)
        self.by_window = defaultdict(Tally)
        # First tries and those that were served, by ``is_isolated``, while
        # some gateways are cut off.
        self.first_tries = {True: 0, False: 0}
        self.first_served = {True: 0, False: 0}

    def add(self, request, ending):
        """Add the ending of a request."""
        window = int(request.sent_ms // WINDOW_MS)
        for tally in (
            self.total,
            self.by_region[request.region],
            self.by_kind[request.kind.name],
            self.by_window[window],
        ):
            tally.add(request.kind, ending)

    def isolated_ratio(self):
        """Return how often first tries are served at isolated gateways.

        It is relative to the others; 1 if there were none.
        """
        if not all(self.first_tries.values()):
            return 1.0
        isolated, others = (
            self.first_served[each] / self.first_tries[each]
            for each in (True, False)
        )
        return isolated / max(others, 1e-9)

    def worst_region(self):
        """Return the credit of the region that is served worst."""
        return min(tally.credit for tally in self.by_region.values())

    def worst_windows(self):
        """Return the mean credit of the two worst windows."""
        credits = sorted(tally.credit for tally in self.by_window.values())
        return sum(credits[:2]) / 2
