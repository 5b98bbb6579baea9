"""Steps for the outcomes of requests, with fakes of all other components."""

from asyncio import create_task
from asyncio import gather
from asyncio import run
from asyncio import sleep
from random import Random

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace

from fuchsiacart.clocks import wall_ms
from fuchsiacart.control.claim_records import ClaimState
from fuchsiacart.control.states import ReplicatedState
from fuchsiacart.control.states import VersionedContract
from fuchsiacart.control.states import ViewSnapshot
from fuchsiacart.entry.admissions import CallerRequest
from fuchsiacart.entry.claims import ReplicatedClaimStore
from fuchsiacart.entry.coordinators import Components
from fuchsiacart.entry.coordinators import Coordinator
from fuchsiacart.entry.gossip import Gossip
from fuchsiacart.entry.routing import PowerOfTwoRouter
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import RequestError
from fuchsiacart.exceptions import Run
from fuchsiacart.messages import ForwardReply
from fuchsiacart.messages import Refusal
from fuchsiacart.messages import ServiceLoad
from fuchsiacart.messages import Summary
from fuchsiacart.models import Contract
from fuchsiacart.models import Host
from fuchsiacart.models import RankName
from fuchsiacart.models import RankTerms
from fuchsiacart.models import Route
from fuchsiacart.models import token_digest
from fuchsiacart.quarantine import Quarantine
from fuchsiacart.retries import BudgetedRetry
from fuchsiacart.retries import EagerRetry
from fuchsiacart.settings import Settings
from fuchsiacart.views import View

OWN = 'entry-1'
TOKEN = 'token'
SETTINGS = Settings.model_validate(
    {
        'role': 'entry',
        'host': {
            'name': OWN,
            'region': 'cymru',
            'failure_domain': 'cymru-a',
        },
        'tokens': {
            'operator_sha256': '0' * 64,
            'backend_sha256': '0' * 64,
            'peer': 'x' * 16,
        },
        'control_hosts': [{'name': 'c1', 'peer_address': '127.0.0.1:1'}],
    }
)
CONTRACT = Contract(
    'shop',
    (token_digest(TOKEN),),
    (
        Route('orders', 'POST', '/orders', RankName.URGENT, False, 2000),
        Route('orders', 'GET', '/stock', RankName.INTERACTIVE, True, 2000),
    ),
    (
        RankTerms(RankName.URGENT, 1000, 1000, 30),
        RankTerms(RankName.INTERACTIVE, 1000, 1000, 30),
    ),
)


class FakeLease:
    """A lease that the steps can make invalid."""

    def __init__(self):
        self.is_valid = True

    def holds(self):
        """Return True while the lease is valid."""
        return self.is_valid

    def renew_soon(self):
        """Nothing to do."""


class FakeLimits:
    """Limits that the steps can use up."""

    def __init__(self):
        self.is_rate_used_up = False
        self.is_concurrency_used_up = False

    def acquire_rate(self, customer, rank, now_ms):
        """Return a retry time of 50 ms if no rate is left, else 0."""
        return 50 if self.is_rate_used_up else 0

    def acquire_concurrency(self, customer, rank, now_ms):
        """Return a retry time of 50 ms if no concurrency is left, else 0."""
        return 50 if self.is_concurrency_used_up else 0

    def release_concurrency(self, customer, rank):
        """Nothing to release."""


class FakeControl:
    """A control group with one copy of the state.

    It answers no commit while ``answers`` is False.
    """

    def __init__(self):
        self.state = ReplicatedState()
        self.answers = True

    async def commit(self, command, timeout_s):
        """Apply a command.

        :raises ChangeError: if the group does not answer.
        """
        await sleep(0)
        if not self.answers:
            raise ChangeError('cut off', ErrorKind.NO_QUORUM, Run.UNKNOWN)
        return self.state.apply(command)


class FakeOwner:
    """An owner that gives planned replies; the last one is repeated."""

    def __init__(self):
        self.plan = []
        self.requests = []
        self.delay_s = 0.0

    async def submit(self, request):
        """Record one attempt and return its planned reply."""
        self.requests.append(request)
        await sleep(self.delay_s)
        step = min(len(self.requests), len(self.plan)) - 1
        return self.plan[step](len(self.requests))


class FakeViews:
    """A view that never changes."""

    def __init__(self):
        self.replicated_state = View()
        host = Host(OWN, 1, 'cymru', 'cymru-a', '127.0.0.1:1', '127.0.0.1:2')
        contract = VersionedContract(1, CONTRACT)
        snapshot = ViewSnapshot(1, (contract,), (), (host,), ())
        self.replicated_state.restore(snapshot)


