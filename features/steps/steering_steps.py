"""Steps for steering between regions and for look-ups."""

from random import Random

from behave import given
from behave import then
from behave import when

from fuchsiacart.control.states import ReplicatedState
from fuchsiacart.control.states import ViewSnapshot
from fuchsiacart.control.steering import HeadroomWeights
from fuchsiacart.control.steering import HomeWeights
from fuchsiacart.control.steering import make_weights_command
from fuchsiacart.control.steering import moved_permille
from fuchsiacart.control.steering import RegionLoad
from fuchsiacart.control.steering import ShiftLimiter
from fuchsiacart.control.steering import Weights
from fuchsiacart.control.steering import WHOLE_PERMILLE
from fuchsiacart.entry.lookups import LookupTable
from fuchsiacart.models import Drain
from fuchsiacart.models import DrainScope
from fuchsiacart.models import Host
from fuchsiacart.models import RegionWeight
from fuchsiacart.views import View

REGIONS = ('cymru', 'iwerddon', 'lloegr')
STEP_MS = 300
CLIENTS = [f'10.1.{index // 250}.{index % 250}' for index in range(2000)]


class SteeringFixture:
    """Region weights that change over time through the replicated state."""

    def __init__(self, slots, cap, window_ms):
        self.slots = slots
        self.cap = cap
        self.window_ms = window_ms
        self.busy = dict.fromkeys(REGIONS, 20)
        self.lost = set()
        self.unmeasured = set()
        self.policy = HeadroomWeights()
        self.state = ReplicatedState()
        self.now_ms = 1_000_000
        self.moves = []
        self.steer()

    def loads(self):
        """Return the load of each region as the leader sees it."""
        return [
            RegionLoad(
                region,
                0 if region in self.lost else self.slots,
                self.busy[region],
                region not in self.unmeasured,
                region not in self.lost,
            )
            for region in REGIONS
        ]

    def steer(self):
        """Set the weights once, record what moved, and advance the time."""
        stored = self.state.stored
        current = Weights(stored.weights)
        target_weights = self.policy.target(self.loads(), current)
        limiter = ShiftLimiter(self.cap, self.window_ms)
        limited = limiter.limit(
            target_weights, stored.weights_history, REGIONS, self.now_ms
        )
        for home in REGIONS:
            moved = moved_permille(home, current, limited, REGIONS)
            if current.has_home(home):
                self.moves.append((self.now_ms, home, moved))
        if limited.rows() != stored.weights:
            self.state.apply(make_weights_command(limited, self.now_ms))
        self.now_ms += STEP_MS

    def hand_over(self):
        """Restore the state from its snapshot, as a new leader does."""
        body = self.state.snapshot()
        self.state = ReplicatedState()
        self.state.restore(body)

    def share(self, home, target):
        """Return the current weight of a target in permille."""
        return Weights(self.state.stored.weights).share(home, target)


def entry_host(index):
    """Return an entry host of cymru."""
    name = f'entry-{index}'
    address = f'10.0.0.{index}:80'
    return Host(name, 1, 'cymru', 'cymru-a', address, address)


class LookupFixture:
    """Look-ups of all clients, before and after a change of the hosts."""

    def __init__(self, count):
        self.hosts = tuple(entry_host(index) for index in range(count))
        self.affected = self.hosts[5]
        self.before = self.look_up_all(self.hosts, ())
        self.after = {}

    def look_up_all(self, hosts, drains, weights=()):
        """Return the hosts that a look-up names to each client."""
        view = View()
        view.restore(ViewSnapshot(1, (), drains, hosts, weights))
        table = LookupTable(view, 'cymru', 1000)
        return {
            client: table.look_up('orders', client).hosts for client in CLIENTS
        }


@given(
    '3 regions with {slots:d} slots each and a cap of {cap:d} permille'
    ' in {window:d} ms'
)
def given_regions(context, slots, cap, window):
    context.steering = SteeringFixture(slots, cap, window)


@given('region cymru has moved some of its blocks away')
def given_blocks_moved(context):
    """Overload the region until some of its weights have moved."""
    context.steering.busy['cymru'] = 160
    for _ in range(20):
        context.steering.steer()
    assert context.steering.share('cymru', 'cymru') < WHOLE_PERMILLE


@given(
    'region lloegr has {lloegr:d} busy slots and region iwerddon'
    ' {iwerddon:d}'
)
def given_busy_slots(context, lloegr, iwerddon):
    context.steering.busy |= {'lloegr': lloegr, 'iwerddon': iwerddon}


@given('{count:d} entry hosts in one region')
def given_hosts(context, count):
    context.lookups = LookupFixture(count)


