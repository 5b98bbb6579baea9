"""Steps for what callers are told, over small fakes of all parts."""

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
    """A lease that holds or not."""

    def __init__(self):
        self.held = True

    def holds(self):
        """Tell whether it holds."""
        return self.held

    def renew_soon(self):
        """Nothing to hurry."""


class FakeLimits:
    """Limits that are used up or not."""

    def __init__(self):
        self.used_up = False
        self.full = False

    def acquire_rate(self, customer, rank, now_ms):
        """Let everything through, or nothing."""
        return 50 if self.used_up else 0

    def acquire_concurrency(self, customer, rank, now_ms):
        """Let everything through, or nothing."""
        return 50 if self.full else 0

    def release_concurrency(self, customer, rank):
        """Nothing to give back."""


class FakeControl:
    """A control group of one state machine, or one that never answers."""

    def __init__(self):
        self.state = ReplicatedState()
        self.answers = True

    async def commit(self, command, timeout_s):
        """Apply a command."""
        await sleep(0)
        if not self.answers:
            raise ChangeError('cut off', ErrorKind.NO_QUORUM, Run.UNKNOWN)
        return self.state.apply(command)


class FakeOwner:
    """An owner that answers as planned, the last plan for ever."""

    def __init__(self):
        self.plan = []
        self.requests = []
        self.delay_s = 0.0

    async def submit(self, request):
        """Answer one attempt."""
        self.requests.append(request)
        await sleep(self.delay_s)
        step = min(len(self.requests), len(self.plan)) - 1
        return self.plan[step](len(self.requests))


class FakeViews:
    """A view that does not change."""

    def __init__(self):
        self.replicated_state = View()
        host = Host(OWN, 1, 'cymru', 'cymru-a', '127.0.0.1:1', '127.0.0.1:2')
        contract = VersionedContract(1, CONTRACT)
        snapshot = ViewSnapshot(1, (contract,), (), (host,), ())
        self.replicated_state.restore(snapshot)


def answered(number):
    """Return a whole answer."""
    return ForwardReply(f'server-{number}', 200, (), b'{}')


def refused(number):
    """Return a refusal of an owner."""
    refusal = Refusal(ErrorKind.OVERLOADED, 'full', Run.NO)
    return ForwardReply(f'server-{number}', refusal=refusal, shed=True)


def broken(number):
    """Return the loss of a server that ran the request."""
    refusal = Refusal(ErrorKind.OUTCOME_UNKNOWN, 'lost', Run.UNKNOWN)
    return ForwardReply(f'server-{number}', refusal=refusal, broken=True)


def unreachable_then_answered(number):
    """Return a failed connection, then an answer, in turn."""
    if number % 2 == 0:
        return answered(number)
    refusal = Refusal(ErrorKind.NO_BACKEND, 'refused', Run.NO)
    return ForwardReply(f'server-{number}', refusal=refusal)


class OutcomeSubject:
    """A coordinator over fakes."""

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
        self.far = FakeControl()
        self.owner = FakeOwner()
        self.retries = BudgetedRetry()
        self.error = None
        self.reply = None
        self.left_in_flight = 0

    def coordinator(self):
        """Return a coordinator of all parts."""
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
                    {'': self.control, 'lloegr': self.far}, OWN
                ),
                PowerOfTwoRouter(Random(1)),
                self.retries,
                Quarantine(600_000),
                gossip,
                self.owner,
                None,
                self.tell,
            ),
        )

    async def tell(self, suspect):
        """Nobody else to tell."""

    async def handle(self, count):
        """Handle the request some times."""
        coordinator = self.coordinator()
        for _ in range(count):
            try:
                self.reply = await coordinator.handle(self.request)
            except RequestError as error:
                self.error = error
        await sleep(0.01)

    async def abandon(self):
        """Cancel the handling while the attempt runs."""
        coordinator = self.coordinator()
        task = create_task(coordinator.handle(self.request))
        await sleep(0.02)
        task.cancel()
        await gather(task, return_exceptions=True)
        self.left_in_flight = coordinator.in_flight
        await sleep(0.2)

    def record(self):
        """Return what is held of the key."""
        return next(iter(self.control.state.stored.claims.values()))


def _key():
    """Return a UUIDv7 of this moment with fixed other bits."""
    stamp = f'{wall_ms():012x}'
    return f'{stamp[:8]}-{stamp[8:]}-7000-8000-000000000001'


METHODS = {'an order': 'POST', 'a read': 'GET', 'a repeatable request': 'GET'}


@given('{what} whose first attempt is lost while it runs')
def given_lost(context, what):
    """Plan a lost attempt."""
    context.outcome = OutcomeSubject(METHODS[what])
    context.outcome.owner.plan = [broken]


@given('{what} whose first attempt is refused as not run')
def given_refused(context, what):
    """Plan a refusal."""
    context.outcome = OutcomeSubject(METHODS[what])
    context.outcome.owner.plan = [refused]


@given('{what} whose first attempt is answered late')
def given_late(context, what):
    """Plan a late answer."""
    context.outcome = OutcomeSubject(METHODS[what])
    context.outcome.owner.plan = [answered]
    context.outcome.owner.delay_s = 0.05


@given('{what} that every owner refuses as not run')
def given_all_refuse(context, what):
    """Plan refusals for ever."""
    given_refused(context, what)


