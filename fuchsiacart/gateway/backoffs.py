"""Backend servers that have said for how long they want no request.

Answers a load that some servers cannot take for a while: what is sent to them
meanwhile is refused, and costs a retry.  Once the time is over, a gateway
sends few requests and more with each success, and gateways that were told
the same do not return at the same moment.
"""

from msgspec import Struct

# Longest time for which a statement holds; a server that names a longer one
# is asked again after it.
MAX_BACKOFF_MS = 300_000.0
# Part of the stated time, and its bound, over which gateways return.
SPREAD_PART = 0.1
MAX_SPREAD_MS = 50.0
# Requests in flight at first, once the time is over.
FIRST_IN_FLIGHT = 8
# Each success doubles them; at this number the back-off is forgotten.
FULL_IN_FLIGHT = 32
# Starts that are kept; the oldest are dropped first.
BACKOFF_LIMIT = 4096


class Backoff(Struct):
    """The back-off from one start of a server.

    Nothing is sent before ``until_ms``.  From then on ``in_flight`` counts the
    requests that are sent, ``max_in_flight`` at a time at most; requests that
    were sent before say nothing about the server now.  By ``returned_ms`` all
    gateways that were told at the same time have returned.
    """

    until_ms: float
    returned_ms: float
    max_in_flight: int = FIRST_IN_FLIGHT
    in_flight: int = 0

    def has_room(self, now_ms):
        """Return True if one more request may be sent."""
        return now_ms >= self.until_ms and self.in_flight < self.max_in_flight


class BackoffLedger:
    """Knows which starts of servers want no request.  Performs no I/O.

    All times are milliseconds of one steady clock.

    :param random: random number generator.
    """

    def __init__(self, random):
        self._random = random
        self._backoffs = {}

    def record(self, start, wait_ms, now_ms):
        """Record that a server wants no request for some time.

        :param start: the :class:`ServerStart`.
        :param wait_ms: the time that it names.
        :param now_ms: the current time.
        :return: True if it was not known to want none now.
        """
        if wait_ms <= 0:
            return False
        wait_ms = min(wait_ms, MAX_BACKOFF_MS)
        spread_ms = min(wait_ms * SPREAD_PART, MAX_SPREAD_MS)
        until_ms = now_ms + wait_ms + self._random.uniform(0.0, spread_ms)
        returned_ms = now_ms + wait_ms + spread_ms
        earlier = self._backoffs.pop(start, None)
        if earlier is not None:
            until_ms = max(until_ms, earlier.until_ms)
            returned_ms = max(returned_ms, earlier.returned_ms)
        self._backoffs[start] = Backoff(until_ms, returned_ms)
        while len(self._backoffs) > BACKOFF_LIMIT:
            del self._backoffs[next(iter(self._backoffs))]
        return earlier is None or earlier.until_ms <= now_ms

    def accepts(self, start, now_ms):
        """Return True if a request may be sent to a server.

        :param start: the :class:`ServerStart`.
        :param now_ms: the current time.
        """
        backoff = self._backoffs.get(start)
        return backoff is None or backoff.has_room(now_ms)

    def begin(self, start):
        """Count a request that is about to be sent.

        :param start: the :class:`ServerStart`.
        :return: the :class:`Backoff` that counts it, or None.
        """
        backoff = self._backoffs.get(start)
        if backoff is not None:
            backoff.in_flight += 1
        return backoff

    def may_send(self, start, counted, now_ms):
        """Return True if a request may still be sent.

        :param start: the :class:`ServerStart`.
        :param counted: what :meth:`begin` returned for the request.
        :param now_ms: the current time.
        """
        backoff = self._backoffs.get(start)
        if backoff is None:
            return True
        return backoff is counted and now_ms >= backoff.until_ms

    def end(self, counted):
        """Count a request as finished.

        :param counted: what :meth:`begin` returned for the request.
        """
        if counted is not None:
            counted.in_flight -= 1

    def wait_ms(self, start, now_ms):
        """Return after how long a caller finds that a server takes requests.

        A caller may come back to any gateway.

        :param start: the :class:`ServerStart`.
        :param now_ms: the current time.
        :return: milliseconds.
        """
        backoff = self._backoffs.get(start)
        return max(0.0, backoff.returned_ms - now_ms) if backoff else 0.0

    def record_success(self, start, counted):
        """Allow more requests once one that was sent since was answered.

        :param start: the :class:`ServerStart`.
        :param counted: what :meth:`begin` returned for the request.
        """
        backoff = self._backoffs.get(start)
        if backoff is None or backoff is not counted:
            return
        backoff.max_in_flight *= 2
        if backoff.max_in_flight >= FULL_IN_FLIGHT:
            del self._backoffs[start]
