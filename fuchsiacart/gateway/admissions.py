"""Divides the room at backend servers and the retries among ranks.

Answers a load that the servers of a service cannot finish in time: the queue
at a server, and the retries, are kept for the urgent requests, and others are
refused earlier.  Each rank keeps a part of both, so that none starves.  A
refused caller is told to return when there is probably room again.
"""

from collections import defaultdict

from fuchsiacart.models import ServiceId

# Factors on the load up to which a server takes requests of the most and of
# the least urgent rank of its service.
MOST_URGENT_FACTOR = 4 / 3
LEAST_URGENT_FACTOR = 5 / 6
# Part of the retry budget that the least urgent rank may use.
LEAST_URGENT_RETRIES = 0.6
# Shortest time after which a refused caller may return: that of a server
# that rejects some requests although it has room.
MIN_RETRY_AFTER_MS = 50.0
# Bounds of the time after which a refused caller still returns.
RETRY_AFTER_FRACTION = 0.33
MAX_RETRY_AFTER_MS = 1000.0
# Time after which a rank without requests no longer counts.
RANK_MEMORY_MS = 10_000.0
# Urgency of requests that differ from no others.
ONLY_RANK_URGENCY = None


class RankedAdmission:
    """Knows which ranks each service gets requests of.  Performs no I/O."""

    def __init__(self):
        self._seen_ms = defaultdict(dict)

    def record_arrival(self, service: ServiceId, rank, now_ms):
        """Record the arrival of a request.

        :param service: its service.
        :param rank: its rank; 0 is the most urgent.
        :param now_ms: the current time.
        """
        self._seen_ms[service][rank] = now_ms

    def urgency(self, service: ServiceId, rank, now_ms):
        """Return the position of a rank among those of its service.

        Only ranks with requests in the last ``RANK_MEMORY_MS`` count.

        :param service: the service.
        :param rank: rank of a request that was recorded.
        :param now_ms: the current time.
        :return: 1 for the most urgent, 0 for the least, or
            ``ONLY_RANK_URGENCY`` if there is no other rank.
        """
        ranks = sorted(
            each
            for each, seen_ms in self._seen_ms[service].items()
            if now_ms - seen_ms < RANK_MEMORY_MS
        )
        if len(ranks) < 2 or rank not in ranks:
            return ONLY_RANK_URGENCY
        return 1 - ranks.index(rank) / (len(ranks) - 1)


def scale_room(requests_per_slot, urgency):
    """Return the load up to which a server takes a request.

    :param requests_per_slot: the limit without regard to ranks.
    :param urgency: see :meth:`RankedAdmission.urgency`.
    """
    if urgency is ONLY_RANK_URGENCY:
        return requests_per_slot
    span = MOST_URGENT_FACTOR - LEAST_URGENT_FACTOR
    return requests_per_slot * (LEAST_URGENT_FACTOR + span * urgency)


def retry_part(urgency):
    """Return the part of the retry budget that a request may use, 0 to 1.

    :param urgency: see :meth:`RankedAdmission.urgency`.
    """
    if urgency is ONLY_RANK_URGENCY:
        return 1.0
    return LEAST_URGENT_RETRIES + (1 - LEAST_URGENT_RETRIES) * urgency


def longest_retry_after_ms(left_ms):
    """Return the longest time after which a caller still returns.

    :param left_ms: milliseconds left until its deadline.
    """
    wait_ms = min(MAX_RETRY_AFTER_MS, left_ms * RETRY_AFTER_FRACTION)
    return max(1.0, wait_ms)


def choose_retry_after_ms(room_ms, longest_ms):
    """Return after how many milliseconds a refused caller should return.

    :param room_ms: time until there is probably room; None if unknown.
    :param longest_ms: the longest time after which the caller still returns.
    """
    if room_ms is None:
        return longest_ms
    return min(longest_ms, max(MIN_RETRY_AFTER_MS, room_ms))
