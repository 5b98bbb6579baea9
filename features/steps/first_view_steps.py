"""Steps for the first views of hosts that start together."""

from asyncio import run
from unittest.mock import patch

from behave import given
from behave import then
from behave import when

from features.steps.connection_steps import changed_state
from features.steps.connection_steps import StaticState
from fuchsiacart.control.commands import JoinHost
from fuchsiacart.control import pulls
from fuchsiacart.host_tasks import ViewReplicator
from fuchsiacart.messages import PullRequest
from fuchsiacart.models import Host
from fuchsiacart.models import HostId


class DirectAdapter:
    """Answers the pulls of a host from a state in this process."""

    def __init__(self, source):
        self._source = source

    async def call(self, address, method, message, timeout_s):
        """See :meth:`PeerAdapter.call`."""
        assert isinstance(message, PullRequest)
        return await pulls.answer_pull(self._source, message)


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


@then('the state was packed at most {count:d} times')
def step_packed(context, count):
    assert context.packed <= count, context.packed


@then('each host has the view of its moment')
def step_views(context):
    for view, joined in context.views:
        assert len(view.hosts) == joined, (len(view.hosts), joined)
        assert len(view.routes.servers) == 540
