"""Calls from an entry host to the control group."""

from asyncio import sleep
from time import monotonic

from fuchsiacart.adapters import Method
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import Run
from fuchsiacart.messages import ProposeRequest

CALL_TIMEOUT_S = 1.0
PAUSE_S = 0.05


class ControlClient:
    """Finds a control host that answers and stays with it.

    :param adapter: transport.
    :param addresses: addresses of all control hosts.
    """

    def __init__(self, adapter, addresses):
        self._adapter = adapter
        self._addresses = list(addresses)
        self._current = 0

    @property
    def addresses(self):
        """Return the addresses of all control hosts that are known."""
        return tuple(self._addresses)

    async def call(self, method, message, timeout_s=CALL_TIMEOUT_S):
        """Call the present control host once.

        :param method: which call.
        :param message: the request.
        :param timeout_s: seconds to wait.
        :return: the answer.
        :raises FuchsiacartError: when it refuses or cannot be reached; the
            next call goes to another control host.
        """
        address = self._addresses[self._current]
        try:
            return await self._adapter.call(
                address, method, message, timeout_s
            )
        except FuchsiacartError as error:
            if error.kind in (ErrorKind.NO_QUORUM, ErrorKind.UNREACHABLE):
                self._turn(address)
            raise

    async def commit(self, command, timeout_s):
        """Commit an idempotent command, asking again until it is known.

        :param command: a command that may be applied twice without harm.
        :param timeout_s: seconds to go on for.
        :return: its :class:`Outcome`.
        :raises ChangeError: when its fate is unknown.
        """
        return await self.ask(ProposeRequest(command), timeout_s)

    async def ask(self, message, timeout_s):
        """Ask the leader, whichever control host that is.

        :param message: a request for the method Propose.
        :param timeout_s: seconds to go on for.
        :return: the :class:`Outcome`.
        :raises ChangeError: when no answer came in time.
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
            await sleep(PAUSE_S)

    def add_addresses(self, addresses):
        """Take in where control hosts are, beside those known already."""
        fresh = [each for each in addresses if each not in self._addresses]
        self._addresses.extend(fresh)

    def prefer(self, leader):
        """Call the leader from now on, which saves a hop."""
        if leader in self._addresses:
            self._current = self._addresses.index(leader)

    def _turn(self, failed):
        """Go on to the next host unless another call has done so."""
        if self._addresses[self._current] == failed:
            self._current = (self._current + 1) % len(self._addresses)
