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
UNREACHABLE_WAIT_MS = 60_000.0
SERVERS = 200


def backend(index, slots=4):
    """Return a backend server of cymru-a."""
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
    """Return a forwarded interactive request."""
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
    """Runs each request for 2 ms and records how many run at once."""

    def __init__(self):
        self.running = {}
        self.peak = 0
        self.cancelled = []
        self.peak_by_request = {}

    async def send(self, server, request, left_ms):
        """Run a request."""
        running = self.running.setdefault(server.name, [])
        running.append(request.request_id)
        self.peak = max(self.peak, len(running))
        for each in running:
            self.peak_by_request[each] = max(
                self.peak_by_request.get(each, 0), len(running)
            )
        await sleep(0.002)
        running.remove(request.request_id)
        return AttemptResult(ForwardReply(server.name, 200))

    async def probe(self, server, request_id):
        """Report that the request is running."""
        return ProbeResult.RUNNING

    async def cancel(self, server, request_id):
        """Record a cancellation."""
        self.cancelled.append(request_id)


class OwnerFixture:
    """A dispatcher over a fake client."""

    def __init__(self, servers, slots):
        self.client = FakeClient()
        self.settings = EntrySettings(ramp_ms=1)
        self.servers = [backend(index, slots) for index in range(servers)]
        self.replies = []
        self.dispatcher = Dispatcher(self.settings, self.client, RankScheduler)

    async def register(self):
        """Register all servers and wait until their ramp-up is over."""
        for server in self.servers:
            self.dispatcher.register(server, LoadReport(), 0.0, 0)
        await sleep(0.01)

    async def serve(self, requests):
        """Serve requests while the servers report that they are idle."""
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
    context.owner = OwnerFixture(servers, slots)


@given('a backend server with {slots:d} slots that is past its ramp-up')
def given_slots(context, slots):
    """Set up the slots of a server that came 2 ramp-up times ago."""
    context.slots = ServerSlots(backend(1, slots), RAMP_MS, 0.0, 1e12)
    context.now_ms = 2.0 * RAMP_MS


@given('a backend server with {slots:d} slots that has just announced itself')
def given_new(context, slots):
    context.slots = ServerSlots(backend(1, slots), RAMP_MS, 0.0, 1e12)
    context.now_ms = 0.0


@given(
    '{count:d} entry hosts that derive the owners of servers from the'
    ' same view'
)
def given_hosts(context, count):
    """Set up the names of the hosts and their servers."""
    context.names = [f'entry-{index}' for index in range(count)]
    context.servers = [backend(index) for index in range(SERVERS)]


@when(
    '{count:d} requests arrive at once and the servers report that they'
    ' are idle'
)
def when_at_once(context, count):
    requests = [forward(number) for number in range(count)]
    run(context.owner.serve(requests))


