"""Notification of tasks that wait for a newer revision."""

from asyncio import get_running_loop
from asyncio import shield
from asyncio import wait_for
from time import monotonic


class RevisionNotifier:
    """Wakes tasks that wait until the revision exceeds a given one.

    It must be created while an event loop is running.

    :param revision: returns the current revision.
    """

    def __init__(self, revision):
        self._revision = revision
        self._changed = get_running_loop().create_future()

    def notify(self):
        """Wake all waiting tasks; call this after each new revision."""
        self._changed.set_result(None)
        self._changed = get_running_loop().create_future()

    async def wait_past(self, revision, timeout_s):
        """Wait until the current revision exceeds a given one.

        Returns without an error when the timeout expires.

        :param revision: the revision to exceed.
        :param timeout_s: maximum number of seconds to wait.
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
