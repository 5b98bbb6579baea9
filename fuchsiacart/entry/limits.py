"""Enforces the leased shares of contract limits at one entry host."""

from msgspec import Struct

from fuchsiacart.messages import Demand
from fuchsiacart.messages import Share

BURST_S = 1.0
DEMAND_DECAY = 0.5
MIN_WAIT_MS = 50


class Usage(Struct):
    """Usage and demand of one customer and rank at this host.

    ``tokens`` is the token bucket of the rate.  ``requests`` and
    ``peak_in_flight`` are the number of requests and the highest
    concurrency since the last report.
    """

    tokens: float = 0.0
    refilled_ms: float = 0.0
    in_flight: int = 0
    requests: int = 0
    peak_in_flight: int = 0
    rate_demand: float = 0.0
    slots_demand: float = 0.0


class ContractLimiter:
    """Limits rate and concurrency to the shares.  Performs no I/O."""

    def __init__(self):
        self._shares = {}
        self._usage = {}
        self._measured_ms = 0.0

    def set_shares(self, shares):
        """Replace the shares by those of a renewed lease.

        :param shares: each a :class:`Share`.
        """
        self._shares = {
            (share.customer, share.rank): share for share in shares
        }

    def shares(self):
        """Return the shares in force."""
        return tuple(self._shares.values())

    def acquire_rate(self, customer, rank, now_ms):
        """Acquire the rate of one request.

        :param customer: the customer.
        :param rank: rank of the request.
        :param now_ms: the current time.
        :return: 0 on success, else the milliseconds to wait before the next
            attempt.
        """
        usage = self._usage_of(customer, rank, now_ms)
        usage.requests += 1
        share = self._shares.get((customer, rank))
        if share is None:
            return MIN_WAIT_MS
        self._refill(usage, share, now_ms)
        if usage.tokens < 1.0:
            missing = 1.0 - usage.tokens
            rate_per_ms = max(share.rate_per_s, 0.01) / 1000
            return max(MIN_WAIT_MS, int(missing / rate_per_ms))
        usage.tokens -= 1.0
        return 0

    def acquire_concurrency(self, customer, rank, now_ms):
        """Acquire the concurrency of one request.

        On success the caller has to release it when the request ends.

        :param customer: the customer.
        :param rank: rank of the request.
        :param now_ms: the current time.
        :return: 0 on success, else the milliseconds to wait before the next
            attempt.
        """
        usage = self._usage_of(customer, rank, now_ms)
        usage.peak_in_flight = max(usage.peak_in_flight, usage.in_flight + 1)
        share = self._shares.get((customer, rank))
        if share is None or usage.in_flight + 1 > share.concurrency:
            return MIN_WAIT_MS
        usage.in_flight += 1
        return 0

    def release_concurrency(self, customer, rank):
        """Release the concurrency of one request."""
        self._usage[(customer, rank)].in_flight -= 1

    def flush_demands(self, now_ms):
        """Return the smoothed demand and start a new interval.

        :param now_ms: the current time.
        :return: a :class:`Demand` for each customer and rank.
        """
        elapsed_s = max(0.001, (now_ms - self._measured_ms) / 1000)
        self._measured_ms = now_ms
        demands = []
        for (customer, rank), usage in self._usage.items():
            rate = usage.requests / elapsed_s
            usage.rate_demand = _smooth(usage.rate_demand, rate)
            usage.slots_demand = _smooth(
                usage.slots_demand, usage.peak_in_flight
            )
            usage.requests = 0
            usage.peak_in_flight = usage.in_flight
            demands.append(
                Demand(customer, rank, usage.rate_demand, usage.slots_demand)
            )
        return tuple(demands)

    def _usage_of(self, customer, rank, now_ms):
        key = (customer, rank)
        if key not in self._usage:
            share = self._shares.get(key, Share(customer, rank, 0.0, 0.0))
            tokens = max(1.0, share.rate_per_s * BURST_S)
            self._usage[key] = Usage(tokens, now_ms)
        return self._usage[key]

    def _refill(self, usage, share, now_ms):
        elapsed_s = max(0.0, now_ms - usage.refilled_ms) / 1000
        burst = max(1.0, share.rate_per_s * BURST_S)
        refilled = usage.tokens + elapsed_s * share.rate_per_s
        usage.tokens = min(burst, refilled)
        usage.refilled_ms = now_ms


def _smooth(old, new):
    return old * DEMAND_DECAY + new * (1.0 - DEMAND_DECAY)
