"""What a gateway has to tell the control group about suspected requests."""

# Suspects in one report; the newest are sent first.
MAX_SUSPECTS_IN_REPORT = 16


class SuspectReports:
    """Suspects that the leader has not confirmed yet; does no I/O.

    A report is confirmed by the reply to it.  What a report without a reply
    contained is reported again.
    """

    def __init__(self):
        self._unconfirmed = {}
        self._reported = ()

    def add(self, suspect):
        """Report a :class:`Suspect`, in place of an earlier report of it."""
        self._unconfirmed.pop(suspect.digest, None)
        self._unconfirmed[suspect.digest] = suspect

    def make_report(self):
        """Return the suspects to report.

        :return: at most the ``MAX_SUSPECTS_IN_REPORT`` newest; the others
            follow once these are confirmed.
        """
        newest = tuple(self._unconfirmed.values())[-MAX_SUSPECTS_IN_REPORT:]
        self._reported = newest
        return newest

    def confirm(self):
        """Record that the leader has replied to the last report."""
        for suspect in self._reported:
            if self._unconfirmed.get(suspect.digest) is suspect:
                del self._unconfirmed[suspect.digest]
        self._reported = ()
