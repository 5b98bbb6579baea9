"""Steps for the limits of the messages between replicas."""

from behave import given
from behave import then
from behave import when

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
    context.outbound = make_append(replica, size_bytes)
    context.pending = context.sends.start(context.outbound)
    assert context.pending is not None


@when('the message fails')
def when_fails(context):
    context.sends.end(context.outbound, context.pending, False)


@then('one with {size_bytes:d} bytes of entries for "{replica}" is held back')
def then_held_back(context, size_bytes, replica):
    assert context.sends.start(make_append(replica, size_bytes)) is None


@then('one with {size_bytes:d} bytes of entries for "{replica}" is sent')
def then_sent(context, size_bytes, replica):
    assert context.sends.start(make_append(replica, size_bytes)) is not None


@then('it may take longer than one without entries')
def then_more_time(context):
    assert context.pending.timeout_s > SEND_TIMEOUT_S


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
