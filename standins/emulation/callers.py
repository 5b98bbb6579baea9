"""Emulated callers, who return after a refusal or a failure."""

from bisect import bisect
from itertools import accumulate

from standins.emulation.deployments import MILLISECONDS
from standins.emulation.tallies import Ending
from standins.emulation.tallies import Request

CALLER_MS = 5.0
# Tries of a caller, of which all but the first follow a refusal.
CALLER_TRIES = 2
# Popularity of the objects of a kind by rank.
SKEW = 0.2
# First tries count this long after gateways were cut off.
ISOLATION_LIMIT_S = 3.0


class EmulatedCallers:
    """The callers of all regions.

    :param emulator: the :class:`Emulator`.
    :param gateways: the gateways of each region.
    """

    def __init__(self, emulator, gateways):
        self._emulator = emulator
        self._plan = emulator.plan
        self._tallies = emulator.tallies
        self._random = emulator.random
        self._gateways = gateways
        self.refusals = 0
        self.refusals_at_once = 0
        self._weights = {
            kind.name: list(
                accumulate((rank + 1) ** -SKEW for rank in range(kind.objects))
            )
            for kind in self._plan.kinds
        }

    def start(self):
        """Begin to send requests."""
        for index, region in enumerate(self._plan.regions):
            for kind in self._plan.kinds:
                self._schedule_arrival(index, region.name, kind)

    def refuse(self, request, retry_after_ms):
        """Refuse a request; its caller may return after some time."""
        self.refusals += 1
        self.refusals_at_once += request.sends == 0
        if request.tries >= CALLER_TRIES:
            self._tallies.add(request, Ending.REFUSED)
            return
        delay_ms = retry_after_ms + 2 * CALLER_MS
        self._emulator.after(delay_ms, lambda: self._try(request))

    def answer(self, request, is_success):
        """Bring the final answer to the caller."""
        taken_ms = self._emulator.now_ms + request.relay_ms + CALLER_MS
        taken_ms -= request.sent_ms
        if not is_success and self._may_repeat(request, taken_ms):
            self._emulator.after(2 * CALLER_MS, lambda: self._try(request))
            return
        if not is_success or taken_ms > request.kind.deadline_ms:
            self._tallies.add(request, Ending.FAILED)
            return
        if request.tries == 1 and self._counts_first(request.sent_ms):
            self._tallies.first_served[request.is_isolated] += 1
        is_in_time = taken_ms <= request.kind.objective_ms
        self._tallies.add(
            request, Ending.IN_TIME if is_in_time else Ending.LATE
        )

    def _schedule_arrival(self, index, region, kind):
        rate = self._plan.arrival_rate(kind, index, self._emulator.now_ms)
        delay_ms = self._random.expovariate(rate) * MILLISECONDS
        if self._emulator.now_ms + delay_ms < self._emulator.end_ms:
            self._emulator.after(
                delay_ms, lambda: self._arrive(index, region, kind)
            )

    def _arrive(self, index, region, kind):
        self._schedule_arrival(index, region, kind)
        weights = self._weights[kind.name]
        rank = bisect(weights, self._random.random() * weights[-1])
        key = f'{region}/{kind.name}/{rank}'
        self._try(Request(kind, key, region, self._emulator.now_ms))

    def _try(self, request):
        request.tries += 1
        gateway = self._random.choice(self._gateways[request.region])
        if request.tries == 1 and self._counts_first(request.sent_ms):
            request.is_isolated = self._emulator.is_cut(gateway.host)
            self._tallies.first_tries[request.is_isolated] += 1
        self._emulator.after(CALLER_MS, lambda: gateway.serve(request))

    def _may_repeat(self, request, taken_ms):
        return (
            request.kind.is_idempotent
            and request.tries < CALLER_TRIES
            and taken_ms < request.kind.deadline_ms
        )

    def _counts_first(self, sent_ms):
        """Return True if some gateways have been cut off for a while."""
        return any(
            each.start_s + ISOLATION_LIMIT_S
            <= sent_ms / MILLISECONDS
            < each.end_s
            for each in self._plan.isolations
        )
