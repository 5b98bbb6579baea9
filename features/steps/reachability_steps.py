"""Steps for the decision whether a gateway reaches backend servers."""

from behave import given
from behave import then
from behave import when

from fuchsiacart.gateway.reachability import ServerReachability


@given('a gateway with {count:d} backend servers')
def given_gateway(context, count):
    context.reachability = ServerReachability()
    context.reachability.apply_view(count)


@when('{count:d} servers give no sign of life')
def when_silent(context, count):
    for index in range(count):
        context.reachability.record_unconnected(f'server-{index}')


@when('a connection to another server is opened')
def when_connected(context):
    context.reachability.record_connected()


@when('no probed server takes a connection')
def when_probed(context):
    context.reachability.record_probe(False)


@then('the gateway does not take itself for isolated')
def then_reached(context):
    assert not context.reachability.is_isolated
