"""Steps for links between regions and for gossip."""

from random import Random

from behave import given
from behave import then
from behave import when

from fuchsiacart.entry.gossip import Gossip
from fuchsiacart.entry.links import LinkBudget
from fuchsiacart.messages import Summary
from fuchsiacart.models import Host
from fuchsiacart.models import Rank

SIZE_BYTES = 1000
NEWEST = Summary('entry-1', 5, 50, ())


@given('a budget of {rate:d} bytes a second to a region')
def given_budget(context, rate):
    context.link = LinkBudget(rate, 0.0)


@given('a host that has heard of {count:d} others')
def given_gossip(context, count):
    """Set up a host with a summary of each other host."""
    context.gossip = Gossip('entry-0', 'cymru', Random(1))
    summaries = [
        Summary(f'entry-{index}', 1, 1, ()) for index in range(2, count + 1)
    ]
    context.gossip.merge([NEWEST, *summaries], 0.0)
    context.hosts = [
        Host(
            f'entry-{index}',
            1,
            'cymru' if index % 2 else 'lloegr',
            'a',
            '',
            '',
        )
        for index in range(count)
    ]


@when('requests of {size:d} bytes arrive each ms for {seconds:d} seconds')
def when_requests_arrive(context, size, seconds):
    """Offer urgent requests and sum up the bytes that may cross."""
    context.crossed = sum(
        size
        for at_ms in range(seconds * 1000)
        if context.link.may_send(Rank.URGENT, size, float(at_ms))
    )


@when('background requests fill the link')
def when_filled(context):
    """Offer background requests until none may cross."""
    while context.link.may_send(Rank.BACKGROUND, SIZE_BYTES, 0.0):
        pass


@when('an answer of {size:d} bytes has crossed')
def when_answer(context, size):
    context.link.charge(size)


@when('an older summary and one of an older incarnation arrive')
def when_older(context):
    """Merge both; the older incarnation has the higher sequence number."""
    older = [Summary('entry-1', 5, 49, ()), Summary('entry-1', 4, 99, ())]
    context.gossip.merge(older, 1.0)


@then('at most {most:d} bytes have crossed')
def then_crossed(context, most):
    assert 0 < context.crossed <= most, context.crossed


@then('an urgent request may cross')
def then_urgent(context):
    """Check that the reserve for urgent requests is free."""
    assert context.link.may_send(Rank.URGENT, SIZE_BYTES, 0.0)


@then('a background request may not')
def then_background(context):
    """Check that the reserve is closed to background requests."""
    assert not context.link.may_send(Rank.BACKGROUND, SIZE_BYTES, 0.0)


@then('an urgent request may not cross for {seconds:d} seconds')
def then_not_yet(context, seconds):
    """Check that urgent requests wait for the budget to refill."""
    for at_ms in range(0, seconds * 1000, 100):
        assert not context.link.may_send(Rank.URGENT, 1, float(at_ms))
    assert context.link.may_send(Rank.URGENT, 1, seconds * 1000.0 + 500)


@then('a message of gossip holds at most {most:d} summaries')
def then_bounded(context, most):
    assert 0 < len(context.gossip.summaries()) <= most


@then('it goes to at most {most:d} hosts')
def then_few_peers(context, most):
    assert 0 < len(context.gossip.peers(context.hosts)) <= most


@then('the newer summary stays')
def then_newest_kept(context):
    assert NEWEST in context.gossip.summaries()
