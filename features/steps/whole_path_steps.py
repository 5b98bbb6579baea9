"""Steps for the whole path through real processes."""

from asyncio import create_task
from asyncio import gather
from asyncio import run
from asyncio import sleep
from asyncio import to_thread
from time import sleep as sleep_now

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace

from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import Run
from standins.caller import Caller
from standins.caller import RequestOutcome
from standins.fleet import Fleet
from standins.fleet import FleetSpec
from standins.invariants import check_invariants
from standins.workloads import WORKLOADS

UNDER_WAY_S = 0.15
GOSSIP_S = 1.0
RAMP_MS = 500
# Lines of the daemons' logs that may tell why a request had no answer.
TELLING_EVENTS = (
    'release_refused',
    'lease_lost',
    'lease_held',
    'leader_elected',
    'leader_without_quorum',
)
RANKS = ('urgent', 'interactive', 'background')


class WholePath:
    """A deployment and what callers saw of it."""

    def __init__(self, user, control, entry, **settings):
        self.workload = WORKLOADS[user]
        self.fleet = Fleet(
            FleetSpec(
                user,
                control,
                entry,
                services=self.workload.services,
                entry_settings={'ramp_ms': RAMP_MS},
                **settings,
            )
        )
        self.results = []
        self.started = 0
        self.error = None

    def start(self):
        """Start the processes and wait for usable slots."""
        self.fleet.start()
        self.fleet.wait_until(self._serves)
        sleep_now(GOSSIP_S)

    def send(
        self,
        count,
        rank,
        path=None,
        meanwhile=None,
        client=0,
        deadline_ms=None,
    ):
        """Send requests of one rank, all at a time.

        :param count: how many.
        :param rank: name of the rank.
        :param path: path to use instead of the kind's.
        :param meanwhile: called once the requests are under way.
        :param client: which of the workload's clients sends.
        :param deadline_ms: deadline to use instead of the kind's.
        """
        kinds = self.workload.request_templates({rank: 1.0})
        if deadline_ms is not None:
            kinds = [replace(each, deadline_ms=deadline_ms) for each in kinds]
        run(self._send(count, kinds, path, meanwhile, client))

    async def _send(self, count, kinds, path, meanwhile, client):
        address = self.workload.clients[client]
        caller = Caller(self.fleet.entry_hosts(), address, 1)
        self.started += count
        sends = [
            caller.send(kinds[index % len(kinds)], path)
            for index in range(count)
        ]
        tasks = [create_task(each) for each in sends]
        if meanwhile is not None:
            await sleep(UNDER_WAY_S)
            await to_thread(meanwhile)
        self.results += await gather(*tasks)

    def verdict(self):
        """Return the verdict on all that was sent."""
        return check_invariants(
            self.results, self.started, self.fleet.records()
        )

    def _serves(self):
        """Tell whether every backend server has a usable slot."""
        slots = self.fleet.usable_slots()
        least = sum(each.per_region for each in self.workload.services)
        known = len(slots) == len(self.fleet.regions)
        return known and min(slots.values()) >= least


@given(
    'a deployment of {user} with {control:d} control and {entry:d} entry hosts'
)
def given_deployment(context, user, control, entry):
    """Start a deployment."""
    context.path = WholePath(user, control, entry)
    context.resources.callback(context.path.fleet.stop)
    context.path.start()


@given('a deployment of golau-beic with {count:d} claim hosts in each region')
def given_claim_groups(context, count):
    """Start a deployment whose regions agree their own claims."""
    context.path = WholePath('golau-beic', 3, 3, claim_hosts=count)
    context.resources.callback(context.path.fleet.stop)
    context.path.start()


@when('callers send {count:d} requests of each rank')
def when_each_rank(context, count):
    """Send requests of each rank."""
    for rank in RANKS:
        context.path.send(count, rank)


@when('a caller sends a request with an unknown token')
def when_unknown_token(context):
    """Send with a token of no contract."""
    with context.path.fleet.caller_session('no-such-token') as session:
        try:
            session.request('GET', 'teller', '/balances/1')
        except FuchsiacartError as error:
            context.path.error = error


@then('every request has a whole answer')
def then_all_answered(context):
    """Check the endings."""
    unanswered = [
        (each.reason, each.region, each.sends, int(each.elapsed_ms))
        for each in context.path.results
        if each.outcome is not RequestOutcome.ANSWERED
    ]
    if unanswered:
        print(context.path.fleet.log_lines(TELLING_EVENTS))
    assert not unanswered, unanswered
    assert all(each.has_valid_answer for each in context.path.results)


@then('no invariant is broken')
def then_clean(context):
    """Check the verdict."""
    verdict = context.path.verdict()
    assert verdict.is_clean, verdict


@then('it is refused as unauthorized and not run')
def then_unauthorized(context):
    """Check the refusal."""
    assert context.path.error.kind is ErrorKind.UNAUTHORIZED
    assert context.path.error.run is Run.NO
