"""Tasks that maintain the control group's members without an operator."""

from asyncio import sleep

from fuchsiacart.adapters import Method
from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.clocks import steady_ms
from fuchsiacart.control.election_reports import describe_position
from fuchsiacart.control.election_reports import find_standing
from fuchsiacart.control.election_reports import Standing
from fuchsiacart.control.memberships import find_candidates
from fuchsiacart.control.memberships import latest_requests
from fuchsiacart.control.memberships import next_group
from fuchsiacart.control_clients import ControlClient
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.logs import log_event
from fuchsiacart.logs import log_warning
from fuchsiacart.messages import GroupReply
from fuchsiacart.messages import JoinGroup

JOIN_INTERVAL_S = 0.3
JOIN_TIMEOUT_S = 1.0
MAINTAIN_INTERVAL_S = 0.1
LEAVE_TIMEOUT_S = 1.5
# A replica that has not asked for this time has stopped or has joined.
CANDIDATE_TIMEOUT_MS = 1500.0


class MemberTask:
    """Joins the control group, and maintains its members while leading.

    :param settings: the settings of the process.
    :param replica: the :class:`ReplicaTask` of this host.
    :param service: the :class:`ControlService`.
    :param adapter: transport to other control hosts.
    """

    def __init__(self, settings, replica, service, adapter):
        self._settings = settings
        self._replica = replica
        self._control = ControlClient(
            adapter, self._without_self(settings.seed_addresses)
        )
        self._join_requested_ms = {}
        self._leave_requested_ms = {}
        service.register_handler(JoinGroup, self._on_join)

    @property
    def _voter_count(self):
        return self._settings.control.voter_count

    def add_seeds(self, addresses):
        """Add control hosts to ask, such as seeds from reloaded settings."""
        self._control.add_addresses(self._without_self(addresses))

    async def join(self):
        """Ask to join the group while this replica is not a voter in it.

        A voter without contact to the group asks too.  Runs until cancelled.
        """
        while True:
            await sleep(JOIN_INTERVAL_S)
            voters = self._replica.state.group.voters
            if self._replica.replica in voters and self._replica.has_contact():
                continue
            self.add_seeds(self._replica.member_addresses)
            if self._replica.is_leader or not self._control.addresses:
                continue
            request = JoinGroup(self._replica.replica)
            try:
                reply = await self._control.call_any(
                    Method.PROPOSE, request, JOIN_TIMEOUT_S
                )
                self.add_seeds(reply.members)
            except FuchsiacartError as error:
                log_event(
                    'join_request_failed',
                    detail=error.detail,
                    **describe_position(self._replica.state),
                )

    async def leave(self):
        """Let a learner take the place of this voter before it stops.

        Returns at once if there is none, and after ``LEAVE_TIMEOUT_S`` at the
        latest.
        """
        state = self._replica.state
        if find_standing(state) is not Standing.VOTER:
            return
        if not state.group.learners:
            return
        request = JoinGroup(state.replica, leaves=True)
        try:
            if self._replica.is_leader:
                await self._on_join(request)
                return
            self.add_seeds(self._replica.member_addresses)
            if self._control.addresses:
                await self._control.call_any(
                    Method.PROPOSE, request, LEAVE_TIMEOUT_S
                )
        except FuchsiacartError as error:
            log_event('leave_failed', detail=error.detail)

    async def maintain_group(self):
        """Change the members while leading, one change at a time.

        Runs until cancelled.
        """
        while True:
            await sleep(MAINTAIN_INTERVAL_S)
            if not self._replica.is_leader:
                continue
            group = self._next_group()
            if group is None:
                continue
            log_event(
                'members_change', voters=group.voters, learners=group.learners
            )
            started_ms = steady_ms()
            try:
                await self._replica.change_group(group)
            except ChangeError as error:
                log_warning('members_not_changed', detail=error.detail)
                continue
            log_event(
                'members_changed',
                voters=len(group.voters),
                learners=len(group.learners),
                taken_ms=int(steady_ms() - started_ms),
            )

    async def _on_join(self, request):
        if request.leaves:
            await self._replace_leaving(request.replica)
        else:
            self._join_requested_ms[request.replica] = steady_ms()
        return GroupReply(self._replica.member_addresses)

    async def _replace_leaving(self, replica):
        """Wait until a voter that leaves is none any more, or may not be."""
        log_event('voter_leaves', replica=replica)
        self._leave_requested_ms[replica] = steady_ms()
        while self._is_leaving(replica) and self._replica.is_leader:
            group = self._replica.state.group
            is_enlarged = len(group.voters) > self._voter_count
            if replica not in group.voters:
                return
            if not is_enlarged and not self._replica.ready_learners():
                return
            await sleep(MAINTAIN_INTERVAL_S)

    def _is_leaving(self, replica):
        requested_ms = self._leave_requested_ms.get(replica)
        if requested_ms is None:
            return False
        return steady_ms() - requested_ms < LEAVE_TIMEOUT_S * MILLISECONDS

    def _next_group(self):
        now_ms = steady_ms()
        self._join_requested_ms = {
            replica: requested_ms
            for replica, requested_ms in self._join_requested_ms.items()
            if now_ms - requested_ms < CANDIDATE_TIMEOUT_MS
        }
        candidates = find_candidates(
            latest_requests(self._join_requested_ms),
            self._replica.ready_learners(),
        )
        # A voter that asks has its disk, whether or not it is heard here.
        unresponsive = [
            voter
            for voter in self._replica.unresponsive_voters()
            if voter not in self._join_requested_ms
        ]
        return next_group(
            self._replica.state.group,
            candidates,
            unresponsive,
            self._voter_count,
            tuple(filter(self._is_leaving, self._leave_requested_ms)),
        )

    def _without_self(self, addresses):
        own = self._settings.replica_host
        return [address for address in addresses if address != own]