def answered(number):
    """Return a complete answer."""
    return ForwardReply(f'server-{number}', 200, (), b'{}')


def refused(number):
    """Return a refusal as not run."""
    refusal = Refusal(ErrorKind.OVERLOADED, 'full', Run.NO)
    return ForwardReply(f'server-{number}', refusal=refusal, shed=True)


def broken(number):
    """Return a refusal after the server failed while running the request."""
    refusal = Refusal(ErrorKind.OUTCOME_UNKNOWN, 'lost', Run.UNKNOWN)
    return ForwardReply(f'server-{number}', refusal=refusal, broken=True)


def unreachable_then_answered(number):
    """Return a failed connection on odd attempts, an answer on even ones."""
    if number % 2 == 0:
        return answered(number)
    refusal = Refusal(ErrorKind.NO_BACKEND, 'refused', Run.NO)
    return ForwardReply(f'server-{number}', refusal=refusal)


class OutcomeFixture:
    """A coordinator whose components are fakes."""

    def __init__(self, method):
        self.request = CallerRequest(
            TOKEN,
            'orders',
            method,
            '/orders' if method == 'POST' else '/stock',
            (),
            b'{}',
            key=_key(),
        )
        self.lease = FakeLease()
        self.limits = FakeLimits()
        self.control = FakeControl()
        self.lloegr_control = FakeControl()
        self.owner = FakeOwner()
        self.retries = BudgetedRetry()
        self.error = None
        self.reply = None
        self.in_flight_after_cancel = 0

    def coordinator(self):
        """Return a coordinator that uses the fakes."""
        gossip = Gossip(OWN, 'cymru', Random(1))
        load = ServiceLoad('orders', 8, 0, (0, 0, 0), (0.0, 0.0, 0.0))
        gossip.set_own(Summary(OWN, 1, 1, (load,)), 0.0)
        return Coordinator(
            SETTINGS,
            Components(
                self.lease,
                FakeViews(),
                self.limits,
                ReplicatedClaimStore(
                    {'': self.control, 'lloegr': self.lloegr_control}, OWN
                ),
                PowerOfTwoRouter(Random(1)),
                self.retries,
                Quarantine(600_000),
                gossip,
                self.owner,
                None,
                self.notify_suspect,
            ),
        )

    async def notify_suspect(self, suspect):
        """Send the suspect to no other host."""

    async def handle(self, count):
        """Serve the request ``count`` times; keep the last reply and error."""
        coordinator = self.coordinator()
        for _ in range(count):
            try:
                self.reply = await coordinator.handle(self.request)
            except RequestError as error:
                self.error = error
        await sleep(0.01)

    async def handle_and_cancel(self):
        """Cancel the handling while the attempt runs, then let that end.

        Keeps the number of requests in flight right after the cancellation.
        """
        coordinator = self.coordinator()
        task = create_task(coordinator.handle(self.request))
        await sleep(0.02)
        task.cancel()
        await gather(task, return_exceptions=True)
        self.in_flight_after_cancel = coordinator.in_flight
        await sleep(0.2)

    def record(self):
        """Return the claim record of the key."""
        return next(iter(self.control.state.stored.claims.values()))


def _key():
    """Return a UUIDv7 of the current time with fixed other bits."""
    stamp = f'{wall_ms():012x}'
    return f'{stamp[:8]}-{stamp[8:]}-7000-8000-000000000001'


METHODS = {'an order': 'POST', 'a read': 'GET', 'a repeatable request': 'GET'}


@given('{what} whose first attempt is lost while it runs')
def given_lost(context, what):
    context.outcome = OutcomeFixture(METHODS[what])
    context.outcome.owner.plan = [broken]


@given('{what} whose first attempt is refused as not run')
def given_refused(context, what):
    context.outcome = OutcomeFixture(METHODS[what])
    context.outcome.owner.plan = [refused]


@given('{what} whose first attempt is answered late')
def given_late(context, what):
    """Let the owner answer after 50 ms."""
    context.outcome = OutcomeFixture(METHODS[what])
    context.outcome.owner.plan = [answered]
    context.outcome.owner.delay_s = 0.05


@given('{what} that every owner refuses as not run')
def given_all_refuse(context, what):
    given_refused(context, what)


@given('{what} that breaks every server that runs it')
def given_all_break(context, what):
    given_lost(context, what)


@given('{what} whose claim no control host answers')
def given_no_claim(context, what):
    context.outcome = OutcomeFixture(METHODS[what])
    context.outcome.owner.plan = [answered]
    context.outcome.control.answers = False


