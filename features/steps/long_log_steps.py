"""Steps for the limits of the messages between replicas."""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep

from behave import given
from behave import then
from behave import when

from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.control.commands import Change
from fuchsiacart.control.commands import PutContract
from fuchsiacart.control.consensus import Consensus
from fuchsiacart.control.pending_sends import PendingSends
from fuchsiacart.control.pending_sends import SEND_TIMEOUT_S
from fuchsiacart.control.replica_messages import AppendRequest
from fuchsiacart.control.replica_messages import AppendResponse
from fuchsiacart.control.replica_messages import OutboundMessage
from fuchsiacart.control.replica_states import Entry
from fuchsiacart.control.replica_states import Group
from fuchsiacart.control.replica_states import Progress
from fuchsiacart.control.replica_states import ReplicaState
from fuchsiacart.control.replica_states import Role
from fuchsiacart.models import Contract

VOTERS = ('c0:1/old', 'c1:1/old', 'c2:1/old')
RULES = Consensus()


def make_append(replica, size_bytes):
    """Return a message to a replica with an entry, or with none for 0."""
    entries = (Entry(1, bytes(size_bytes)),) if size_bytes else ()
    request = AppendRequest(VOTERS[0], 1, 0, 0, entries, 0, 1)
    return OutboundMessage(replica, request)


@given('limits of the messages that are under way to replicas')
def given_limits(context):
    context.sends = PendingSends()


@when('a message with {size_bytes:d} bytes of entries is sent to "{replica}"')
def when_sent(context, size_bytes, replica):
    context.send = context.sends.start(make_append(replica, size_bytes))
    assert context.send.is_whole


@when('the message fails')
def when_fails(context):
    context.sends.end(context.send, False)


@then('one with {size_bytes:d} bytes of entries for "{replica}" is held back')
def then_held_back(context, size_bytes, replica):
    send = context.sends.start(make_append(replica, size_bytes))
    assert not send.is_whole
    assert not send.outbound.message.entries


@then('one with {size_bytes:d} bytes of entries for "{replica}" is sent')
def then_sent(context, size_bytes, replica):
    assert context.sends.start(make_append(replica, size_bytes)).is_whole


@then('it may take longer than one without entries')
def then_more_time(context):
    assert context.send.timeout_s > SEND_TIMEOUT_S


@given('a leader whose log has {count:d} entries of {size_bytes:d} bytes')
def given_leader(context, count, size_bytes):
    """Make a leader that takes the log of its followers for its own."""
    group = Group(VOTERS)
    log = (Entry(1, group=group),) + (Entry(1, bytes(size_bytes)),) * count
    context.state = ReplicaState(
        VOTERS[0],
        term=1,
        log=log,
        group=group,
        role=Role.LEADER,
        leader=VOTERS[0],
        progress=tuple(Progress(voter, len(log) + 1) for voter in VOTERS[1:]),
        round=1,
    )


def answer_append(context, ok, match_index):
    """Let the follower answer; keep the message that follows."""
    response = AppendResponse(
        VOTERS[1], context.state.term, ok, match_index, context.state.round
    )
    step = RULES.receive(context.state, response)
    context.state = step.state
    context.outbound = step.outbound[0]


@when('it finds that a follower has none of them')
def when_has_none(context):
    answer_append(context, False, 0)


@when('the message to that follower is held back')
def when_held_back(context):
    context.state = RULES.take_back(context.state, context.outbound)


@when('that follower answers that it has the first {count:d} entries')
def when_has_some(context, count):
    answer_append(context, True, count)


@then('it sends {count:d} entries to that follower')
def then_entries(context, count):
    assert context.outbound.to == VOTERS[1]
    entries = context.outbound.message.entries
    sized = [entry for entry in entries if entry.body]
    assert len(sized) == count, len(sized)


@when(
    '{count:d} changes of {size_bytes:d} bytes are given at once on links of'
    ' {delay_ms:d} ms'
)
def when_large_changes(context, count, size_bytes, delay_ms):
    """Propose each change in a batch of its own."""
    network = context.control.network
    leader = network.replicas[context.control.first_leader]

    async def propose_all():
        network.delay_s = delay_ms / MILLISECONDS
        proposals = []
        for number in range(count):
            change = Change(f'change-{number}', 'a' * size_bytes, 1000)
            contract = Contract(f'shop-{number}', (), (), ())
            command = PutContract(change, 0, contract)
            proposals.append(create_task(leader.propose(command)))
            await sleep(network.delay_s / count)
        await gather(*proposals)

    network.delivered.clear()
    context.control.run(propose_all())


@then('all are accepted and no follower has rejected a message')
def then_none_rejected(context):
    responses = [
        message
        for _, message in context.control.network.delivered
        if isinstance(message, AppendResponse)
    ]
    assert responses
    assert all(response.ok for response in responses), responses
