"""Steps for the choice of the gateway that a request is relayed to."""

from random import Random

from behave import given
from behave import then
from behave import when

from fuchsiacart.gateway.gateway_selectors import GatewaySelector
from fuchsiacart.models import Host
from fuchsiacart.settings import HostSettings

NOW_MS = 10_000.0


def make_host(name, region):
    """Return a gateway of a region."""
    return Host(name, 1, region, f'{region}-a', f'{name}:8161', name)


def make_selector(hosts):
    """Return the selector of an isolated gateway of cymru."""
    settings = HostSettings(
        name='isolated', region='cymru', failure_domain='cymru-a'
    )
    selector = GatewaySelector(settings, Random(1))
    selector.apply_view(hosts)
    return selector


@given('an isolated gateway of cymru, others of cymru and of lloegr')
def given_regions(context):
    context.hosts = [
        make_host('near-0', 'cymru'),
        make_host('near-1', 'cymru'),
        make_host('far-0', 'lloegr'),
    ]
    context.selector = make_selector(context.hosts)


@when('it relays a request whose caller and home are of lloegr')
def when_relayed_home(context):
    context.chosen = context.selector.choose(('lloegr',), (), NOW_MS)


@then('a gateway of {region} is chosen')
def then_chosen(context, region):
    assert context.chosen is not None
    assert context.chosen.region == region, context.chosen
