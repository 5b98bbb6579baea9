"""Steps for the soak's faults of the control group's members."""

from random import Random

from behave import given
from behave import register_type
from behave import then
from behave import when

from soak.member_faults import CONTROL_HOSTS
from soak.member_faults import draw_member_plan
from soak.member_faults import LossBudget


def _parse_hosts(text):
    if text == 'none':
        return []
    return [int(each) for each in text.replace(' and', ',').split(',')]


_parse_hosts.pattern = r'none|\d+(?:(?:, | and )\d+)*'
register_type(Hosts=_parse_hosts)


@given('a control group that tolerates the loss of {count:d} hosts')
def given_budget(context, count):
    context.tolerated_losses = count
    context.budget = LossBudget(count)


@given('successors of hosts {hosts:Hosts} that start at {started_s:g} s')
def given_successors(context, hosts, started_s):
    for host in hosts:
        context.budget.record(host, started_s)


@then('hosts {chosen:Hosts} lose their disks at {at_s:g} s, of hosts {hosts}')
def then_chosen(context, chosen, at_s, hosts):
    found = context.budget.choose(
        _parse_hosts(hosts), context.tolerated_losses, at_s
    )
    assert found == chosen, found


@when('the faults of members are drawn for {count:d} seeds')
def when_drawn(context, count):
    context.plans = [draw_member_plan(Random(seed)) for seed in range(count)]


@then('some runs have no such faults, some three control hosts and some five')
def then_sizes(context):
    assert not all(plan.faults for plan in context.plans)
    sizes = {plan.control_hosts for plan in context.plans if plan.faults}
    assert sizes == {3, 5}, sizes


@then('no fault loses more disks than its group tolerates')
def then_within_tolerance(context):
    for plan in context.plans:
        assert plan.control_hosts == CONTROL_HOSTS[plan.tolerated_losses]
        for fault in plan.faults:
            assert 1 <= fault.lost_disks <= plan.tolerated_losses, fault


@then('some losses of power follow a change of members and some do not')
def then_moments(context):
    losses = [
        fault
        for plan in context.plans
        for fault in plan.faults
        if fault.power_loss_s is not None
    ]
    assert {0, 1, 2, 3} == {fault.changes for fault in losses}
