"""Which messages to other replicas are sent while earlier ones are pending.

Performs no I/O.
"""

from msgspec import Struct

from fuchsiacart.control.replica_messages import AppendRequest
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

    ``channel`` names the messages that count together, ``size_bytes`` is that
    of its entries.
    """

    channel: str
    size_bytes: int
    timeout_s: float


class SendCounts(Struct):
    """What became of the messages to one replica."""

    sent: int = 0
    failed: int = 0
    held_back: int = 0
    entry_bytes: int = 0


class PendingSends:
    """Limits the messages that are under way to each replica.

    Messages without entries are always sent unless there are very many, as
    they keep the leader in contact.  Entries are held back while others for
    the same replica are under way that fill the limit in bytes; the leader
    sends them again once it has an answer.  Snapshots have a limit of their
    own: one at a time per replica.
    """

    def __init__(self):
        self._pending_counts = {}
        self._pending_bytes = {}
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
        size_bytes = entry_bytes(outbound.message)
        pending_count = self._pending_counts.get(channel, 0)
        pending_bytes = self._pending_bytes.get(outbound.to, 0)
        is_full = pending_bytes + size_bytes > MAX_PENDING_BYTES
        waits = size_bytes > 0 and pending_bytes > 0 and is_full
        if waits or pending_count >= limit:
            counts.held_back += 1
            return None
        self._pending_counts[channel] = pending_count + 1
        self._pending_bytes[outbound.to] = pending_bytes + size_bytes
        counts.sent += 1
        counts.entry_bytes += size_bytes
        timeout_s = SEND_TIMEOUT_S + size_bytes / SLOWEST_BYTES_PER_S
        if is_snapshot:
            timeout_s = SNAPSHOT_TIMEOUT_S
        return PendingSend(channel, size_bytes, timeout_s)

    def end(self, outbound, send, is_answered):
        """Record that a message was answered, or that it failed.

        :param outbound: the :class:`OutboundMessage`.
        :param send: what :meth:`start` returned for it.
        :param is_answered: False if no answer came in time.
        """
        self._pending_counts[send.channel] -= 1
        self._pending_bytes[outbound.to] -= send.size_bytes
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
