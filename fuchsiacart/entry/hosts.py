"""The entry role: the components and tasks of an entry host."""

from asyncio import gather
from asyncio import sleep
from asyncio import wait_for
from time import time

from tornado.web import Application

from fuchsiacart.adapters import Method
from fuchsiacart.clocks import steady_ms
from fuchsiacart.clocks import wall_ms
from fuchsiacart.control.states import is_live
from fuchsiacart.control_clients import ControlClient
from fuchsiacart.entry.announcements import AnnounceHandler
from fuchsiacart.entry.announcements import Registrar
from fuchsiacart.entry.backends import BackendClient
from fuchsiacart.entry.callers import LookupHandler
from fuchsiacart.entry.callers import RequestsHandler
from fuchsiacart.entry.claims import NullClaimStore
from fuchsiacart.entry.claims import ReplicatedClaimStore
from fuchsiacart.entry.coordinators import Components
from fuchsiacart.entry.coordinators import Coordinator
from fuchsiacart.entry.dispatch import Dispatcher
from fuchsiacart.entry.gossip import Gossip
from fuchsiacart.entry.limits import ContractLimiter
from fuchsiacart.entry.lookups import LookupTable
from fuchsiacart.entry.queues import FifoScheduler
from fuchsiacart.entry.queues import RankScheduler
from fuchsiacart.entry.routing import PowerOfTwoRouter
from fuchsiacart.entry.routing import RoundRobinRouter
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import RequestError
from fuchsiacart.host_tasks import LeaseClient
from fuchsiacart.host_tasks import ViewReplicator
from fuchsiacart.logs import log_event
from fuchsiacart.messages import GossipReply
from fuchsiacart.messages import GossipRequest
from fuchsiacart.messages import Summary
from fuchsiacart.metrics import MetricsHandler
from fuchsiacart.models import Host
from fuchsiacart.models import HostId
from fuchsiacart.ownership import Ownership
from fuchsiacart.quarantine import Quarantine
from fuchsiacart.randomness import make_random
from fuchsiacart.retries import BudgetedRetry
from fuchsiacart.retries import EagerRetry
from fuchsiacart.settings import Policy
from fuchsiacart.supervisors import Supervisor

GOSSIP_TIMEOUT_S = 1.0
SUSPECT_TIMEOUT_S = 0.3
SUSPECT_PEERS = 16
OTHER_HOSTS = 3
STOP_POLL_S = 0.05


