"""Steps for messages that cannot be decoded, over real channels."""

from asyncio import create_task
from asyncio import gather
from asyncio import run
from asyncio import sleep
from asyncio import TimeoutError as AsyncTimeoutError
from asyncio import wait_for
from logging import Handler
from lzma import compress
from time import monotonic

from absl import logging
from behave import given
from behave import then
from behave import when
from msgspec.msgpack import encode
from msgspec import Raw
from prometheus_client import REGISTRY

from features.steps.connection_steps import ConnectionFixture
from features.steps.connection_steps import TIMEOUT_S
from features.steps.control_group_steps import make_change
from fuchsiacart.adapters import Method
from fuchsiacart.adapters import PeerAdapter
from fuchsiacart.control.pulls import pack_view
from fuchsiacart.control.replica_messages import AppendRequest
from fuchsiacart.control.replica_messages import SnapshotRequest
from fuchsiacart.control.replica_states import Entry
from fuchsiacart.control.states import StoredState
from fuchsiacart.control.states import ViewSnapshot
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import Run
from fuchsiacart.host_tasks import ViewReplicator
from fuchsiacart.messages import Deliver
from fuchsiacart.messages import GossipReply
from fuchsiacart.messages import GossipRequest
from fuchsiacart.messages import PullReply
from fuchsiacart.messages import PullRequest

NOT_DECODED = 'fuchsiacart_peer_messages_not_decoded_total'
REFUSED = 'fuchsiacart_peer_messages_refused_total'
PULL_LIMIT_S = 5.0
PARENT_VIEW = ViewSnapshot(7, (), (), (), ())
TOO_DEEP = b'\x91' * 100_000 + b'\xc0'


class KeptLog(Handler):
    """Keeps the lines that this process logs."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        """Keep a line."""
        self.lines.append(record.getMessage())

    def count(self, event):
        """Return the number of lines of an event."""
        return sum(f'event={event} ' in line for line in self.lines)

    def open(self):
        """Start to keep lines."""
        logger = logging.get_absl_logger()
        logger.addHandler(self)
        logger.propagate = False
        logging.set_verbosity(logging.INFO)

    def close(self):
        """Keep no more lines."""
        logger = logging.get_absl_logger()
        logger.removeHandler(self)
        logger.propagate = True
        logging.set_verbosity(logging.FATAL)
        super().close()


def make_odd_body(oddity, message, other_message):
    """Return the bytes of a message with an oddity.

    :param oddity: what is odd about it.
    :param message: a proper message.
    :param other_message: a message that only another method takes.
    """
    body = encode(message)
    fields = {'type': type(message).__name__}
    for name in message.__struct_fields__:
        fields[name] = getattr(message, name)
    first = message.__struct_fields__[0]
    if oddity == 'of an unknown kind':
        return encode(fields | {'type': 'Unheard'})
    if oddity == 'of another method':
        return encode(other_message)
    if oddity == 'without a field':
        return encode({'kind': 'no type'})
    if oddity == 'with a field of another type':
        return encode(fields | {first: {'a': 1}})
    if oddity == 'cut off':
        return body[:-1]
    if oddity == 'nested too deeply':
        return encode(fields | {'colour': Raw(TOO_DEEP)})
    if oddity == 'of no bytes':
        return b''
    return encode(7)


def read_counter(name, **labels):
    """Return the value of a counter, 0 if it does not exist yet."""
    return REGISTRY.get_sample_value(name, labels) or 0


def read_counters():
    """Return the counters of messages that are not decoded or refused."""
    return {
        'request': read_counter(NOT_DECODED, method='Pull', part='request'),
        'answer': read_counter(NOT_DECODED, method='Pull', part='answer'),
        'refused': sum(
            read_counter(REFUSED, method=method.value) for method in Method
        ),
    }


def counted(context, name):
    """Return by how much a counter has grown in the scenario."""
    return read_counters()[name] - context.counters[name]


@given('a peer whose answers are messages {oddity}')
def given_odd_answers(context, oddity):
    reply = GossipReply(())
    body = make_odd_body(oddity, PullReply(), reply)

    async def answer(request):
        # encode() copies Raw bytes as they are.
        return Raw(body)

    context.connection = ConnectionFixture(answer)
    context.resources.callback(context.connection.close)


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


@given('the log of this process is kept')
def given_log(context):
    context.log = KeptLog()
    context.log.open()
    context.resources.callback(context.log.close)
    context.counters = read_counters()


@when('it is called with a request {oddity}')
def when_called_oddly(context, oddity):
    call_oddly(context, oddity, 1)


@when('it is called {count:d} times with a request {oddity}')
def when_called_often(context, count, oddity):
    call_oddly(context, oddity, count)


def call_oddly(context, oddity, count):
    """Call the process some times and keep the last error."""
    body = make_odd_body(oddity, PullRequest(1, 1), GossipRequest(()))
    for _ in range(count):
        context.error = call(context, Method.PULL, Raw(body))


def call(context, method, message):
    """Call the process and return the error, None if there is none."""
    connection = context.connection
    try:
        connection.run(
            connection.adapter.call(
                connection.address, method, message, TIMEOUT_S
            )
        )
    except FuchsiacartError as error:
        return error
    return None


@when('it is called by a method that it does not offer')
def when_method_unknown(context):
    context.error = call(context, Method.GOSSIP, GossipRequest(()))


@then('the call failed and may have run')
def then_may_have_run(context):
    assert isinstance(context.error, FuchsiacartError), context.error
    assert context.error.run is Run.UNKNOWN, context.error


@then('the receiver has counted {count:d} requests that it could not decode')
def then_not_decoded(context, count):
    assert counted(context, 'request') == count, read_counters()


@then('the sender has counted {count:d} requests that were refused')
def then_refused(context, count):
    assert counted(context, 'refused') == count, read_counters()


@then('the caller has counted {count:d} answers that it could not decode')
def then_answers(context, count):
    assert counted(context, 'answer') == count, read_counters()


@then(
    '{first:d} lines of {first_event} and {second:d} of {second_event} are'
    ' logged'
)
def then_logged(context, first, first_event, second, second_event):
    counts = context.log.count(first_event), context.log.count(second_event)
    assert counts == (first, second), context.log.lines


@then('it answers the next call')
def then_answers_next(context):
    error = call(context, Method.PULL, PullRequest(1, 1))
    assert error is None, error


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
