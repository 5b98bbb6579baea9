"""Steps for the limits of the messages between replicas."""

from behave import given
from behave import then
from behave import when

from features.steps.control_group_steps import FakeAdapter
from fuchsiacart.control.addresses import make_address_book
from fuchsiacart.control.commands import Change
from fuchsiacart.control.commands import PutContract
from fuchsiacart.control.consensus import Consensus
from fuchsiacart.control.pending_sends import PendingSends
from fuchsiacart.control.pending_sends import SEND_TIMEOUT_S
from fuchsiacart.control.replica_messages import AppendRequest
from fuchsiacart.control.replica_messages import AppendResponse
from fuchsiacart.control.replica_messages import OutboundMessage
from fuchsiacart.control.replica_senders import ReplicaSender
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


@then('an answer that brings nothing new is followed by no message')
def then_no_message(context):
    response = AppendResponse(
        VOTERS[1], context.state.term, True, 0, context.state.round
    )
    assert not RULES.receive(context.state, response).outbound


@then('it sends {count:d} entries to that follower')
def then_entries(context, count):
    assert context.outbound.to == VOTERS[1]
    entries = context.outbound.message.entries
    sized = [entry for entry in entries if entry.body]
    assert len(sized) == count, len(sized)


class HoldingSender(ReplicaSender):
    """Holds all entries back."""

    def send(self, outbound, snapshot):
        """See :class:`ReplicaSender`."""
        if getattr(outbound.message, 'entries', ()):
            return False
        return super().send(outbound, snapshot)


@when('its sender holds all entries back and a change is given')
def when_held_back_in_task(context):
    """Wait until the change is in the log of the leader."""
    control = context.control
    leader = control.network.replicas[control.first_leader]
    adapter = FakeAdapter(control.network, control.first_leader)
    addresses = make_address_book(control.settings(control.first_leader))
    leader.sender = HoldingSender(adapter, addresses, leader.deliver)
    context.before_index = leader.state.last_index
    change = Change('change-0', 'ann', 1000)
    command = PutContract(change, 0, Contract('shop', (), (), ()))
    context.proposal = control.loop.create_task(leader.propose(command))
    control.run(
        control.wait_until(
            lambda: leader.state.last_index > context.before_index
        )
    )
    context.proposal.cancel()


@then('the leader sends that change to its followers next')
def then_next(context):
    control = context.control
    state = control.network.replicas[control.first_leader].state
    for progress in state.progress:
        assert progress.next_index == context.before_index + 1, progress
