"""Output of log lines that never holds up the code that logs."""

from os import write
from threading import Condition
from threading import Thread
from time import monotonic

from fuchsiacart.metrics import LOG_LINES_DROPPED

BUFFER_BYTES = 1024 * 1024
# A stop waits so long for a reader of the last lines.
CLOSE_TIMEOUT_S = 0.3


class LogStream:
    """Text stream that a thread of its own writes to a file descriptor.

    Answers a log that nobody reads: a full pipe blocks whoever writes to it.
    What finds the buffer full is dropped, counted, and told in one line once
    there is a reader again.

    :param descriptor: the file descriptor.
    :param make_notice: function that returns the line which tells that a
        number of lines was dropped.
    :param buffer_bytes: maximum size of the lines that wait.
    """

    def __init__(self, descriptor, make_notice, buffer_bytes=BUFFER_BYTES):
        self._descriptor = descriptor
        self._make_notice = make_notice
        self._buffer_bytes = buffer_bytes
        self._waiting = bytearray()
        self._dropped = 0
        self._deadline_s = None
        self._changed = Condition()
        self._thread = Thread(target=self._run, name='log', daemon=True)
        self._thread.start()

    def write(self, text):
        """Take text, or drop it if the buffer is full; never waits.

        :param text: whole lines.
        """
        data = text.encode(errors='replace')
        with self._changed:
            if len(self._waiting) + len(data) > self._buffer_bytes:
                self._dropped += 1
                LOG_LINES_DROPPED.inc()
                return
            self._waiting += data
            self._changed.notify()

    def flush(self):
        """Do nothing: lines are written as soon as somebody reads them."""

    def close(self, timeout_s=CLOSE_TIMEOUT_S):
        """Write what waits, as far as it is read in time.

        The time counts once: the end of the interpreter closes it again.

        :param timeout_s: seconds to wait.
        :return: True if all was written.
        """
        with self._changed:
            if self._deadline_s is None:
                self._deadline_s = monotonic() + timeout_s
            self._changed.notify()
        self._thread.join(max(0.0, self._deadline_s - monotonic()))
        return not self._thread.is_alive()

    def _run(self):
        while True:
            data = self._take()
            if not data:
                return
            try:
                self._write_all(data)
            except OSError:
                # The reader is gone for good; there is nowhere to say so.
                return

    def _take(self):
        """Wait for lines and return them, empty after the last ones."""
        with self._changed:
            while not self._waiting and not self._dropped:
                if self._deadline_s is not None:
                    return b''
                self._changed.wait()
            data = bytes(self._waiting)
            self._waiting.clear()
            dropped, self._dropped = self._dropped, 0
        if dropped:
            data += self._make_notice(dropped).encode()
        return data

    def _write_all(self, data):
        left = memoryview(data)
        while left:
            left = left[write(self._descriptor, left) :]
