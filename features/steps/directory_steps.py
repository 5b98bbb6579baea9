"""Steps for look-ups of gateways."""

from collections import Counter

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace

from fuchsiacart.control.directory import find_gateways
from fuchsiacart.control.directory import MIN_GATEWAYS
from fuchsiacart.models import Host
from fuchsiacart.models import HostState
from fuchsiacart.views import with_state

REGION = 'cymru'
DOMAIN = 'cymru-a'
NEIGHBOURS = 4


def make_hosts(domain, count):
    """Return gateways of a failure domain."""
    names = [f'gateway-{domain}-{index}' for index in range(count)]
    return [
        Host(name, 1, REGION, domain, f'{name}:8161', name) for name in names
    ]


def look_up(context, caller, region=REGION, domain=DOMAIN):
    """Return the addresses that a caller is told."""
    return find_gateways(context.hosts, region, domain, caller)


@given('a failure domain with {count:d} gateways')
@given('a failure domain with {count:d} gateway')
def given_gateways(context, count):
    """Add some gateways in another domain of the region."""
    context.near = make_hosts(DOMAIN, count)
    context.hosts = context.near + make_hosts('cymru-b', NEIGHBOURS)


@when('{count:d} callers of it look up gateways')
def when_many_look_up(context, count):
    context.answers = [
        look_up(context, f'10.1.{index // 250}.{index % 250}')
        for index in range(count)
    ]


@when('a caller of it looks up gateways')
def when_looked_up(context):
    context.answer = look_up(context, '10.1.0.9')


@when('it looks them up again')
def when_looked_up_again(context):
    context.earlier, context.answer = context.answer, look_up(
        context, '10.1.0.9'
    )


@when('a caller of another region looks up gateways')
def when_distant(context):
    context.answer = look_up(context, '10.9.0.9', 'lloegr', 'lloegr-a')


@when('one of these gateways leaves')
def when_one_leaves(context):
    context.hosts = [
        host
        for host in context.hosts
        if host.http_address != context.answer[0]
    ]


@given('a distant region with gateways')
def given_distant(context):
    hosts = make_hosts('lloegr-a', NEIGHBOURS)
    context.distant = [replace(host, region='lloegr') for host in hosts]


@when('{count:d} gateways of it reach no backend server')
def when_isolated(context, count):
    set_state(context, context.near[:count], HostState.ISOLATED)


@when('all gateways of the region reach no backend server')
def when_all_isolated(context):
    set_state(context, context.hosts, HostState.ISOLATED)
    context.hosts = context.hosts + context.distant


@when('{count:d} gateways of it leave')
def when_some_leave(context, count):
    set_state(context, context.near[:count], HostState.LEAVING)


def set_state(context, changed, state):
    """Put some of the hosts into a state."""
    context.changed = {host.http_address for host in changed}
    context.hosts_told = [
        host
        for host in context.hosts
        if host.http_address not in context.changed
    ]
    context.hosts = [
        (
            with_state(host, state)
            if host.http_address in context.changed
            else host
        )
        for host in context.hosts
    ]


@then('it is told the {count:d} other gateways of its failure domain')
def then_told_others(context, count):
    near = {host.http_address for host in context.near}
    assert set(context.answer) == near - context.changed
    assert len(context.answer) == count


@then('it is told the gateways of its region that reach servers')
def then_told_reaching(context):
    addresses = {host.http_address for host in context.hosts_told}
    assert set(context.answer) == addresses


@then('each of them is told {count:d} gateways of its failure domain')
def then_told(context, count):
    near = {host.http_address for host in context.near}
    for answer in context.answers:
        assert len(set(answer)) == len(answer) == count, len(answer)
        assert near.issuperset(answer)


@then(
    'every gateway is told to between half and twice as many callers as the'
    ' mean'
)
def then_spread(context):
    times = Counter(each for answer in context.answers for each in answer)
    mean = sum(times.values()) / len(context.near)
    for host in context.near:
        told = times[host.http_address]
        assert mean / 2 <= told <= mean * 2, (host.name, told, mean)


@when('all gateways of the region but one are isolated')
def when_all_but_one_isolated(context):
    context.hosts[1:] = [
        with_state(host, HostState.ISOLATED) for host in context.hosts[1:]
    ]


@then('it is told at least two gateways of its region')
def then_two_told(context):
    assert len(context.answer) >= MIN_GATEWAYS, context.answer


@then('it is told the same gateways')
def then_same(context):
    assert context.answer == context.earlier


@then('it is told one other gateway, and else the same')
def then_one_other(context):
    assert len(context.answer) == len(context.earlier)
    assert len(set(context.answer) - set(context.earlier)) == 1
    assert len(set(context.earlier) - set(context.answer)) == 1


@then('it is told all gateways of its failure domain')
def then_all_near(context):
    assert set(context.answer) == {host.http_address for host in context.near}


@then('it is told the gateways of its region')
def then_all_of_region(context):
    hosts = [host for host in context.hosts if host.region == REGION]
    assert set(context.answer) == {host.http_address for host in hosts}


@then('it is told all gateways')
def then_all(context):
    assert set(context.answer) == {host.http_address for host in context.hosts}
