"""Steps that send requests through a deployment of real processes."""

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
from standins.fleet_specs import FleetSpec
from standins.invariants import check_invariants
from standins.workloads import WORKLOADS

MEANWHILE_DELAY_S = 0.15
GOSSIP_WAIT_S = 1.0
RAMP_MS = 500
# Log events of the daemons that can explain why a request had no answer.
DIAGNOSTIC_EVENTS = (
    'release_refused',
    'lease_lost',
    'lease_held',
    'leader_elected',
    'leader_without_quorum',
)
RANKS = ('urgent', 'interactive', 'background')


class Deployment:
    """A deployment and the results that its callers recorded."""

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
        """Start the processes and wait for usable slots in all regions."""
        self.fleet.start()
        self.fleet.wait_until(self._has_usable_slots)
        sleep_now(GOSSIP_WAIT_S)

    def send(
        self,
        count,
        rank,
        path=None,
        meanwhile=None,
        client=0,
        deadline_ms=None,
    ):
        """Send requests of one rank at once and wait for all outcomes.

        :param count: number of requests.
        :param rank: name of the rank.
        :param path: request path; default is the path of the kind.
        :param meanwhile: called in a thread while the requests are in flight.
        :param client: index of the workload's client that sends.
        :param deadline_ms: deadline; default is the deadline of the kind.
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
            await sleep(MEANWHILE_DELAY_S)
            await to_thread(meanwhile)
        self.results += await gather(*tasks)

    def verdict(self):
        """Check the invariants over all requests sent so far."""
        return check_invariants(
            self.results, self.started, self.fleet.records()
        )

    def _has_usable_slots(self):
        """Return True if no region has fewer usable slots than servers."""
        slots = self.fleet.usable_slots()
        needed_slots = sum(each.per_region for each in self.workload.services)
        all_regions_known = len(slots) == len(self.fleet.regions)
        return all_regions_known and min(slots.values()) >= needed_slots


@given(
    'a deployment of {user} with {control:d} control and {entry:d} entry hosts'
)
def given_deployment(context, user, control, entry):
    context.deployment = Deployment(user, control, entry)
    context.resources.callback(context.deployment.fleet.stop)
    context.deployment.start()


@given('a deployment of golau-beic with {count:d} claim hosts in each region')
def given_claim_groups(context, count):
    """Start a deployment whose regions agree their own claims."""
    context.deployment = Deployment('golau-beic', 3, 3, claim_hosts=count)
    context.resources.callback(context.deployment.fleet.stop)
    context.deployment.start()


@when('callers send {count:d} requests of each rank')
def when_each_rank(context, count):
    for rank in RANKS:
        context.deployment.send(count, rank)


@when('a caller sends a request with an unknown token')
def when_unknown_token(context):
    """Send with a token that no contract has."""
    with context.deployment.fleet.caller_session('no-such-token') as session:
        try:
            session.request('GET', 'teller', '/balances/1')
        except FuchsiacartError as error:
            context.deployment.error = error


@then('every request has a whole answer')
def then_all_answered(context):
    """Check the outcomes; print diagnostic log lines on a failure."""
    unanswered = [
        (each.reason, each.region, each.sends, int(each.elapsed_ms))
        for each in context.deployment.results
        if each.outcome is not RequestOutcome.ANSWERED
    ]
    if unanswered:
        print(context.deployment.fleet.log_lines(DIAGNOSTIC_EVENTS))
    assert not unanswered, unanswered
    assert all(each.has_valid_answer for each in context.deployment.results)


@then('no invariant is broken')
def then_clean(context):
    verdict = context.deployment.verdict()
    assert verdict.is_clean, verdict


@then('it is refused as unauthorized and not run')
def then_unauthorized(context):
    assert context.deployment.error.kind is ErrorKind.UNAUTHORIZED
    assert context.deployment.error.run is Run.NO
