"""Control service: answers entry hosts and operators, and leads."""

from asyncio import sleep
from time import monotonic

from msgspec.structs import replace

from fuchsiacart.adapters import Method
from fuchsiacart.builds import build_name
from fuchsiacart.clocks import steady_ms
from fuchsiacart.clocks import wall_ms
from fuchsiacart.control.claim_states import claim_name
from fuchsiacart.control.commands import JoinHost
from fuchsiacart.control.commands import LeaveHost
from fuchsiacart.control.commands import MarkInForce
from fuchsiacart.control.departures import record_departures
from fuchsiacart.control.disk_formats import FORMAT
from fuchsiacart.control.gateway_reports import GatewayReports
from fuchsiacart.control.limit_shares import ShareLedger
from fuchsiacart.control.message_checks import check_message
from fuchsiacart.control.order_checks import confirm_caller
from fuchsiacart.control.outcomes import Outcome
from fuchsiacart.control.pulls import answer_pull
from fuchsiacart.control.replacements import replace_replica
from fuchsiacart.control.status_builders import HostReport
from fuchsiacart.control.status_builders import REPORT_STALE_MS
from fuchsiacart.control.status_builders import StatusBuilder
from fuchsiacart.control.statuses import ReplicaStatus
from fuchsiacart.control.statuses import Status
from fuchsiacart.control.weight_steering import WeightSteering
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.leases import LeaseTable
from fuchsiacart.leases import RelayTree
from fuchsiacart.logs import log_event
from fuchsiacart.messages import ClaimQuery
from fuchsiacart.messages import Deliver
from fuchsiacart.messages import Done
from fuchsiacart.messages import KeepAliveReply
from fuchsiacart.messages import LeaveRequest
from fuchsiacart.messages import ProposeReply
from fuchsiacart.metrics import COMMIT_INDEX
from fuchsiacart.metrics import IS_LEADER
from fuchsiacart.metrics import REVISION
from fuchsiacart.metrics import TERM
from fuchsiacart.metrics import VOTERS

RELAY_FAN_OUT = 8
RELAY_TIMEOUT_S = 2.0
WATCH_INTERVAL_S = 0.1


