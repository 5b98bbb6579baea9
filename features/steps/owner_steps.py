"""Steps for owners of backend servers: slots, dispatch and ownership."""

from asyncio import create_task
from asyncio import gather
from asyncio import run
from asyncio import sleep
from random import Random

from behave import given
from behave import then
from behave import when

from fuchsiacart.entry.backends import AttemptResult
from fuchsiacart.entry.backends import ProbeResult
from fuchsiacart.entry.dispatch import Dispatcher
from fuchsiacart.entry.queues import RankScheduler
from fuchsiacart.entry.slots import ServerSlots
from fuchsiacart.exceptions import Run
from fuchsiacart.messages import ForwardReply
from fuchsiacart.messages import ForwardRequest
from fuchsiacart.models import BackendServer
from fuchsiacart.models import Host
from fuchsiacart.models import LoadReport
from fuchsiacart.models import Rank
from fuchsiacart.ownership import Ownership
from fuchsiacart.settings import EntrySettings

RAMP_MS = 5000
LEASE_MS = 3000
LATER_MS = 60_000.0
SERVERS = 200


def backend(index, slots=4):
    """Return a backend server."""
    return BackendServer(
        f'orders-{index}',
        1,
        'orders',
        'cymru',
        'cymru-a',
        f'10.0.2.{index % 250}:80',
        slots,
        400,
    )


def forward(number, isolated=False):
    """Return a request on its way."""
    return ForwardRequest(
        f'request-{number}',
        'shop',
        'orders',
        'GET',
        '/stock',
        (),
        b'',
        Rank.INTERACTIVE,
        20,
        60_000,
        (),
        isolated,
    )


class FakeClient:
    """Takes a moment for each request and counts what runs."""

    def __init__(self):
        self.running = {}
        self.highest = 0
        self.cancelled = []
        self.company = {}

    async def send(self, server, request, left_ms):
        """Run a request."""
        own = self.running.setdefault(server.name, [])
        own.append(request.request_id)
        self.highest = max(self.highest, len(own))
        for each in own:
            self.company[each] = max(self.company.get(each, 0), len(own))
        await sleep(0.002)
        own.remove(request.request_id)
        return AttemptResult(ForwardReply(server.name, 200))

    async def probe(self, server, request_id):
        """Say that everything runs."""
        return ProbeResult.RUNNING

    async def cancel(self, server, request_id):
        """Take note of a cancellation."""
        self.cancelled.append(request_id)


class OwnerSubject:
    """A dispatcher over a fake client."""

    def __init__(self, servers, slots):
        self.client = FakeClient()
        self.settings = EntrySettings(ramp_ms=1)
        self.servers = [backend(index, slots) for index in range(servers)]
        self.replies = []
        self.dispatcher = Dispatcher(self.settings, self.client, RankScheduler)

    async def register(self):
        """Register all servers and let their ramp pass."""
        for server in self.servers:
            self.dispatcher.register(server, LoadReport(), 0.0, 0)
        await sleep(0.01)

    async def serve(self, requests):
        """Serve requests while idle reports come in."""
        await self.register()
        sweeper = create_task(self.dispatcher.sweep())
        tasks = [
            create_task(self.dispatcher.submit(request))
            for request in requests
        ]
        await self.register()
        self.replies = await gather(*tasks)
        sweeper.cancel()


@given('an owner of {servers:d} backend servers with {slots:d} slots each')
def given_owner(context, servers, slots):
    """Set up a dispatcher."""
    context.owner = OwnerSubject(servers, slots)


@given('a backend server with {slots:d} slots that is past its ramp')
def given_slots(context, slots):
    """Set up the count of a server that was announced long ago."""
    context.slots = ServerSlots(backend(1, slots), RAMP_MS, 0.0, 1e12)
    context.now_ms = 2.0 * RAMP_MS


@given('a backend server with {slots:d} slots that has just announced itself')
def given_new(context, slots):
    """Set up the count of a new server."""
    context.slots = ServerSlots(backend(1, slots), RAMP_MS, 0.0, 1e12)
    context.now_ms = 0.0


@given('{count:d} entry hosts that each own servers by the same view')
def given_hosts(context, count):
    """Set up the hosts of a region."""
    context.names = [f'entry-{index}' for index in range(count)]
    context.servers = [backend(index) for index in range(SERVERS)]


@when('{count:d} requests come at once and the reports claim that all is idle')
def when_at_once(context, count):
    """Serve many requests."""
    requests = [forward(number) for number in range(count)]
    run(context.owner.serve(requests))


