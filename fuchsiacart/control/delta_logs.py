"""The deltas that are kept for hosts whose view is behind."""

from collections import deque

from msgspec.msgpack import encode

DELTA_LIMIT = 2_000
DELTA_LIMIT_BYTES = 2 * 1024 * 1024


class DeltaLog:
    """The latest deltas, bounded in number and in bytes.

    One change of a configuration may replace hundreds of routes, so that a
    number alone bounds no memory.

    :param deltas: the list to keep, in ascending order of the revisions.
    """

    def __init__(self, deltas):
        self._deltas = deltas
        self._sizes = deque(len(encode(each)) for each in deltas)
        self._bytes = sum(self._sizes)
        self._trim()

    def append(self, delta):
        """Add a delta, and drop the oldest ones that are too many."""
        size = len(encode(delta))
        self._deltas.append(delta)
        self._sizes.append(size)
        self._bytes += size
        self._trim()

    def latest(self, count):
        """Return the last deltas, None if some are no longer kept.

        :param count: how many.
        """
        if count <= 0:
            return ()
        if count > len(self._deltas):
            return None
        return tuple(self._deltas[-count:])

    def _trim(self):
        surplus = max(0, len(self._deltas) - DELTA_LIMIT)
        dropped = 0
        while dropped < surplus or self._bytes > DELTA_LIMIT_BYTES:
            self._bytes -= self._sizes.popleft()
            dropped += 1
        del self._deltas[:dropped]
