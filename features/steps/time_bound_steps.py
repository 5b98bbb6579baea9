"""Steps for the bounds of the times of routes."""

from decimal import Decimal
from fractions import Fraction
from random import Random

from behave import then
from behave import when
from msgspec.json import encode
from msgspec.msgpack import encode as encode_packed
from msgspec.structs import replace

from features.steps.platform_steps import configuration
from fuchsiacart.configurations import apply_order
from fuchsiacart.configurations import Configuration
from fuchsiacart.configurations import find_validation_error
from fuchsiacart.control.commands import ChangeConfiguration
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.platform.documents import read_put
from fuchsiacart.route_times import make_route_times
from tools.compatibility import lay_out_build
from tools.compatibility import production_commit
from tools.compatibility import run_samples

SEED = 60
CASES = 3000
MAX_DECIMALS = 17
TAKEN = 300


def make_body(timeout, objective):
    """Return a configuration in which a route has times, as JSON texts."""
    document = configuration()
    document['resources'][0]['spec'] |= {'timeout_s': 111, 'slo_s': 222}
    text = encode(document).decode()
    text = text.replace(':111,', f':{timeout},')
    return text.replace(':222,', f':{objective},').encode()


def draw_times(random):
    """Return a timeout and an objective close to a bound, as texts."""
    decimals = random.randint(0, MAX_DECIMALS)
    unit = Decimal(1).scaleb(-decimals)
    timeout = random.choice((random.randint(0, 599), 600)) + Decimal(
        random.randrange(10**decimals)
    ) * unit * random.randint(0, 1)
    margin = random.choice((59, 60, 60, 60, 61))
    objective = timeout + margin + random.randint(-2, 2) * unit
    timeout += random.randint(-1, 1) * unit
    return max(Decimal(0), timeout), max(Decimal(0), objective)


def is_valid(timeout, objective):
    """Return the verdict on the figures as they are."""
    timeout, objective = Fraction(timeout), Fraction(objective)
    return timeout <= 600 and objective - timeout < 60


@when(
    'its route has a timeout of {timeout} s and an objective of {objective} s'
)
def when_times(context, timeout, objective):
    context.body = make_body(timeout, objective)


@when(
    'its route has a timeout of {timeout} s and an objective with {digits:d}'
    ' digits'
)
def when_digits(context, timeout, digits):
    context.body = make_body(timeout, f'1.{"0" * (digits - 2)}1')


@then('its times are found {outcome}')
def then_outcome(context, outcome):
    """Judge an order as a control host and its replicas do."""
    try:
        order = read_put(context.body)
    except ChangeError as error:
        assert error.kind is ErrorKind.BAD_REQUEST, error.kind
        detail = error.detail
    else:
        detail = find_validation_error(apply_order(Configuration(), order))
    found = 'taken' if detail is None else 'malformed'
    if detail and detail.startswith('route r-1: '):
        found = 'refused'
    assert found == outcome, detail


@when('times around each bound are checked with up to 17 decimals')
def when_checked(context):
    random = Random(SEED)
    context.verdicts = []
    for _ in range(CASES):
        timeout, objective = draw_times(random)
        try:
            times = make_route_times(timeout, objective)
        except ChangeError:
            times = None
        context.verdicts.append((timeout, objective, times))


@then('each verdict is that on the figures as they were sent')
def then_verdicts(context):
    wrong = [
        each
        for each in context.verdicts
        if (each[2] is not None) != is_valid(*each[:2])
    ]
    assert not wrong, (len(wrong), wrong[:3])
    taken = sum(each[2] is not None for each in context.verdicts)
    assert CASES / 5 < taken < CASES * 4 / 5, taken


@then('replicas find all that is taken valid')
def then_valid(context):
    for timeout, objective, times in context.verdicts:
        if times is None:
            continue
        order = read_put(make_body(timeout, objective))
        (route,) = apply_order(Configuration(), order).routes
        assert route.timeout_ms == times.timeout_ms, (route, times)
        assert route.objective_ms == times.objective_ms, (route, times)
        error = find_validation_error(apply_order(Configuration(), order))
        assert error is None, (timeout, objective, error)


@when('orders with times around each bound are taken by this build')
def when_taken(context):
    random = Random(SEED)
    context.commands = {}
    while len(context.commands) < TAKEN:
        try:
            order = read_put(make_body(*draw_times(random)))
        except ChangeError:
            continue
        version = len(context.commands)
        order = replace(
            order,
            version=version + 1,
            parent_version=version,
            digest=str(version),
        )
        command = ChangeConfiguration(order, 1)
        context.commands[str(version)] = encode_packed(command).hex()


@then(
    'the build in production applies them all, to the same state as this one'
)
def then_same_state(context):
    states = [
        run_samples(
            lay_out_build(commit), 'apply', {'command': context.commands}
        )
        for commit in (production_commit(), '')
    ]
    assert states[0] == states[1]
    configuration = states[0]['routes']['configuration']
    assert configuration['version'] == TAKEN, configuration['version']
