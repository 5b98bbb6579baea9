"""Decides which requests a gateway starts once its planned stop has begun.

A request that still runs when the gateway ends is lost, also where it must not
be repeated.  One that is refused has not run, and is sent to another gateway.
"""

from math import inf

# Time between the deadline of a server and the caller's receipt of its answer.
ANSWER_MARGIN_S = 0.25
# Usual service times that must fit into the time that is left.
USUAL_TIMES = 8


class PlannedStop:
    """The time that is left to a gateway; performs no I/O.

    All times are those of the monotonic clock.
    """

    def __init__(self):
        self._accepts_until_s = inf
        self._ends_s = inf

    @property
    def has_begun(self):
        """True once the stop has begun."""
        return self._ends_s < inf

    def begin(self, accepts_until_s, ends_s):
        """Begin the stop.

        :param accepts_until_s: when callers have learned of it and use other
            gateways.
        :param ends_s: when all connections are closed.
        """
        self._accepts_until_s = accepts_until_s
        self._ends_s = ends_s

    def may_start(self, now_s, deadline_s, usual_s):
        """Return True if a request can be answered before the end.

        Its deadline shows that it can.  While callers are still accepted,
        that requests of its service are usually much shorter than the time
        that is left is enough.

        :param now_s: the current time.
        :param deadline_s: deadline of the request.
        :param usual_s: mean service time of its service, 0 if unknown.
        """
        if deadline_s + ANSWER_MARGIN_S <= self._ends_s:
            return True
        if not usual_s or now_s > self._accepts_until_s:
            return False
        return now_s + USUAL_TIMES * usual_s <= self._ends_s
