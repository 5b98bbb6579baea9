"""Shares of a service's requests between regions.

Requests stay in the region in which they arrive as far as its backend
servers bear them; the rest is spread over the room that others have.  The
part that changes its region from one step to the next is capped.
"""

from collections import defaultdict

from msgspec import Struct

from fuchsiacart.models import RegionId
from fuchsiacart.models import ServiceId

WHOLE_PERMILLE = 1000
# Part of the slots that is planned for; the rest bears bursts.
PLANNED_USE = 0.75
# Smallest difference that is worth a new set of shares.
STEP_PERMILLE = 20


class RegionShare(Struct, frozen=True):
    """Part of a home region's requests that a target region serves."""

    service: ServiceId
    home: RegionId
    target: RegionId
    permille: int


class ServiceRegionLoad(Struct, frozen=True):
    """Demand and capacity of one service in one region, in slots.

    ``demand_slots`` is what requests arriving there would keep busy.
    """

    region: RegionId
    demand_slots: float
    capacity_slots: float


def plan_shares(loads):
    """Return how many slots of each target serve each home's demand.

    :param loads: a :class:`ServiceRegionLoad` for each region.
    :return: a dict from home and target to slots.
    """
    demand = sum(load.demand_slots for load in loads)
    capacity = sum(load.capacity_slots for load in loads)
    if capacity <= 0:
        return {}
    use = max(PLANNED_USE, demand / capacity)
    plan = {}
    room = {}
    for load in loads:
        local = min(load.demand_slots, load.capacity_slots * use)
        plan[load.region, load.region] = local
        room[load.region] = load.capacity_slots * use - local
    free = sum(room.values())
    for home in loads:
        left = home.demand_slots - plan[home.region, home.region]
        for target in loads:
            if left > 0 and free > 0 and target.region != home.region:
                part = left * room[target.region] / free
                plan[home.region, target.region] = part
    return plan


class ShareBalancer:
    """Works out shares from loads, step by step.

    :param step_cap: part of a home's requests that may change its region
        in one step.
    """

    def __init__(self, step_cap):
        self._step_cap = step_cap

    def next_shares(self, service, loads, current):
        """Return the shares of one service after one step.

        :param service: the service.
        :param loads: a :class:`ServiceRegionLoad` for each region.
        :param current: the shares in force, of this service.
        :return: a tuple of :class:`RegionShare`.
        """
        plan = plan_shares(loads)
        if not plan:
            return tuple(current)
        held = defaultdict(dict)
        for share in current:
            held[share.home][share.target] = share.permille / WHOLE_PERMILLE
        rows = []
        for home in loads:
            wanted = _normalized(plan, home, loads)
            row = self._limited(home.region, wanted, held.get(home.region))
            rows.extend(_rows(service, home.region, row))
        return tuple(rows)

    def _limited(self, home, wanted, held):
        if not held:
            return wanted
        names = order_regions(home, set(wanted) | set(held))
        moved = _moved_part(names, held, wanted)
        if moved <= self._step_cap:
            return wanted
        part = self._step_cap / moved
        return {
            name: held.get(name, 0.0)
            + part * (wanted.get(name, 0.0) - held.get(name, 0.0))
            for name in names
        }


def order_regions(home, regions):
    """Return regions in the order in which a home's shares are added up.

    The own region comes first, so that a change moves few objects.
    """
    return sorted(regions, key=lambda region: (region != home, region))


def _moved_part(names, before, after):
    """Return the part of the objects that change their region.

    An object keeps its point between 0 and 1, so all between an earlier and
    a later bound of two shares move, also where a share itself has not
    changed.
    """
    bound = moved = 0.0
    for name in names:
        bound += after.get(name, 0.0) - before.get(name, 0.0)
        moved += abs(bound)
    return moved


def differs(before, after):
    """Tell whether two sets of shares differ enough to be worth a change."""
    old = {(each.service, each.home, each.target): each for each in before}
    new = {(each.service, each.home, each.target): each for each in after}
    for key in set(old) | set(new):
        was = old[key].permille if key in old else 0
        will_be = new[key].permille if key in new else 0
        if abs(was - will_be) >= STEP_PERMILLE:
            return True
    return False


def _normalized(plan, home, loads):
    row = {
        load.region: plan.get((home.region, load.region), 0.0)
        for load in loads
    }
    total = sum(row.values())
    if total > 0:
        return {region: part / total for region, part in row.items()}
    if home.capacity_slots > 0:
        return {home.region: 1.0}
    capacity = sum(load.capacity_slots for load in loads)
    return {load.region: load.capacity_slots / capacity for load in loads}


def _rows(service, home, row):
    for target, share in sorted(row.items()):
        permille = round(share * WHOLE_PERMILLE)
        if permille > 0:
            yield RegionShare(service, home, target, permille)
