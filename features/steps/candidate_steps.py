"""Steps for the timers of voters and candidates during an election."""

from behave import given
from behave import then
from behave import when

from features.steps.simulated_group_steps import SETTINGS
from features.steps.simulated_group_steps import TICK_MS
from fuchsiacart.control.replica_messages import PreVoteRequest
from fuchsiacart.control.replica_messages import PreVoteResponse
from fuchsiacart.control.replica_messages import VoteRequest
from fuchsiacart.control.replica_messages import VoteResponse
from fuchsiacart.control.replica_states import Entry
from fuchsiacart.control.replica_states import Group
from fuchsiacart.control.replica_states import ReplicaState
from fuchsiacart.control.replica_states import Role
from fuchsiacart.control.timed_consensus import TimedConsensus
from fuchsiacart.randomness import make_random

SEEDS = range(1, 21)
GROUP = Group(('a', 'b', 'c', 'd', 'e'))


class TimedVoter:
    """The voter "a" of five, with its timers.

    :param seed: seed of its timers.
    """

    def __init__(self, seed):
        self.now_ms = 0
        self.state = ReplicaState(
            'a', term=1, log=(Entry(1, group=GROUP),), group=GROUP
        )
        self._steps = TimedConsensus(SETTINGS, make_random(seed, 'a'), 0)

    def receive(self, message):
        """Handle a message."""
        step = self._steps.receive(self.state, message, self.now_ms)
        self.state = step.state
        return step.outbound

    def tick(self):
        """Let the time between two ticks pass; return what is sent."""
        self.now_ms += TICK_MS
        step = self._steps.tick(self.state, self.now_ms)
        self.state = step.state
        return step.outbound

    def wait_for_election(self, limit_ms):
        """Return True if the voter asks for pre-votes within a time."""
        end_ms = self.now_ms + limit_ms
        while self.now_ms < end_ms and self.state.role is Role.FOLLOWER:
            self.tick()
        return self.state.role is Role.PRE_CANDIDATE

    def request_from(self, candidate):
        """Return the request of a candidate for the next term."""
        return VoteRequest(
            candidate,
            self.state.term + 1,
            self.state.last_index,
            self.state.last_term,
        )


@given(
    'a voter that has voted for "{candidate}" and whose election is nearly due'
)
def given_voted(context, candidate):
    context.voters = [TimedVoter(seed) for seed in SEEDS]
    for voter in context.voters:
        voter.receive(voter.request_from(candidate))
        voter.wait_for_election(SETTINGS.election_timeout_ms - TICK_MS)
        assert voter.state.role is Role.FOLLOWER


@when('"{candidate}" asks for its vote in the next term')
def when_asked_again(context, candidate):
    for voter in context.voters:
        (response,) = voter.receive(voter.request_from(candidate))
        assert response.message.granted


@then('it starts no election within an election timeout')
def then_waits(context):
    limit_ms = SETTINGS.election_timeout_ms - TICK_MS
    for voter in context.voters:
        assert not voter.wait_for_election(limit_ms), voter.now_ms


@then('it starts one within two election timeouts')
def then_starts(context):
    limit_ms = SETTINGS.election_timeout_ms + 2 * TICK_MS
    for voter in context.voters:
        assert voter.wait_for_election(limit_ms), voter.now_ms


@given('a voter of five that asks for votes, of which one answer has come')
def given_candidate(context):
    voter = TimedVoter(1)
    assert voter.wait_for_election(2 * SETTINGS.election_timeout_ms)
    term = voter.state.term + 1
    for other in ('b', 'c'):
        voter.receive(PreVoteResponse(other, term, term - 1, True))
    voter.receive(VoteResponse('b', term, True))
    context.voter, context.term = voter, term


def collect_requests(voter):
    """Return the requests for votes of a voter in a heartbeat interval."""
    sent = []
    for _ in range(0, SETTINGS.heartbeat_ms, TICK_MS):
        sent += voter.tick()
    return [
        each
        for each in sent
        if isinstance(each.message, PreVoteRequest | VoteRequest)
    ]


@when('no other answer comes for a heartbeat interval')
def when_silent(context):
    context.requests = collect_requests(context.voter)


@then('it has asked the 3 others for votes in the same term again')
def then_asked_again(context):
    assert [each.to for each in context.requests] == ['c', 'd', 'e']
    for each in context.requests:
        assert isinstance(each.message, VoteRequest), each
        assert each.message.term == context.term, each


@when('it is elected, or hears of a newer term')
def when_ended(context):
    loser = TimedVoter(1)
    loser.state = context.voter.state
    loser.receive(VoteResponse('c', context.term + 1, False))
    assert loser.state.role is Role.FOLLOWER
    context.voter.receive(VoteResponse('c', context.term, True))
    assert context.voter.state.role is Role.LEADER
    context.voters = [context.voter, loser]


@then('it sends no request for votes for a heartbeat interval')
def then_no_requests(context):
    for voter in context.voters:
        sent = collect_requests(voter)
        assert not sent, sent


@when(
    'the leader is lost, the first host hears nothing and the last one is'
    ' {extra_ms:d} ms further away'
)
def when_first_deaf(context, extra_ms):
    for group in context.groups:
        leader = group.leader()
        first, *_, last = sorted(set(group.names) - {leader})
        group.stopped.add(leader)
        group.cuts |= {(other, first) for other in group.names}
        group.extra_ms[last] = extra_ms


@then('each group has a new leader within {limit_ms:d} ms')
def then_new_leader(context, limit_ms):
    for group in context.groups:
        assert group.run_until(
            lambda group=group: group.leader() is not None, limit_ms
        ), group.seed