@given('{what} at an entry host without a lease')
def given_no_lease(context, what):
    context.outcome = OutcomeFixture(METHODS[what])
    context.outcome.owner.plan = [answered]
    context.outcome.lease.is_valid = False


@given('an order whose key has the home "{home}"')
def given_home(context, home):
    """Prefix the key with its home."""
    context.outcome = OutcomeFixture('POST')
    context.outcome.owner.plan = [answered]
    request = context.outcome.request
    key = f'{home}:{request.key}'
    context.outcome.request = replace(request, key=key)


@then('its claim is held by the group of {home} alone')
def then_held_at_home(context, home):
    outcome = context.outcome
    claims_by_group = {
        'own group': outcome.control.state.stored.claims,
        'lloegr': outcome.lloegr_control.state.stored.claims,
    }
    assert [name for name, claims in claims_by_group.items() if claims] == [
        home
    ]


@given("an order whose customer's limit is used up")
def given_used_up(context):
    context.outcome = OutcomeFixture('POST')
    context.outcome.owner.plan = [answered]
    context.outcome.limits.is_rate_used_up = True


@given("an order whose customer's concurrency is used up")
def given_full(context):
    context.outcome = OutcomeFixture('POST')
    context.outcome.owner.plan = [answered]
    context.outcome.limits.is_concurrency_used_up = True


@when('the limit of its customer is used up')
def when_used_up(context):
    """Use up the limit and discard the earlier answer."""
    context.outcome.limits.is_rate_used_up = True
    context.outcome.reply = None


@when('it is resent as its attempt 2 and owners answer')
def when_next(context):
    outcome = context.outcome
    outcome.owner.plan = [answered]
    outcome.request = replace(outcome.request, attempt=2)
    run(outcome.handle(1))


@given('whose second attempt is refused as not run')
def given_second_refused(context):
    context.outcome.owner.plan.append(refused)


@given('whose second attempt is answered')
def given_second_answered(context):
    context.outcome.owner.plan.append(answered)


@given('{what} that finds an unreachable server first each time')
def given_unreachable_first(context, what):
    context.outcome = OutcomeFixture(METHODS[what])
    context.outcome.owner.plan = [unreachable_then_answered]


@given('the baseline decides on retries')
def given_baseline(context):
    """Retry without a budget."""
    context.outcome.retries = EagerRetry()


@when('it is handled')
def when_handled(context):
    run(context.outcome.handle(1))


@when('it is handled {count:d} times')
def when_handled_often(context, count):
    run(context.outcome.handle(count))


@when('its caller disconnects meanwhile')
def when_caller_disconnects(context):
    """Cancel the request while it runs."""
    run(context.outcome.handle_and_cancel())


@then('the caller gets an unknown outcome')
def then_unknown(context):
    assert context.outcome.error.run is Run.UNKNOWN, context.outcome.error


@then('the caller gets a refusal as not run')
def then_not_run(context):
    assert context.outcome.error.run is Run.NO, context.outcome.error


@then('the caller gets a refusal as quarantined')
def then_quarantined(context):
    assert context.outcome.error.kind is ErrorKind.QUARANTINED


@then('the caller gets the whole answer')
def then_answer(context):
    assert context.outcome.reply.status == 200


@then('no caller is refused')
def then_none_refused(context):
    assert context.outcome.error is None, context.outcome.error.detail


@then('it was attempted {count:d} times')
def then_attempts(context, count):
    assert len(context.outcome.owner.requests) == count


@then('it was attempted at most {count:d} times')
def then_attempts_at_most(context, count):
    attempts = len(context.outcome.owner.requests)
    assert attempts <= count, attempts


@then('it was attempted at least {count:d} times')
def then_attempts_at_least(context, count):
    attempts = len(context.outcome.owner.requests)
    assert attempts >= count, attempts


@then('its claim is settled as run')
def then_settled_run(context):
    assert context.outcome.record().state is ClaimState.DONE


@then('a graceful stop would have waited for it')
def then_still_in_flight(context):
    """Check that the order was in flight after its caller disconnected."""
    assert context.outcome.in_flight_after_cancel == 1


@then('its claim is settled as run with the answer')
def then_settled_answer(context):
    record = context.outcome.record()
    assert (record.state, record.status) == (ClaimState.DONE, 200), record


@then('its claim is settled as not run')
def then_settled_not_run(context):
    assert context.outcome.record().state is ClaimState.CLOSED


@then('its second attempt ran alone and not on the first server')
def then_alone(context):
    """Check that it was forwarded as isolated, without the first server."""
    second = context.outcome.owner.requests[1]
    assert second.isolated
    assert second.exclude == ('server-1',)
