"""Steps for what emulated servers say of themselves."""

from behave import then


def _sends_after_no(emulators):
    """Return the requests to servers that had told the gateway not to."""
    return sum(
        each.heard.sends_to_leaving + each.heard.sends_to_full
        for each in emulators
    )


@then('no request is sent to a server that had told its gateway not to')
def step_no_sends(context):
    sends = _sends_after_no(context.present)
    assert not sends, sends


@then('without departures some are')
@then('without back-offs some are')
def step_some_sends(context):
    assert _sends_after_no(context.without)


@then('fewer requests are broken off by servers that end than without')
def step_fewer_broken_off(context):
    present, without = (
        sum(each.broken_off for each in emulators)
        for emulators in (context.present, context.without)
    )
    assert present < without, (present, without)


@then('one change for each of them tells all gateways that it leaves')
def step_changes(context):
    for emulator in context.present:
        (replacement,) = emulator.plan.replacements
        servers = sum(
            round(replacement.share * region.servers)
            for region in emulator.plan.regions
        )
        changes = emulator.replacements.changes
        assert changes <= servers, (changes, servers)


@then('more refusals come without a try at a server than without')
def step_at_once(context):
    present, without = (
        sum(each.callers.refusals_at_once for each in emulators)
        / sum(each.callers.refusals for each in emulators)
        for emulators in (context.present, context.without)
    )
    assert present > without, (present, without)
