"""Steps for election timers."""

from itertools import combinations

from behave import given
from behave import then

from fuchsiacart.control.elections import ElectionTimer
from fuchsiacart.randomness import make_random

TIMEOUT_MS = 1000
SEED = 3


def due_times(count):
    """Return the time in ms at which the timer of each host is due."""
    times = []
    for index in range(count):
        random = make_random(SEED, f'control-{index}')
        timer = ElectionTimer(TIMEOUT_MS, random, 0.0)
        due_ms = next(
            at for at in range(3 * TIMEOUT_MS) if timer.is_due(float(at))
        )
        times.append(due_ms)
    return times


@given('election timers of {count:d} hosts with the same seed')
def given_timers(context, count):
    """Record when the timers are due."""
    context.due = due_times(count)


@given('a leader whose quorum has answered at {at:d}')
def given_leader(context, at):
    """Confirm the leader's first round."""
    random = make_random(SEED, 'control-1')
    context.timer = ElectionTimer(TIMEOUT_MS, random, 0.0)
    context.timer.on_elected(0.0)
    context.timer.confirm_round(1, float(at))


@then('no two of them are due within {least:d} ms')
def then_apart(context, least):
    for one, other in combinations(context.due, 2):
        assert abs(one - other) >= least, context.due


@then('the same timers are due at the same times again')
def then_same(context):
    """Compare with new timers of the same seed."""
    assert due_times(len(context.due)) == context.due


@then('its quorum is fresh at {at:d}')
def then_fresh(context, at):
    assert context.timer.has_fresh_quorum(float(at))


@then('its quorum is not fresh at {at:d}')
def then_not_fresh(context, at):
    assert not context.timer.has_fresh_quorum(float(at))
