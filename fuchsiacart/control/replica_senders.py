"""Sending of messages from one replica to the others."""

from asyncio import create_task

from msgspec.structs import replace

from fuchsiacart.adapters import Method
from fuchsiacart.control.addresses import host_of
from fuchsiacart.control.pending_sends import PendingSends
from fuchsiacart.control.replica_messages import SnapshotRequest
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.messages import Deliver


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
        self._pending = PendingSends()
        self._tasks = set()

    def send(self, outbound, snapshot):
        """Send as much of a message as :class:`PendingSends` allows.

        :param outbound: the :class:`OutboundMessage`.
        :param snapshot: body of the latest snapshot.
        :return: True if nothing of it is held back.
        """
        address = self._addresses.get(host_of(outbound.to))
        if not address:
            return True
        send = self._pending.start(outbound)
        if send is None:
            return False
        message = send.outbound.message
        if isinstance(message, SnapshotRequest):
            message = replace(message, body=snapshot)
        task = create_task(self._call(send, address, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return send.is_whole

    def take_counts(self):
        """See :meth:`PendingSends.take_counts`."""
        return self._pending.take_counts()

    def close(self):
        """Cancel all pending calls."""
        for task in self._tasks:
            task.cancel()

    async def _call(self, send, address, message):
        answer = None
        try:
            answer = await self._adapter.call(
                address, Method.DELIVER, Deliver(message), send.timeout_s
            )
        except FuchsiacartError:
            return
        finally:
            self._pending.end(send, answer is not None)
        if isinstance(answer, Deliver):
            self._on_response(answer.message)
