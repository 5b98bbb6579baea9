"""When each member of the control group was last heard from.

Only the leader hears from all members, so it tells the others which ones are
silent.  A new leader goes on from there instead of counting anew; otherwise a
lost voter would keep its seat for longer after each election.
"""

from msgspec import Struct

from fuchsiacart.models import ReplicaId


class Silence(Struct, frozen=True):
    """A member that the leader has not heard from for ``silent_ms``."""

    replica: ReplicaId
    silent_ms: int


class ContactLog:
    """Times of the last contact with each member.  Performs no I/O.

    :param now_ms: the current time; members never heard from count from it.
    """

    def __init__(self, now_ms):
        self._opened_ms = now_ms
        self._heard_ms = {}

    def record(self, replica, now_ms):
        """Record a message from a member."""
        self._heard_ms[replica] = now_ms

    def silence_ms(self, replica, now_ms):
        """Return the milliseconds since the last contact with a member."""
        return now_ms - self._heard_ms.get(replica, self._opened_ms)

    def silences(self, members, least_ms, now_ms):
        """Return a :class:`Silence` for each member silent for long.

        :param members: the members to look at.
        :param least_ms: silence from which a member is reported.
        :param now_ms: the current time.
        """
        return tuple(
            Silence(member, int(self.silence_ms(member, now_ms)))
            for member in members
            if self.silence_ms(member, now_ms) >= least_ms
        )

    def adopt(self, members, silences, now_ms):
        """Adopt what the leader knows.

        A member that the leader does not report has been heard just now.
        An own, more recent contact is kept.

        :param members: the members of the group.
        :param silences: each :class:`Silence` that the leader reports.
        :param now_ms: the current time.
        """
        silent_ms = {each.replica: each.silent_ms for each in silences}
        for member in members:
            heard_ms = now_ms - silent_ms.get(member, 0)
            known_ms = self._heard_ms.get(member, heard_ms)
            self._heard_ms[member] = max(known_ms, heard_ms)
