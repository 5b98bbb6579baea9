"""Which messages to other replicas are sent while earlier ones are pending.

Performs no I/O.
"""

from msgspec import Struct
from msgspec.structs import replace

from fuchsiacart.control.replica_messages import AppendRequest
from fuchsiacart.control.replica_messages import OutboundMessage
from fuchsiacart.control.replica_messages import SnapshotRequest

MAX_PENDING_SENDS = 64
# Copies of the same entries would slow each other down until all time out.
MAX_PENDING_BYTES = 512 * 1024
SEND_TIMEOUT_S = 2.0
# Large messages get more time on slow links.
SLOWEST_BYTES_PER_S = 512 * 1024
SNAPSHOT_TIMEOUT_S = 30.0


class PendingSend(Struct, frozen=True):
    """A message under way.

    ``outbound`` is what is sent, ``size_bytes`` the size of its entries.
    ``is_whole`` is False if the entries were held back.
    """

    outbound: OutboundMessage
    size_bytes: int
    timeout_s: float
    is_whole: bool = True


class SendCounts(Struct):
    """What became of the messages to one replica."""

    sent: int = 0
    failed: int = 0
    held_back: int = 0
    entry_bytes: int = 0


class PendingSends:
    """Limits the messages that are under way to each replica.

    Entries are held back while others for the same replica are under way that
    fill the limit in bytes; the message is sent without them, as it keeps the
    leader in contact.  Snapshots have a limit of their own: one at a time per
    replica.
    """

    def __init__(self):
        self._pending_counts = {}
        self._pending_bytes = {}
        self._counts = {}

    def start(self, outbound):
        """Record a message that is about to be sent.

        :param outbound: the :class:`OutboundMessage`.
        :return: the :class:`PendingSend`, None if nothing must be sent now.
        """
        counts = self._counts.setdefault(outbound.to, SendCounts())
        size_bytes = entry_bytes(outbound.message)
        is_whole = self._has_room(outbound.to, size_bytes)
        if not is_whole:
            counts.held_back += 1
            size_bytes = 0
            message = replace(outbound.message, entries=())
            outbound = OutboundMessage(outbound.to, message)
        is_snapshot = isinstance(outbound.message, SnapshotRequest)
        channel = _channel(outbound)
        pending_count = self._pending_counts.get(channel, 0)
        if pending_count >= (1 if is_snapshot else MAX_PENDING_SENDS):
            counts.held_back += 1
            return None
        self._pending_counts[channel] = pending_count + 1
        self._pending_bytes[outbound.to] = (
            self._pending_bytes.get(outbound.to, 0) + size_bytes
        )
        counts.sent += 1
        counts.entry_bytes += size_bytes
        timeout_s = SEND_TIMEOUT_S + size_bytes / SLOWEST_BYTES_PER_S
        if is_snapshot:
            timeout_s = SNAPSHOT_TIMEOUT_S
        return PendingSend(outbound, size_bytes, timeout_s, is_whole)

    def end(self, send, is_answered):
        """Record that a message was answered, or that it failed.

        :param send: the :class:`PendingSend`.
        :param is_answered: False if no answer came in time.
        """
        replica = send.outbound.to
        self._pending_counts[_channel(send.outbound)] -= 1
        self._pending_bytes[replica] -= send.size_bytes
        if not is_answered:
            self._counts.setdefault(replica, SendCounts()).failed += 1

    def _has_room(self, replica, size_bytes):
        pending_bytes = self._pending_bytes.get(replica, 0)
        if not size_bytes or not pending_bytes:
            return True
        return pending_bytes + size_bytes <= MAX_PENDING_BYTES

    def take_counts(self):
        """Return the :class:`SendCounts` by replica since the last call."""
        counts, self._counts = self._counts, {}
        return counts


def entry_bytes(message):
    """Return the size of the entries that a message brings."""
    if not isinstance(message, AppendRequest):
        return 0
    return sum(len(entry.body) for entry in message.entries)


def _channel(outbound):
    """Return the name of the messages that are limited together."""
    if isinstance(outbound.message, SnapshotRequest):
        return f'{outbound.to}/snapshot'
    return outbound.to
