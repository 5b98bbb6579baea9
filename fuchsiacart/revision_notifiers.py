"""Waiting for a revision."""

from asyncio import get_running_loop
from asyncio import shield
from asyncio import wait_for
from time import monotonic


class RevisionNotifier:
    """Wakes those who wait for the state to move on.

    :param revision: returns the revision that has been reached.
    """

    def __init__(self, revision):
        self._revision = revision
        self._changed = get_running_loop().create_future()

    def notify(self):
        """Wake all who wait."""
        self._changed.set_result(None)
        self._changed = get_running_loop().create_future()

    async def wait_past(self, revision, timeout_s):
        """Wait until the state is past a revision, or the time is over.

        :param revision: the revision to get past.
        :param timeout_s: seconds to wait.
        """
        deadline_s = monotonic() + timeout_s
        while self._revision() <= revision:
            left_s = deadline_s - monotonic()
            if left_s <= 0:
                return
            try:
                await wait_for(shield(self._changed), left_s)
            except TimeoutError:
                return
