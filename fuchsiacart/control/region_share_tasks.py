"""The task by which the leader sets the shares between regions."""

from asyncio import sleep
from collections import defaultdict
from time import monotonic

from fuchsiacart.clocks import wall_ms
from fuchsiacart.control.commands import SetShares
from fuchsiacart.control.region_shares import differs
from fuchsiacart.control.region_shares import ServiceRegionLoad
from fuchsiacart.control.region_shares import ShareBalancer
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.logs import log_event
from fuchsiacart.servers import ServerState

STEP_S = 1.0
# Two steps fall into the window of the shift cap; the rest is for chance, as
# the objects of other callers do not spread exactly as the shares say.
STEP_PART = 0.2
# A new leader hears of the demand within the first renewals of all gateways.
SETTLE_S = 2.0
# Weight of the newest reading in the mean of a region's demand.
READING_WEIGHT = 0.3
# Part of all slots that is taken for the demand before any is measured.
FIRST_USE = 0.6
# Part of a region that may move while no request has come.
WHOLE = 1.0


class RegionShareTask:
    """Sets the shares as leader.

    :param settings: the settings of the process.
    :param replica: the :class:`ReplicaTask`.
    :param service: the :class:`ControlService`, which holds the reports.
    """

    def __init__(self, settings, replica, service):
        self._settings = settings
        self._replica = replica
        self._service = service
        self._balancer = ShareBalancer(settings.routes.shift_cap * STEP_PART)
        self._first_balancer = ShareBalancer(WHOLE)
        self._demand = {}

    async def run(self):
        """Work out the shares for ever and commit those that differ."""
        while True:
            await sleep(STEP_S)
            if not self._replica.is_leader:
                self._demand = {}
                continue
            if monotonic() - self._replica.led_since_s < SETTLE_S:
                continue
            self._measure()
            await self._step()

    def _measure(self):
        readings = defaultdict(float)
        for report in self._service.fresh_reports():
            region = report.host.region
            for demand in report.demands_slots:
                readings[demand.service, region] += demand.slots
        for key in set(self._demand) | set(readings):
            held = self._demand.get(key)
            reading = readings.get(key, 0.0)
            if held is None:
                self._demand[key] = reading
                continue
            self._demand[key] = held + READING_WEIGHT * (reading - held)

    async def _step(self):
        routes = self._replica.replicated_state.stored.routes
        services = sorted(
            {record.service for record in routes.servers.values()}
        )
        shares = []
        for service in services:
            current = [
                share for share in routes.shares if share.service == service
            ]
            loads = self._loads(service, routes)
            balancer = self._balancer
            if not self._is_measured(service):
                balancer = self._first_balancer
            shares.extend(balancer.next_shares(service, loads, current))
        if not differs(routes.shares, shares):
            return
        try:
            await self._replica.propose(SetShares(tuple(shares), wall_ms()))
        except ChangeError as error:
            log_event('shares_not_set', detail=error.detail)
            return
        log_event('shares_set', shares=','.join(map(_share_text, shares)))

    def _is_measured(self, service):
        """Tell whether any request for a service has been seen."""
        return any(
            slots
            for (name, _), slots in self._demand.items()
            if name == service
        )

    def _loads(self, service, routes):
        regions = self._settings.routes.regions
        capacity = dict.fromkeys(regions.values(), 0.0)
        for record in routes.servers.values():
            if record.service != service:
                continue
            if record.state is ServerState.DRAINING:
                continue
            if record.failure_domain in routes.evacuated:
                continue
            region = regions.get(record.failure_domain)
            if region is not None:
                capacity[region] += record.slots
        first = 0.0
        if not self._is_measured(service):
            first = sum(capacity.values()) * FIRST_USE / len(capacity)
        return [
            ServiceRegionLoad(
                region,
                self._demand.get((service, region), 0.0) + first,
                slots,
            )
            for region, slots in sorted(capacity.items())
        ]


def _share_text(share):
    """Return a share as the log shows it."""
    return f'{share.service}:{share.home}>{share.target}={share.permille}'
