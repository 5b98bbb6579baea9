"""Control of routes: orders, server registration and look-ups."""

from asyncio import sleep
from asyncio import wait_for
from time import monotonic

from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.clocks import steady_ms
from fuchsiacart.clocks import wall_ms
from fuchsiacart.control.cold_reports import ColdReports
from fuchsiacart.control.commands import ChangeConfiguration
from fuchsiacart.control.commands import ForgetServer
from fuchsiacart.control.commands import RecordServer
from fuchsiacart.control.commands import SetEvacuation
from fuchsiacart.control.directory import find_gateways
from fuchsiacart.control.ended_starts import plan_departure
from fuchsiacart.control.ended_starts import plan_expiry
from fuchsiacart.control.order_checks import CLOSE_NOTICE_S
from fuchsiacart.control.order_checks import confirm_caller
from fuchsiacart.control.read_batches import ReadBatches
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import Run
from fuchsiacart.logs import log_event
from fuchsiacart.messages import ConfigurationQuery
from fuchsiacart.messages import ConfigurationReply
from fuchsiacart.messages import Done
from fuchsiacart.messages import ProposeRequest
from fuchsiacart.messages import ServersHeard
from fuchsiacart.models import BackendServerId
from fuchsiacart.servers import is_redundant
from fuchsiacart.servers import ServerStart

# Clients of the control interface time out after one second, later if they
# have sent a large body.
ANSWER_TIMEOUT_S = 0.9
ITEM_TIMEOUT_S = 0.003
RETRY_PAUSE_S = 0.05
REPORT_INTERVAL_S = 1.0
# Heartbeat intervals without a heartbeat after which a server is removed.
MISSED_HEARTBEATS = 5
# A leader that was paused for longer may have missed reports of heartbeats.
MAX_PAUSE_MS = 2000.0


