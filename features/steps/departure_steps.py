"""Steps for instances that leave, through separate processes."""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from time import monotonic

from behave import given
from behave import then
from behave import when

from features.steps.platform_path_steps import DOMAINS
from features.steps.platform_path_steps import HEALTH_PATH
from features.steps.platform_path_steps import Instance
from features.steps.platform_path_steps import InstanceHandler

# What the platform allows for requests that were sent before.
DRAIN_S = 2.5
# Time for which requests go on afterwards.
AFTER_S = 3.0
SEND_INTERVAL_S = 0.03
OBJECTS = 24


class LeavingHandler(InstanceHandler):
    """Answers, and says whether its instance leaves."""

    async def get(self):
        """See :class:`InstanceHandler`."""
        instance = self.application.settings['instance']
        if self.request.path == HEALTH_PATH:
            await super().get()
            return
        _, sent_s, gateway = self.request.headers['X-Attempt-Id'].split('-')
        instance.arrivals.append((gateway, float(sent_s)))
        if instance.leaves:
            self.set_header('Server-Leaving', '1')
            instance.told_s.setdefault(gateway, monotonic())
        await super().get()

    def answer_check(self, instance):
        """See :class:`InstanceHandler`."""
        super().answer_check(instance)
        if instance.leaves:
            self.set_status(503)
            self.set_header('Server-Leaving', '1')
            instance.checks_s.append(monotonic())


class LeavingInstance(Instance):
    """An instance whose heartbeats say that it is ready to the end."""

    handler = LeavingHandler

    def __init__(self, name, fixture):
        super().__init__(name, fixture)
        self.leaves = False
        self.arrivals = []
        # When gateways were told first in an answer to a request, and when in
        # answers to health checks, which name no gateway.
        self.told_s = {}
        self.checks_s = []

    async def start_again(self):
        """Start again under its name and address, and leave from then on."""
        self.restart()
        await self.end_connections()
        self.leaves = True
        self.arrivals = []
        self.told_s = {}
        self.checks_s = []

    @property
    def said_s(self):
        """When it first said that it leaves, or None."""
        return min(self.told_s.values(), default=None)

    @property
    def late_count(self):
        """Number of requests that reached it and were sent too late."""
        limit_s = self.said_s + DRAIN_S
        return sum(sent_s > limit_s for _, sent_s in self.arrivals)

    def _told_s(self, gateway):
        """Return when a gateway was told, or any one if that is not known."""
        if gateway in self.told_s:
            return self.told_s[gateway]
        return self.checks_s[0]

    @property
    def unheeding(self):
        """Gateways that were told themselves, for each late request."""
        return [
            gateway
            for gateway, sent_s in self.arrivals
            if sent_s > self._told_s(gateway) + DRAIN_S
        ]


@given(
    '{count:d} instances of a service, of which one will leave by its answers'
    ' alone'
)
def given_leaving_instances(context, count):
    start_instances(context.platform, LeavingInstance, count)


def start_instances(fixture, kind, count):
    """Start instances of one class in this process."""

    async def start():
        for index in range(count):
            instance = kind(f'i-{index}', fixture)
            fixture.instances.append(instance)
            fixture.tasks.append(create_task(instance.send_heartbeats()))

    fixture.run(start())


@when('the instance says in each answer that it leaves, and requests go on')
def when_leaves(context):
    """Send requests for several objects to each gateway."""
    fixture = context.platform
    context.statuses = []

    fixture.instances[0].leaves = True
    fixture.run(send_for(context, fixture.gateways, DRAIN_S + AFTER_S))


async def send_for(context, gateways, span_s):
    """Send requests to gateways for some seconds and keep the statuses."""
    fixture = context.platform

    async def send(ip, index):
        reply = await fixture.send_request(ip, f'/stock/{index % OBJECTS}')
        context.statuses.append(None if reply is None else reply.code)

    sending = []
    end_s = monotonic() + span_s
    while monotonic() < end_s:
        for ip in gateways:
            sending.append(create_task(send(ip, len(sending))))
        await sleep(SEND_INTERVAL_S)
    await gather(*sending)


