"""When the leader has committed what."""

from collections import deque

KEPT_TIMES = 64


class CommitTimes:
    """The commit index at recent times.  Performs no I/O."""

    def __init__(self):
        self._times = deque(maxlen=KEPT_TIMES)

    def record(self, now_ms, commit_index):
        """Record the commit index at a time.

        :param now_ms: the time; it does not go back.
        :param commit_index: the index.
        """
        self._times.append((now_ms, commit_index))

    def index_before(self, at_ms, default):
        """Return the latest index recorded at a time or before it.

        :param at_ms: the time.
        :param default: the index to return if none was recorded yet.
        :return: the first index if all were recorded later.
        """
        for recorded_ms, commit_index in reversed(self._times):
            if recorded_ms <= at_ms:
                return commit_index
        return self._times[0][1] if self._times else default
