"""Emulated gateways: the decision classes of one gateway each."""

from random import Random

from fuchsiacart.gateway.admissions import choose_retry_after_ms
from fuchsiacart.gateway.admissions import longest_retry_after_ms
from fuchsiacart.gateway.admissions import RankedAdmission
from fuchsiacart.gateway.admissions import retry_part
from fuchsiacart.gateway.admissions import scale_room
from fuchsiacart.gateway.attempts import MAX_UNREACHABLE_SERVERS
from fuchsiacart.gateway.budgets.retry_budgets import SharedRetryBudget
from fuchsiacart.gateway.demands import DemandMeter
from fuchsiacart.gateway.placing.placement_requests import PlacementRequest
from fuchsiacart.gateway.placing.placements import ServerSelector
from fuchsiacart.settings import RouteSettings
from standins.emulation.deployments import MILLISECONDS
from standins.emulation.reach import CONNECT_TIMEOUT_MS
from standins.emulation.reach import EmulatedReach
from standins.emulation.servers import Result

SERVICE = 'stock'
RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10.0


class EmulatedGateway:
    """A gateway without connections.

    :param emulator: the :class:`Emulator`.
    :param host: its :class:`Host`.
    """

    def __init__(self, emulator, host):
        settings = RouteSettings(
            retry_ratio=RETRY_RATIO,
            retry_slack=emulator.plan.retry_slack,
            retry_window_s=RETRY_WINDOW_S,
        )
        self._emulator = emulator
        self.host = host
        self.region = host.region
        self.selector = ServerSelector(
            host.region,
            emulator.plan.domains(),
            Random(f'{emulator.plan.seed}/{host.name}'),
        )
        self.admission = RankedAdmission()
        self.demands = DemandMeter()
        self.budget = SharedRetryBudget(settings, 0.0)
        self.budget.gateway_count = emulator.plan.gateways
        self.reach = EmulatedReach(emulator, self)

    def serve(self, request):
        """Take a request from a caller."""
        now_ms = self._emulator.now_ms
        self.budget.record_request(now_ms)
        self.demands.record_arrival(SERVICE)
        self.admission.record_arrival(SERVICE, request.kind.rank, now_ms)
        request.received_ms = now_ms
        request.excluded = frozenset()
        request.sends = 0
        request.unreachable = 0
        request.relay_ms = 0.0
        view_ms = self._emulator.plan.time_to_view_ms(now_ms)
        if view_ms:
            self.wait_for_view(request, view_ms)
            return
        self._place(request)

    def wait_for_view(self, request, view_ms):
        """Let a request wait for the view, as the product's gateway does.

        :param view_ms: time until the view arrives.
        """
        limit_ms = longest_retry_after_ms(self._left_ms(request))
        if view_ms <= limit_ms:
            self._emulator.after(view_ms, lambda: self._place(request))
            return
        self._emulator.after(limit_ms, lambda: self.refuse_blind(request))

    def refuse_blind(self, request):
        """Refuse a request for want of a view."""
        left_ms = self._left_ms(request)
        self._emulator.callers.refuse(request, longest_retry_after_ms(left_ms))

    def on_reply(self, visit, result, load, statement):
        """Take a server's response."""
        now_ms = self._emulator.now_ms
        request = visit.request
        start = visit.tracked.record.start
        self._release(visit.tracked, visit.counted)
        visit.tracked.record_report(load, now_ms)
        self.reach.record_response()
        if statement.is_leaving:
            self.record_departure(start)
        if statement.wait_ms:
            self.record_backoff(start, statement.wait_ms)
        if result is Result.NOT_RUN:
            self._retry(request)
            return
        if result is Result.ANSWERED:
            self.selector.backoffs.record_success(start, visit.counted)
        taken_s = (now_ms - visit.sent_ms) / MILLISECONDS
        self.demands.record_service_time(SERVICE, taken_s, load)
        self._emulator.callers.answer(request, result is Result.ANSWERED)

    def record_departure(self, start):
        """Record that a server leaves, and report it."""
        if self.selector.departures.add(start):
            self._emulator.report_departures(self)

    def record_backoff(self, start, wait_ms):
        """Record that a server wants no request for some time."""
        self.selector.backoffs.record(start, wait_ms, self._emulator.now_ms)

    def on_broken(self, visit):
        """Take a connection that its server has broken off."""
        self._release(visit.tracked, visit.counted)
        visit.tracked.record_failure(self._emulator.now_ms)
        request = visit.request
        if request.kind.is_idempotent and self._may_retry(request):
            self._place(request)
            return
        self._emulator.callers.answer(request, False)

    def on_refused(self, visit):
        """Take a connection that a server has refused."""
        visit.request.sends -= 1
        self._fail_to_connect(visit.request, visit.tracked, visit.counted)

    def take_loads(self, load_map, counted_ms):
        """Take what other gateways have in flight at each server."""
        self.selector.record_loads(load_map, counted_ms)

    def on_lost_reply(self, visit):
        """Fail a request whose response does not arrive."""
        self._release(visit.tracked, visit.counted)
        request = visit.request
        timeout_ms = request.received_ms + request.kind.timeout_ms
        self._emulator.after(
            max(0.0, timeout_ms - self._emulator.now_ms),
            lambda: self._emulator.callers.answer(request, False),
        )

    def relay(self, request):
        """Pass a request on to another gateway."""
        now_ms = self._emulator.now_ms
        host = self.reach.relays.choose((), request.excluded, now_ms)
        if host is None or request.relay_ms:
            left_ms = self._left_ms(request)
            self._emulator.callers.refuse(
                request, longest_retry_after_ms(left_ms)
            )
            return
        request.excluded |= {host.name}
        self._emulator.relay(request, self, host)

    def take_relayed(self, request, delay_ms):
        """Take a request that another gateway relays.

        :param delay_ms: the way back to that gateway.
        :return: False if this gateway is isolated, too.
        """
        if self.reach.is_isolated:
            return False
        received_ms = request.received_ms
        self.serve(request)
        request.received_ms = received_ms
        request.relay_ms = delay_ms
        return True

    def _release(self, tracked, counted):
        tracked.in_flight -= 1
        self.selector.backoffs.end(counted)

    def _fail_to_connect(self, request, tracked, counted):
        self._release(tracked, counted)
        tracked.record_failure(self._emulator.now_ms)
        self.reach.record_silent(tracked.name)
        request.unreachable += 1
        if request.unreachable < MAX_UNREACHABLE_SERVERS:
            self._place(request)
            return
        self._refuse(request)

    def _retry(self, request):
        if self._may_retry(request):
            self._place(request)
            return
        self._refuse(request)

    def _may_retry(self, request):
        if request.sends >= self._emulator.plan.max_attempts:
            return False
        part = retry_part(self.urgency(request))
        return self.budget.try_spend(self._emulator.now_ms, part)

    def urgency(self, request):
        """Return the urgency of a request; see :class:`RankedAdmission`."""
        return self.admission.urgency(
            SERVICE, request.kind.rank, self._emulator.now_ms
        )

    def _place(self, request):
        if self.reach.is_isolated:
            self.relay(request)
            return
        now_ms = self._emulator.now_ms
        tracked = self.selector.choose(self._make_placement(request), now_ms)
        if tracked is None:
            self._refuse(request)
            return
        request.excluded |= {tracked.name}
        tracked.in_flight += 1
        counted = self.selector.backoffs.begin(tracked.record.start)
        if self.reach.is_cut:
            self._emulator.after(
                CONNECT_TIMEOUT_MS,
                lambda: self._fail_to_connect(request, tracked, counted),
            )
            return
        request.sends += 1
        self._emulator.send(request, self, tracked, counted)

    def _make_placement(self, request):
        spent_ms = self._emulator.now_ms - request.received_ms
        left_s = (request.kind.objective_ms - spent_ms) / MILLISECONDS
        room = self.demands.max_requests_per_slot(SERVICE, left_s)
        return PlacementRequest(
            SERVICE,
            request.object_key,
            scale_room(room, self.urgency(request)),
            (),
            request.excluded,
        )

    def _left_ms(self, request):
        spent_ms = self._emulator.now_ms - request.received_ms
        return request.kind.deadline_ms - spent_ms

    def _refuse(self, request):
        now_ms = self._emulator.now_ms
        room_ms = self.selector.time_to_room_ms(
            self._make_placement(request),
            self.demands.mean_service_ms(SERVICE),
            now_ms,
        )
        wait_ms = choose_retry_after_ms(
            room_ms, longest_retry_after_ms(self._left_ms(request))
        )
        self._emulator.callers.refuse(request, wait_ms)
