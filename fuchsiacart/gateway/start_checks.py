"""Checks the backend servers whose start is in doubt."""

from asyncio import Event
from asyncio import gather
from asyncio import sleep

from fuchsiacart.gateway.doubtful_starts import CheckOutcome

CHECK_INTERVAL_S = 0.5
# Checks that run at the same time.
MAX_CHECKS = 64


class StartChecker:
    """Sends health checks until no start is in doubt.

    :param selector: the :class:`ServerSelector`.
    :param checker: the :class:`HealthChecker`.
    """

    def __init__(self, selector, checker):
        self._selector = selector
        self._checker = checker
        self._requested = Event()

    def check_soon(self):
        """Check the servers that are in doubt now."""
        self._requested.set()

    async def run(self):
        """Check servers until cancelled."""
        self._requested.set()
        while True:
            await self._requested.wait()
            self._requested.clear()
            doubted = self._selector.doubted_servers()
            for first in range(0, len(doubted), MAX_CHECKS):
                batch = doubted[first : first + MAX_CHECKS]
                await gather(*map(self._check, batch))
            if self._selector.doubted_servers():
                await sleep(CHECK_INTERVAL_S)
                self._requested.set()

    async def _check(self, server):
        record = server.record
        statements = self._selector.doubtful.find(record)
        outcome = await self._checker.check(server)
        if self._selector.find(record.name) is not server:
            # A later start has answered, or the server is gone.
            return
        if outcome is not CheckOutcome.UNKNOWN:
            self._selector.doubtful.settle(record.name, statements)
