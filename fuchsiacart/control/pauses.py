"""Pauses of a process, after which it reads what has waited meanwhile."""

from fuchsiacart.logs import log_event

# Callers of a control host time out after a second; what has waited for half
# of that may be outdated.
MIN_PAUSE_MS = 500.0
# Time after a pause in which all that has waited is read.
CATCH_UP_MS = 1000.0


class PauseWatch:
    """Detects that the event loop stood still.  Performs no I/O.

    :param now_ms: the current time by a clock that runs on while the machine
        is suspended.
    """

    def __init__(self, now_ms):
        self._ticked_ms = now_ms
        self._ended_ms = None

    def tick(self, now_ms):
        """Note that the event loop runs; to be called often.

        :param now_ms: the current time.
        """
        silent_ms = now_ms - self._ticked_ms
        self._ticked_ms = now_ms
        if silent_ms < MIN_PAUSE_MS:
            return
        self._ended_ms = now_ms
        log_event('process_paused', paused_ms=int(silent_ms))

    def was_paused(self, now_ms):
        """Return True if what is read now may have waited during a pause.

        :param now_ms: the current time.
        """
        if now_ms - self._ticked_ms >= MIN_PAUSE_MS:
            return True
        if self._ended_ms is None:
            return False
        return now_ms - self._ended_ms < CATCH_UP_MS
