"""Steps for the first views of hosts that start together."""

from asyncio import run
from unittest.mock import patch

from behave import given
from behave import then
from behave import when
from msgspec.msgpack import encode
from msgspec.structs import replace

from features.steps.connection_steps import changed_state
from features.steps.connection_steps import MEGABIT_BYTES
from features.steps.connection_steps import StaticState
from features.steps.route_steps import change
from features.steps.route_steps import order
from features.steps.route_steps import ROUTE
from fuchsiacart.control.commands import JoinHost
from fuchsiacart.control import pulls
from fuchsiacart.host_tasks import PULL_TIMEOUT_S
from fuchsiacart.host_tasks import ViewReplicator
from fuchsiacart.messages import PullRequest
from fuchsiacart.models import Host
from fuchsiacart.models import HostId


class DirectAdapter:
    """Answers the pulls of a host from a state in this process."""

    def __init__(self, source):
        self._source = source
        self.reply_bytes = 0

    async def call(self, address, method, message, timeout_s):
        """See :meth:`PeerAdapter.call`."""
        assert isinstance(message, PullRequest)
        reply = await pulls.answer_pull(self._source, message)
        self.reply_bytes += len(encode(reply))
        return reply


async def pull_first(adapter):
    """Return the first view of a host that has just started."""
    replicator = ViewReplicator(adapter, ['control'])
    await replicator._pull('control')
    return replicator.replicated_state


@given('a control host that knows {count:d} servers')
def step_state(context, count):
    context.state = changed_state(count, 1)
    context.source = StaticState(context.state)


@when('{count:d} hosts ask for their first view, each of them after a change')
def step_ask(context, count):
    """Let hosts join and pull one after the other; count the packing."""
    adapter = DirectAdapter(context.source)
    context.views = []
    with patch.object(pulls, 'pack_view', wraps=pulls.pack_view) as pack:
        for index in range(count):
            name = HostId(f'gateway-{index}')
            host = Host(name, 1, 'cymru', 'cymru-a', 'a:1', 'a:2')
            context.state.apply(JoinHost(host, 1000 + index))
            context.views.append((run(pull_first(adapter)), index + 1))
    context.packed = pack.call_count


@when(
    '{hosts:d} hosts follow it while its configuration grows by {count:d}'
    ' routes'
)
def step_grow(context, hosts, count):
    """Pull before and after the change; count the bytes of the second."""
    adapter = context.adapter = DirectAdapter(context.source)
    routes = [
        replace(
            ROUTE,
            name=f'r-{index * 7919:x}',
            path_prefix=f'/{index * 104729:x}/',
        )
        for index in range(count)
    ]

    async def follow():
        followers = [
            ViewReplicator(adapter, ['control']) for _ in range(hosts)
        ]
        for each in followers:
            await each._pull('control')
        context.state.apply(change(order(3, 0, routes)))
        adapter.reply_bytes = 0
        for each in followers:
            await each._pull('control')
        return [each.replicated_state for each in followers]

    context.followers = run(follow())
    context.routes = routes


@then(
    'all their pulls fit a link of {megabits:d} Mbit/s within the timeout of'
    ' one pull'
)
def step_thin_link(context, megabits):
    limit = megabits * MEGABIT_BYTES * PULL_TIMEOUT_S
    assert context.adapter.reply_bytes <= limit, (
        context.adapter.reply_bytes,
        limit,
    )


@then('each host has all routes')
def step_all_routes(context):
    for view in context.followers:
        routes = view.routes.configuration.routes
        assert set(routes) == set(context.routes), len(routes)


@then('the state was packed at most {count:d} times')
def step_packed(context, count):
    assert context.packed <= count, context.packed


@then('each host has the view of its moment')
def step_views(context):
    for view, joined in context.views:
        assert len(view.hosts) == joined, (len(view.hosts), joined)
        assert len(view.routes.servers) == 540
