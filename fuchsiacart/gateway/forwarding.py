"""Forwards requests by route, with retries on other backend servers."""

from math import isfinite
from time import monotonic

from msgspec.structs import replace

from fuchsiacart.clocks import boot_ms
from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.clocks import steady_ms
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import RequestError
from fuchsiacart.gateway.admissions import RankedAdmission
from fuchsiacart.gateway.admissions import scale_room
from fuchsiacart.gateway.attempts import Attempts
from fuchsiacart.gateway.beliefs.health_checks import HealthChecker
from fuchsiacart.gateway.beliefs.key_checks import KeyChecker
from fuchsiacart.gateway.beliefs.key_checks import restrict_homes
from fuchsiacart.gateway.beliefs.restarts import log_restarts
from fuchsiacart.gateway.beliefs.view_freshness import ViewFreshness
from fuchsiacart.gateway.budgets.account_quotas import AccountQuotas
from fuchsiacart.gateway.budgets.memory_budgets import MemoryBudget
from fuchsiacart.gateway.budgets.retry_budgets import SharedRetryBudget
from fuchsiacart.gateway.connection_pools import ConnectionPool
from fuchsiacart.gateway.demands import DemandMeter
from fuchsiacart.gateway.dialects import Dialect
from fuchsiacart.gateway.evidence import EvidenceMeter
from fuchsiacart.gateway.gateway_selectors import GatewaySelector
from fuchsiacart.gateway.placing.placements import ServerSelector
from fuchsiacart.gateway.planned_stops import PlannedStop
from fuchsiacart.gateway.reachability import ServerReachability
from fuchsiacart.gateway.relays import Relay
from fuchsiacart.gateway.route_tables import RouteTable
from fuchsiacart.gateway.route_tables import TargetSplitter
from fuchsiacart.gateway.server_attempts import ServerSender
from fuchsiacart.gateway.server_choosers import ServerChooser
from fuchsiacart.gateway.server_statements import ServerStatements
from fuchsiacart.gateway.start_checks import StartChecker
from fuchsiacart.gateway.suspects import SuspectTracker
from fuchsiacart.gateway.trials import TrialSchedule
from fuchsiacart.pauses import PauseWatch
from fuchsiacart.randomness import make_random

# Time in which a configuration that another gateway has comes to this one.
MAX_VERSION_WAIT_MS = 200.0
# Shortest pause of this process after which its view may be outdated.
MIN_PAUSE_MS = 250.0