class RouteControl:
    """Serves operators, backend servers and look-ups on a control host.

    :param settings: the settings of the process.
    :param replica: the :class:`ReplicaTask` of this host.
    :param service: the :class:`ControlService`, which relays requests to the
        leader.
    """

    def __init__(self, settings, replica, service):
        self._settings = settings
        self._replica = replica
        self._service = service
        self._reads = ReadBatches(self._read_configuration)
        self._cold_reports = ColdReports()
        self._last_heartbeat_ms = {}
        self._unreported_names = set()
        self._watching_since_ms = None
        service.register_handler(
            ConfigurationQuery, self._on_configuration_query
        )
        service.register_handler(ServersHeard, self._on_servers_heard)

    @property
    def lookup_ttl_s(self):
        """Return the seconds for which callers may cache a look-up."""
        return self._settings.routes.lookup_ttl_s

    @property
    def routes(self):
        """Return the :class:`RouteState` that this host has applied so far."""
        return self._replica.replicated_state.stored.routes

    async def change_configuration(self, order):
        """Commit a configuration order.

        :param order: the :class:`ConfigurationOrder`.
        :raises ChangeError: if it is refused or its outcome is unknown.
        """
        outcome = await self._commit(
            ChangeConfiguration(order, wall_ms()),
            ANSWER_TIMEOUT_S + ITEM_TIMEOUT_S * len(order.items),
        )
        log_event(
            'configuration_order',
            version=order.version,
            parent_version=order.parent_version,
            accepted=outcome.error is None,
            detail=outcome.detail,
            revision=outcome.revision,
        )
        if outcome.error is not None:
            raise ChangeError(outcome.detail, outcome.error)

    async def read_configuration(self):
        """Return the current configuration.

        :raises ChangeError: if no quorum confirms that it is current in time.
        """
        return await self._reads.read()

    async def set_evacuation(self, domain, evacuated, has_left):
        """Start or end the evacuation of a failure domain.

        :param domain: the failure domain.
        :param evacuated: True to start, False to end it.
        :param has_left: function that returns True once the operator waits
            no longer.
        :raises ChangeError: if the order may be outdated (not run), or its
            outcome is unknown.
        """
        outcome = await self._commit_current(
            SetEvacuation(domain, evacuated, wall_ms()), has_left
        )
        log_event(
            'evacuation_order',
            failure_domain=domain,
            evacuated=evacuated,
            revision=outcome.revision,
        )

    async def register(self, record):
        """Record a heartbeat of a backend server.

        :param record: the :class:`ServerRecord`.
        :raises ChangeError: if this host may be partitioned from the leader,
            or a change of the server cannot be committed.
        """
        if not self._replica.has_contact():
            raise ChangeError('no leader is heard', ErrorKind.NO_QUORUM)
        self._last_heartbeat_ms[record.name] = steady_ms()
        self._unreported_names.add(record.name)
        proposed_ms = steady_ms()
        current = self.routes.servers.get(record.name)
        left_ms = self._cold_reports.left_ms(current, proposed_ms)
        if is_redundant(current, record, left_ms):
            return
        outcome = await self._commit(RecordServer(record, wall_ms()))
        self._cold_reports.record(record, proposed_ms)
        log_event(
            'server_recorded',
            server=record.name,
            service=record.service,
            address=record.address,
            state=record.state.value,
            born_ms=record.born_ms,
            sequence=record.sequence,
            cold_ms=record.cold_ms,
            counted_ms=-1 if left_ms is None else int(left_ms),
            revision=outcome.revision,
        )

    async def deregister(self, name, born_ms, has_left):
        """Remove a backend server that announces that it leaves.

        Its start is ended also if it is not registered, or not any more.

        :param name: the server.
        :param born_ms: its start time; 0 if it is not known, in which case a
            later start must not be meant.
        :param has_left: function that returns True once the server waits no
            longer.
        :raises ChangeError: if the change may be outdated (not run) or
            cannot be committed.
        """
        if not born_ms:
            command = ForgetServer(name, born_ms, True, wall_ms())
            await self._commit_current(command, has_left)
            born_ms = self.routes.latest_born_ms(name)
        start = ServerStart(BackendServerId(name), born_ms)
        is_known = not born_ms or self.routes.has_ended(start)
        if not is_known:
            await self._commit_departure(start)
        log_event(
            'server_left', server=name, born_ms=born_ms, was_known=is_known
        )

    def find_gateways(self, region, domain, caller):
        """Return the addresses of the gateways nearest to a caller.

        :param region: region of the caller.
        :param domain: failure domain of the caller.
        :param caller: IP address of the caller.
        """
        hosts = self._replica.replicated_state.stored.hosts.values()
        return find_gateways(hosts, region, domain, caller)

    async def run(self):
        """Report heartbeats to the leader, or expire servers while leading."""
        while True:
            started_ms = steady_ms()
            await sleep(REPORT_INTERVAL_S)
            names, self._unreported_names = self._unreported_names, set()
            if not self._replica.is_leader:
                self._watching_since_ms = None
                await self._report_heartbeats(names)
                continue
            was_paused = steady_ms() - started_ms > MAX_PAUSE_MS
            if was_paused or self._watching_since_ms is None:
                self._watching_since_ms = steady_ms()
            await self._expire_servers()

    async def _report_heartbeats(self, names):
        if not names:
            return
        try:
            await self._service.on_propose(ServersHeard(tuple(names)))
        except FuchsiacartError as error:
            log_event('heartbeats_not_reported', detail=error.detail)

    async def _expire_servers(self):
        """Remove the servers whose heartbeats no control host has received.

        Time before this host began to watch as the leader does not count.
        """
        limit_ms = self._settings.routes.heartbeat_s * MILLISECONDS
        limit_ms *= MISSED_HEARTBEATS
        now_ms = steady_ms()
        for record in tuple(self.routes.servers.values()):
            last_heartbeat_ms = self._last_heartbeat_ms.get(record.name, 0.0)
            silent_ms = now_ms - max(
                last_heartbeat_ms, self._watching_since_ms
            )
            if silent_ms < limit_ms:
                continue
            if not self._replica.has_contact():
                return
            try:
                await self._replica.propose(plan_expiry(record, wall_ms()))
            except ChangeError as error:
                log_event('server_not_expired', detail=error.detail)
                return
            log_event(
                'server_expired', server=record.name, silent_ms=int(silent_ms)
            )

    async def _on_servers_heard(self, request):
        now_ms = steady_ms()
        for name in request.names:
            self._last_heartbeat_ms[name] = now_ms
        return Done()

    async def _on_configuration_query(self, request):
        await self._replica.confirm_leadership(ANSWER_TIMEOUT_S)
        return ConfigurationReply(self.routes.configuration)

    async def _read_configuration(self):
        reply = await self._call_leader(ConfigurationQuery())
        return reply.configuration

    async def _commit_current(self, command, has_left):
        """Commit an order without version or age if its caller still waits.

        If the leader takes it for outdated, as a new one does with all that
        was read before its election, it is checked anew while there is time.

        :param command: the command.
        :param has_left: function that returns True once the caller is gone.
        :return: the :class:`Outcome`.
        :raises ChangeError: if the order may be outdated (not run), or its
            outcome is unknown.
        """
        deadline_s = monotonic() + ANSWER_TIMEOUT_S
        while True:
            seen_index = await confirm_caller(self._replica, has_left)
            request = ProposeRequest(command, seen_index=seen_index)
            try:
                reply = await self._call_leader(
                    request, deadline_s - monotonic()
                )
                return reply.outcome
            except FuchsiacartError as error:
                left_s = deadline_s - monotonic()
                is_outdated = error.kind is ErrorKind.OUTDATED
                if not is_outdated or left_s < 2 * CLOSE_NOTICE_S:
                    raise

    async def _commit_departure(self, start):
        """Commit that a start has ended, see :func:`plan_departure`."""
        deadline_s = monotonic() + ANSWER_TIMEOUT_S
        for command in plan_departure(self.routes, start, wall_ms()):
            await self._commit(command, deadline_s - monotonic())

    async def _commit(self, command, timeout_s=ANSWER_TIMEOUT_S):
        reply = await self._call_leader(ProposeRequest(command), timeout_s)
        return reply.outcome

    async def _call_leader(self, request, timeout_s=ANSWER_TIMEOUT_S):
        """Send a request to the leader; retry while there is none.

        :raises ChangeError: with ``Run.UNKNOWN`` if no leader has answered
            within the time-out.
        """
        deadline_s = monotonic() + timeout_s
        detail = 'no leader has answered in time'
        while True:
            left_s = deadline_s - monotonic()
            try:
                return await wait_for(
                    self._service.on_propose(request), left_s
                )
            except TimeoutError as error:
                raise ChangeError(
                    detail, ErrorKind.NO_QUORUM, Run.UNKNOWN
                ) from error
            except FuchsiacartError as error:
                if error.kind not in (
                    ErrorKind.NO_QUORUM,
                    ErrorKind.UNREACHABLE,
                ):
                    raise
                detail = error.detail
            await sleep(RETRY_PAUSE_S)
