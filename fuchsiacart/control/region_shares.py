"""Shares of a service's requests between regions.

Requests are served in the region where they arrive up to the capacity of
its backend servers.  The excess is distributed over the spare capacity of
the other regions.  The fraction of requests that move to another region in
one step is capped, as long as only the demand changes.  The evacuation of a
failure domain takes a part of a region's capacity away at once: the excess of
the homes that use the region moves in one step, as it would be refused until
the steps had followed.
"""

from collections import defaultdict

from msgspec import Struct

from fuchsiacart.models import RegionId
from fuchsiacart.models import ServiceId

WHOLE_PERMILLE = 1000
# Utilization for which shares of a service are planned; the other slots are
# reserved for bursts.
PLANNED_UTILIZATION = 0.75
# Smaller differences do not lead to a new set of shares.
MIN_CHANGE_PERMILLE = 20


class RegionShare(Struct, frozen=True):
    """Share of a home region's requests that a target region serves."""

    service: ServiceId
    home: RegionId
    target: RegionId
    permille: int


class ServiceRegionLoad(Struct, frozen=True):
    """Demand and capacity of one service in one region, in slots.

    ``demand_slots`` is the number of slots that the requests arriving there
    keep busy.
    """

    region: RegionId
    demand_slots: float
    capacity_slots: float


def plan_shares(loads):
    """Assign the demand of each home region to target regions.

    :param loads: a :class:`ServiceRegionLoad` for each region.
    :return: a dict from (home, target) to slots; empty without capacity.
    """
    demand = sum(load.demand_slots for load in loads)
    capacity = sum(load.capacity_slots for load in loads)
    if capacity <= 0:
        return {}
    utilization = max(PLANNED_UTILIZATION, demand / capacity)
    plan = {}
    spare = {}
    for load in loads:
        local = min(load.demand_slots, load.capacity_slots * utilization)
        plan[load.region, load.region] = local
        spare[load.region] = load.capacity_slots * utilization - local
    total_spare = sum(spare.values())
    for home in loads:
        excess = home.demand_slots - plan[home.region, home.region]
        for target in loads:
            if excess > 0 and total_spare > 0 and target.region != home.region:
                slots = excess * spare[target.region] / total_spare
                plan[home.region, target.region] = slots
    return plan


class ShareBalancer:
    """Computes shares from loads, with a limited change in each step.

    :param step_cap: fraction of a home's requests that may move to another
        region in one step.
    """

    def __init__(self, step_cap):
        self._step_cap = step_cap
        self._evacuated = {}
        self._capacities_slots = {}

    def forget_evacuations(self):
        """Forget since when failure domains are evacuated.

        Called while another host leads and computes the shares.
        """
        self._evacuated = {}

    def next_shares(self, service, loads, current, evacuated=frozenset()):
        """Return the shares of one service after one step.

        :param service: the service.
        :param loads: a :class:`ServiceRegionLoad` for each region.
        :param current: the current shares of this service.
        :param evacuated: the evacuated failure domains.
        :return: a tuple of :class:`RegionShare`.
        """
        reduced_regions = self._find_reduced_regions(service, loads, evacuated)
        plan = plan_shares(loads)
        if not plan:
            return tuple(current)
        current_rows = defaultdict(dict)
        for share in current:
            current_rows[share.home][share.target] = (
                share.permille / WHOLE_PERMILLE
            )
        rows = []
        for home in loads:
            target = _normalize(plan, home, loads)
            before = current_rows.get(home.region, {})
            row = _move_excess(reduced_regions, before, target)
            if row == before:
                row = _limit_change(
                    home.region, target, before, self._step_cap
                )
            rows.extend(_make_shares(service, home.region, row))
        return tuple(rows)

    def _find_reduced_regions(self, service, loads, evacuated):
        """Return the regions that an evacuation has just taken servers from.

        In the first step it is not known since when domains are evacuated.
        """
        evacuated = frozenset(evacuated)
        capacities_slots = {load.region: load.capacity_slots for load in loads}
        is_new = not evacuated <= self._evacuated.get(service, evacuated)
        before_slots = self._capacities_slots.get(service, {})
        self._evacuated[service] = evacuated
        self._capacities_slots[service] = capacities_slots
        if not is_new:
            return frozenset()
        return frozenset(
            region
            for region, slots in capacities_slots.items()
            if slots < before_slots.get(region, slots)
        )


def _move_excess(reduced_regions, current, target):
    """Return the shares of a home without its excess at reduced regions.

    The excess is what is above the target.  It goes to the regions whose
    shares are below their target; other shares stay, as each object that
    moves is cold where it arrives.

    :param reduced_regions: regions that have just lost servers.
    :param current: dict of the present shares by region.
    :param target: dict of the planned shares by region.
    :return: dict of the shares after the step.
    """
    excess = sum(
        max(0.0, current[name] - target.get(name, 0.0))
        for name in reduced_regions & set(current)
    )
    room = {
        name: share - current.get(name, 0.0)
        for name, share in target.items()
        if name not in reduced_regions and share > current.get(name, 0.0)
    }
    total_room = sum(room.values())
    if not excess or not total_room:
        return current
    row = dict(current)
    for name in reduced_regions & set(current):
        row[name] = min(current[name], target.get(name, 0.0))
    for name, share in room.items():
        row[name] = row.get(name, 0.0) + excess * share / total_room
    return row


def _limit_change(home, target, current, step_cap):
    """Return the shares of a home after one step towards its target."""
    if not current:
        return target
    names = order_regions(home, set(target) | set(current))
    moved = _moved_fraction(names, current, target)
    if moved <= step_cap:
        return target
    fraction = step_cap / moved
    return {
        name: current.get(name, 0.0)
        + fraction * (target.get(name, 0.0) - current.get(name, 0.0))
        for name in names
    }


def order_regions(home, regions):
    """Sort regions into the order in which a home's shares are added up.

    The home region comes first, so that a change moves few objects.
    """
    return sorted(regions, key=lambda region: (region != home, region))


def _moved_fraction(names, before, after):
    """Return the fraction of objects that move to another region.

    Each object has a fixed point between 0 and 1.  All objects between the
    old and the new bound of two shares move, even if the size of a share
    has not changed.
    """
    bound = moved = 0.0
    for name in names:
        bound += after.get(name, 0.0) - before.get(name, 0.0)
        moved += abs(bound)
    return moved


def differ_enough(before, after):
    """Return True if two sets of shares differ enough to be replaced."""
    old = {(each.service, each.home, each.target): each for each in before}
    new = {(each.service, each.home, each.target): each for each in after}
    for key in set(old) | set(new):
        before_permille = old[key].permille if key in old else 0
        after_permille = new[key].permille if key in new else 0
        if abs(before_permille - after_permille) >= MIN_CHANGE_PERMILLE:
            return True
    return False


def _normalize(plan, home, loads):
    row = {
        load.region: plan.get((home.region, load.region), 0.0)
        for load in loads
    }
    total = sum(row.values())
    if total > 0:
        return {region: slots / total for region, slots in row.items()}
    if home.capacity_slots > 0:
        return {home.region: 1.0}
    capacity = sum(load.capacity_slots for load in loads)
    return {load.region: load.capacity_slots / capacity for load in loads}


def _make_shares(service, home, row):
    for target, share in sorted(row.items()):
        permille = round(share * WHOLE_PERMILLE)
        if permille > 0:
            yield RegionShare(service, home, target, permille)
