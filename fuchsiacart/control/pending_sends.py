"""Which messages to other replicas are sent while earlier ones are pending.

Performs no I/O.
"""

from msgspec import Struct

from fuchsiacart.control.replica_messages import AppendRequest
from fuchsiacart.control.replica_messages import SnapshotRequest

MAX_PENDING_SENDS = 64
SEND_TIMEOUT_S = 2.0
SNAPSHOT_TIMEOUT_S = 30.0


class PendingSend(Struct, frozen=True):
    """A message under way: its channel, and how long it may take."""

    channel: str
    timeout_s: float


class SendCounts(Struct):
    """What became of the messages to one replica."""

    sent: int = 0
    failed: int = 0
    held_back: int = 0
    entry_bytes: int = 0


class PendingSends:
    """Limits the messages that are under way to each replica.

    Snapshots have a limit of their own: one at a time per replica.
    """

    def __init__(self):
        self._pending_counts = {}
        self._counts = {}

    def start(self, outbound):
        """Record a message that is about to be sent.

        :param outbound: the :class:`OutboundMessage`.
        :return: the :class:`PendingSend`, None if it must not be sent now.
        """
        is_snapshot = isinstance(outbound.message, SnapshotRequest)
        channel = f'{outbound.to}/snapshot' if is_snapshot else outbound.to
        limit = 1 if is_snapshot else MAX_PENDING_SENDS
        counts = self._counts.setdefault(outbound.to, SendCounts())
        if self._pending_counts.get(channel, 0) >= limit:
            counts.held_back += 1
            return None
        self._pending_counts[channel] = (
            self._pending_counts.get(channel, 0) + 1
        )
        counts.sent += 1
        counts.entry_bytes += entry_bytes(outbound.message)
        timeout_s = SNAPSHOT_TIMEOUT_S if is_snapshot else SEND_TIMEOUT_S
        return PendingSend(channel, timeout_s)

    def end(self, outbound, send, is_answered):
        """Record that a message was answered, or that it failed.

        :param outbound: the :class:`OutboundMessage`.
        :param send: what :meth:`start` returned for it.
        :param is_answered: False if no answer came in time.
        """
        self._pending_counts[send.channel] -= 1
        if not is_answered:
            counts = self._counts.setdefault(outbound.to, SendCounts())
            counts.failed += 1

    def take_counts(self):
        """Return the :class:`SendCounts` by replica since the last call."""
        counts, self._counts = self._counts, {}
        return counts


def entry_bytes(message):
    """Return the size of the entries that a message brings."""
    if not isinstance(message, AppendRequest):
        return 0
    return sum(len(entry.body) for entry in message.entries)
