"""Steps that play emulated deployments in simulated time."""

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace

from standins.emulation import BASELINES
from standins.emulation.callers import ISOLATION_LIMIT_S
from standins.emulation.deployments import MILLISECONDS
from standins.emulation import Emulator
from standins.emulation import Evacuation
from standins.emulation import EXAMPLES
from standins.emulation import Fullness
from standins.emulation import Isolation
from standins.emulation import Replacement
from standins.emulation import Span
from standins.emulation.tallies import WINDOW_MS

SERVED_FLOOR = 0.25
ISOLATED_RATIO = 2 / 3
RETRY_RATIO = 0.2


@given('the emulated deployment "{name}"')
def step_deployment(context, name):
    context.plan = EXAMPLES[name]


@given('a load of {load:g}')
def step_load(context, load):
    context.plan = replace(context.plan, load=load)


@given(
    'a load of {load:g} and a burst of {factor:g} from {start:g} to {end:g} s'
)
def step_burst(context, load, factor, start, end):
    context.plan = replace(
        context.plan, load=load, bursts=(Span(start, end, factor),)
    )


@given('an evacuation of {domain} from {start:g} to {end:g} s')
def step_evacuation(context, domain, start, end):
    context.plan = replace(
        context.plan, evacuations=(Evacuation(domain, start, end),)
    )


@given(
    'a share of {share:g} of the gateways that reaches no server from'
    ' {start:g} to {end:g} s'
)
def step_isolation(context, share, start, end):
    context.plan = replace(
        context.plan, isolations=(Isolation(share, start, end),)
    )


@given('gateways without a view from {start:g} to {end:g} s')
def step_blind(context, start, end):
    context.plan = replace(context.plan, blind=(Span(start, end, 1.0),))


@given(
    'half of the servers leave by their answers one after the other, from'
    ' {start:g} to {end:g} s'
)
def step_replacements(context, start, end):
    context.plan = replace(
        context.plan, replacements=(Replacement(0.5, start, end),)
    )


@given(
    '{part} of the servers are full for {wait:g} s at a time, from {start:g}'
    ' to {end:g} s'
)
def step_fullness(context, part, wait, start, end):
    is_all = part == 'all'
    fullness = Fullness(1.0 if is_all else 0.5, start, end, wait, is_all)
    context.plan = replace(context.plan, fullness=(fullness,))


@when('seeds {first:d} to {last:d} are played with and without {part}')
def step_play(context, first, last, part):
    context.present, context.without = [], []
    for seed in range(first, last + 1):
        plan = replace(context.plan, seed=seed)
        context.present.append(Emulator(plan))
        context.without.append(Emulator(plan, BASELINES[part]))
    for emulator in context.present + context.without:
        emulator.play()


def _credit(emulators, kind=None):
    """Return the share of the credit earned, of one kind or of all."""
    tallies = [
        each.tallies.by_kind[kind] if kind else each.tallies.total
        for each in emulators
    ]
    owed = sum(tally.owed for tally in tallies)
    return sum(tally.earned for tally in tallies) / owed


def _served(tallies):
    count = sum(tally.count for tally in tallies)
    return sum(tally.in_time + tally.late for tally in tallies) / count


@then('the most urgent kind earns at least {gain:g} more than without')
def step_urgent_gain(context, gain):
    kind = min(context.plan.kinds, key=lambda each: each.rank).name
    present = _credit(context.present, kind)
    without = _credit(context.without, kind)
    assert present >= without + gain, (present, without)


@then('all kinds together earn at least {gain:g} more than without')
def step_gain(context, gain):
    present, without = _credit(context.present), _credit(context.without)
    assert present >= without + gain, (present, without)


@then('all kinds together earn no less than without')
def step_no_loss(context):
    present, without = _credit(context.present), _credit(context.without)
    assert present >= without, (present, without)


@then('fewer requests end refused than without')
def step_fewer_refused_at_all(context):
    present, without = (
        sum(each.tallies.total.refused for each in emulators)
        for emulators in (context.present, context.without)
    )
    assert present < without, (present, without)


@then('each kind is served at a quarter of the common rate or more')
def step_no_starving(context):
    common = _served([each.tallies.total for each in context.present])
    for kind in context.plan.kinds:
        served = _served(
            [each.tallies.by_kind[kind.name] for each in context.present]
        )
        assert served >= SERVED_FLOOR * common, (kind.name, served, common)


@then('no more than {share:g} of the requests are refused or fail')
def step_few_failures(context, share):
    for emulator in context.present:
        total = emulator.tallies.total
        lost = (total.refused + total.failed) / total.count
        assert lost <= share, lost


@then('the retries keep to their budget')
def step_budget(context):
    for emulator in context.present:
        count = emulator.tallies.total.count
        retries = emulator.sends - emulator.first_sends
        windows = context.plan.duration_s / 10.0
        limit = RETRY_RATIO * count + context.plan.retry_slack * windows
        assert retries <= limit, (retries, limit)


@then('no message to a gateway has more than {count:d} bytes of loads')
def step_small_messages(context, count):
    for emulator in context.present:
        assert emulator.largest_message <= count, emulator.largest_message


def _isolated_ratios(emulators):
    return [each.tallies.isolated_ratio() for each in emulators]


@then(
    'from {bound_s:d} s on first tries there are served two thirds as often as'
    ' elsewhere'
)
def step_isolated_served(context, bound_s):
    assert bound_s == ISOLATION_LIMIT_S, bound_s
    ratios = _isolated_ratios(context.present)
    assert min(ratios) >= ISOLATED_RATIO, ratios


@then('without relays they are not')
def step_isolated_not_served(context):
    ratios = _isolated_ratios(context.without)
    assert max(ratios) < ISOLATED_RATIO, ratios


@then('fewer than half as many requests of these seconds end refused')
def step_fewer_refused(context):
    present, without = (
        sum(_refused_in_blind(each) for each in emulators)
        for emulators in (context.present, context.without)
    )
    assert present < without / 2, (present, without)


def _refused_in_blind(emulator):
    """Return the refused requests of the windows of 2 s without a view."""
    (span,) = emulator.plan.blind
    windows = emulator.tallies.by_window
    first, last = (
        int(each * MILLISECONDS // WINDOW_MS)
        for each in (span.start_s, span.end_s)
    )
    return sum(windows[at].refused for at in range(first, last + 1))