@when(
    'regions change at random every {step:d} ms for {seconds:d} seconds'
    ' with seed {seed:d}'
)
def when_random(context, step, seconds, seed):
    """Change one region at random in each step.

    A region is lost or found, its measurements stop or start, or its load
    changes. One step in five hands the state to a new leader.
    """
    random = Random(seed)
    steering = context.steering
    for _ in range(seconds * 1000 // step):
        region = random.choice(REGIONS)
        cause = random.randrange(4)
        if cause == 0:
            steering.lost ^= {region}
        elif cause == 1:
            steering.unmeasured ^= {region}
        else:
            steering.busy[region] = random.choice((0, 20, 90, 200))
        if random.random() < 0.2:
            steering.hand_over()
        steering.steer()


@when('region cymru is lost')
def when_lost(context):
    """Lose the region and steer 60 times."""
    context.steering.lost.add('cymru')
    for _ in range(60):
        context.steering.steer()


@when('a new leader restores the state after every move')
def when_new_leaders(context):
    """Start again and hand the state over before each of 60 steps."""
    steering = SteeringFixture(
        context.steering.slots,
        context.steering.cap,
        context.steering.window_ms,
    )
    steering.lost.add('cymru')
    for _ in range(60):
        steering.hand_over()
        steering.steer()
    context.steering = steering


@when('region cymru is lost and region lloegr has no measurements')
def when_unmeasured(context):
    context.steering.unmeasured.add('lloegr')
    when_lost(context)


@when('the measurements of cymru stop')
def when_measurements_stop(context):
    """Stop the measurements and steer 20 times."""
    steering = context.steering
    context.weights_before = steering.state.stored.weights
    steering.unmeasured.add('cymru')
    steering.busy['cymru'] = 0
    for _ in range(20):
        steering.steer()


@when('region cymru is lost and the baseline decides')
def when_baseline(context):
    context.steering.policy = HomeWeights()
    when_lost(context)


@when('one of them leaves')
def when_leaves(context):
    lookups = context.lookups
    hosts = tuple(host for host in lookups.hosts if host != lookups.affected)
    lookups.after = lookups.look_up_all(hosts, ())


@when('one of them is drained')
def when_drained(context):
    lookups = context.lookups
    drain = Drain(DrainScope.HOST, lookups.affected.name)
    lookups.after = lookups.look_up_all(lookups.hosts, (drain,))


@when('its region is drained while some of its blocks still go to it')
def when_region_drained(context):
    """Drain the region while 300 permille of its blocks are left."""
    _drain_region(context, 300)


@when('no block goes to it any more')
def when_region_moved(context):
    """Move the last blocks away."""
    _drain_region(context, 0)


def _drain_region(context, left_permille):
    lookups = context.lookups
    weights = (
        RegionWeight('cymru', 'cymru', left_permille),
        RegionWeight('cymru', 'lloegr', WHOLE_PERMILLE - left_permille),
    )
    drain = Drain(DrainScope.REGION, 'cymru')
    lookups.after = lookups.look_up_all(lookups.hosts, (drain,), weights)


@then('look-ups for those blocks still name its hosts')
def then_some_named(context):
    """Check that 20 to 40 percent of the look-ups name a host."""
    named = sum(bool(hosts) for hosts in context.lookups.after.values())
    assert 0.2 < named / len(CLIENTS) < 0.4, named


@then('no look-up names a host of the region')
def then_no_host(context):
    assert not any(context.lookups.after.values())


@then(
    'in no window of {window:d} ms more than {cap:d} permille of a region'
    ' moved'
)
def then_capped(context, window, cap):
    """Add the moves of each region up over every window."""
    moves = context.steering.moves
    assert any(moved for _, _, moved in moves)
    for start_ms, home, _ in moves:
        total = sum(
            moved
            for at_ms, region, moved in moves
            if region == home and start_ms <= at_ms < start_ms + window
        )
        assert total <= cap, (start_ms, home, total)


@then('in the end no block of cymru goes to cymru')
def then_moved(context):
    assert context.steering.share('cymru', 'cymru') == 0


@then('no block of cymru is moved to lloegr')
def then_not_to_unmeasured(context):
    """Check that only the measured region got blocks."""
    assert context.steering.share('cymru', 'lloegr') == 0
    assert context.steering.share('cymru', 'iwerddon') > 0


@then('the weights of cymru stay as they are')
def then_frozen(context):
    assert context.steering.state.stored.weights == context.weights_before


@then('iwerddon gets more of the blocks of cymru than lloegr')
def then_more_to_headroom(context):
    steering = context.steering
    iwerddon = steering.share('cymru', 'iwerddon')
    lloegr = steering.share('cymru', 'lloegr')
    assert iwerddon > lloegr > 0, (iwerddon, lloegr)


@then('all blocks of cymru go to cymru')
def then_home(context):
    assert context.steering.share('cymru', 'cymru') == WHOLE_PERMILLE


@then('only look-ups that named it first name another host first')
def then_only_its_clients_moved(context):
    lookups = context.lookups
    affected = lookups.affected.http_address
    moved = [
        client
        for client in CLIENTS
        if lookups.before[client][0] != lookups.after[client][0]
    ]
    assert moved
    assert all(lookups.before[client][0] == affected for client in moved)


@then('no look-up names it')
def then_unnamed(context):
    affected = context.lookups.affected.http_address
    named = context.lookups.after.values()
    assert all(affected not in hosts for hosts in named)
