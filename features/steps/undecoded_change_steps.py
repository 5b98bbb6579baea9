"""Steps for changes, commands and snapshots that cannot be decoded."""

from asyncio import create_task
from asyncio import gather
from asyncio import run
from asyncio import sleep
from asyncio import TimeoutError as AsyncTimeoutError
from asyncio import wait_for
from lzma import compress
from time import monotonic

from behave import given
from behave import then
from behave import when
from msgspec.msgpack import encode
from msgspec import Raw

from features.steps.connection_steps import ConnectionFixture
from features.steps.connection_steps import TIMEOUT_S
from features.steps.control_group_steps import make_change
from features.steps.undecoded_message_steps import TOO_DEEP
from fuchsiacart.adapters import PeerAdapter
from fuchsiacart.control.pulls import pack_view
from fuchsiacart.control.replica_messages import AppendRequest
from fuchsiacart.control.replica_messages import SnapshotRequest
from fuchsiacart.control.replica_states import Entry
from fuchsiacart.control.states import StoredState
from fuchsiacart.control.states import ViewSnapshot
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.host_tasks import ViewReplicator
from fuchsiacart.messages import Deliver
from fuchsiacart.messages import PullReply

PULL_LIMIT_S = 5.0
PARENT_VIEW = ViewSnapshot(7, (), (), (), ())


class Parents(PeerAdapter):
    """Two parents; the first one answers with bytes of its own."""

    def __init__(self, odd_reply):
        self._odd_reply = odd_reply
        self.calls = []

    async def call(self, address, method, message, timeout_s):
        """See :meth:`PeerAdapter.call`."""
        await sleep(0.01)
        self.calls.append(address)
        if address == 'first:1':
            return self._odd_reply
        return PullReply(packed_view=pack_view(PARENT_VIEW))

    async def close(self):
        """See :meth:`PeerAdapter.close`."""


@given('two parents of which the first answers with {packed}')
def given_parents(context, packed):
    deep = compress(TOO_DEEP)
    delta = {'revision': 1, 'body': {'type': 'Unheard'}}
    replies = {
        'a view cut off': PullReply((), pack_view(PARENT_VIEW)[:-1]),
        'a view that is not packed': PullReply((), encode(PARENT_VIEW)),
        'a view without a field': PullReply((), compress(encode({}))),
        'a view of nested lists': PullReply((), deep),
        'changes cut off': PullReply((), b'', compress(encode(()))[:-1]),
        'changes that are not packed': PullReply((), b'', b'changes'),
        'a change of an unknown kind': PullReply(
            (), b'', compress(encode([delta]))
        ),
    }
    context.parents = Parents(replies[packed])


@given('a peer whose packed view is cut off')
def given_odd_view(context):
    reply = PullReply((), pack_view(PARENT_VIEW)[:-1])
    context.pulls = 0

    async def answer(request):
        context.pulls += 1
        return reply

    context.connection = ConnectionFixture(answer)
    context.resources.callback(context.connection.close)


@when('a host pulls from it {count:d} times')
def when_pulled_often(context, count):
    connection = context.connection

    async def pull():
        views = ViewReplicator(connection.adapter, (connection.address,))
        task = create_task(views.run(lambda: 0))
        until_s = monotonic() + PULL_LIMIT_S
        while monotonic() < until_s and context.pulls < count:
            await sleep(0.005)
        task.cancel()
        await gather(task, return_exceptions=True)

    connection.run(pull())


@when('a host pulls from them')
def when_pulled(context):
    """Pull until a view is there, and a few times more."""

    async def pull():
        views = ViewReplicator(context.parents, ('first:1', 'second:1'))
        context.views = views
        task = create_task(views.run(lambda: 0))
        until_s = monotonic() + PULL_LIMIT_S
        while monotonic() < until_s and len(context.parents.calls) < 4:
            await sleep(0.01)
            if task.done():
                break
        context.pull_ended = task.done()
        task.cancel()
        await gather(task, return_exceptions=True)

    run(pull())


@then('it gets the view of the second parent and goes on')
def then_view(context):
    assert not context.pull_ended
    assert context.views.replicated_state.revision == PARENT_VIEW.revision
    assert len(context.parents.calls) >= 4, context.parents.calls


def make_odd_content(content):
    """Return the bytes of a command or a snapshot with an oddity."""
    delta = {'revision': 1, 'body': {'type': 'Unheard'}}
    return {
        'a command of an unknown kind': encode({'type': 'Unheard'}),
        'a command without a field': encode({'type': 'LeaveHost'}),
        'a command cut off': encode(make_change(0))[:-1],
        'a command nested too deeply': encode(
            {'type': 'LeaveHost', 'colour': Raw(TOO_DEEP)}
        ),
        'a snapshot with a strange delta': encode({'deltas': [delta]}),
        'a snapshot cut off': encode(StoredState())[:-1],
        'a snapshot nested too deeply': encode({'colour': Raw(TOO_DEEP)}),
    }[content]


@when('a follower is sent {content} by the leader')
def when_sent(context, content):
    """Send what follows the follower's log, as committed."""
    control = context.control
    control.run(control.wait_until_applied())
    leader = control.network.replicas[control.first_leader]
    state = control.network.replicas[control.follower].state
    context.index_before = state.last_index
    index = state.last_index + 1
    body = make_odd_content(content)
    if 'snapshot' in content:
        message = SnapshotRequest(
            leader.replica,
            state.term,
            index,
            state.term,
            state.group,
            body,
            1_000_000,
        )
    else:
        message = AppendRequest(
            leader.replica,
            state.term,
            state.last_index,
            state.last_term,
            (Entry(state.term, body),),
            index,
            1_000_000,
        )
    context.error = None
    service = control.services[control.follower]
    try:
        control.run(wait_for(service.on_deliver(Deliver(message)), TIMEOUT_S))
    except (FuchsiacartError, AsyncTimeoutError) as error:
        context.error = error


@then("it is refused as malformed and the follower's log is as before")
def then_log_kept(context):
    control = context.control
    assert isinstance(context.error, FuchsiacartError), repr(context.error)
    assert context.error.kind is ErrorKind.BAD_REQUEST, context.error
    state = control.network.replicas[control.follower].state
    assert state.last_index == context.index_before, state.last_index


@then('the follower runs on')
def then_runs_on(context):
    control = context.control
    assert not control.tasks[control.follower].done()
