"""What a gateway has to tell the control group about suspected requests."""

from fuchsiacart.messages import SuspectReport
from fuchsiacart.quarantine import MAX_SUSPECTS_IN_MESSAGE


class SuspectReports:
    """Losses and answers that the leader has not confirmed; does no I/O.

    A report is confirmed by the reply to it.  What a report without a reply
    contained is reported again.
    """

    def __init__(self):
        # Maps digests to suspects, or to None for those that were answered.
        self._unconfirmed = {}
        self._reported = {}

    def add_loss(self, suspect):
        """Report a :class:`Suspect`, in place of what was to be reported."""
        self._add(suspect.digest, suspect)

    def add_answer(self, digest):
        """Report the answer to a suspect likewise."""
        self._add(digest, None)

    def has_loss(self, digest):
        """Return True if a loss is not confirmed yet."""
        return self._unconfirmed.get(digest) is not None

    def make_report(self):
        """Return the :class:`SuspectReport` for the next renewal.

        It has at most the ``MAX_SUSPECTS_IN_MESSAGE`` newest; the others
        follow once these are confirmed.
        """
        newest = list(self._unconfirmed.items())[-MAX_SUSPECTS_IN_MESSAGE:]
        self._reported = dict(newest)
        return SuspectReport(
            tuple(suspect for _, suspect in newest if suspect is not None),
            tuple(digest for digest, suspect in newest if suspect is None),
        )

    def confirm(self):
        """Record that the leader has replied to the last report."""
        for digest, suspect in self._reported.items():
            if self._unconfirmed.get(digest) is suspect:
                self._unconfirmed.pop(digest, None)
        self._reported = {}

    def _add(self, digest, suspect):
        self._unconfirmed.pop(digest, None)
        self._unconfirmed[digest] = suspect