@given('{what} that breaks every server that runs it')
def given_all_break(context, what):
    """Plan lost servers for ever."""
    given_lost(context, what)


@given('{what} whose claim no control host answers')
def given_no_claim(context, what):
    """Cut the control group off."""
    context.outcome = OutcomeSubject(METHODS[what])
    context.outcome.owner.plan = [answered]
    context.outcome.control.answers = False


@given('{what} at an entry host without a lease')
def given_no_lease(context, what):
    """Take the lease away."""
    context.outcome = OutcomeSubject(METHODS[what])
    context.outcome.owner.plan = [answered]
    context.outcome.lease.held = False


@given('an order whose key has the home "{home}"')
def given_home(context, home):
    """Put a home into the key."""
    context.outcome = OutcomeSubject('POST')
    context.outcome.owner.plan = [answered]
    request = context.outcome.request
    key = f'{home}:{request.key}'
    context.outcome.request = replace(request, key=key)


@then('its claim is held by the group of {home} alone')
def then_home(context, home):
    """Check which group holds the claim."""
    outcome = context.outcome
    held = {
        'nobody': outcome.control.state.stored.claims,
        'lloegr': outcome.far.state.stored.claims,
    }
    assert [name for name, claims in held.items() if claims] == [home]


@given("an order whose customer's limit is used up")
def given_used_up(context):
    """Use the limit up."""
    context.outcome = OutcomeSubject('POST')
    context.outcome.owner.plan = [answered]
    context.outcome.limits.used_up = True


@given("an order whose customer's concurrency is used up")
def given_full(context):
    """Use the concurrency up."""
    context.outcome = OutcomeSubject('POST')
    context.outcome.owner.plan = [answered]
    context.outcome.limits.full = True


@when('the limit of its customer is used up')
def when_used_up(context):
    """Use the limit up, after an answer that is forgotten here."""
    context.outcome.limits.used_up = True
    context.outcome.reply = None


@when('it is sent again as its attempt 2 and owners answer')
def when_next(context):
    """Send the next attempt."""
    outcome = context.outcome
    outcome.owner.plan = [answered]
    outcome.request = replace(outcome.request, attempt=2)
    run(outcome.handle(1))


@given('whose second attempt is refused as not run')
def given_second_refused(context):
    """Plan a refusal next."""
    context.outcome.owner.plan.append(refused)


@given('whose second attempt is answered')
def given_second_answered(context):
    """Plan an answer next."""
    context.outcome.owner.plan.append(answered)


@given('{what} that meets a dead server first each time')
def given_dead(context, what):
    """Plan a failed connection before each answer."""
    context.outcome = OutcomeSubject(METHODS[what])
    context.outcome.owner.plan = [unreachable_then_answered]


@given('the baseline decides on retries')
def given_baseline(context):
    """Take the baseline's retries."""
    context.outcome.retries = EagerRetry()


@when('it is handled')
def when_handled(context):
    """Handle it once."""
    run(context.outcome.handle(1))


@when('it is handled {count:d} times')
def when_handled_often(context, count):
    """Handle it again and again."""
    run(context.outcome.handle(count))


@when('its caller goes away meanwhile')
def when_gone(context):
    """Give up while it runs."""
    run(context.outcome.abandon())


@then('the caller is told that its outcome is unknown')
def then_unknown(context):
    """Check what was said."""
    assert context.outcome.error.run is Run.UNKNOWN, context.outcome.error


@then('the caller is told that it was not run')
def then_not_run(context):
    """Check what was said."""
    assert context.outcome.error.run is Run.NO, context.outcome.error


@then('the caller is told that it is quarantined')
def then_quarantined(context):
    """Check the kind of the last refusal."""
    assert context.outcome.error.kind is ErrorKind.QUARANTINED


@then('the caller gets the whole answer')
def then_answer(context):
    """Check the reply."""
    assert context.outcome.reply.status == 200


@then('no caller is refused')
def then_none_refused(context):
    """Check that there was no error."""
    assert context.outcome.error is None, context.outcome.error.detail


@then('it was attempted {count:d} times')
def then_attempts(context, count):
    """Count the attempts."""
    assert len(context.outcome.owner.requests) == count


@then('it was attempted at most {count:d} times')
def then_at_most(context, count):
    """Check the budget."""
    attempts = len(context.outcome.owner.requests)
    assert attempts <= count, attempts


@then('it was attempted at least {count:d} times')
def then_at_least(context, count):
    """Check the baseline."""
    attempts = len(context.outcome.owner.requests)
    assert attempts >= count, attempts


@then('its claim is settled as run')
def then_settled_run(context):
    """Check the record of the key."""
    assert context.outcome.record().state is ClaimState.DONE


@then('a planned stop would have waited for it')
def then_counted(context):
    """Check that the order was counted after its caller had gone."""
    assert context.outcome.left_in_flight == 1


@then('its claim is settled as run with the answer')
def then_settled_answer(context):
    """Check the stored answer."""
    record = context.outcome.record()
    assert (record.state, record.status) == (ClaimState.DONE, 200), record


@then('its claim is settled as not run')
def then_settled_not_run(context):
    """Check the record of the key."""
    assert context.outcome.record().state is ClaimState.CLOSED


@then('its second attempt ran alone and not on the first server')
def then_alone(context):
    """Check how the second attempt was sent."""
    second = context.outcome.owner.requests[1]
    assert second.isolated
    assert second.exclude == ('server-1',)
