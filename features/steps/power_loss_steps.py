"""Steps for disks that are lost with the power of all control hosts."""

from behave import when

from features.steps.replaced_host_steps import finish_replacements
from features.steps.replaced_host_steps import lose_random_disk


@when('all hosts lose power and one of them its disk')
def when_power_and_disk_lost(context):
    for group in context.groups:
        for name in group.names:
            group.lose_power(name)
        lose_random_disk(group)
        finish_replacements(group)
