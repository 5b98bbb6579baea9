"""Steps for gateways that start while homes move, in separate processes."""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep

from behave import given
from behave import then
from behave import when

from features.steps.platform_path_steps import DOMAINS
from features.steps.platform_path_steps import Instance
from features.steps.platform_path_steps import REGIONS

SEND_INTERVAL_S = 0.02
# Answers of a gateway in each round.
ANSWERS = 30
HOMES = ('cymru', 'lloegr')
KINDS = ('idempotent', 'non_idempotent')


class PlacedInstance(Instance):
    """An instance in a zone of its own choice."""

    def __init__(self, name, fixture, zone):
        super().__init__(name, fixture)
        self.zone = zone


def _apply_homes(context, homes, kind):
    """Put a configuration with homes; retry until it is acknowledged."""
    fixture = context.platform
    body = fixture.configuration(['/stock/'])
    body['resources'][0]['spec'] |= {'home_regions': homes, 'kind': kind}
    reply = fixture.run(fixture.control('PUT', '/api/config', body))
    assert reply is not None and reply.code == 200, reply


async def _send_until_served(context, ip, outside):
    """Send requests as soon as the gateway listens.

    :param outside: the instances that are in no home.
    :return: the number of requests that reached any of them.
    """
    fixture = context.platform
    before = sum(len(each.served) for each in outside)
    statuses = []

    async def send(index):
        reply = await fixture.send_request(ip, f'/stock/{index}')
        statuses.append(0 if reply is None else reply.code)

    async def is_served():
        sending = [create_task(send(index)) for index in range(4)]
        await sleep(SEND_INTERVAL_S)
        await gather(*sending)
        return statuses.count(200) >= ANSWERS

    await fixture.wait_until(is_served)
    context.statuses += statuses
    return sum(len(each.served) for each in outside) - before


@given('{count:d} instances in each of cymru and lloegr')
def given_placed_instances(context, count):
    fixture = context.platform

    async def start():
        for zone in (DOMAINS[0], DOMAINS[2]):
            for index in range(count):
                instance = PlacedInstance(f'i-{zone}-{index}', fixture, zone)
                fixture.instances.append(instance)
                fixture.tasks.append(create_task(instance.send_heartbeats()))

    fixture.run(start())


@when(
    'a gateway is killed {count:d} times and started again after the home has'
    ' moved'
)
def when_restarted(context, count):
    """Send requests to it from its start on, in each round."""
    fixture = context.platform
    ip = fixture.gateways[0]
    context.statuses, context.outside_count = [], 0
    for index in range(count):
        fixture.processes[ip].kill()
        fixture.processes[ip].wait()
        home = HOMES[index % len(HOMES)]
        _apply_homes(context, [home], KINDS[index // 2 % len(KINDS)])
        outside = [
            each for each in fixture.instances if REGIONS[each.zone] != home
        ]
        fixture.start('gateway', ip, DOMAINS[0])
        context.outside_count += fixture.run(
            _send_until_served(context, ip, outside)
        )


@then('no request reached an instance outside the home of its round')
def then_none_outside(context):
    assert not context.outside_count, context.outside_count


@then('each request that it read was answered or refused as not run')
def then_answered(context):
    """Ignore the requests that no gateway was there to read."""
    read = {status for status in context.statuses if status}
    assert read <= {200, 503}, context.statuses
