"""Background tasks of an entry host: lease renewal and view replication."""

from asyncio import Event
from asyncio import sleep
from asyncio import wait_for

from fuchsiacart.adapters import Method
from fuchsiacart.clocks import boot_ms
from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.clocks import steady_ms
from fuchsiacart.control.pulls import answer_pull
from fuchsiacart.control.pulls import read_deltas
from fuchsiacart.control.pulls import unpack_view
from fuchsiacart.control.pulls import ViewPacker
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import UndecodedError
from fuchsiacart.leases import Lease
from fuchsiacart.logs import log_event
from fuchsiacart.logs import log_warning
from fuchsiacart.messages import KeepAliveRequest
from fuchsiacart.messages import LeaveRequest
from fuchsiacart.messages import PullRequest
from fuchsiacart.metrics import LEASE_LEFT
from fuchsiacart.metrics import REVISION
from fuchsiacart.models import HostState
from fuchsiacart.peer_reports import PeerReports
from fuchsiacart.revision_notifiers import RevisionNotifier
from fuchsiacart.views import View
from fuchsiacart.views import with_state

# Time for which a parent delays its reply while it has no changes.
PULL_WAIT_MS = 400
# A parent that does not answer within this time is replaced by the next one.
PULL_TIMEOUT_S = 0.9
# If no parent has answered in time, a reply may be too large for the link.
MAX_PULL_TIMEOUT_S = 3.6
PULL_RETRY_DELAY_S = 0.05
MIN_RENEWAL_INTERVAL_S = 0.1
LEAVE_TIMEOUT_S = 2.0


class ViewReplicator:
    """Replicates the view: pulls changes and serves them to other hosts.

    :param adapter: the :class:`PeerAdapter`.
    :param control_addresses: peer addresses of the control hosts, the
        parents until a renewal of the lease names others.
    """

    def __init__(self, adapter, control_addresses):
        self._adapter = adapter
        self._control_addresses = tuple(control_addresses)
        self._parents = self._control_addresses
        self._parent_index = 0
        self._failed_pulls = 0
        self._reports = PeerReports()
        self.notifier = RevisionNotifier(
            lambda: self.replicated_state.revision
        )
        self.packer = ViewPacker()
        self._listeners = []
        self.replicated_state = View()

    def on_change(self, listener):
        """Register a function that is called after each change of the view.

        :param listener: function without parameters.
        """
        self._listeners.append(listener)

    def set_parents(self, parents):
        """Replace the hosts to pull from.

        Has no effect before the first view has arrived: that is pulled
        whole from a control host, whose link has the capacity for it.

        :param parents: peer addresses, best first.
        """
        if self.replicated_state.revision == 0:
            return
        if parents and parents != self._parents:
            self._parents = parents
            self._parent_index = 0

    @property
    def pull_timeout_s(self):
        """Seconds to wait for a reply; longer once all parents have failed."""
        rounds = self._failed_pulls // len(self._parents)
        return min(MAX_PULL_TIMEOUT_S, PULL_TIMEOUT_S * (1 + rounds))

    async def on_pull(self, request):
        """Answer a :class:`PullRequest` of another entry host."""
        return await answer_pull(self, request)

    async def run(self, needed_revision):
        """Pull changes until cancelled.

        Switches to the next parent when a pull fails, or when its reply
        leaves the view behind the needed revision.

        :param needed_revision: returns the revision that the view must
            reach before the lease is extended.
        """
        while True:
            address = self._parents[self._parent_index % len(self._parents)]
            try:
                await self._pull(address)
            except FuchsiacartError as error:
                self._record_failed_pull(error)
                self._parent_index += 1
                await sleep(PULL_RETRY_DELAY_S)
                continue
            if self.replicated_state.revision < needed_revision():
                self._parent_index += 1
                await sleep(PULL_RETRY_DELAY_S)

    def _record_failed_pull(self, error):
        """Count a failed pull; log once all parents have failed."""
        self._failed_pulls += 1
        if self._failed_pulls == len(self._parents):
            log_warning(
                'parents_lost',
                revision=self.replicated_state.revision,
                detail=error.detail,
            )

    def _record_pull(self):
        if self._failed_pulls >= len(self._parents):
            log_event('parents_found', revision=self.replicated_state.revision)
        self._failed_pulls = 0

    async def _pull(self, address):
        request = PullRequest(self.replicated_state.revision, PULL_WAIT_MS)
        reply = await self._adapter.call(
            address, Method.PULL, request, self.pull_timeout_s
        )
        snapshot, deltas = self._unpack(address, reply)
        self._record_pull()
        has_changed = False
        if snapshot is not None:
            has_changed = self.replicated_state.restore(snapshot)
        has_changed |= self.replicated_state.advance(deltas)
        if has_changed:
            self._notify()

    def _unpack(self, address, reply):
        """Return the snapshot of a reply, None without one, and its deltas."""
        try:
            snapshot = None
            if reply.packed_view:
                snapshot = unpack_view(reply.packed_view)
            return snapshot, read_deltas(reply)
        except UndecodedError as error:
            self._reports.answer_not_decoded(
                Method.PULL, address, error.detail
            )
            self._adapter.notice_undecoded(address, Method.PULL)
            raise

    def _notify(self):
        REVISION.set(self.replicated_state.revision)
        self.notifier.notify()
        for listener in self._listeners:
            listener()


