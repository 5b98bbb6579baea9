"""Slots of one backend server, as its owner counts them."""

from collections import deque

from msgspec import field
from msgspec import Struct

from fuchsiacart.models import BackendServer
from fuchsiacart.models import LoadReport

FIRST_BACKOFF_MS = 250
LONGEST_BACKOFF_MS = 5000
RECOVER_STEP = 0.1


class ServerSlots(Struct, eq=False):
    """Pure count of one owned backend server's slots.

    What the owner's own requests saw goes before a report.  A report can
    lower the capacity below the announced slots, never raise it.
    Requests in ``reserved`` wait to run alone; until then the server gets
    no other work.
    """

    server: BackendServer
    ramp_ms: int
    first_ms: float
    lease_until_ms: float
    usable_from_ms: float = 0.0
    report: LoadReport = LoadReport()
    in_flight: int = 0
    peak_in_flight: int = 0
    foreign: int = 0
    leaving: bool = False
    drained: bool = False
    failures: int = 0
    suspended_until_ms: float = 0.0
    is_lost: bool = False
    shed_limit: float = 0.0
    isolated: bool = False
    reserved: deque = field(default_factory=deque)

    def renew(self, report, lease_until_ms):
        """Take in a renewed announcement with its load report."""
        others = report.busy_slots - max(self.peak_in_flight, self.in_flight)
        self.foreign = max(0, others)
        self.peak_in_flight = self.in_flight
        self.report = report
        self.is_lost = False
        self.lease_until_ms = lease_until_ms

    def is_usable(self, now_ms):
        """Tell whether the server may get new work at all."""
        if self.leaving or self.drained or self.report.draining:
            return False
        if self.is_lost:
            return False
        if now_ms < self.usable_from_ms or now_ms >= self.lease_until_ms:
            return False
        return now_ms >= self.suspended_until_ms

    def capacity(self, now_ms):
        """Return how many requests may run on the server now."""
        if not self.is_usable(now_ms):
            return 0
        slots = self.server.slots
        age_ms = now_ms - self.first_ms
        ramped = slots
        if age_ms < self.ramp_ms:
            ramped = max(1, int(slots * age_ms / self.ramp_ms))
        shed_limit = slots
        if self.shed_limit:
            shed_limit = max(1, int(self.shed_limit))
        usable = min(slots, self.report.usable_slots, ramped, shed_limit)
        return max(0, usable - self.foreign)

    def free(self, now_ms):
        """Return how many more requests may be sent now."""
        if self.isolated or self.reserved:
            return 0
        return max(0, self.capacity(now_ms) - self.in_flight)

    def start(self, isolated=False):
        """Count a request that is sent."""
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        self.isolated = isolated

    def finish(self):
        """Count a request that has ended, however it did."""
        self.in_flight -= 1
        if self.in_flight == 0:
            self.isolated = False

    def note_success(self):
        """Take note of a whole answer."""
        self.failures = 0
        if self.shed_limit:
            self.shed_limit = min(
                self.server.slots, self.shed_limit + RECOVER_STEP
            )

    def record_shed(self):
        """Take note that the server refused work: halve what it gets."""
        current = self.shed_limit or float(self.server.slots)
        self.shed_limit = max(1.0, current / 2)

    def record_failure(self, now_ms):
        """Take note that the server could not be reached or broke.

        It gets no work until it has announced itself again, and the longer
        none the more often it fails.
        """
        self.is_lost = True
        backoff_ms = FIRST_BACKOFF_MS * 2**self.failures
        self.failures = min(self.failures + 1, 8)
        backoff_ms = min(backoff_ms, LONGEST_BACKOFF_MS)
        self.suspended_until_ms = now_ms + backoff_ms
