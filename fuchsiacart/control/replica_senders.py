"""Sends the messages of a replica to the others."""

from asyncio import create_task

from msgspec.structs import replace

from fuchsiacart.adapters import Method
from fuchsiacart.control.addresses import host_of
from fuchsiacart.control.replica_messages import SnapshotRequest
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.messages import Deliver

SENDS_IN_FLIGHT = 32
SEND_TIMEOUT_S = 2.0
SNAPSHOT_TIMEOUT_S = 30.0


class ReplicaSender:
    """Owns the calls that are under way to other replicas.

    A message that cannot be delivered is lost; the log sends again what a
    replica lacks.

    :param adapter: transport to the other control hosts.
    :param addresses: where they are, by host.
    """

    def __init__(self, adapter, addresses):
        self._adapter = adapter
        self._addresses = addresses
        self._sending = {}
        self._tasks = set()

    def send(self, send, snapshot):
        """Send a message, unless too many are under way to its replica.

        :param send: the :class:`OutboundMessage`.
        :param snapshot: body of the newest snapshot.
        """
        address = self._addresses.get(host_of(send.to))
        if not address:
            return
        message = send.message
        is_snapshot = isinstance(message, SnapshotRequest)
        if is_snapshot:
            message = replace(message, body=snapshot)
        line = f'{send.to}/snapshot' if is_snapshot else send.to
        limit = 1 if is_snapshot else SENDS_IN_FLIGHT
        if self._sending.get(line, 0) >= limit:
            return
        self._sending[line] = self._sending.get(line, 0) + 1
        timeout_s = SNAPSHOT_TIMEOUT_S if is_snapshot else SEND_TIMEOUT_S
        task = create_task(self._send_one(line, address, message, timeout_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self):
        """End all calls."""
        for task in self._tasks:
            task.cancel()

    async def _send_one(self, line, address, message, timeout_s):
        try:
            await self._adapter.call(
                address, Method.DELIVER, Deliver(message), timeout_s
            )
        except FuchsiacartError:
            return
        finally:
            self._sending[line] -= 1