@when('{count:d} requests and a suspected one arrive at once')
def when_suspect_among(context, count):
    """Serve requests with one isolated request in their middle."""
    requests = [forward(number) for number in range(count)]
    requests.insert(count // 2, forward('suspect', True))
    run(context.owner.serve(requests))


@when('a caller cancels a running request')
def when_cancelled(context):
    """Cancel a submission once its request runs."""

    async def submit_and_cancel():
        await context.owner.register()
        task = create_task(context.owner.dispatcher.submit(forward(1)))
        await sleep(0)
        await sleep(0)
        task.cancel()
        await gather(task, return_exceptions=True)
        await sleep(0.01)

    run(submit_and_cancel())


@when('the server leaves and {count:d} requests arrive')
def when_leaves(context, count):
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
    context.slots.renew(LoadReport(usable_slots=count), 1e12)


@when('it reports {count:d} busy slots that this owner does not use')
def when_busy(context, count):
    context.slots.renew(LoadReport(busy_slots=count), 1e12)


@when('it refuses a request as not run')
def when_load_shed(context):
    context.slots.record_shed()


@when('it cannot be reached')
def when_unreachable(context):
    context.slots.record_failure(context.now_ms)


@then('it may run {count:d} requests')
def then_capacity(context, count):
    capacity = context.slots.capacity(context.now_ms)
    assert capacity == count, capacity


@then('after half of its ramp-up it may run {count:d} requests')
def then_half(context, count):
    assert context.slots.capacity(RAMP_MS / 2) == count


@then('after its ramp-up it may run {count:d} requests')
def then_full(context, count):
    assert context.slots.capacity(RAMP_MS * 1.0) == count


@then('1 minute later it may still run {count:d} requests')
def then_later(context, count):
    assert (
        context.slots.capacity(context.now_ms + UNREACHABLE_WAIT_MS) == count
    )


@then('no server ever runs more than {most:d} requests')
def then_not_exceeded(context, most):
    """Check the highest number of requests that ran on a server at once."""
    assert 0 < context.owner.client.peak <= most


@then('all {count:d} requests are answered')
def then_answered(context, count):
    statuses = [reply.status for reply in context.owner.replies]
    assert statuses == [200] * count, statuses


@then('the suspected request ran alone on its server')
def then_alone(context):
    assert context.owner.client.peak_by_request['request-suspect'] == 1


@then('the server was asked to cancel it')
def then_cancelled(context):
    assert context.owner.client.cancelled == ['request-1']


@then('all {count:d} are refused as not run')
def then_not_run(context, count):
    runs = [reply.refusal.run for reply in context.owner.replies]
    assert runs == [Run.NO] * count
    assert context.owner.client.peak == 0


class OwnershipMember:
    """One entry host's ownership."""

    def __init__(self, name):
        self.name = name
        self.ownership = Ownership(name, LEASE_MS)
        self.history = []


def hosts_of(names):
    """Return entry hosts by name, in order."""
    return tuple(
        Host(name, 1, 'cymru', 'cymru-a', f'{name}:80', f'{name}:70')
        for name in sorted(names)
    )


@when('hosts join and leave {count:d} times with seed {seed:d}')
def when_hosts_change(context, count, seed):
    """Let hosts join and leave at random; record the owners after each."""
    random = Random(seed)
    members = {name: OwnershipMember(name) for name in context.names}
    names = set(context.names)
    context.owners = []
    context.not_asked = []
    context.handovers_checked = 0
    now_ms = 0.0
    for number in range(count):
        now_ms += random.choice((200.0, 900.0, 4000.0))
        if len(names) > 3 and random.random() < 0.5:
            names.discard(random.choice(sorted(names)))
        else:
            names.add(f'entry-new-{number}')
        for name in names:
            members.setdefault(name, OwnershipMember(name))
        hosts = hosts_of(names)
        owners = {}
        for name in names:
            ownership = members[name].ownership
            ownership.observe(hosts, (), now_ms)
        for server in context.servers[:20]:
            current_owners = [
                name
                for name in names
                if members[name].ownership.is_owner(server)
            ]
            owners[server.name] = current_owners
            _check_asked(
                context, members, server, current_owners, names, now_ms
            )
        context.owners.append((now_ms, owners))


def _check_asked(context, members, server, current_owners, names, now_ms):
    """Record an earlier owner that a new owner would not ask.

    Only an owner within the last lease that is still alive counts.
    """
    asked = {
        host.name
        for host in members[current_owners[0]].ownership.earlier_owners(
            server, hosts_of(names), now_ms
        )
    }
    if not context.owners:
        return
    at_ms, owners = context.owners[-1]
    earlier = owners[server.name][0]
    is_recent = now_ms - at_ms < LEASE_MS
    if is_recent and earlier in names and earlier != current_owners[0]:
        context.handovers_checked += 1
        if earlier not in asked:
            context.not_asked.append((at_ms, server.name, earlier))


@when('another host joins')
def when_joins(context):
    """Find the servers whose owner differs with the new host."""
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
    for _, owners in context.owners:
        assert all(len(each) == 1 for each in owners.values())


@then('a new owner asks every live host that owned the server within a lease')
def then_asked(context):
    """Check that no earlier owner was left out."""
    assert context.handovers_checked > 0
    assert not context.not_asked, context.not_asked[:3]


@then('only servers of the new host have moved')
def then_moved(context):
    assert 0 < len(context.moved) < SERVERS / 3, len(context.moved)
    assert set(context.moved) == {'entry-new'}
