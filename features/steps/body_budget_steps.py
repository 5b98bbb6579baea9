"""Steps for the memory of response bodies, without connections."""

from behave import given
from behave import then
from behave import when

from fuchsiacart.gateway.body_budgets import BodyBudget

PIECE_BYTES = 100


class Reader:
    """Receives a body.

    :param size: bytes of the body.
    """

    def __init__(self, size):
        self.size = size
        self.server_name = f'server-{size}'
        self.is_aborted = False

    def abort(self):
        """Note that the body was given up."""
        self.is_aborted = True


def receive(budget, reader):
    """Charge a whole body, unless it is given up on the way."""
    for _ in range(0, reader.size, PIECE_BYTES):
        if not reader.is_aborted:
            budget.add(reader, PIECE_BYTES)


@given('a budget of {limit:d} bytes for all bodies in flight')
def given_budget(context, limit):
    context.budget = BodyBudget(limit)


@when(
    'bodies of {first:d}, {second:d} and {third:d} bytes arrive piece by piece'
)
def when_bodies(context, first, second, third):
    context.readers = [Reader(size) for size in (first, second, third)]
    for reader in context.readers:
        receive(context.budget, reader)


@when('bodies of {size:d} bytes arrive one after the other')
def when_one_after_the_other(context, size):
    context.readers = [Reader(size), Reader(size)]
    for reader in context.readers:
        receive(context.budget, reader)
        context.budget.release(reader)


@then('the one of {size:d} bytes is given up and the others are kept')
def then_given_up(context, size):
    given_up = [each.size for each in context.readers if each.is_aborted]
    assert given_up == [size], given_up


@then('{size:d} bytes are held')
def then_held(context, size):
    assert context.budget.held_bytes == size, context.budget.held_bytes


@then('none is given up')
def then_none(context):
    assert not any(each.is_aborted for each in context.readers)
