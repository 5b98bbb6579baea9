"""Shares of a service's requests between failure domains.

Requests stay in the failure domain in which they arrive as far as its
backend servers bear them; the rest goes to the same region, then to others.
The part that changes its region from one step to the next is capped.
"""

from collections import defaultdict

from msgspec import Struct

from fuchsiacart.models import FailureDomainId
from fuchsiacart.models import RegionId
from fuchsiacart.models import ServiceId

WHOLE_PERMILLE = 1000
# Part of the slots that is planned for; the rest bears bursts.
PLANNED_USE = 0.75
# Smallest difference that is worth a new set of shares.
STEP_PERMILLE = 20


class DomainShare(Struct, frozen=True):
    """Part of a home domain's requests that a target domain serves."""

    service: ServiceId
    home: FailureDomainId
    target: FailureDomainId
    permille: int


class DomainLoad(Struct, frozen=True):
    """Demand and capacity of one service in one failure domain, in slots.

    ``demand_slots`` is what requests arriving there would keep busy.
    """

    domain: FailureDomainId
    region: RegionId
    demand_slots: float
    capacity_slots: float


def plan_shares(loads):
    """Return how many slots of each target serve each home's demand.

    :param loads: a :class:`DomainLoad` for each failure domain.
    :return: a dict from (home, target) to slots.
    """
    demand = sum(load.demand_slots for load in loads)
    capacity = sum(load.capacity_slots for load in loads)
    if capacity <= 0:
        return {}
    use = max(PLANNED_USE, demand / capacity)
    room = {load.domain: load.capacity_slots * use for load in loads}
    open_demand = {load.domain: load.demand_slots for load in loads}
    plan = defaultdict(float)
    _fill(plan, room, open_demand, loads, lambda a, b: a.domain == b.domain)
    _fill(plan, room, open_demand, loads, lambda a, b: a.region == b.region)
    _fill(plan, room, open_demand, loads, lambda a, b: True)
    return dict(plan)


def _fill(plan, room, open_demand, loads, may_serve):
    """Serve open demand from the room of the targets that may serve it."""
    wanted = defaultdict(float)
    parts = []
    for home in loads:
        targets = [each for each in loads if may_serve(home, each)]
        free = sum(room[each.domain] for each in targets)
        if free <= 0 or open_demand[home.domain] <= 0:
            continue
        for target in targets:
            part = open_demand[home.domain] * room[target.domain] / free
            parts.append((home.domain, target.domain, part))
            wanted[target.domain] += part
    before = dict(room)
    for home, target, part in parts:
        if wanted[target] > before[target]:
            part *= before[target] / wanted[target]
        plan[home, target] += part
        room[target] -= part
        open_demand[home] -= part


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
        :param loads: a :class:`DomainLoad` for each failure domain.
        :param current: the shares in force, of this service.
        :return: a tuple of :class:`DomainShare`.
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
            row = self._limited(wanted, held.get(home.domain), loads)
            rows.extend(_rows(service, home.domain, row))
        return tuple(rows)

    def _limited(self, wanted, held, loads):
        if not held:
            return wanted
        region_of = {load.domain: load.region for load in loads}
        new = _by_region(wanted, region_of)
        old = _by_region(held, region_of)
        names = set(new) | set(old)
        moved = sum(
            abs(new.get(name, 0.0) - old.get(name, 0.0)) for name in names
        )
        moved /= 2
        if moved <= self._step_cap:
            return wanted
        part = self._step_cap / moved
        limited = {}
        for name in names:
            share = old.get(name, 0.0)
            share += part * (new.get(name, 0.0) - share)
            inside = {
                domain: (wanted if new.get(name) else held).get(domain, 0.0)
                for domain in region_of
                if region_of[domain] == name
            }
            total = sum(inside.values())
            for domain, weight in inside.items():
                limited[domain] = share * weight / total if total else 0.0
        return limited


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
        load.domain: plan.get((home.domain, load.domain), 0.0)
        for load in loads
    }
    total = sum(row.values())
    if total > 0:
        return {domain: part / total for domain, part in row.items()}
    capacity = sum(load.capacity_slots for load in loads)
    own = next(load for load in loads if load.domain == home.domain)
    if own.capacity_slots > 0:
        return {home.domain: 1.0}
    return {load.domain: load.capacity_slots / capacity for load in loads}


def _by_region(row, region_of):
    sums = defaultdict(float)
    for domain, share in row.items():
        sums[region_of.get(domain, '')] += share
    return dict(sums)


def _rows(service, home, row):
    for target, share in sorted(row.items()):
        permille = round(share * WHOLE_PERMILLE)
        if permille > 0:
            yield DomainShare(service, home, target, permille)
