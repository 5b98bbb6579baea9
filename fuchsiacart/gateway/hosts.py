"""The gateway role: a host that forwards requests of callers by route."""

from asyncio import sleep
from asyncio import wait_for
from time import monotonic
from time import time

from fuchsiacart.adapters import Method
from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.control.states import is_live
from fuchsiacart.control_clients import ControlClient
from fuchsiacart.control_clients import rotate_addresses
from fuchsiacart.entry.limits import ContractLimiter
from fuchsiacart.gateway.budgets.client_connections import ClientConnections
from fuchsiacart.gateway.budgets.connection_limits import connection_limit
from fuchsiacart.gateway.budgets.memory_budgets import MemoryBudget
from fuchsiacart.gateway.callers import CallerServer
from fuchsiacart.gateway.forwarding import Forwarder
from fuchsiacart.gateway.probes import ReachabilityProber
from fuchsiacart.host_tasks import LeaseClient
from fuchsiacart.host_tasks import ViewReplicator
from fuchsiacart.load_boards import count_in_flight
from fuchsiacart.logs import log_event
from fuchsiacart.messages import ServiceDemand
from fuchsiacart.models import Host
from fuchsiacart.models import HostId
from fuchsiacart.ownership import find_owner
from fuchsiacart.pauses import watch_pauses
from fuchsiacart.randomness import make_random
from fuchsiacart.supervisors import Supervisor

STOP_POLL_S = 0.05
# Time after which callers have learned of the stop and use other gateways.
ACCEPT_AFTER_STOP_S = 3.0
# Reserved for closing before the process is killed.
CLOSE_MARGIN_S = 0.3


