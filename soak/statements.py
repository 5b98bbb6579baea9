"""Checks that gateways heed what backend servers say in their answers."""

from bisect import bisect_left
from bisect import bisect_right
from collections import defaultdict
from time import monotonic

from msgspec import Struct

DRAIN_LIMIT_S = 2.5
# Requests that are on their way when a server refuses one still reach it.
REFUSAL_SLACK_S = 0.5
LATE_ARRIVALS_LIMIT = 2


class ServerArrival(Struct, frozen=True):
    """A request that reached a server; ``sent_s`` is when its caller sent it.

    ``gateway`` is the IP address of the gateway that it came from.
    """

    request_id: str
    server: str
    gateway: str
    sent_s: float
    at_s: float


class TimedRefusal(Struct, frozen=True):
    """A refusal by a server that wants nothing from a gateway for a time."""

    server: str
    gateway: str
    at_s: float
    retry_after_s: float

    @property
    def ends_s(self):
        """The end of that time."""
        return self.at_s + self.retry_after_s


class StatementLedger:
    """What servers said to gateways, and what reached them after that.

    A server's name stands for one start of it.
    """

    def __init__(self):
        self.refusals = []
        self._arrivals = defaultdict(list)
        self._departures = defaultdict(list)
        self._halts_s = defaultdict(list)

    def record_arrival(self, arrival):
        """Record that a request reached a server.

        :param arrival: the :class:`ServerArrival`.
        """
        key = arrival.server, arrival.gateway
        self._arrivals[key].append(arrival)

    def record_departure(self, arrival, gateway, passed_on_s):
        """Record that a caller got an answer which says that a server leaves.

        :param arrival: the :class:`ServerArrival` that it answers.
        :param gateway: IP address of the gateway that the caller had asked;
            it may have relayed the request to the one that asked the server.
        :param passed_on_s: when the caller got it.
        """
        for each in {gateway, arrival.gateway}:
            key = arrival.server, each
            self._departures[key].append((passed_on_s, arrival.at_s))

    def find_arrival(self, request_id, server):
        """Return the :class:`ServerArrival` of a request, or None."""
        return next(
            (
                arrival
                for (name, _), arrivals in self._arrivals.items()
                for arrival in arrivals
                if name == server and arrival.request_id == request_id
            ),
            None,
        )

    def record_halt(self, gateway, at_s=None):
        """Record that a gateway starts, or that a freeze begins or ends."""
        self._halts_s[gateway].append(monotonic() if at_s is None else at_s)

    @property
    def departures(self):
        """Number of servers whose departure was passed on."""
        return len({server for server, _ in self._departures})

    def find_late_requests(self):
        """Yield the requests that reached a server that leaves.

        Their callers sent them later than ``DRAIN_LIMIT_S`` after the gateway
        had passed on that it leaves.
        """
        for key, departures in self._departures.items():
            departures.sort()
            for arrival in self._arrivals[key]:
                limit_s = arrival.sent_s - DRAIN_LIMIT_S
                known = bisect_left(departures, (limit_s,))
                if not known:
                    continue
                _, answered_s = departures[known - 1]
                if not self._was_halted(key[1], answered_s, arrival.at_s):
                    yield arrival

    def find_unheeded_refusals(self, stalled_s):
        """Yield the refusals after which too many requests came.

        :param stalled_s: returns for how many seconds of a span arrivals were
            recorded late.
        """
        for refusal in self.refusals:
            arrivals = self._arrivals[refusal.server, refusal.gateway]
            late_s = stalled_s(refusal.at_s, refusal.ends_s)
            first_s = refusal.at_s + REFUSAL_SLACK_S + late_s
            first, last = (
                bisect_right(arrivals, each, key=lambda arrival: arrival.at_s)
                for each in (first_s, refusal.ends_s)
            )
            if last - first <= LATE_ARRIVALS_LIMIT:
                continue
            if not self._was_halted(
                refusal.gateway, refusal.at_s, refusal.ends_s
            ):
                yield refusal

    def _was_halted(self, gateway, start_s, end_s):
        return any(start_s <= each <= end_s for each in self._halts_s[gateway])
