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


class SteeringSubject:
    """Weights set over time, through the replicated state."""

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
        """Return what is known of the regions."""
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
        """Let the leader set the weights once."""
        stored = self.state.stored
        current = Weights(stored.weights)
        wanted = self.policy.target(self.loads(), current)
        limiter = ShiftLimiter(self.cap, self.window_ms)
        limited = limiter.limit(
            wanted, stored.weights_history, REGIONS, self.now_ms
        )
        for home in REGIONS:
            moved = moved_permille(home, current, limited, REGIONS)
            if current.has_home(home):
                self.moves.append((self.now_ms, home, moved))
        if limited.rows() != stored.weights:
            self.state.apply(make_weights_command(limited, self.now_ms))
        self.now_ms += STEP_MS

    def hand_over(self):
        """Give the state to a new leader by a snapshot."""
        body = self.state.snapshot()
        self.state = ReplicatedState()
        self.state.restore(body)

    def share(self, home, target):
        """Return the present share."""
        return Weights(self.state.stored.weights).share(home, target)


def entry_host(index):
    """Return an entry host of one region."""
    name = f'entry-{index}'
    address = f'10.0.0.{index}:80'
    return Host(name, 1, 'cymru', 'cymru-a', address, address)


class LookupSubject:
    """Look-ups over some hosts."""

    def __init__(self, count):
        self.hosts = tuple(entry_host(index) for index in range(count))
        self.gone = self.hosts[5]
        self.before = self.answers(self.hosts, ())
        self.after = {}

    def answers(self, hosts, drains, weights=()):
        """Return the answer to every client."""
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
    """Set up the regions."""
    context.steering = SteeringSubject(slots, cap, window)


@given('region cymru has sent a part of its blocks away')
def given_sent(context):
    """Overload a region until its weights have moved."""
    context.steering.busy['cymru'] = 160
    for _ in range(20):
        context.steering.steer()
    assert context.steering.share('cymru', 'cymru') < WHOLE_PERMILLE


@given('region lloegr has {one:d} busy slots and region iwerddon {two:d}')
def given_busy(context, one, two):
    """Set the load of two regions."""
    context.steering.busy |= {'lloegr': one, 'iwerddon': two}


@given('{count:d} entry hosts in one region')
def given_hosts(context, count):
    """Set up the look-ups."""
    context.lookups = LookupSubject(count)


@when(
    'causes change at random every {step:d} ms for {seconds:d} seconds'
    ' with seed {seed:d}'
)
def when_random(context, step, seconds, seed):
    """Lose, find, load and stop measuring regions at random."""
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
    """Lose a region and steer."""
    context.steering.lost.add('cymru')
    for _ in range(60):
        context.steering.steer()


@when('the state goes to a new leader after every move')
def when_new_leaders(context):
    """Lose the region again from the start, under changing leaders."""
    steering = SteeringSubject(
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
    """Lose a region while another is not measured."""
    context.steering.unmeasured.add('lloegr')
    when_lost(context)


@when('the measurements of cymru stop')
def when_stopped(context):
    """Stop the measurements."""
    steering = context.steering
    context.frozen = steering.state.stored.weights
    steering.unmeasured.add('cymru')
    steering.busy['cymru'] = 0
    for _ in range(20):
        steering.steer()


@when('region cymru is lost and the baseline decides')
def when_baseline(context):
    """Let the baseline steer."""
    context.steering.policy = HomeWeights()
    when_lost(context)


@when('one of them leaves')
def when_leaves(context):
    """Take a host out."""
    lookups = context.lookups
    hosts = tuple(host for host in lookups.hosts if host != lookups.gone)
    lookups.after = lookups.answers(hosts, ())


@when('one of them is drained')
def when_drained(context):
    """Drain a host."""
    lookups = context.lookups
    drain = Drain(DrainScope.HOST, lookups.gone.name)
    lookups.after = lookups.answers(lookups.hosts, (drain,))


@when('its region is drained while a part of its blocks goes to it')
def when_region_drained(context):
    """Drain the region while three tenths of its blocks are left."""
    _drain_region(context, 300)


@when('no block goes to it any more')
def when_region_moved(context):
    """Move the last blocks."""
    _drain_region(context, 0)


def _drain_region(context, left):
    lookups = context.lookups
    weights = (
        RegionWeight('cymru', 'cymru', left),
        RegionWeight('cymru', 'lloegr', WHOLE_PERMILLE - left),
    )
    drain = Drain(DrainScope.REGION, 'cymru')
    lookups.after = lookups.answers(lookups.hosts, (drain,), weights)


@then('look-ups of that part still name its hosts')
def then_part(context):
    """Count the look-ups that name a host."""
    named = sum(bool(hosts) for hosts in context.lookups.after.values())
    assert 0.2 < named / len(CLIENTS) < 0.4, named


@then('no host of it is named')
def then_no_host(context):
    """Check that nobody is named."""
    assert not any(context.lookups.after.values())


@then(
    'in no window of {window:d} ms more than {cap:d} permille of a region'
    ' moved'
)
def then_capped(context, window, cap):
    """Add the moves up over every window."""
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
    """Check that the move has ended."""
    assert context.steering.share('cymru', 'cymru') == 0


@then('no block of cymru is moved to lloegr')
def then_not_free(context):
    """Check that the unmeasured region got nothing."""
    assert context.steering.share('cymru', 'lloegr') == 0
    assert context.steering.share('cymru', 'iwerddon') > 0


@then('the weights of cymru stay as they are')
def then_frozen(context):
    """Compare the weights with those before."""
    assert context.steering.state.stored.weights == context.frozen


@then('iwerddon gets more of the blocks of cymru than lloegr')
def then_headroom(context):
    """Compare the shares."""
    steering = context.steering
    one = steering.share('cymru', 'iwerddon')
    two = steering.share('cymru', 'lloegr')
    assert one > two > 0, (one, two)


@then('all blocks of cymru go to cymru')
def then_home(context):
    """Check the baseline."""
    assert context.steering.share('cymru', 'cymru') == WHOLE_PERMILLE


@then('only look-ups that named it first name another host first')
def then_few_moved(context):
    """Compare the first hosts named."""
    lookups = context.lookups
    gone = lookups.gone.http_address
    moved = [
        client
        for client in CLIENTS
        if lookups.before[client][0] != lookups.after[client][0]
    ]
    assert moved
    assert all(lookups.before[client][0] == gone for client in moved)


@then('no look-up names it')
def then_unnamed(context):
    """Search all answers."""
    gone = context.lookups.gone.http_address
    answers = context.lookups.after.values()
    assert all(gone not in hosts for hosts in answers)