class GatewayHost:
    """A gateway with its lease, view, forwarder and server for callers.

    :param settings: the settings of the process.
    :param adapter: transport to other processes.
    :param dialect: the :class:`Dialect` of callers and backend servers.
    :param connections: the :class:`ClientConnections` of the process; None
        for some with the default limits.
    """

    def __init__(self, settings, adapter, dialect, connections=None):
        self._settings = settings
        addresses = rotate_addresses(
            settings.control_addresses, settings.host.name
        )
        self._control = ControlClient(adapter, addresses)
        self._views = ViewReplicator(adapter, addresses)
        self.connections = connections or ClientConnections(
            MemoryBudget(), connection_limit()
        )
        self.forwarder = Forwarder(settings, dialect, self.connections.budget)
        self._lease = LeaseClient(
            settings,
            self._control,
            self._views,
            ContractLimiter(),
            self.forwarder.quotas,
        )
        self.forwarder.freshness.on_outdated(self._lease.renew_soon)
        self.caller_server = CallerServer(
            self.forwarder, dialect, self.connections
        )
        self._demands_read_s = monotonic()
        self.is_stopping = False
        self._limits_listener = None
        self._gateways = ()
        # Maps server names to whether this gateway warms them up; a cache
        # that each new view clears.
        self._warmup_owned = {}
        self._is_view_confirmed = False
        self._views.on_change(self._update_view)
        self._lease.on_renewal(self._confirm_view)
        self.forwarder.suspects.on_suspect(self._lease.renew_soon)
        self.forwarder.statements.on_departure(self._lease.renew_soon)
        self.forwarder.quotas.on_demand(self._lease.renew_soon)
        self._prober = ReachabilityProber(
            self.forwarder,
            make_random(settings.seed, settings.host.name),
            self._record_isolation,
        )

    @property
    def is_ready(self):
        """True if this gateway has a configuration and is not stopping."""
        table = self.forwarder.route_table
        return bool(table and table.version) and not self.is_stopping

    def handlers(self):
        """Return the handlers of calls from other processes, by method."""
        return {Method.PULL: self._views.on_pull}

    def start(self, caller_address, peer_address):
        """Set the addresses under which others reach this gateway.

        :param caller_address: IP:port for callers.
        :param peer_address: IP:port for other processes.
        """
        host = Host(
            HostId(self._settings.host.name),
            int(time() * MILLISECONDS),
            self._settings.host.region,
            self._settings.host.failure_domain,
            caller_address,
            peer_address,
        )
        self._lease.start(host, self, lambda: self.caller_server.in_flight)

    def on_limits(self, listener):
        """Set the function that is called after each change of the view.

        :param listener: takes the :class:`CallerLimits` in force.
        """
        self._limits_listener = listener

    def add_seeds(self, addresses):
        """Add control hosts from reloaded settings.

        :param addresses: IP:port of the control hosts.
        """
        self._control.add_addresses(addresses)

    def supervisor(self):
        """Return the :class:`Supervisor` of the tasks of this gateway."""
        tree = Supervisor('gateway')
        tree.add('lease', self._lease.run)
        tree.add('view', self._run_view)
        tree.add('prober', self._prober.run)
        tree.add('callers', self.caller_server.watch)
        tree.add('start_checker', self.forwarder.start_checker.run)
        tree.add('pauses', lambda: watch_pauses(self.forwarder.pauses))
        return tree

    def loads(self):
        """Return no loads, as a gateway owns no backend servers."""
        return ()

    def draining(self):
        """Return no draining servers, as a gateway owns none."""
        return ()

    def flush_demands(self):
        """Return each :class:`ServiceDemand` since the last call."""
        now_s = monotonic()
        span_s = max(0.001, now_s - self._demands_read_s)
        self._demands_read_s = now_s
        demand = self.forwarder.demands.flush(span_s)
        return tuple(
            ServiceDemand(service, slots) for service, slots in demand.items()
        )

    def flush_evidence(self):
        """Return the :class:`ServerEvidence` since the last call."""
        return self.forwarder.evidence.flush()

    def report_suspects(self):
        """Return the :class:`SuspectReport` for the next renewal."""
        return self.forwarder.suspects.make_report()

    def merge_suspects(self, report):
        """Merge the leader's reply to the last report.

        :param report: the leader's :class:`SuspectReport`.
        """
        self.forwarder.suspects.merge(report)

    def counts(self):
        """Return the :class:`ServerCount` of each server in use."""
        return count_in_flight(self.forwarder.selector.servers)

    def leaving_servers(self):
        """Return each :class:`ServerStart` that leaves, for the leader."""
        return self.forwarder.selector.unconfirmed_departures()

    def record_loads(self, load_map, counted_ms):
        """Record what other gateways have in flight.

        :param load_map: the :class:`LoadMap`.
        :param counted_ms: about when it was counted.
        """
        self.forwarder.selector.record_loads(load_map, counted_ms)

    async def stop(self, edge):
        """Shut down gracefully within the stop time of the settings.

        Withdraws from look-ups, accepts connections until callers have
        learned of the stop, refuses requests that may outlast it, waits for
        those in flight and releases the lease.

        :param edge: the :class:`Edge` with the listeners for callers.
        """
        started_s = monotonic()
        accepts_until_s = started_s + ACCEPT_AFTER_STOP_S
        end_s = started_s + self._settings.routes.stop_s - CLOSE_MARGIN_S
        self.is_stopping = True
        self.forwarder.planned_stop.begin(accepts_until_s, end_s)
        edge.close_after_responses()
        self._lease.withdraw_from_lookups()
        await self._lease.renew()
        await sleep(max(0.0, accepts_until_s - monotonic()))
        await edge.stop_accepting()
        await self.caller_server.close_idle()
        try:
            await wait_for(
                self._wait_until_idle(), max(0.0, end_s - monotonic())
            )
        except TimeoutError:
            log_event('stop_timeout', in_flight=self.caller_server.in_flight)
        await self._lease.leave()

    async def _wait_until_idle(self):
        while self.caller_server.is_busy:
            await sleep(STOP_POLL_S)
            await self.caller_server.close_idle()

    async def _run_view(self):
        await self._views.run(self._lease.needed_revision)

    def _record_isolation(self):
        is_isolated = self.forwarder.reachability.is_isolated
        self.forwarder.apply_isolation()
        self._lease.set_isolated(is_isolated)

    def _confirm_view(self):
        if not self._is_view_confirmed:
            self._apply_view()
        self._record_lease()

    def _update_view(self):
        self._apply_view()
        self._record_lease()

    def _record_lease(self):
        if not self._lease.has_confirmed_view:
            return
        self.forwarder.freshness.record_lease(
            self._lease.confirmed_boot_ms,
            self._lease.until_boot_ms,
            self._lease.is_behind,
        )

    def _apply_view(self):
        """Serve by the present view, once the leader has confirmed one.

        The first view may come from a control host that has just started
        from its disk or is cut off, with servers that have left since.
        """
        if not self._lease.has_confirmed_view:
            return
        self._is_view_confirmed = True
        view = self._views.replicated_state
        self.forwarder.revision = view.revision
        self._gateways = tuple(host for host in view.hosts if is_live(host))
        self._warmup_owned = {}
        self.forwarder.apply_view(view.routes, len(self._gateways))
        self.forwarder.relay.apply_view(view.hosts)
        self.forwarder.selector.region_gateways = sum(
            host.region == self._settings.host.region
            for host in self._gateways
        )
        self.forwarder.selector.is_warmup_owner = self._is_warmup_owner
        if self._limits_listener is not None:
            self._limits_listener(self.forwarder.route_table.limits)

    def _is_warmup_owner(self, server):
        """Return True if this gateway is the one that warms a server up."""
        if server.name not in self._warmup_owned:
            owner = find_owner(server, self._gateways)
            self._warmup_owned[server.name] = (
                owner is not None and owner.name == self._settings.host.name
            )
        return self._warmup_owned[server.name]
