"""Client of the control group."""

from asyncio import as_completed
from asyncio import create_task
from asyncio import sleep
from time import monotonic

from xxhash import xxh32_intdigest

from fuchsiacart.adapters import Method
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import Run
from fuchsiacart.messages import ProposeRequest

CALL_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.05


def rotate_addresses(addresses, host_name):
    """Return addresses in an order that differs from host to host.

    Spreads the first calls of many hosts that start at the same time.

    :param addresses: peer addresses of control hosts.
    :param host_name: name of the calling host.
    """
    first = xxh32_intdigest(host_name.encode()) % max(1, len(addresses))
    return tuple(addresses[first:]) + tuple(addresses[:first])


class ControlClient:
    """Calls one control host and switches to the next when it fails.

    :param adapter: the :class:`PeerAdapter`.
    :param addresses: peer addresses of the control hosts.
    """

    def __init__(self, adapter, addresses):
        self._adapter = adapter
        self._addresses = list(addresses)
        self._current_index = 0

    @property
    def addresses(self):
        """Return the peer addresses of all known control hosts."""
        return tuple(self._addresses)

    async def call(self, method, message, timeout_s=CALL_TIMEOUT_S):
        """Call the current control host once.

        :param method: the :class:`Method` to call.
        :param message: the request.
        :param timeout_s: seconds to wait for the answer.
        :return: the answer.
        :raises FuchsiacartError: if the host refuses or cannot be reached.
            If it is unreachable or has no quorum, the next call goes to
            another control host.
        """
        address = self._addresses[self._current_index]
        try:
            return await self._adapter.call(
                address, method, message, timeout_s
            )
        except FuchsiacartError as error:
            if error.kind in (ErrorKind.NO_QUORUM, ErrorKind.UNREACHABLE):
                self._advance_from(address)
            raise

    async def call_any(self, method, message, timeout_s=CALL_TIMEOUT_S):
        """Call all known control hosts at once and return the first answer.

        Answers the load of a host that knows mostly hosts that are gone: one
        after the other, each of them takes the time-out.

        :param method: the :class:`Method` to call.
        :param message: a request that several of them may get.
        :param timeout_s: seconds to wait for the answer.
        :return: the answer.
        :raises FuchsiacartError: the last error, if all fail.
        """
        calls = [
            create_task(
                self._adapter.call(address, method, message, timeout_s)
            )
            for address in self._addresses
        ]
        last_error = None
        try:
            for call in as_completed(calls):
                try:
                    return await call
                except FuchsiacartError as error:
                    last_error = error
        finally:
            for call in calls:
                call.cancel()
        raise last_error

    async def commit(self, command, timeout_s):
        """Commit an idempotent command, with retries until it is answered.

        :param command: a command that is safe to apply more than once.
        :param timeout_s: seconds after which to stop retrying.
        :return: the :class:`Outcome` of the command.
        :raises ChangeError: if no answer came in time; the command may
            still be committed.
        """
        return await self.call_leader(ProposeRequest(command), timeout_s)

    async def call_leader(self, message, timeout_s):
        """Send a request to the leader, with retries on other hosts.

        :param message: a request for :attr:`Method.PROPOSE`.
        :param timeout_s: seconds after which to stop retrying.
        :return: the :class:`Outcome`.
        :raises ChangeError: if no answer came in time.
        :raises FuchsiacartError: if the request is refused for a reason
            that another attempt cannot change.
        """
        deadline_s = monotonic() + timeout_s
        while True:
            left_s = deadline_s - monotonic()
            if left_s <= 0:
                raise ChangeError(
                    'no quorum answered in time',
                    ErrorKind.NO_QUORUM,
                    Run.UNKNOWN,
                )
            try:
                reply = await self.call(
                    Method.PROPOSE, message, min(left_s, CALL_TIMEOUT_S)
                )
                return reply.outcome
            except FuchsiacartError as error:
                if error.kind not in (
                    ErrorKind.NO_QUORUM,
                    ErrorKind.UNREACHABLE,
                    ErrorKind.INTERNAL,
                ):
                    raise
            await sleep(RETRY_DELAY_S)

    def add_addresses(self, addresses):
        """Add peer addresses of control hosts to the known ones."""
        added = [each for each in addresses if each not in self._addresses]
        self._addresses.extend(added)

    def prefer(self, leader):
        """Call the leader from now on, which saves the hop of a relay.

        :param leader: its peer address; ignored if it is not known.
        """
        if leader in self._addresses:
            self._current_index = self._addresses.index(leader)

    def _advance_from(self, failed_address):
        """Switch to the next host unless another call has already done so."""
        if self._addresses[self._current_index] == failed_address:
            self._current_index = (self._current_index + 1) % len(
                self._addresses
            )
