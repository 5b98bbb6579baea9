"""Pauses of a process, after which it reads what has waited meanwhile."""

from asyncio import sleep
from time import process_time

from fuchsiacart.clocks import boot_ms
from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.logs import log_event

# Callers of a control host time out after a second; what has waited for half
# of that may be outdated.
MIN_PAUSE_MS = 500.0
# Time after a pause in which all that has waited is read.
CATCH_UP_MS = 1000.0
TICK_S = 0.1


class PauseWatch:
    """Detects that the event loop stood still.  Performs no I/O.

    :param now_ms: the current time by a clock that runs on while the machine
        is suspended.
    :param min_pause_ms: shortest pause.
    """

    def __init__(self, now_ms, min_pause_ms=MIN_PAUSE_MS):
        self._min_pause_ms = min_pause_ms
        self._ticked_ms = now_ms
        self._cpu_ms = 0.0
        self._ended_ms = None

    def tick(self, now_ms, cpu_ms=0.0):
        """Note that the event loop runs; to be called often.

        :param now_ms: the current time.
        :param cpu_ms: processor time that the process has used so far.
        """
        silent_ms = now_ms - self._ticked_ms
        used_ms = cpu_ms - self._cpu_ms
        self._ticked_ms = now_ms
        self._cpu_ms = cpu_ms
        if silent_ms < self._min_pause_ms:
            return
        self._ended_ms = now_ms
        log_event(
            'process_paused', paused_ms=int(silent_ms), cpu_ms=int(used_ms)
        )

    def was_paused(self, now_ms):
        """Return True if what is read now may have waited during a pause.

        :param now_ms: the current time.
        """
        if now_ms - self._ticked_ms >= self._min_pause_ms:
            return True
        if self._ended_ms is None:
            return False
        return now_ms - self._ended_ms < CATCH_UP_MS


async def watch_pauses(watch):
    """Detect and log the pauses of this process until cancelled.

    :param watch: the :class:`PauseWatch`.
    """
    while True:
        watch.tick(boot_ms(), process_time() * MILLISECONDS)
        await sleep(TICK_S)
