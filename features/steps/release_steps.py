"""Steps for the simulation of releases."""

from behave import given
from behave import then
from behave import when

from fuchsiacart.settings import RouteSettings
from models.release_worlds import SERVERS
from models.release_worlds import Trouble
from models.releases import play
from models.releases import Policy

FAULTS = {
    'counts a renewal from when its answer is read': {
        'counts_from_reading': True
    },
    'asks for the age of its view on arrival only': {'asks_on_arrival': True},
    'goes on by its view however old it is': {'policy': Policy.SERVE},
}


@given(
    'a release of {count:d} servers, a gateway and its leader,'
    ' beside {trouble}'
)
def given_release(context, count, trouble):
    assert count == SERVERS
    context.trouble = Trouble(trouble)
    context.faults = {}


@given('the simulated gateway {fault}')
def given_fault(context, fault):
    context.faults = FAULTS[fault]


@when('it is played with seeds {first:d} to {last:d}')
def when_played(context, first, last):
    context.tallies = {
        seed: play(seed, context.trouble, **context.faults)
        for seed in range(first, last + 1)
    }


@then(
    'no request reaches a server later than {bound_s:g} s after it has said'
    ' that it leaves'
)
def then_none_late(context, bound_s):
    assert bound_s == RouteSettings().drain_s
    late = {seed: each for seed, each in context.tallies.items() if each.late}
    assert not late, late
    assert all(each.served for each in context.tallies.values())


@then('requests reach servers later than that')
def then_late(context):
    assert any(each.late for each in context.tallies.values())
