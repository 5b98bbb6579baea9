"""Slots of a backend server as its owner counts them."""

from collections import deque

from msgspec import field
from msgspec import Struct

from fuchsiacart.models import BackendServer
from fuchsiacart.models import LoadReport

MIN_BACKOFF_MS = 250
MAX_BACKOFF_MS = 5000
SHED_RECOVERY_STEP = 0.1


class ServerSlots(Struct, eq=False):
    """Counts the used and usable slots of one owned backend server.

    Observations of the owner's own requests take precedence over reports.
    A report can lower the capacity below the announced slots, but never
    raise it.  While requests in ``reserved`` wait to run alone, the server
    gets no others.  ``others_in_flight`` counts requests that other hosts
    run on it.  ``shed_limit`` bounds the requests of a server that has shed
    some; 0 means no bound.  Performs no I/O.
    """

    server: BackendServer
    ramp_ms: int
    registered_ms: float
    lease_until_ms: float
    usable_from_ms: float = 0.0
    report: LoadReport = LoadReport()
    in_flight: int = 0
    peak_in_flight: int = 0
    others_in_flight: int = 0
    leaving: bool = False
    drained: bool = False
    failures: int = 0
    suspended_until_ms: float = 0.0
    is_lost: bool = False
    shed_limit: float = 0.0
    isolated: bool = False
    reserved: deque = field(default_factory=deque)

    def renew(self, report, lease_until_ms):
        """Renew the lease of the server and apply its load report.

        :param report: the :class:`LoadReport`.
        :param lease_until_ms: when the lease of the server expires.
        """
        others = report.busy_slots - max(self.peak_in_flight, self.in_flight)
        self.others_in_flight = max(0, others)
        self.peak_in_flight = self.in_flight
        self.report = report
        self.is_lost = False
        self.lease_until_ms = lease_until_ms

    def is_usable(self, now_ms):
        """Return True if the server may get new requests at all."""
        if self.leaving or self.drained or self.report.draining:
            return False
        if self.is_lost:
            return False
        if now_ms < self.usable_from_ms or now_ms >= self.lease_until_ms:
            return False
        return now_ms >= self.suspended_until_ms

    def capacity(self, now_ms):
        """Return how many requests may run on the server at once."""
        if not self.is_usable(now_ms):
            return 0
        slots = self.server.slots
        age_ms = now_ms - self.registered_ms
        ramped = slots
        if age_ms < self.ramp_ms:
            ramped = max(1, int(slots * age_ms / self.ramp_ms))
        shed_limit = slots
        if self.shed_limit:
            shed_limit = max(1, int(self.shed_limit))
        usable = min(slots, self.report.usable_slots, ramped, shed_limit)
        return max(0, usable - self.others_in_flight)

    def free(self, now_ms):
        """Return how many more requests may be sent to the server."""
        if self.isolated or self.reserved:
            return 0
        return max(0, self.capacity(now_ms) - self.in_flight)

    def start(self, isolated=False):
        """Count a request that is sent to the server.

        :param isolated: True if it has to run alone.
        """
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        self.isolated = isolated

    def finish(self):
        """Count a request that has ended, with or without a response."""
        self.in_flight -= 1
        if self.in_flight == 0:
            self.isolated = False

    def record_success(self):
        """Record a complete response, which slowly lifts the shed limit."""
        self.failures = 0
        if self.shed_limit:
            self.shed_limit = min(
                self.server.slots, self.shed_limit + SHED_RECOVERY_STEP
            )

    def record_shed(self):
        """Halve the capacity after the server has shed a request."""
        current = self.shed_limit or float(self.server.slots)
        self.shed_limit = max(1.0, current / 2)

    def record_failure(self, now_ms):
        """Suspend the server after it was unreachable or broke a connection.

        It gets no requests until it announces itself again, and at least
        for a backoff that doubles with each failure in a row.

        :param now_ms: the current time.
        """
        self.is_lost = True
        backoff_ms = MIN_BACKOFF_MS * 2**self.failures
        self.failures = min(self.failures + 1, 8)
        backoff_ms = min(backoff_ms, MAX_BACKOFF_MS)
        self.suspended_until_ms = now_ms + backoff_ms
