"""State of one backend server as one gateway sees it."""

from math import inf

from msgspec import Struct

from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.servers import MIN_COLD_INCREASE_MS
from fuchsiacart.servers import ServerRecord

# Time in which the weight of a reported load decreases to zero.
REPORT_DECAY_MS = 2000.0
MIN_SUSPENSION_MS = 300.0
MAX_SUSPENSION_MS = 5000.0


class TrackedServer(Struct, eq=False):
    """State of one backend server as this gateway sees it.

    ``in_flight`` counts this gateway's own requests, ``others_in_flight``
    those of other gateways by the last report.  Until ``cold_until_ms`` the
    server is cold and takes requests only at the rate of its token bucket.
    ``is_misdirected`` is True if its address now belongs to another server.
    ``told_ms`` is when the server was last asked that has answered that it
    does not leave, a time of :func:`boot_ms`.
    """

    record: ServerRecord
    region: str
    in_flight: int = 0
    others_in_flight: float = 0.0
    reported_ms: float = 0.0
    cold_until_ms: float = 0.0
    cold_tokens: float = 1.0
    cold_refilled_ms: float = 0.0
    failures: int = 0
    suspended_until_ms: float = 0.0
    is_misdirected: bool = False
    told_ms: float = -inf

    @property
    def name(self):
        """Name of the server."""
        return self.record.name

    def load(self, now_ms):
        """Return the estimated number of requests at the server.

        The requests of other gateways lose weight as their report ages.

        :param now_ms: the current time.
        """
        age_ms = now_ms - self.reported_ms
        if age_ms >= REPORT_DECAY_MS:
            return self.in_flight
        return self.in_flight + self.others_in_flight * (
            1 - age_ms / REPORT_DECAY_MS
        )

    def report_age_ms(self, now_ms):
        """Return the age of the last report, -1 if there is none.

        :param now_ms: the current time.
        """
        return now_ms - self.reported_ms if self.reported_ms else -1.0

    def slot_load(self, now_ms):
        """Return the estimated number of requests per slot.

        :param now_ms: the current time.
        """
        return self.load(now_ms) / max(1, self.record.slots)

    def is_cold(self, now_ms):
        """Return True while the server warms up.

        :param now_ms: the current time.
        """
        return now_ms < self.cold_until_ms

    def begin_cold(self, now_ms):
        """Count the cold time of the record from now on.

        It is counted longer by ``MIN_COLD_INCREASE_MS``, as further reports
        that name up to so much more are not replicated.

        :param now_ms: the current time.
        """
        self.cold_until_ms = 0.0
        if self.record.cold_ms:
            counted_ms = self.record.cold_ms + MIN_COLD_INCREASE_MS
            self.cold_until_ms = now_ms + counted_ms

    def has_cold_token(self, rate_per_s, now_ms):
        """Refill the token bucket; return True if it has a token.

        :param rate_per_s: requests per second that the server may get.
        :param now_ms: the current time.
        """
        if not self.cold_refilled_ms:
            self.cold_refilled_ms = now_ms
        passed_s = (now_ms - self.cold_refilled_ms) / MILLISECONDS
        self.cold_refilled_ms = now_ms
        refilled = self.cold_tokens + passed_s * rate_per_s
        self.cold_tokens = min(1.0, refilled)
        return self.cold_tokens >= 1.0

    def record_report(self, load, now_ms):
        """Update the requests of other gateways from a report.

        :param load: the :class:`ReportedLoad` of a response.
        :param now_ms: the current time.
        """
        total = load.running + load.waiting
        self.others_in_flight = max(0.0, total - self.in_flight)
        self.reported_ms = now_ms

    def record_count(self, requests, counted_ms):
        """Update the requests of other gateways from what they said.

        :param requests: their requests in flight at the server.
        :param counted_ms: about when they were counted; ignored if the
            server itself has reported since.
        """
        if counted_ms <= self.reported_ms:
            return
        self.others_in_flight = float(requests)
        self.reported_ms = counted_ms

    def record_told(self, asked_ms):
        """Record that the server has said that it does not leave.

        :param asked_ms: when it was asked, a time of :func:`boot_ms`.
        """
        self.told_ms = max(self.told_ms, asked_ms)

    def record_success(self):
        """Reset the count of failures after a response."""
        self.failures = 0

    def end_suspension(self):
        """Use the server again, as its failures were not its own."""
        self.failures = 0
        self.suspended_until_ms = 0.0

    def record_failure(self, now_ms):
        """Suspend the server after a failure, with exponential backoff.

        :param now_ms: the current time.
        """
        suspension_ms = MIN_SUSPENSION_MS * 2**self.failures
        self.failures = min(self.failures + 1, 6)
        self.suspended_until_ms = now_ms + min(
            suspension_ms, MAX_SUSPENSION_MS
        )
