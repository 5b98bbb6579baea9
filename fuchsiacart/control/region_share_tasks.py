"""Task that sets the shares between regions on the leader."""

from asyncio import sleep
from collections import defaultdict
from time import monotonic

from fuchsiacart.clocks import wall_ms
from fuchsiacart.control.commands import SetShares
from fuchsiacart.control.region_demands import RegionDemands
from fuchsiacart.control.region_shares import differ_enough
from fuchsiacart.control.region_shares import ServiceRegionLoad
from fuchsiacart.control.region_shares import ShareBalancer
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.logs import log_event
from fuchsiacart.servers import ServerState

STEP_S = 1.0
# Fraction of the shift cap that one step may use.  Two steps fall into the
# window of the cap; the rest is a margin, as the objects of callers are not
# distributed exactly according to the shares.
STEP_CAP_FRACTION = 0.2
# Time in which a new leader receives the demand from all gateways, with the
# first renewals of their leases.
SETTLE_S = 2.0
# Utilization that is assumed before any demand is measured.
INITIAL_UTILIZATION = 0.6
# Before the first request, all objects of a region may move in one step.
INITIAL_STEP_CAP = 1.0


class RegionShareTask:
    """Sets the shares between regions while this host leads.

    :param settings: the settings of the process.
    :param replica: the :class:`ReplicaTask` of this host.
    :param service: the :class:`ControlService`, which keeps the reports.
    """

    def __init__(self, settings, replica, service):
        self._settings = settings
        self._replica = replica
        self._service = service
        self._balancer = ShareBalancer(
            settings.routes.shift_cap * STEP_CAP_FRACTION
        )
        self._initial_balancer = ShareBalancer(INITIAL_STEP_CAP)
        self._demands = RegionDemands()

    async def run(self):
        """Compute the shares every ``STEP_S`` and commit changed ones."""
        while True:
            await sleep(STEP_S)
            if not self._replica.is_leader:
                self._demands.clear()
                self._balancer.forget_evacuations()
                continue
            if monotonic() - self._replica.led_since_s < SETTLE_S:
                continue
            self._read_demands()
            await self._set_shares()

    def _read_demands(self):
        readings = defaultdict(float)
        for report in self._service.fresh_reports():
            region = report.host.region
            for demand in report.demands_slots:
                readings[demand.service, region] += demand.slots
        self._demands.record(readings)

    async def _set_shares(self):
        routes = self._replica.replicated_state.stored.routes
        services = sorted(
            {record.service for record in routes.servers.values()}
        )
        shares = []
        for service in services:
            current = [
                share for share in routes.shares if share.service == service
            ]
            loads = self._service_loads(service, routes)
            balancer = self._balancer
            if not self._demands.is_measured(service):
                balancer = self._initial_balancer
            shares.extend(
                balancer.next_shares(
                    service, loads, current, frozenset(routes.evacuated)
                )
            )
        if not differ_enough(routes.shares, shares):
            return
        try:
            await self._replica.propose(SetShares(tuple(shares), wall_ms()))
        except ChangeError as error:
            log_event('shares_not_set', detail=error.detail)
            return
        log_event('shares_set', shares=','.join(map(_format_share, shares)))

    def _service_loads(self, service, routes):
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
        assumed_slots = 0.0
        if not self._demands.is_measured(service):
            assumed_slots = (
                sum(capacity.values()) * INITIAL_UTILIZATION / len(capacity)
            )
        return [
            ServiceRegionLoad(
                region,
                self._demands.slots(service, region) + assumed_slots,
                slots,
            )
            for region, slots in sorted(capacity.items())
        ]


def _format_share(share):
    """Format a share for the log."""
    return f'{share.service}:{share.home}>{share.target}={share.permille}'
