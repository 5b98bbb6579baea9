"""Reads that are asked for at about the same time and share one call."""

from asyncio import create_task
from asyncio import shield
from asyncio import wait

# Time after which a batch begins although the one before it has no answer.
BATCH_DELAY_S = 0.05


class ReadBatches:
    """Makes one call for all reads that wait for it.

    Each answer of a leader takes a copy of what is read.  A read joins no call
    that has begun before it, as that may miss a change made in between.

    :param read: coroutine function that makes a call.
    """

    def __init__(self, read):
        self._read = read
        self._waiting = None
        self._running = None

    async def read(self):
        """Return the result of a call that begins after this one."""
        if self._waiting is None:
            self._waiting = create_task(self._run(self._running))
        return await shield(self._waiting)

    async def _run(self, previous):
        if previous is not None and not previous.done():
            await wait((previous,), timeout=BATCH_DELAY_S)
        self._running, self._waiting = self._waiting, None
        return await self._read()
