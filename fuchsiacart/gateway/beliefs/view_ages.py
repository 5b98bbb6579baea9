"""How old the view is by which a gateway acts."""

from math import inf


class ViewAge:
    """Knows up to which time the view has all changes.

    Performs no I/O.  All times are those of a clock that runs on while the
    machine is suspended.
    """

    def __init__(self):
        self._confirmed_ms = -inf

    def record_confirmation(self, confirmed_ms):
        """Record that the view has all changes acknowledged before a time.

        :param confirmed_ms: when the renewal of the lease was sent whose
            answer named the revision that the view has reached.
        """
        self._confirmed_ms = max(self._confirmed_ms, confirmed_ms)

    def age_ms(self, now_ms):
        """Return the age of the view, infinite before its confirmation.

        :param now_ms: the current time.
        """
        return now_ms - self._confirmed_ms
