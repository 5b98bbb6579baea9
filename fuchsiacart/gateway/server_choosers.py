"""Chooses the backend server of an attempt, and asks it where needed."""

from fuchsiacart.clocks import boot_ms
from fuchsiacart.clocks import steady_ms
from fuchsiacart.gateway.admissions import scale_room
from fuchsiacart.gateway.doubtful_starts import CheckOutcome
from fuchsiacart.gateway.placing.placement_requests import PlacementRequest

# Servers that are asked for one attempt whether they leave.
MAX_CHECKED_SERVERS = 3
# Time that a request waits for a server that it has asked.
ASK_TIMEOUT_S = 0.3


class ServerChooser:
    """Chooses servers by the view and by what they say of themselves.

    :param selector: the :class:`ServerSelector`.
    :param demands: the :class:`DemandMeter`.
    :param view_age: the :class:`ViewAge`.
    :param checker: the :class:`HealthChecker`.
    """

    def __init__(self, selector, demands, view_age, checker):
        self._selector = selector
        self._demands = demands
        self._view_age = view_age
        self._checker = checker

    def choose(self, attempts):
        """Choose a server by the view.

        :param attempts: the :class:`Attempts` of the request.
        :return: the :class:`TrackedServer`.
        :raises RequestError: if no server has room.
        """
        placement = self._make_placement(attempts)
        now_ms = steady_ms()
        server = self._selector.choose(placement, now_ms)
        attempts.room = placement.max_requests_per_slot
        if server is None:
            raise attempts.make_error(
                self.time_to_room_ms(attempts),
                f'no server of {attempts.service} has room',
            )
        attempts.believed_load = server.load(now_ms)
        attempts.load_age_ms = server.report_age_ms(now_ms)
        return server

    async def confirm(self, attempts, server):
        """Return a server that is known not to leave.

        Where the view is outdated, a server is known by its answer to another
        request, or to a health check.

        :param attempts: the :class:`Attempts` of the request.
        :param server: the :class:`TrackedServer` that was chosen; others
            follow if it does not say that it stays.
        :raises RequestError: if none says so, or the deadline has passed.
        """
        for _ in range(MAX_CHECKED_SERVERS):
            if not self.is_outdated(server):
                return server
            outcome = await self._checker.check(server, ASK_TIMEOUT_S)
            if outcome is CheckOutcome.USABLE:
                return server
            attempts.excluded |= {server.name}
            if attempts.left_s <= 0:
                raise attempts.make_deadline_error()
            server = self.choose(attempts)
        raise attempts.make_error(
            self.time_to_room_ms(attempts),
            f'no server of {attempts.service} says that it stays',
        )

    def is_outdated(self, server):
        """Return True if a request must not be sent by what is known.

        :param server: the :class:`TrackedServer`.
        """
        return self._view_age.is_outdated(boot_ms(), server.told_ms)

    def time_to_room_ms(self, attempts):
        """Estimate when a server has room, None if that is not known.

        :param attempts: the :class:`Attempts` of the request.
        """
        return self._selector.time_to_room_ms(
            self._make_placement(attempts),
            self._demands.mean_service_ms(attempts.service),
            steady_ms(),
        )

    def _make_placement(self, attempts):
        metadata = attempts.request.metadata
        room = self._demands.max_requests_per_slot(
            attempts.service, attempts.objective_left_s
        )
        return PlacementRequest(
            attempts.service,
            metadata.object_key or metadata.request_id,
            scale_room(room, attempts.urgency),
            attempts.route.home_regions,
            attempts.excluded,
            attempts.route.sticky,
            self._demands.mean_service_ms(attempts.service),
        )
