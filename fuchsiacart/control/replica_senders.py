"""Sending of messages from one replica to the others."""

from asyncio import create_task

from msgspec.structs import replace

from fuchsiacart.adapters import Method
from fuchsiacart.control.addresses import host_of
from fuchsiacart.control.replica_messages import SnapshotRequest
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.messages import Deliver

MAX_PENDING_SENDS = 64
SEND_TIMEOUT_S = 2.0
SNAPSHOT_TIMEOUT_S = 30.0


class ReplicaSender:
    """Sends messages to other replicas and owns the pending calls.

    A message that cannot be delivered is dropped.  The leader sends missing
    entries again.  The response comes back on the same call, so that it does
    not depend on a connection in the other direction.

    :param adapter: transport to the other control hosts.
    :param addresses: mapping from control hosts to their addresses.
    :param on_response: takes each response.
    """

    def __init__(self, adapter, addresses, on_response):
        self._adapter = adapter
        self._addresses = addresses
        self._on_response = on_response
        self._pending_counts = {}
        self._tasks = set()

    def send(self, outbound, snapshot):
        """Send a message, unless too many calls to its replica are pending.

        Snapshots have a limit of their own: one at a time per replica.

        :param outbound: the :class:`OutboundMessage`.
        :param snapshot: body of the latest snapshot.
        """
        address = self._addresses.get(host_of(outbound.to))
        if not address:
            return
        message = outbound.message
        is_snapshot = isinstance(message, SnapshotRequest)
        if is_snapshot:
            message = replace(message, body=snapshot)
        channel = f'{outbound.to}/snapshot' if is_snapshot else outbound.to
        limit = 1 if is_snapshot else MAX_PENDING_SENDS
        if self._pending_counts.get(channel, 0) >= limit:
            return
        self._pending_counts[channel] = (
            self._pending_counts.get(channel, 0) + 1
        )
        timeout_s = SNAPSHOT_TIMEOUT_S if is_snapshot else SEND_TIMEOUT_S
        task = create_task(self._call(channel, address, message, timeout_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self):
        """Cancel all pending calls."""
        for task in self._tasks:
            task.cancel()

    async def _call(self, channel, address, message, timeout_s):
        try:
            answer = await self._adapter.call(
                address, Method.DELIVER, Deliver(message), timeout_s
            )
        except FuchsiacartError:
            return
        finally:
            self._pending_counts[channel] -= 1
        if isinstance(answer, Deliver):
            self._on_response(answer.message)