@when('{count:d} requests come at once and one of them is a suspect')
def when_suspect(context, count):
    """Serve requests with a suspect among them."""
    requests = [forward(number) for number in range(count)]
    requests.insert(count // 2, forward('suspect', True))
    run(context.owner.serve(requests))


@when('a caller gives up a request that runs')
def when_given_up(context):
    """Cancel a submission once it runs."""

    async def give_up():
        await context.owner.register()
        task = create_task(context.owner.dispatcher.submit(forward(1)))
        await sleep(0)
        await sleep(0)
        task.cancel()
        await gather(task, return_exceptions=True)
        await sleep(0.01)

    run(give_up())


@when('the server leaves and {count:d} requests come')
def when_leaves(context, count):
    """Submit after the server has left."""

    async def submit():
        await context.owner.register()
        context.owner.dispatcher.mark_leaving(context.owner.servers[0].name)
        context.owner.replies = [
            await context.owner.dispatcher.submit(forward(number))
            for number in range(count)
        ]

    run(submit())


@when('it reports {count:d} usable slots')
def when_usable(context, count):
    """Renew with a report of usable slots."""
    context.slots.renew(LoadReport(usable_slots=count), 1e12)


@when('it reports {count:d} busy slots that are not ours')
def when_busy(context, count):
    """Renew with a report of busy slots."""
    context.slots.renew(LoadReport(busy_slots=count), 1e12)


@when('it refuses a request as not run')
def when_shed(context):
    """Take note that it sheds."""
    context.slots.record_shed()


@when('it cannot be reached')
def when_unreachable(context):
    """Take note of a failed connection."""
    context.slots.record_failure(context.now_ms)


@then('it may run {count:d} requests')
def then_capacity(context, count):
    """Check the capacity."""
    capacity = context.slots.capacity(context.now_ms)
    assert capacity == count, capacity


@then('after half of its ramp it may run {count:d} requests')
def then_half(context, count):
    """Check the capacity in the middle."""
    assert context.slots.capacity(RAMP_MS / 2) == count


@then('after its ramp it may run {count:d} requests')
def then_full(context, count):
    """Check the capacity at the end."""
    assert context.slots.capacity(RAMP_MS * 1.0) == count


@then('1 minute later it may still run {count:d} requests')
def then_later(context, count):
    """Check the capacity much later."""
    assert context.slots.capacity(context.now_ms + LATER_MS) == count


@then('no server ever runs more than {most:d} requests')
def then_not_exceeded(context, most):
    """Check the highest number that ran on a server."""
    assert 0 < context.owner.client.highest <= most


@then('all {count:d} requests are answered')
def then_answered(context, count):
    """Check the replies."""
    statuses = [reply.status for reply in context.owner.replies]
    assert statuses == [200] * count, statuses


@then('the suspect ran while nothing else ran on its server')
def then_alone(context):
    """Check the company of the suspect."""
    assert context.owner.client.company['request-suspect'] == 1


@then('the server was told to cancel it')
def then_cancelled(context):
    """Check the cancellations."""
    assert context.owner.client.cancelled == ['request-1']


@then('all {count:d} are refused as not run')
def then_not_run(context, count):
    """Check the refusals."""
    runs = [reply.refusal.run for reply in context.owner.replies]
    assert runs == [Run.NO] * count
    assert context.owner.client.highest == 0


class Member:
    """One entry host's view of ownership, and its past."""

    def __init__(self, name):
        self.name = name
        self.ownership = Ownership(name, LEASE_MS)
        self.history = []


def hosts_of(names):
    """Return entry hosts by name."""
    return tuple(
        Host(name, 1, 'cymru', 'cymru-a', f'{name}:80', f'{name}:70')
        for name in sorted(names)
    )


@when('hosts join and leave {count:d} times with seed {seed:d}')
def when_churn(context, count, seed):
    """Change the members at random and note the owners."""
    random = Random(seed)
    members = {name: Member(name) for name in context.names}
    names = set(context.names)
    context.owners = []
    context.missed = []
    context.checked = 0
    now_ms = 0.0
    for number in range(count):
        now_ms += random.choice((200.0, 900.0, 4000.0))
        if len(names) > 3 and random.random() < 0.5:
            names.discard(random.choice(sorted(names)))
        else:
            names.add(f'entry-new-{number}')
        for name in names:
            members.setdefault(name, Member(name))
        hosts = hosts_of(names)
        owners = {}
        for name in names:
            ownership = members[name].ownership
            ownership.observe(hosts, (), now_ms)
        for server in context.servers[:20]:
            own = [
                name
                for name in names
                if members[name].ownership.is_owner(server)
            ]
            owners[server.name] = own
            _check_asked(context, members, server, own, names, now_ms)
        context.owners.append((now_ms, owners))


def _check_asked(context, members, server, own, names, now_ms):
    """Note earlier owners that a new owner would not ask."""
    asked = {
        host.name
        for host in members[own[0]].ownership.earlier_owners(
            server, hosts_of(names), now_ms
        )
    }
    if not context.owners:
        return
    at_ms, owners = context.owners[-1]
    earlier = owners[server.name][0]
    is_recent = now_ms - at_ms < LEASE_MS
    if is_recent and earlier in names and earlier != own[0]:
        context.checked += 1
        if earlier not in asked:
            context.missed.append((at_ms, server.name, earlier))


@when('another host joins')
def when_joins(context):
    """Compare the owners before and after."""
    before = Ownership('entry-0', LEASE_MS)
    before.observe(hosts_of(context.names), (), 0.0)
    after = Ownership('entry-0', LEASE_MS)
    after.observe(hosts_of(context.names + ['entry-new']), (), 0.0)
    context.moved = [
        after.owner(server).name
        for server in context.servers
        if after.owner(server) != before.owner(server)
    ]


@then('every server has one owner in every view')
def then_one_owner(context):
    """Check the owners noted."""
    for _, owners in context.owners:
        assert all(len(each) == 1 for each in owners.values())


@then('a new owner asks every live host that owned it within a lease')
def then_asked(context):
    """Check that no earlier owner was left out."""
    assert context.checked > 0
    assert not context.missed, context.missed[:3]


@then('only servers of the new host have moved')
def then_moved(context):
    """Check where the servers went."""
    assert 0 < len(context.moved) < SERVERS / 3, len(context.moved)
    assert set(context.moved) == {'entry-new'}