class Forwarder:
    """Forwards requests to the backend servers of their routes.

    :param settings: the settings of the process.
    :param dialect: the :class:`Dialect` of callers and backend servers.
    :param memory_budget: the :class:`MemoryBudget` of the process; None for
        one with the default limit.
    """

    def __init__(self, settings, dialect: Dialect, memory_budget=None):
        self._settings = settings
        self._splitter = TargetSplitter()
        self.reachability = ServerReachability()
        self.memory_budget = memory_budget or MemoryBudget()
        self._pool = ConnectionPool(self.reachability, self.memory_budget)
        self._retry_budgets = {}
        self._started_ms = steady_ms()
        self._gateway_count = 1
        self.route_table = None
        random = make_random(settings.seed, settings.host.name)
        self.selector = ServerSelector(
            settings.host.region, settings.routes.regions, random
        )
        self.statements = ServerStatements(
            self.selector.departures,
            self.selector.backoffs,
            self.selector.doubtful,
        )
        self.pauses = PauseWatch(boot_ms(), MIN_PAUSE_MS)
        self.freshness = ViewFreshness(
            settings.routes.max_view_age_ms, self.pauses.was_paused
        )
        self.demands = DemandMeter()
        self._checker = HealthChecker(dialect, self._pool, self.statements)
        self._chooser = ServerChooser(
            self.selector, self.demands, self.freshness.age, self._checker
        )
        self.start_checker = StartChecker(self.selector, self._checker)
        self.statements.on_statement(self.start_checker.check_soon)
        self.relay = Relay(
            GatewaySelector(settings.host, random),
            dialect,
            self.statements,
            self.memory_budget,
        )
        self._admission = RankedAdmission()
        self.revision = 0
        self.planned_stop = PlannedStop()
        self.keys = KeyChecker(settings.routes, self.freshness)
        self.quotas = AccountQuotas(settings)
        self.evidence = EvidenceMeter()
        self.suspects = SuspectTracker(
            settings.entry.quarantine_ms,
            settings.entry.lease_ms,
            self._pool,
            TrialSchedule(random),
        )
        self._sender = ServerSender(
            dialect,
            self._pool,
            self.reachability,
            self.demands,
            self.evidence,
            self.suspects,
            self.statements,
            self.selector.backoffs,
        )

    @property
    def version(self):
        """Version of the configuration in force, 0 for none."""
        return self.route_table.version if self.route_table else 0

    def apply_view(self, view, gateway_count):
        """Apply a new view.

        Connections to servers that are no longer in the view are closed.

        :param view: the :class:`RouteView`.
        :param gateway_count: gateways that share the retry budget.
        """
        if self.route_table is None or (
            self.route_table.version != view.configuration.version
        ):
            self.route_table = RouteTable(view.configuration)
        self._gateway_count = max(1, gateway_count)
        self.quotas.set_gateway_count(self._gateway_count)
        earlier = self.selector.servers
        self.selector.apply_view(view, self.route_table, steady_ms())
        log_restarts(earlier, view.servers)
        self._checker.apply_view(self.route_table)
        self.start_checker.check_soon()
        self._pool.retain(view.servers.values())
        self.reachability.apply_view(len(view.servers))
        if self.version:
            self.freshness.record_use()

    async def serve(self, request):
        """Forward a request and wait for its response.

        :param request: the :class:`InboundRequest`.
        :return: the :class:`ServerResponse` of a backend server.
        :raises RequestError: if the request is refused or all attempts
            failed.
        """
        if not self.version and self.planned_stop.has_begun:
            raise request.make_stop_error()
        if not self.version:
            await self.freshness.wait_for_first(request.retry_after_ms)
        await self.freshness.refresh()
        await self._check_version(request)
        route = await self._find_route(request)
        account = await self.keys.find_certainly(
            lambda: self.route_table, request, route
        )
        attempts = self._start_attempts(
            self.relay.read(request), route, account
        )
        while True:
            self._check_stop(attempts)
            response = await self._make_attempt(attempts)
            if response is not None:
                return response
            await self._check_retry(attempts)

    async def _check_retry(self, attempts):
        """Return once the next attempt may be made.

        A suspected request waits until it is known whether the server of the
        last attempt is lost.

        :raises RequestError: if no attempt may be made.
        """
        if attempts.left_s <= 0:
            raise attempts.make_deadline_error()
        if attempts.may_run_again and self.suspects.losses_in_row(
            attempts.request
        ):
            await attempts.wait_for_server_check()
        self._check_quarantine(attempts)
        if not attempts.may_try_again(self._retry_budget(attempts.service)):
            raise attempts.make_error(self._chooser.time_to_room_ms(attempts))

    async def _make_attempt(self, attempts):
        await self.freshness.refresh()
        self._update_terms(attempts)
        if self.reachability.is_isolated:
            return await self._relay(attempts)
        account = attempts.account
        if account is not None:
            await self.quotas.spend(account, attempts)
        attempts.is_refunded = True
        try:
            server = self._chooser.choose(attempts)
            if self.reachability.is_confined and not self._may_use_idle(
                server
            ):
                return await self._relay(attempts)
            server = await self._chooser.confirm(attempts, server)
            return await self._sender.make_attempt(
                attempts,
                server,
                lambda: self._may_send(attempts, server, account),
            )
        finally:
            if account is not None and attempts.is_refunded:
                self.quotas.refund(account)

    def _may_use_idle(self, server):
        """Return True if an open connection to a server may be used now."""
        return self._pool.has_idle(
            server.record
        ) and not self._chooser.is_outdated(server)

    async def _relay(self, attempts):
        return await self.relay.make_attempt(
            attempts, lambda: self._may_use(attempts)
        )

    def _may_send(self, attempts, server, account):
        """Return False if a server chosen before is no choice any more.

        :param account: the account whose quota the attempt has used.
        """
        if not self._may_use(attempts) or attempts.account != account:
            return False
        if self._chooser.is_outdated(server):
            attempts.excluded -= {server.name}
            return False
        return self.selector.accepts(server, attempts.route.home_regions)

    def _may_use(self, attempts):
        """Return False if the configuration in force refuses a request.

        Also if that is not known, as the view has become outdated since.
        """
        self._record_view_age(attempts)
        if self.freshness.needs_wait(boot_ms()):
            return False
        try:
            self._update_terms(attempts)
        except RequestError:
            # The next attempt refuses it for the same reason.
            return False
        return True

    def _record_view_age(self, attempts):
        age_ms = self.freshness.age.age_ms(boot_ms())
        attempts.revision = self.revision
        attempts.view_age_ms = int(age_ms) if isfinite(age_ms) else -1

    def find_room(self, service, rank, left_s):
        """Return the load per slot up to which a server takes a request.

        :param service: its service.
        :param rank: its rank.
        :param left_s: seconds left to meet its objective.
        """
        room = self.demands.max_requests_per_slot(service, left_s)
        urgency = self._admission.urgency(service, rank, steady_ms())
        return scale_room(room, urgency)

    async def can_connect(self, record, timeout_s):
        """See :meth:`ConnectionPool.can_connect`."""
        return await self._pool.can_connect(record, timeout_s)

    def apply_isolation(self):
        """Act on a change of ``reachability``.

        Connections opened before may be dead without a sign of it, and what
        failed meanwhile says nothing about the servers.
        """
        if self.reachability.is_isolated:
            self._pool.retain(())
        else:
            self.selector.end_suspensions()

    def _start_attempts(self, request, route, account):
        service = self._splitter.choose(route)
        attempts = Attempts(
            request, route, service, version=self.version, account=account
        )
        self._check_quarantine(attempts)
        if self.reachability.is_isolated:
            # The gateway that sends it to a server counts it.
            return attempts
        now_ms = steady_ms()
        rank = attempts.rank
        self._admission.record_arrival(service, rank, now_ms)
        attempts.urgency = self._admission.urgency(service, rank, now_ms)
        self._retry_budget(service).record_request(now_ms)
        self.demands.record_arrival(service)
        return attempts

    async def _check_version(self, request):
        """Act by no older configuration than the gateway that relayed it.

        :raises RequestError: if the configuration does not come in time.
        """
        version = self.relay.needed_version(request)
        if version <= self.version:
            return
        await self.freshness.wait_for_use(
            lambda: version <= self.version,
            min(MAX_VERSION_WAIT_MS, request.retry_after_ms),
        )
        if version > self.version:
            raise request.make_stale_error()

    async def _find_route(self, request):
        """Return the route of a request.

        :raises RequestError: if there is none, or if that is not certain.
        """
        route = self._look_up_route(request)
        if route is None and not self._may_deny():
            await self.freshness.wait_until_caught_up(request.retry_after_ms)
            route = self._look_up_route(request)
        if route is not None:
            return route
        if not self._may_deny():
            raise request.make_stale_error()
        raise RequestError(request.path, ErrorKind.NOT_FOUND)

    def _update_terms(self, attempts):
        """Apply the account and the home regions in force.

        Both may have changed meanwhile.  A route that no longer sends requests
        to the service says nothing about where the service may run them.

        :raises RequestError: if the request may not run any more.
        """
        request, route = attempts.request, attempts.route
        if attempts.version != self.version:
            found = self._look_up_route(request)
            if found is not None and found.has_target(attempts.service):
                route = found
                attempts.version = self.version
        try:
            account = self.keys.find_account(self.route_table, request, route)
            homes = restrict_homes(route, account, request)
        except RequestError as error:
            if attempts.may_have_run:
                raise attempts.make_error(None) from error
            raise
        attempts.account = account
        attempts.has_accounts = bool(self.route_table.accounts)
        attempts.route = replace(
            attempts.route, home_regions=homes, is_public=route.is_public
        )

    def _may_deny(self):
        return bool(self.version) and self.freshness.is_current(boot_ms())

    def _look_up_route(self, request):
        if not self.version:
            return None
        return self.route_table.find(request.host_name, request.path)

    def _check_quarantine(self, attempts):
        if self.suspects.admit(attempts.request, self._gateway_count):
            return
        if attempts.may_have_run:
            raise attempts.make_error(None)
        raise RequestError(
            'it broke the servers that ran it',
            ErrorKind.NO_BACKEND,
            retry_after_ms=attempts.request.retry_after_ms,
        )

    def _check_stop(self, attempts):
        """Start no attempt that the end of this gateway may cut off."""
        usual_ms = self.demands.mean_service_ms(attempts.service)
        if self.planned_stop.may_start(
            monotonic(), attempts.deadline_s, usual_ms / MILLISECONDS
        ):
            return
        if attempts.may_have_run:
            raise attempts.make_error(None)
        raise attempts.request.make_stop_error()

    def _retry_budget(self, service):
        if service not in self._retry_budgets:
            self._retry_budgets[service] = SharedRetryBudget(
                self._settings.routes, self._started_ms
            )
        budget = self._retry_budgets[service]
        budget.gateway_count = self._gateway_count
        return budget
