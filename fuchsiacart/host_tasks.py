"""Tasks of an entry host that keep its lease and its view."""

from asyncio import Event
from asyncio import sleep
from asyncio import wait_for

from fuchsiacart.adapters import Method
from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.clocks import steady_ms
from fuchsiacart.control.pulls import answer_pull
from fuchsiacart.control.pulls import unpack_view
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.leases import Lease
from fuchsiacart.logs import log_event
from fuchsiacart.logs import log_warning
from fuchsiacart.messages import KeepAliveRequest
from fuchsiacart.messages import LeaveRequest
from fuchsiacart.messages import PullRequest
from fuchsiacart.metrics import LEASE_LEFT
from fuchsiacart.metrics import REVISION
from fuchsiacart.models import HostState
from fuchsiacart.revision_notifiers import RevisionNotifier
from fuchsiacart.views import View
from fuchsiacart.views import with_state

PULL_WAIT_MS = 400
# A parent that says nothing for so long is left for another.
PULL_TIMEOUT_S = 0.9
PULL_PAUSE_S = 0.05
SHORTEST_PAUSE_S = 0.1
LEAVE_TIMEOUT_S = 2.0


class ViewReplicator:
    """Owns the view: pulls changes and serves them to other hosts.

    :param adapter: transport.
    :param control_addresses: where to pull from until the first lease.
    """

    def __init__(self, adapter, control_addresses):
        self._adapter = adapter
        self._control_addresses = tuple(control_addresses)
        self._parents = self._control_addresses
        self._turn = 0
        self.notifier = RevisionNotifier(
            lambda: self.replicated_state.revision
        )
        self._listeners = []
        self.replicated_state = View()

    def on_change(self, listener):
        """Call a function after each change of the view."""
        self._listeners.append(listener)

    def set_parents(self, parents):
        """Take over whom to pull from, best first.

        The first view comes from a control host, whose link bears it.
        """
        if self.replicated_state.revision == 0:
            return
        if parents and parents != self._parents:
            self._parents = parents
            self._turn = 0

    async def on_pull(self, request):
        """Answer a pull of another entry host."""
        return await answer_pull(self, request)

    async def run(self, needed_revision):
        """Pull for ever.

        :param needed_revision: returns the revision that the lease waits
            for; while the view is behind it, another parent is asked.
        """
        while True:
            address = self._parents[self._turn % len(self._parents)]
            try:
                await self._pull(address)
            except FuchsiacartError:
                self._turn += 1
                await sleep(PULL_PAUSE_S)
                continue
            if self.replicated_state.revision < needed_revision():
                self._turn += 1
                await sleep(PULL_PAUSE_S)

    async def _pull(self, address):
        request = PullRequest(self.replicated_state.revision, PULL_WAIT_MS)
        reply = await self._adapter.call(
            address, Method.PULL, request, PULL_TIMEOUT_S
        )
        moved = self.replicated_state.advance(reply.deltas)
        if reply.packed_view:
            moved = self.replicated_state.restore(
                unpack_view(reply.packed_view)
            )
        if moved:
            self._tell()

    def _tell(self):
        REVISION.set(self.replicated_state.revision)
        self.notifier.notify()
        for listener in self._listeners:
            listener()


class LeaseClient:
    """Renews the lease of this host and takes in its shares.

    :param settings: the settings of the process.
    :param control: the :class:`ControlClient`.
    :param views: the :class:`ViewReplicator`.
    :param limits: the :class:`ContractLimiter`.
    """

    def __init__(self, settings, control, views, limits):
        self._settings = settings
        self._control = control
        self._views = views
        self._limits = limits
        self._lease = Lease()
        self._dispatcher = None
        self._in_flight = None
        self._hurry = Event()
        self.host = None
        views.on_change(self._reach)

    def start(self, host, dispatcher, in_flight):
        """Set who this host is and whose load it reports.

        :param host: this host with its addresses.
        :param dispatcher: the :class:`Dispatcher`.
        :param in_flight: returns the requests under way on this host.
        """
        self.host = host
        self._dispatcher = dispatcher
        self._in_flight = in_flight

    def holds(self):
        """Tell whether this host may act."""
        return self._lease.holds(steady_ms())

    def needed_revision(self):
        """Return the revision that the lease waits for."""
        return self._lease.needed_revision

    def withdraw_from_lookups(self):
        """Be named in look-ups no more; the next renewal says so."""
        self.host = with_state(self.host, HostState.LEAVING)

    async def run(self):
        """Renew for ever."""
        held = False
        while True:
            self._hurry.clear()
            answered = await self.renew()
            now_holds = self.holds()
            LEASE_LEFT.set(self._lease.left_ms(steady_ms()) / MILLISECONDS)
            if held and not now_holds:
                log_warning(
                    'lease_lost',
                    revision=self._views.replicated_state.revision,
                )
            if now_holds and not held:
                log_event(
                    'lease_held',
                    revision=self._views.replicated_state.revision,
                )
            held = now_holds
            await sleep(SHORTEST_PAUSE_S)
            if answered:
                await self._pause()

    def renew_soon(self):
        """Renew soon, as when a share is used up."""
        self._hurry.set()

    async def _pause(self):
        pause_s = self._settings.entry.keep_alive_ms / MILLISECONDS
        try:
            await wait_for(self._hurry.wait(), pause_s)
        except TimeoutError:
            return

    async def renew(self):
        """Renew once.

        :return: True when a control host answered.
        """
        sent_ms = steady_ms()
        request = KeepAliveRequest(
            self.host,
            self._views.replicated_state.revision,
            self._limits.demands(sent_ms),
            self._limits.shares(),
            self._dispatcher.loads(),
            self._in_flight(),
            self._dispatcher.draining(),
            self._dispatcher.demands(),
            self._dispatcher.evidence(),
            self._dispatcher.flush_suspects(),
        )
        timeout_s = self._settings.entry.lease_ms / 3000
        try:
            reply = await self._control.call(
                Method.KEEP_ALIVE, request, timeout_s
            )
        except FuchsiacartError:
            return False
        self._lease.renew(
            sent_ms,
            reply.lease_ms,
            reply.revision,
            self._views.replicated_state.revision,
        )
        self._limits.set_shares(reply.shares)
        self._dispatcher.merge_suspects(reply.suspects)
        self._views.set_parents(reply.parents)
        self._control.add_addresses(reply.members)
        self._control.prefer(reply.leader)
        return True

    async def leave(self):
        """End the lease at the end of a planned stop."""
        request = LeaveRequest(self.host.name, self.host.incarnation)
        try:
            await self._control.call(
                Method.KEEP_ALIVE, request, LEAVE_TIMEOUT_S
            )
        except FuchsiacartError as error:
            log_warning('leave_not_told', detail=error.detail)

    def _reach(self):
        self._lease.record_revision(self._views.replicated_state.revision)
