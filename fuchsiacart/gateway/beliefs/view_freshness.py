"""Decides when a gateway waits for its view before it acts on it.

Answers the requests that a process finds after it was paused: servers may
have left and routes may have changed meanwhile.  A gateway that is cut off
from the control group waits once and then goes on by the view that it has and
by what servers say when they are asked.
Answers also the requests that arrive while a gateway starts, as after a loss
of power of all hosts: its view is a second away, and callers that were told
to return would lose that second and their next try.

A caller does not repeat a request that was denied, so that is decided only by
a view as new as the leader's.
"""

from asyncio import Event
from asyncio import wait_for
from math import inf
from time import monotonic

from fuchsiacart.clocks import boot_ms
from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.gateway.beliefs.view_ages import ViewAge
from fuchsiacart.logs import log_event
from fuchsiacart.metrics import VIEW_WAITS

# Time in which a renewal after a pause is answered.
MAX_WAIT_S = 0.3


class ViewFreshness:
    """Knows when the view was confirmed by renewals of the lease.

    ``age`` is the :class:`ViewAge`.  All times are those of :func:`boot_ms`.

    :param limit_ms: age from which the view is outdated.
    :param was_paused: takes the current time and returns True if the process
        may have been paused just before.
    """

    def __init__(self, limit_ms=inf, was_paused=lambda now_ms: True):
        self._was_paused = was_paused
        self.age = ViewAge(limit_ms)
        self._limit_ms = limit_ms
        self._outdated_listener = None
        self._has_waited = False
        # End of the wait for a newer view, None while nobody waits.
        self._wait_ends_s = None
        self._confirmed = Event()
        self._in_use = Event()
        self._next_use = Event()
        self._current_until_ms = 0.0
        self._caught_up = Event()
        self._caught_up.set()

    def on_outdated(self, listener):
        """Set the function that is called when a newer view is needed.

        :param listener: takes no arguments.
        """
        self._outdated_listener = listener

    def record_use(self):
        """Record that the gateway serves by a view."""
        self._in_use.set()
        self._next_use.set()
        self._next_use = Event()

    async def wait_for_use(self, is_met, limit_ms):
        """Wait until a view that the gateway serves by meets a condition.

        :param is_met: function that returns True if the present one does.
        :param limit_ms: milliseconds to wait at most.
        """
        until_s = monotonic() + limit_ms / MILLISECONDS
        while not is_met():
            try:
                await wait_for(self._next_use.wait(), until_s - monotonic())
            except TimeoutError:
                log_event('view_behind', waited_ms=int(limit_ms))
                return

    async def wait_for_first(self, limit_ms):
        """Wait until the gateway serves by a view, or the time is over.

        :param limit_ms: milliseconds to wait at most.
        """
        try:
            await wait_for(self._in_use.wait(), limit_ms / MILLISECONDS)
        except TimeoutError:
            return

    def record_lease(self, renewed_ms, until_ms, is_behind):
        """Record the last renewal of the lease, or a change of the view.

        :param renewed_ms: when the last renewal was sent whose revision the
            view has reached.
        :param until_ms: end of the lease.
        :param is_behind: True if the view lacks changes that a renewal has
            named.
        """
        self.age.record_confirmation(renewed_ms)
        if not self.age.is_outdated(boot_ms()):
            self._has_waited = False
            self._wait_ends_s = None
            self._confirmed.set()
        self._current_until_ms = min(until_ms, renewed_ms + self._limit_ms)
        if is_behind:
            self._caught_up.clear()
        else:
            self._caught_up.set()

    def is_current(self, now_ms):
        """Return True if the view is as new as the leader's.

        :param now_ms: the current time.
        """
        return self._caught_up.is_set() and now_ms < self._current_until_ms

    async def wait_until_caught_up(self, limit_ms):
        """Wait for the changes that the last renewal has named.

        :param limit_ms: milliseconds to wait at most.
        """
        try:
            await wait_for(self._caught_up.wait(), limit_ms / MILLISECONDS)
        except TimeoutError:
            log_event('view_behind', waited_ms=int(limit_ms))

    def needs_wait(self, now_ms):
        """Return True if a request should wait for a newer view.

        Without a pause the renewals have had their time, so that a wait would
        be in vain.

        :param now_ms: the current time.
        """
        return (
            not self._has_waited
            and self.age.is_outdated(now_ms)
            and self._was_paused(now_ms)
        )

    async def refresh(self):
        """Wait for a newer view where this one is outdated.

        All requests wait until ``MAX_WAIT_S`` after the first at most, and no
        more after a wait in vain until a renewal is answered.
        """
        now_ms = boot_ms()
        if not self.needs_wait(now_ms):
            return
        VIEW_WAITS.inc()
        if self._wait_ends_s is None:
            self._wait_ends_s = monotonic() + MAX_WAIT_S
            self._confirmed.clear()
            log_event('view_outdated', age_ms=int(self.age.age_ms(now_ms)))
            if self._outdated_listener is not None:
                self._outdated_listener()
        try:
            await wait_for(
                self._confirmed.wait(), self._wait_ends_s - monotonic()
            )
        except TimeoutError:
            self._has_waited = True
