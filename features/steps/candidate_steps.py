"""Steps for the timers of voters and candidates during an election."""

from behave import given
from behave import then
from behave import when

from features.steps.simulated_group_steps import SETTINGS
from features.steps.simulated_group_steps import TICK_MS
from fuchsiacart.control.replica_messages import VoteRequest
from fuchsiacart.control.replica_states import Entry
from fuchsiacart.control.replica_states import Group
from fuchsiacart.control.replica_states import ReplicaState
from fuchsiacart.control.replica_states import Role
from fuchsiacart.control.timed_consensus import TimedConsensus
from fuchsiacart.randomness import make_random

SEEDS = range(1, 21)
GROUP = Group(('a', 'b', 'c'))


class TimedVoter:
    """The voter "a" of three, with its timers.

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
