"""How old the knowledge may be by which a gateway sends a request."""

from math import inf


class ViewAge:
    """Knows up to which time the view has all changes.

    What is known of a server comes from the view and from the server itself;
    the newer of the two counts.  Performs no I/O.  All times are those of a
    clock that runs on while the machine is suspended.

    :param limit_ms: age from which the view alone is outdated.
    """

    def __init__(self, limit_ms=inf):
        self._limit_ms = limit_ms
        self._confirmed_ms = None

    def record_confirmation(self, confirmed_ms):
        """Record that the view has all changes acknowledged before a time.

        :param confirmed_ms: when the renewal of the lease was sent whose
            answer named the revision that the view has reached.
        """
        self._confirmed_ms = confirmed_ms

    def age_ms(self, now_ms):
        """Return the age of the view, infinite before its confirmation.

        :param now_ms: the current time.
        """
        if self._confirmed_ms is None:
            return inf
        return now_ms - self._confirmed_ms

    def is_outdated(self, now_ms, told_ms=-inf):
        """Return True if a request must not be sent by what is known.

        A gateway serves by no view that was never confirmed, so such a view
        is not outdated.

        :param now_ms: the current time.
        :param told_ms: when the server was asked which has answered since
            that it does not leave.
        """
        if self._confirmed_ms is None:
            return False
        return now_ms - max(self._confirmed_ms, told_ms) > self._limit_ms
