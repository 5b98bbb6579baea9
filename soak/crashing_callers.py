"""A stand-in caller whose request crashes the servers that run it."""

from asyncio import sleep

from soak.callers import Caller
from soak.records import CRASHING_OBJECT

START_RANGE_S = (0.0, 10.0)
INTERVAL_RANGE_S = (0.2, 0.8)
# The first may be repeated by a gateway, the second may not.
PREFIXES = ('/stock/', '/orders/')


class CrashingCaller(Caller):
    """Sends the same request again and again, while there are faults.

    :param soak: the :class:`Soak` run that the caller belongs to.
    :param number: number of the caller, unique within the run.
    :param addresses: all gateways.
    :param random: random number generator of its own.
    """

    def __init__(self, soak, number, addresses, random):
        super().__init__(soak, number, addresses)
        self._random = random
        self._prefix = random.choice(PREFIXES)

    async def run(self):
        """Send the request until no more faults are injected."""
        await sleep(self._random.uniform(*START_RANGE_S))
        while not self._soak.faults_are_over:
            await self._send_one()
            await sleep(self._random.uniform(*INTERVAL_RANGE_S))
        self._close_connection()

    def _choose_target(self):
        """See :meth:`Caller._choose_target`."""
        return self._prefix, CRASHING_OBJECT
