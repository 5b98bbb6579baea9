"""Steps for instances that are full, through separate processes."""

from time import monotonic

from behave import given
from behave import then
from behave import when

from features.steps.departure_steps import send_for
from features.steps.departure_steps import start_instances
from features.steps.platform_path_steps import Instance
from features.steps.platform_path_steps import InstanceHandler

# Until this long after a refusal, requests may have been under way.
UNDER_WAY_S = 0.5
WAIT_S = 3.0


class FullHandler(InstanceHandler):
    """Refuses requests once its instance is full."""

    async def get(self):
        """See :class:`InstanceHandler`."""
        instance = self.application.settings['instance']
        if not instance.is_full:
            await super().get()
            return
        instance.refused_s.append(monotonic())
        self.set_status(503)
        self.set_header('X-Attempt-Id', self.request.headers['X-Attempt-Id'])
        self.set_header('X-Not-Run', '1')
        self.set_header('Retry-After', f'{WAIT_S:g}')


class FullInstance(Instance):
    """An instance that can be full."""

    handler = FullHandler

    def __init__(self, name, fixture):
        super().__init__(name, fixture)
        self.is_full = False
        self.refused_s = []


@given(
    '{count:d} instances of a service, of which one will refuse all requests'
)
def given_full_instances(context, count):
    start_instances(context.platform, FullInstance, count)


@when('the instance refuses for 3 s each time, and requests go to one gateway')
def when_full(context):
    fixture = context.platform
    fixture.instances[0].is_full = True
    context.statuses = []
    fixture.run(send_for(context, fixture.gateways[:1], 2 * WAIT_S))


@then(
    'at most {most:d} requests reach it from 0.5 s after a refusal to the end'
    ' of its time'
)
def then_few_meanwhile(context, most):
    refused_s = context.platform.instances[0].refused_s
    assert refused_s, 'it got no request at all'
    for said_s in refused_s:
        reached = [
            each_s
            for each_s in refused_s
            if said_s + UNDER_WAY_S < each_s < said_s + WAIT_S
        ]
        assert len(reached) <= most, len(reached)