class EntryHost:
    """An entry host with its components and tasks.

    :param settings: the settings of the process.
    :param adapter: transport to other processes.
    """

    def __init__(self, settings, adapter):
        self._settings = settings
        self._adapter = adapter
        self._random = make_random(settings.seed, settings.host.name)
        is_full_policy = settings.entry.policy is Policy.FULL
        addresses = [host.peer_address for host in settings.control_hosts]
        control = ControlClient(adapter, addresses)
        name = HostId(settings.host.name)
        self._limits = ContractLimiter()
        self._views = ViewReplicator(adapter, addresses)
        self._lease = LeaseClient(settings, control, self._views, self._limits)
        self._client = BackendClient(settings.entry.connect_timeout_ms)
        self._dispatcher = Dispatcher(
            settings.entry,
            self._client,
            RankScheduler if is_full_policy else FifoScheduler,
        )
        self._ownership = Ownership(name, settings.entry.lease_ms)
        self._registrar = Registrar(
            settings,
            self._lease,
            self._views,
            self._ownership,
            self._dispatcher,
            adapter,
        )
        self._gossip = Gossip(name, settings.host.region, self._random)
        self._quarantine = Quarantine(settings.entry.quarantine_ms)
        groups = {'': control} | {
            group.home: ControlClient(
                adapter, [host.peer_address for host in group.hosts]
            )
            for group in settings.entry.claim_groups
        }
        self._claims = (
            ReplicatedClaimStore(groups, name)
            if is_full_policy
            else NullClaimStore()
        )
        router = RoundRobinRouter()
        if is_full_policy:
            router = PowerOfTwoRouter(self._random)
        self._coordinator = Coordinator(
            settings,
            Components(
                self._lease,
                self._views,
                self._limits,
                self._claims,
                router,
                BudgetedRetry() if is_full_policy else EagerRetry(),
                self._quarantine,
                self._gossip,
                self._dispatcher,
                adapter,
                self._notify_suspect,
            ),
        )
        self._sequence = 0
        self._lookup_table = None
        self._views.on_change(self._apply_view)
        self._apply_view()

    @property
    def backend_digest(self):
        """SHA-256 digest of the token of the backend servers."""
        return self._settings.tokens.backend_sha256

    def application(self):
        """Return the web application for callers and backend servers."""
        context = {'entry': self}
        routes = [
            ('/v1/lookup', LookupHandler, context),
            ('/v1/announce', AnnounceHandler, context),
            ('/metrics', MetricsHandler),
            ('/s/([^/]+)(/.*)', RequestsHandler, context),
        ]
        return Application(routes, log_function=lambda handler: None)

    def handlers(self):
        """Return the handlers of calls from other processes, by method."""
        return {
            Method.PULL: self._views.on_pull,
            Method.GOSSIP: self._on_gossip,
            Method.ANNOUNCE: self._registrar.on_announce,
            Method.FORWARD: self._on_forward,
        }

    def start(self, http_address, peer_address):
        """Set the addresses under which others reach this host.

        :param http_address: IP:port for callers and backend servers.
        :param peer_address: IP:port for other processes.
        """
        host = Host(
            HostId(self._settings.host.name),
            int(time() * 1000),
            self._settings.host.region,
            self._settings.host.failure_domain,
            http_address,
            peer_address,
        )
        self._lease.start(host, self._dispatcher, self._in_flight)

    def supervisor(self):
        """Return the :class:`Supervisor` of the tasks of this host."""
        tree = Supervisor('entry')
        tree.add('lease', self._lease.run)
        tree.add('view', self._run_view)
        tree.add('gossip', self._run_gossip)
        tree.add('dispatch', self._dispatcher.sweep)
        tree.add('metrics', self._dispatcher.export_metrics)
        return tree

    def look_up(self, service, client):
        """Answer a look-up.

        :param service: the service that the caller wants.
        :param client: the caller's IP address, or an empty string.
        :return: the :class:`LookupAnswer`.
        :raises RequestError: if this host holds no lease, the address is
            invalid or no entry host is live in the region.
        """
        if not self._lease.holds():
            raise RequestError('no lease is held', ErrorKind.STALE)
        try:
            answer = self._lookup_table.look_up(service, client)
        except ValueError as error:
            raise RequestError(str(error), ErrorKind.BAD_REQUEST) from error
        if not answer.hosts:
            raise RequestError(
                f'no entry host in region {answer.region}',
                ErrorKind.NO_BACKEND,
                retry_after_ms=answer.ttl_ms,
            )
        return answer

    async def handle(self, request):
        """Serve a caller's request; see :meth:`Coordinator.handle`."""
        return await self._coordinator.handle(request)

    async def announce(self, request):
        """Register a backend server; see :meth:`Registrar.announce`."""
        return await self._registrar.announce(request)

    def rank_label(self, request):
        """Return the rank of a request as a label for metrics."""
        view = self._views.replicated_state
        contract = view.contract_for_token(request.token)
        if contract is None:
            return 'none'
        route = contract.find_route(
            request.service, request.method, request.path.partition('?')[0]
        )
        return route.rank.value if route else 'none'

    def other_hosts(self):
        """Return addresses of at most ``OTHER_HOSTS`` random entry hosts.

        Callers that this host refuses may try them instead.
        """
        own = self._settings.host.name
        hosts = [
            host.http_address
            for host in self._views.replicated_state.hosts
            if host.name != own and is_live(host)
        ]
        count = min(OTHER_HOSTS, len(hosts))
        return tuple(self._random.sample(hosts, count))

    async def stop(self):
        """Shut down gracefully.

        Withdraws from look-ups, waits until the answers that callers cache
        have expired, waits for the requests in flight within the timeout and
        releases the lease.
        """
        self._lease.withdraw_from_lookups()
        await self._lease.renew()
        await sleep(self._settings.entry.lookup_ttl_ms / 1000)
        timeout_s = self._settings.entry.stop_timeout_ms / 1000
        try:
            await wait_for(self._wait_until_idle(), timeout_s)
        except TimeoutError:
            log_event('stop_timeout', in_flight=self._in_flight())
        await self._claims.wait_settled()
        await self._lease.leave()

    def close(self):
        """Close the HTTP client for backend servers."""
        self._client.close()

    def _in_flight(self):
        return self._coordinator.in_flight + self._dispatcher.in_flight()

    async def _wait_until_idle(self):
        while self._in_flight():
            await sleep(STOP_POLL_S)

    async def _run_view(self):
        await self._views.run(self._lease.needed_revision)

    def _apply_view(self):
        view = self._views.replicated_state
        self._lookup_table = LookupTable(
            view,
            self._settings.host.region,
            self._settings.entry.lookup_ttl_ms,
            {group.home for group in self._settings.entry.claim_groups},
        )
        self._registrar.apply_view()
        self._gossip.retain({host.name for host in view.hosts})

    async def _run_gossip(self):
        while True:
            await sleep(self._settings.entry.gossip_ms / 1000)
            self._update_own_summary()
            peers = self._gossip.peers(self._views.replicated_state.hosts)
            await gather(*(self._gossip_with(peer) for peer in peers))

    def _update_own_summary(self):
        self._sequence += 1
        host = self._lease.host
        loads = self._dispatcher.loads() if self._lease.holds() else ()
        summary = Summary(host.name, host.incarnation, self._sequence, loads)
        self._gossip.set_own(summary, steady_ms())

    async def _gossip_with(self, peer):
        request = GossipRequest(
            self._gossip.summaries(), self._quarantine.suspects(wall_ms())
        )
        try:
            reply = await self._adapter.call(
                peer.peer_address, Method.GOSSIP, request, GOSSIP_TIMEOUT_S
            )
        except FuchsiacartError:
            return
        self._merge(reply)

    async def _on_gossip(self, request):
        self._merge(request)
        return GossipReply(
            self._gossip.summaries(), self._quarantine.suspects(wall_ms())
        )

    def _merge(self, message):
        self._gossip.merge(message.summaries, steady_ms())
        self._quarantine.merge(message.suspects, wall_ms())

    async def _on_forward(self, request):
        if not self._lease.holds():
            raise RequestError('no lease is held', ErrorKind.STALE)
        return await self._dispatcher.submit(request)

    async def _notify_suspect(self, suspect):
        """Send a suspect to other hosts before its next attempt.

        Hosts of this host's region come first; at most ``SUSPECT_PEERS``
        hosts are notified.
        """
        own = self._settings.host
        hosts = [
            host
            for host in self._views.replicated_state.hosts
            if host.name != own.name
        ]
        hosts.sort(key=lambda host: host.region != own.region)
        request = GossipRequest((), (suspect,))
        calls = [
            self._adapter.call(
                host.peer_address, Method.GOSSIP, request, SUSPECT_TIMEOUT_S
            )
            for host in hosts[:SUSPECT_PEERS]
        ]
        await gather(*calls, return_exceptions=True)