class LeaseClient:
    """Renews the lease of this host and applies the replies.

    A reply also carries the host's shares of the contract limits, the
    suspects of all hosts, the load of backend servers, the parents to pull
    from and the control hosts.

    :param settings: the settings of the process.
    :param control: the :class:`ControlClient`.
    :param views: the :class:`ViewReplicator`.
    :param limits: the :class:`ContractLimiter`.
    :param quotas: the :class:`AccountQuotas`, None for a host without any.
    """

    def __init__(self, settings, control, views, limits, quotas=None):
        self._settings = settings
        self._control = control
        self._views = views
        self._limits = limits
        self._quotas = quotas
        self._lease = Lease()
        # The same on a clock that runs on while the machine is suspended.
        self._boot_lease = Lease()
        self._dispatcher = None
        self._in_flight = None
        self._renewal_requested = Event()
        self._renewal_listener = None
        self.host = None
        views.on_change(self._record_revision)

    def start(self, host, dispatcher, in_flight):
        """Set the sources of the reports; must be called before :meth:`run`.

        :param host: this :class:`Host` with its addresses.
        :param dispatcher: the :class:`Dispatcher` whose load is reported.
        :param in_flight: returns the number of requests in flight on this
            host.
        """
        self.host = host
        self._dispatcher = dispatcher
        self._in_flight = in_flight

    def on_renewal(self, listener):
        """Set the function that is called after each renewal.

        :param listener: function without parameters.
        """
        self._renewal_listener = listener

    @property
    def has_confirmed_view(self):
        """Return True once the view was as new as the leader's state."""
        return self._lease.was_held

    @property
    def is_behind(self):
        """Return True if the view lacks what the last renewal named."""
        return self._lease.is_behind

    @property
    def until_ms(self):
        """Return the end of the lease, a time of the steady clock."""
        return self._lease.until_ms

    @property
    def until_boot_ms(self):
        """Return the end of the lease, a time of :func:`boot_ms`."""
        return self._boot_lease.until_ms

    @property
    def confirmed_boot_ms(self):
        """Return the time up to which the view has all changes, or 0.

        A time of :func:`boot_ms`; all that was acknowledged before it is in
        the view.
        """
        return self._boot_lease.renewed_ms

    def holds(self):
        """Return True if this host holds a valid lease."""
        return self._lease.holds(steady_ms())

    def needed_revision(self):
        """Return the revision the view must reach to extend the lease."""
        return self._lease.needed_revision

    def withdraw_from_lookups(self):
        """Remove this host from look-up answers with the next renewal."""
        self.host = with_state(self.host, HostState.LEAVING)

    def set_isolated(self, is_isolated):
        """Tell other hosts whether this host reaches no backend server.

        :param is_isolated: True if it reaches none.
        """
        if self.host.state is HostState.LEAVING:
            return
        state = HostState.ISOLATED if is_isolated else HostState.LIVE
        self.host = with_state(self.host, state)
        self.renew_soon()

    async def run(self):
        """Renew the lease until cancelled.

        A renewal that fails is repeated after ``MIN_RENEWAL_INTERVAL_S``.
        """
        held_before = False
        while True:
            self._renewal_requested.clear()
            is_renewed = await self.renew()
            holds_now = self.holds()
            LEASE_LEFT.set(self._lease.left_ms(steady_ms()) / MILLISECONDS)
            if held_before and not holds_now:
                log_warning(
                    'lease_lost',
                    revision=self._views.replicated_state.revision,
                )
            if holds_now and not held_before:
                log_event(
                    'lease_held',
                    revision=self._views.replicated_state.revision,
                )
            held_before = holds_now
            await sleep(MIN_RENEWAL_INTERVAL_S)
            if is_renewed:
                await self._wait_for_renewal()

    def renew_soon(self):
        """Renew the lease before the regular interval ends.

        Called for instance when a share of a limit is used up.
        """
        self._renewal_requested.set()

    async def _wait_for_renewal(self):
        interval_s = self._settings.entry.keep_alive_ms / MILLISECONDS
        try:
            await wait_for(self._renewal_requested.wait(), interval_s)
        except TimeoutError:
            return

    async def renew(self):
        """Renew the lease once and apply the reply.

        :return: True if a control host answered in time.
        """
        sent_ms, sent_boot_ms = steady_ms(), boot_ms()
        request = KeepAliveRequest(
            self.host,
            self._views.replicated_state.revision,
            self._limits.flush_demands(sent_ms),
            self._limits.shares(),
            self._dispatcher.loads(),
            self._in_flight(),
            self._dispatcher.draining(),
            self._dispatcher.flush_demands(),
            self._dispatcher.flush_evidence(),
            self._dispatcher.report_suspects(),
            self._dispatcher.counts(),
            self._dispatcher.leaving_servers(),
            self._quotas.make_reports() if self._quotas else (),
        )
        # A third of the lease, in seconds.
        timeout_s = self._settings.entry.lease_ms / 3000
        try:
            reply = await self._control.call(
                Method.KEEP_ALIVE, request, timeout_s
            )
        except FuchsiacartError:
            return False
        revision = self._views.replicated_state.revision
        self._lease.renew(sent_ms, reply.lease_ms, reply.revision, revision)
        self._boot_lease.renew(
            sent_boot_ms, reply.lease_ms, reply.revision, revision
        )
        if self._quotas is not None:
            self._quotas.apply_grants(reply.quotas)
        self._limits.set_shares(reply.shares)
        self._dispatcher.merge_suspects(reply.suspects)
        self._dispatcher.record_loads(reply.load_map, sent_ms)
        self._views.set_parents(reply.parents)
        self._control.add_addresses(reply.members)
        self._control.prefer(reply.leader)
        if self._renewal_listener is not None:
            self._renewal_listener()
        return True

    async def leave(self):
        """End the lease, as the last step of a graceful stop.

        A failure of this call is only logged.
        """
        request = LeaveRequest(self.host.name, self.host.incarnation)
        try:
            await self._control.call(
                Method.KEEP_ALIVE, request, LEAVE_TIMEOUT_S
            )
        except FuchsiacartError as error:
            log_warning('leave_failed', detail=error.detail)

    def _record_revision(self):
        revision = self._views.replicated_state.revision
        self._lease.record_revision(revision)
        self._boot_lease.record_revision(revision)
