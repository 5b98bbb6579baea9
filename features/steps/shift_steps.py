"""Steps for shares of a service's requests between regions."""

from random import Random

from behave import given
from behave import then
from behave import when

from fuchsiacart.control.region_shares import order_regions
from fuchsiacart.control.region_shares import ServiceRegionLoad
from fuchsiacart.control.region_shares import ShareBalancer

SERVICE = 'stock'
CAPACITY_SLOTS = {'cymru': 40.0, 'iwerddon': 10.0, 'lloegr': 50.0}
OBJECTS = 10_000
# Each of the three shares is rounded to a whole permille.
ROUNDING_PERMILLE = 3
SETTLING_STEPS = 60


class ShiftFixture:
    """The leader's shares, and the region of each object under them."""

    def __init__(self, cap_permille):
        self._cap = cap_permille / 1000
        self.balancer = ShareBalancer(self._cap)
        self.shares = ()
        self.largest_step_permille = 0.0
        self.usable = dict.fromkeys(CAPACITY_SLOTS, 1.0)
        self.evacuated = frozenset()

    def change_leader(self):
        """Continue with the balancer of another leader."""
        self.balancer = ShareBalancer(self._cap)

    def evacuate(self, region, usable):
        """Evacuate a domain; a part of the capacity of its region remains."""
        self.usable[region] = usable
        self.evacuated = frozenset({f'{region}-a'})

    def end_evacuation(self):
        """End the evacuation."""
        self.usable = dict.fromkeys(CAPACITY_SLOTS, 1.0)
        self.evacuated = frozenset()

    def step(self, demand_slots):
        """Compute the next shares and record how many objects they move."""
        loads = [
            ServiceRegionLoad(
                region, demand_slots[region], slots * self.usable[region]
            )
            for region, slots in CAPACITY_SLOTS.items()
        ]
        before = self.regions() if self.shares else None
        self.shares = self.balancer.next_shares(
            SERVICE, loads, self.shares, self.evacuated
        )
        if before is None:
            return
        for home, regions in self.regions().items():
            moved = sum(a != b for a, b in zip(regions, before[home]))
            moved_permille = 1000 * moved / OBJECTS
            self.largest_step_permille = max(
                self.largest_step_permille, moved_permille
            )

    def regions(self):
        """Return the regions of all objects, by the callers' home region."""
        return {home: self._regions_of(home) for home in CAPACITY_SLOTS}

    def _regions_of(self, home):
        shares_by_target = {
            share.target: share.permille
            for share in self.shares
            if share.home == home
        }
        total = sum(shares_by_target.values())
        object_regions = []
        for region in order_regions(home, shares_by_target):
            object_regions += [region] * round(
                shares_by_target[region] / total * OBJECTS
            )
        return object_regions


@given(
    'three regions with uneven capacity and a cap of {cap:d} permille a'
    ' step'
)
def given_regions(context, cap):
    context.shift = ShiftFixture(cap)


@when('the demand changes for {count:d} steps with seed {seed:d}')
def when_demand_changes(context, count, seed):
    """Draw a new demand for each region in every tenth step."""
    random = Random(seed)
    demand = dict(CAPACITY_SLOTS)
    for index in range(count):
        if index % 10 == 0:
            demand = {
                region: random.uniform(0.0, 2.0) * slots
                for region, slots in CAPACITY_SLOTS.items()
            }
        context.shift.step(demand)


@when("each region's demand is half of its capacity for {count:d} steps")
def when_demand_is_half(context, count):
    demand = {region: slots / 2 for region, slots in CAPACITY_SLOTS.items()}
    for _ in range(count):
        context.shift.step(demand)


@when("a region's demand is twice its capacity for {count:d} steps")
def when_demand_is_twice(context, count):
    """Let iwerddon, the smallest region, exceed its capacity."""
    demand = {region: slots / 4 for region, slots in CAPACITY_SLOTS.items()}
    demand['iwerddon'] = 2 * CAPACITY_SLOTS['iwerddon']
    for _ in range(count):
        context.shift.step(demand)