@when('the instance says that it leaves in an answer to the first gateway')
def when_first_told(context):
    """Send requests to the first gateway until it was told."""
    fixture = context.platform
    instance = fixture.instances[0]
    instance.leaves = True
    context.statuses = []

    async def is_told():
        await fixture.send_request(fixture.gateways[0])
        return instance.said_s is not None

    fixture.run(fixture.wait_until(is_told))


@when('requests go to the second gateway 2.5 s later')
def when_second_sends(context):
    fixture = context.platform
    fixture.run(sleep(DRAIN_S))
    fixture.run(send_for(context, fixture.gateways[1:], AFTER_S))


@when('the first gateway is killed and started again')
def when_first_restarted(context):
    fixture = context.platform
    ip = fixture.gateways[0]
    fixture.processes[ip].kill()
    fixture.processes[ip].wait()
    fixture.start('gateway', ip, DOMAINS[0])


@when('requests go to the first gateway again')
def when_first_sends(context):
    """Send requests once it serves."""
    fixture = context.platform
    ip = fixture.gateways[0]

    async def serves():
        reply = await fixture.send_request(ip)
        return reply is not None and reply.code == 200

    fixture.run(fixture.wait_until(serves))
    fixture.run(send_for(context, (ip,), AFTER_S))


@then('the instance gets requests through each gateway')
def then_used_by_each(context):
    """Send requests until each gateway has sent it one."""
    fixture = context.platform
    instance = fixture.instances[0]

    async def is_used():
        for ip in fixture.gateways:
            await fixture.send_request(ip)
        gateways = {gateway for gateway, _ in instance.arrivals}
        return gateways == set(fixture.gateways)

    fixture.run(fixture.wait_until(is_used))


@when('all but one control host are killed')
def when_control_killed(context):
    """Kill them, and wait until the last one refuses heartbeats."""
    fixture = context.platform
    for ip in fixture.seeds[1:]:
        fixture.processes[ip].kill()
        fixture.processes[ip].wait()
    url = f'http://{fixture.seeds[0]}:{fixture.ports["control"]}/api/config'

    async def has_no_leader():
        reply = await fixture.fetch('GET', url)
        return reply is not None and reply.code == 503

    fixture.run(fixture.wait_until(has_no_leader))


@when(
    'the instance starts again, says in each answer that it leaves, and'
    ' requests go on'
)
def when_starts_again(context):
    """Send requests to each gateway until the new start has said so."""
    fixture = context.platform
    instance = fixture.instances[0]
    context.statuses = []
    fixture.run(instance.start_again())
    fixture.run(send_for(context, fixture.gateways, DRAIN_S))
    untold = set(fixture.gateways) - set(instance.told_s)
    assert len(untold) <= len(instance.checks_s), instance.told_s


@when('the control hosts start again, and requests go on')
def when_control_restarted(context):
    """Send requests until well after the new start has registered."""
    fixture = context.platform
    instance = fixture.instances[0]
    instance.acknowledged_s = 0.0
    for ip, domain in zip(fixture.seeds[1:], DOMAINS[1:]):
        fixture.start('control', ip, domain)

    async def is_registered():
        await send_for(context, fixture.gateways, SEND_INTERVAL_S)
        return instance.acknowledged_s

    fixture.run(fixture.wait_until(is_registered))
    fixture.run(send_for(context, fixture.gateways, AFTER_S))


@then('it gets no request that was sent 2.5 s after it had said so')
def then_no_late_arrival(context):
    instance = context.platform.instances[0]
    assert instance.said_s is not None, 'it got no request at all'
    assert not instance.late_count, instance.late_count


@then('no gateway sends it a request 2.5 s after it was told')
def then_heeded(context):
    assert not context.platform.instances[0].unheeding


@then('all requests are answered')
def then_all_answered(context):
    failed = [status for status in context.statuses if status != 200]
    assert context.statuses and not failed, failed
