"""Steps for shares of a service's requests between regions."""

from random import Random

from behave import given
from behave import then
from behave import when

from fuchsiacart.control.region_shares import order_regions
from fuchsiacart.control.region_shares import ServiceRegionLoad
from fuchsiacart.control.region_shares import ShareBalancer

SERVICE = 'stock'
ROOM_SLOTS = {'cymru': 40.0, 'iwerddon': 10.0, 'lloegr': 50.0}
OBJECTS = 10_000
# Shares are told in whole permille, three of them.
ROUNDING_PERMILLE = 3


class ShiftSubject:
    """The leader's shares, and the region of each object by them."""

    def __init__(self, cap_permille):
        self.balancer = ShareBalancer(cap_permille / 1000)
        self.shares = ()
        self.worst_permille = 0.0

    def step(self, demand_slots):
        """Take one step and note how many objects it moved."""
        loads = [
            ServiceRegionLoad(region, demand_slots[region], slots)
            for region, slots in ROOM_SLOTS.items()
        ]
        before = self.regions() if self.shares else None
        self.shares = self.balancer.next_shares(SERVICE, loads, self.shares)
        if before is None:
            return
        for home, regions in self.regions().items():
            moved = sum(a != b for a, b in zip(regions, before[home]))
            moved_permille = 1000 * moved / OBJECTS
            self.worst_permille = max(self.worst_permille, moved_permille)

    def regions(self):
        """Return the region of each object, by the home of its callers."""
        return {home: self._regions_of(home) for home in ROOM_SLOTS}

    def _regions_of(self, home):
        row = {
            share.target: share.permille
            for share in self.shares
            if share.home == home
        }
        total = sum(row.values())
        found = []
        for region in order_regions(home, row):
            found += [region] * round(row[region] / total * OBJECTS)
        return found


@given('three regions with uneven room and a cap of {cap:d} permille a step')
def given_regions(context, cap):
    """Set up regions."""
    context.shift = ShiftSubject(cap)


@when('the demand changes for {count:d} steps with seed {seed:d}')
def when_changes(context, count, seed):
    """Draw the demand of each region anew now and then."""
    random = Random(seed)
    demand = dict(ROOM_SLOTS)
    for index in range(count):
        if index % 10 == 0:
            demand = {
                region: random.uniform(0.0, 2.0) * slots
                for region, slots in ROOM_SLOTS.items()
            }
        context.shift.step(demand)


@when("each region's demand is half of its room for {count:d} steps")
def when_half(context, count):
    """Keep demand low."""
    demand = {region: slots / 2 for region, slots in ROOM_SLOTS.items()}
    for _ in range(count):
        context.shift.step(demand)


@when("a region's demand is twice its room for {count:d} steps")
def when_twice(context, count):
    """Have one small region ask for more than it has."""
    demand = {region: slots / 4 for region, slots in ROOM_SLOTS.items()}
    demand['iwerddon'] = 2 * ROOM_SLOTS['iwerddon']
    for _ in range(count):
        context.shift.step(demand)


@then("no step moves more than {most:d} permille of a region's objects")
def then_capped(context, most):
    """Check the worst step."""
    worst = context.shift.worst_permille
    assert 0 < worst <= most + ROUNDING_PERMILLE, worst


@then('every region serves its own requests')
def then_local(context):
    """Check that nothing crosses regions."""
    for home, regions in context.shift.regions().items():
        assert set(regions) == {home}, (home, set(regions))


@then('about half of its requests go to the other regions')
def then_spread(context):
    """Check how many cross regions."""
    regions = context.shift.regions()['iwerddon']
    away = sum(region != 'iwerddon' for region in regions) / len(regions)
    assert 0.5 < away < 0.7, away