@then("no step moves more than {most:d} permille of a region's objects")
def then_capped(context, most):
    """Check the largest step."""
    largest = context.shift.largest_step_permille
    assert 0 < largest <= most + ROUNDING_PERMILLE, largest


@then('every region serves its own requests')
def then_local(context):
    for home, regions in context.shift.regions().items():
        assert set(regions) == {home}, (home, set(regions))


@then('about half of its requests go to the other regions')
def then_half_elsewhere(context):
    """Check that 50 to 70 percent of the objects are elsewhere."""
    regions = context.shift.regions()['iwerddon']
    away = sum(region != 'iwerddon' for region in regions) / len(regions)
    assert 0.5 < away < 0.7, away


@given('a demand of {fraction:g} of the capacity of each region')
def given_demand(context, fraction):
    """Set the demand and let the shares settle."""
    context.demand = {
        region: slots * fraction for region, slots in CAPACITY_SLOTS.items()
    }
    for _ in range(SETTLING_STEPS):
        context.shift.step(context.demand)


@given('a demand of iwerddon of {factor:g} times its capacity')
def given_high_demand(context, factor):
    context.demand['iwerddon'] = factor * CAPACITY_SLOTS['iwerddon']
    for _ in range(SETTLING_STEPS):
        context.shift.step(context.demand)


@when('half of the capacity of {region} is evacuated')
def when_evacuated(context, region):
    context.before = context.shift.regions()
    context.shift.evacuate(region, 0.5)


@when('a domain of cymru without servers of the service is evacuated')
def when_empty_evacuated(context):
    context.shift.largest_step_permille = 0.0
    context.shift.evacuate('cymru', 1.0)


@when('the demand of iwerddon doubles')
def when_demand_doubles(context):
    context.demand['iwerddon'] *= 2


@when('its leader had lost its role before and leads again')
def when_leads_again(context):
    context.shift.balancer.forget_evacuations()
    context.shift.largest_step_permille = 0.0


@when('the evacuation ends after {count:d} steps')
def when_evacuation_ends(context, count):
    for _ in range(count):
        context.shift.step(context.demand)
    context.shift.end_evacuation()
    context.shift.largest_step_permille = 0.0


@when('another leader takes over in the next step')
def when_leader_changes(context):
    context.shift.change_leader()


@then(
    'within 1 step between {least:d} and {most:d} permille of its objects are'
    ' elsewhere'
)
def then_excess_moved(context, least, most):
    context.shift.step(context.demand)
    regions = context.shift.regions()['cymru']
    away = sum(region != 'cymru' for region in regions)
    away_permille = 1000 * away / len(regions)
    assert least <= away_permille <= most, away_permille


@then(
    'within 1 step at most {most:d} permille of the objects of iwerddon return'
    ' to it'
)
def then_few_returned(context, most):
    context.shift.step(context.demand)
    before = context.before['iwerddon']
    after = context.shift.regions()['iwerddon']
    returned = after.count('iwerddon') - before.count('iwerddon')
    assert 1000 * returned / len(before) <= most, returned


@then(
    'within 1 step at most {most:d} permille of the objects of iwerddon move'
)
def then_few_moved(context, most):
    context.shift.step(context.demand)
    before = context.before['iwerddon']
    after = context.shift.regions()['iwerddon']
    moved = sum(a != b for a, b in zip(before, after))
    assert 1000 * moved / len(before) <= most, moved


@then('objects of the other regions are where they were')
def then_others_stay(context):
    regions = context.shift.regions()
    for home in ('iwerddon', 'lloegr'):
        assert regions[home] == context.before[home], home


@then("no later step moves more than {most:d} permille of a region's objects")
def then_later_capped(context, most):
    for _ in range(SETTLING_STEPS):
        context.shift.step(context.demand)
    then_capped(context, most)


@then('after {count:d} steps every region serves its own requests')
def then_local_again(context, count):
    for _ in range(count):
        context.shift.step(context.demand)
    then_local(context)