class ControlService:
    """Answers operators and entry hosts on a control host.

    Leases, shares and reports are kept in memory by the leader only.

    :param settings: the settings of the process.
    :param replica: the :class:`ReplicaTask` of this host.
    :param adapter: transport to other control hosts.
    """

    def __init__(self, settings, replica, adapter):
        self._settings = settings
        self._replica = replica
        self._adapter = adapter
        self._term = 0
        self._leases = None
        self._ledger = None
        self._reports = {}
        self._gateway_reports = GatewayReports(settings)
        self._tree = None
        self._tree_revision = 0
        self._drained_ms = {}
        self._request_handlers = {ClaimQuery: self._find_claim}
        self._steering = WeightSteering(settings.control, replica)

    def register_handler(self, kind, handler):
        """Register a handler for a type of request to the leader.

        :param kind: the type of the request.
        :param handler: coroutine function that takes the request and
            returns the reply.
        """
        self._request_handlers[kind] = handler

    def handlers(self):
        """Return the handlers of calls from other processes, by method."""
        return {
            Method.DELIVER: self.on_deliver,
            Method.KEEP_ALIVE: self.on_keep_alive,
            Method.PROPOSE: self.on_propose,
            Method.PULL: self.on_pull,
        }

    async def on_deliver(self, request):
        """Pass a message of the replicated log to the replica.

        :return: a :class:`Deliver` with the response, or :class:`Done`.
        :raises UndecodedError: if this build cannot apply what it brings.
        """
        check_message(request.message)
        response = await self._replica.respond(request.message)
        return Done() if response is None else Deliver(response)

    async def on_keep_alive(self, request):
        """Renew the lease of an entry host, or end it if the host leaves.

        A control host that does not lead relays the request to the leader.

        :raises ChangeError: if a newer incarnation of the host is known, or
            leadership cannot be confirmed.
        """
        if not self._replica.is_leader:
            return await self._relay(Method.KEEP_ALIVE, request)
        self._reset_on_new_term()
        if isinstance(request, LeaveRequest):
            return await self._end_lease(request)
        now_ms = steady_ms()
        host = request.host
        existing = self._replica.replicated_state.stored.hosts.get(host.name)
        if existing is not None and existing.incarnation > host.incarnation:
            raise ChangeError(
                'a newer incarnation of this host is known',
                ErrorKind.CONFLICT,
            )
        self._leases.renew(host, request.revision, now_ms)
        self._reports[host.name] = HostReport(request, now_ms)
        self._gateway_reports.add_report(request, now_ms)
        if existing == host:
            await self._replica.confirm_leadership()
        else:
            # Its commit confirms the leadership too.
            await self._replica.propose(JoinHost(host, wall_ms()))
        stored = self._replica.replicated_state.stored
        contracts = [item.contract for item in stored.contracts.values()]
        # Once all hosts have reported the shares that they hold, new ones can
        # be granted without exceeding a limit.
        if stored.hosts.keys() <= self._reports.keys():
            self._ledger.start_granting()
        shares = self._ledger.grant(
            host.name, contracts, request.demands, request.shares, now_ms
        )
        parents = self._relay_tree().parents(host.name)
        return KeepAliveReply(
            self._settings.entry.lease_ms,
            stored.revision,
            shares,
            parents,
            self._replica.leader_address,
            self._replica.member_addresses,
            self._gateway_reports.suspect_report(),
            self._gateway_reports.load_map(host, stored, now_ms),
            self._gateway_reports.grant_quotas(request, stored, now_ms),
        )

    async def on_propose(self, request):
        """Commit a command or answer a query for another process.

        A control host that does not lead relays the request to the leader,
        at most once.
        """
        if not self._replica.is_leader:
            if request.relayed:
                raise ChangeError('no leader is known', ErrorKind.NO_QUORUM)
            request = replace(request, relayed=True)
            return await self._relay(Method.PROPOSE, request)
        handler = self._request_handlers.get(type(request))
        if handler is not None:
            return await handler(request)
        outcome = await self._replica.propose(
            request.command, seen_index=request.seen_index
        )
        return ProposeReply(outcome)

    async def on_pull(self, request):
        """See :func:`answer_pull`."""
        return await answer_pull(self._replica, request)

    async def commit(self, command, has_left):
        """Commit an operator's change, if the operator still waits.

        :param command: the command that holds the change.
        :param has_left: function that returns True once the operator waits
            no longer.
        :return: its :class:`Outcome`.
        :raises ChangeError: if this host does not lead, the change may be
            outdated or is refused, or its outcome is unknown.
        """
        if not self._replica.is_leader:
            raise ChangeError(
                'this control host does not lead', ErrorKind.NO_QUORUM
            )
        seen_index = await confirm_caller(self._replica, has_left)
        outcome = await self._replica.propose(command, seen_index=seen_index)
        if outcome.error is not None:
            raise ChangeError(outcome.detail, outcome.error)
        log_event(
            'change_accepted',
            change=command.change.change_id,
            actor=command.change.actor,
            kind=type(command).__name__,
            version=outcome.version,
            revision=outcome.revision,
        )
        return outcome

    async def current_state(self):
        """Return the replicated state once a quorum confirms leadership."""
        await self._replica.confirm_leadership()
        return self._replica.replicated_state.stored

    async def drain_progress(self):
        """Return the :class:`DrainProgress` of each drain."""
        await self._replica.confirm_leadership()
        self._reset_on_new_term()
        drains = self._replica.replicated_state.stored.drains
        builder = self._status_builder()
        return [builder.drain_progress(drain) for drain in drains]

    async def status(self):
        """Return the :class:`Status` of the whole system."""
        drains = await self.drain_progress()
        stored = self._replica.replicated_state.stored
        builder = self._status_builder()
        return Status(
            self._replica.replica,
            self._replica.state.term,
            stored.revision,
            stored.in_force_revision,
            tuple(map(builder.region_status, builder.region_loads())),
            tuple(map(builder.host_status, self._sessions())),
            tuple(drains),
            stored.weights,
            len(stored.contracts),
            len(stored.claims),
        )

    def fresh_reports(self):
        """Return the latest keep-alive request of each host, if not stale."""
        now_ms = steady_ms()
        return tuple(
            report.request
            for report in self._reports.values()
            if now_ms - report.received_ms < REPORT_STALE_MS
        )

    def replica_status(self):
        """Return the state of this replica as it knows it; needs no quorum."""
        state = self._replica.state
        return ReplicaStatus(
            self._replica.replica,
            state.leader or '',
            state.term,
            state.last_index,
            state.commit_index,
            self._replica.is_blank,
            state.group,
            build_name(),
            FORMAT,
        )

    async def bootstrap(self, group):
        """Set the initial members of this blank control host.

        :param group: the members; this replica must be one of the voters.
        :raises ChangeError: if it is not, or other members are set already.
        """
        if self._replica.replica not in group.voters:
            raise ChangeError(
                'this replica is not among the voters', ErrorKind.BAD_REQUEST
            )
        await self._replica.bootstrap(group)

    async def replace_replica(self, replacement):
        """Replace a voter; see :func:`replace_replica`."""
        await replace_replica(self._replica, replacement)

    async def watch(self):
        """Expire leases, mark revisions in force and steer while leading."""
        steer_interval_s = self._settings.control.steer_interval_ms / 1000
        next_steer_at_s = 0.0
        while True:
            await sleep(WATCH_INTERVAL_S)
            self._export_metrics()
            if not self._replica.is_leader:
                next_steer_at_s = monotonic() + steer_interval_s
                continue
            self._reset_on_new_term()
            servers = self._replica.replicated_state.stored.routes.servers
            self._gateway_reports.log_outliers(servers, steady_ms())
            try:
                departures = self._gateway_reports.departures
                await record_departures(self._replica, departures)
                await self._expire_leases()
                await self._mark_in_force()
                if self._settings.routes is not None:
                    continue
                if monotonic() >= next_steer_at_s:
                    next_steer_at_s = monotonic() + steer_interval_s
                    loads = self._status_builder().region_loads()
                    await self._steering.steer(loads)
            except ChangeError as error:
                log_event('leader_command_refused', detail=error.detail)

    async def _relay(self, method, request):
        address = self._replica.leader_address
        own = self._replica.replica
        if not address or self._replica.state.leader == own:
            raise ChangeError('no leader is known', ErrorKind.NO_QUORUM)
        return await self._adapter.call(
            address, method, request, RELAY_TIMEOUT_S
        )

    def _relay_tree(self):
        """Return the relay tree for the current revision."""
        stored = self._replica.replicated_state.stored
        if self._tree is None or self._tree_revision != stored.revision:
            self._tree = RelayTree(
                stored.hosts.values(),
                self._replica.member_addresses,
                RELAY_FAN_OUT,
            )
            self._tree_revision = stored.revision
        return self._tree

    def _reset_on_new_term(self):
        """Reset leases, shares and reports when a new term has begun."""
        term = self._replica.state.term
        if term == self._term:
            return
        self._term = term
        lease_ms = self._settings.entry.lease_ms
        now_ms, stored = steady_ms(), self._replica.replicated_state.stored
        self._leases = LeaseTable(lease_ms, stored.hosts.values(), now_ms)
        self._ledger = ShareLedger(lease_ms, now_ms + lease_ms)
        self._reports = {}
        self._gateway_reports = GatewayReports(self._settings)

    async def _end_lease(self, request):
        await self._replica.propose(
            LeaveHost(request.name, request.incarnation, wall_ms())
        )
        self._leases.remove(request.name)
        self._reports.pop(request.name, None)
        return Done()

    async def _find_claim(self, query):
        await self._replica.confirm_leadership()
        claims = self._replica.replicated_state.stored.claims
        record = claims.get(claim_name(query.customer, query.key))
        return ProposeReply(Outcome(record=record))

    async def _expire_leases(self):
        for host in self._leases.expired(steady_ms()):
            log_event('lease_expired', host=host.name)
            await self._replica.propose(
                LeaveHost(host.name, host.incarnation, wall_ms())
            )
            self._leases.remove(host.name)
            self._reports.pop(host.name, None)

    async def _mark_in_force(self):
        stored = self._replica.replicated_state.stored
        newest_revision = next(
            (
                entry.outcome.revision
                for entry in reversed(stored.audit)
                if entry.outcome.revision
            ),
            0,
        )
        if newest_revision <= stored.in_force_revision:
            return
        revision = self._leases.revision_in_force(stored.revision, steady_ms())
        if revision <= stored.in_force_revision:
            return
        await self._replica.propose(MarkInForce(revision, wall_ms()))
        log_event('revision_in_force', revision=revision)

    def _sessions(self):
        if self._leases is None:
            return ()
        return self._leases.sessions()

    def _status_builder(self):
        return StatusBuilder(
            self._replica.replicated_state.stored,
            self._reports,
            self._sessions(),
            self._drained_ms,
        )

    def _export_metrics(self):
        state = self._replica.state
        TERM.set(state.term)
        IS_LEADER.set(int(self._replica.is_leader))
        COMMIT_INDEX.set(state.commit_index)
        VOTERS.set(len(state.group.voters))
        REVISION.set(self._replica.replicated_state.stored.revision)
