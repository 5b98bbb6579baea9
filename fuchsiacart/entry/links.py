"""Limits the bytes that an entry host sends to other regions."""

from fuchsiacart.models import Rank

RESERVE_FRACTIONS = {
    Rank.URGENT: 0.0,
    Rank.INTERACTIVE: 0.2,
    Rank.BACKGROUND: 0.5,
}


class LinkBudget:
    """Token bucket for the link to one region.  Performs no I/O.

    Each rank leaves a reserve in the bucket for more urgent ranks.

    :param bytes_per_s: bytes per second to the region.
    :param now_ms: the current time.
    """

    def __init__(self, bytes_per_s, now_ms):
        self._bytes_per_s = bytes_per_s
        self._tokens = float(bytes_per_s)
        self._refilled_ms = now_ms

    def may_send(self, rank, size_bytes, now_ms):
        """Return True if a request may be sent, and charge its bytes.

        :param rank: rank of the request.
        :param size_bytes: size of the request.
        :param now_ms: the current time.
        """
        self._refill(now_ms)
        reserve = self._bytes_per_s * RESERVE_FRACTIONS[rank]
        if self._tokens - size_bytes < reserve:
            return False
        self._tokens -= size_bytes
        return True

    def charge(self, size_bytes):
        """Charge the bytes of a response, which are known only afterwards.

        The bucket may become negative.

        :param size_bytes: size of the response.
        """
        self._tokens -= size_bytes

    def _refill(self, now_ms):
        elapsed_s = max(0.0, now_ms - self._refilled_ms) / 1000
        refilled = self._tokens + elapsed_s * self._bytes_per_s
        self._tokens = min(float(self._bytes_per_s), refilled)
        self._refilled_ms = now_ms
