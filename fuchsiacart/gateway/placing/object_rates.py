"""Rates at which a gateway gets requests for objects.

Answers objects that many callers ask for: one server cannot serve them all,
and each further one has to become fast for them first.
"""

from math import log
from math import sqrt

from msgspec import Struct

from fuchsiacart.clocks import MILLISECONDS

# Time after which a request counts half.
HALF_LIFE_MS = 5000.0
# Objects that are counted; the ones asked for least are dropped beyond that.
MAX_OBJECTS = 4096
# Standard deviations by which a rate is estimated low, so that a few requests
# in a row make no object popular.
CAUTION = 2.0


class _Count(Struct):
    """Requests for an object, each weighted by its age."""

    requests: float
    counted_ms: float


class ObjectRates:
    """Counts the requests for objects.  Performs no I/O."""

    def __init__(self):
        self._counts = {}

    def record(self, key, now_ms):
        """Count a request.

        :param key: identifies the object among those of all services.
        :param now_ms: the current time.
        """
        count = self._counts.get(key)
        if count is None:
            if len(self._counts) >= MAX_OBJECTS:
                self._drop_rare(now_ms)
            self._counts[key] = _Count(1.0, now_ms)
            return
        count.requests = 1.0 + _decayed(count, now_ms)
        count.counted_ms = now_ms

    def rate_per_s(self, key, now_ms):
        """Return the rate that an object has at least, most probably.

        :param key: see :meth:`record`.
        :param now_ms: the current time.
        """
        count = self._counts.get(key)
        if count is None:
            return 0.0
        requests = _decayed(count, now_ms)
        surely = max(0.0, requests - CAUTION * sqrt(requests))
        return surely * log(2) * MILLISECONDS / HALF_LIFE_MS

    def _drop_rare(self, now_ms):
        """Drop the half of the objects with fewer requests."""
        counts = self._counts
        ranked = sorted(
            counts, key=lambda key: _decayed(counts[key], now_ms), reverse=True
        )
        self._counts = {key: counts[key] for key in ranked[: MAX_OBJECTS // 2]}


def _decayed(count, now_ms):
    age = (now_ms - count.counted_ms) / HALF_LIFE_MS
    return count.requests * 0.5**age
