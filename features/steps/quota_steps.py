"""Steps for the quotas of accounts over many gateways, in simulated time."""

from collections import Counter
from collections import deque
from heapq import heappop
from heapq import heappush
from itertools import count
from random import Random

from behave import given
from behave import then
from behave import when
from msgspec import Struct

from fuchsiacart.accounts import AccountTable
from fuchsiacart.accounts import ClientAccount
from fuchsiacart.accounts import QuotaBook
from fuchsiacart.accounts import QuotaLedger
from fuchsiacart.accounts import QuotaState
from fuchsiacart.accounts import QuotaTerms

TERMS = QuotaTerms(window_s=5.0, over=0.1, slack=20.0)
LEASE_MS = 3000.0
RENEWAL_MS = 500.0
MIN_RENEWAL_MS = 100.0
# With the confirmation of the leader by others.
ONE_WAY_MS = 110.0
CALL_TIMEOUT_MS = 1000.0
MAX_WAIT_MS = 1000.0
ACCOUNT = 'account'


class SimulatedHost(Struct):
    """What the ledger reads of a :class:`Host`."""

    name: str
    incarnation: int = 1


class SimulatedGateway:
    """A gateway whose renewals and waiting requests the simulation drives."""

    def __init__(self, name, now_ms):
        self.host = SimulatedHost(name)
        self.is_cut = False
        self.is_frozen = False
        self.waiting = deque()
        self.renewal = 0
        self.is_calling = False
        self.restart(now_ms)

    def restart(self, now_ms):
        """Start again without memory."""
        self.host.incarnation += 1
        self.waiting.clear()
        self.renewal += 1
        self.is_calling = False
        self.book = QuotaBook(TERMS, self.host.name, LEASE_MS, now_ms)


class QuotaSimulation:
    """Requests of one account at many gateways, in simulated time."""

    def __init__(self, gateways, rate_per_s, burst, seed=1):
        self.random = Random(seed)
        self.account = ClientAccount(ACCOUNT, (), rate_per_s, burst)
        self.now_ms = 0.0
        self.order = count()
        self.events = []
        self.has_leader = True
        self.run_ms = []
        self.outcomes = Counter()
        self.offered_per_s = 0.0
        self.gateways = [
            SimulatedGateway(f'gateway-{index}', -10_000.0)
            for index in range(gateways)
        ]
        self.ledger = QuotaLedger(TERMS, LEASE_MS, -60_000.0)
        for gateway in self.gateways:
            gateway.book.set_gateway_count(gateways, self.now_ms)
            self.plan(self.random.uniform(0, RENEWAL_MS), self.renew, gateway)
        self.plan(0.0, self.arrive)

    def plan(self, delay_ms, action, *arguments):
        """Run a method after a time."""
        entry = (self.now_ms + delay_ms, next(self.order), action, arguments)
        heappush(self.events, entry)

    def run(self, seconds, offered_per_s):
        """Let requests arrive at a rate for some seconds."""
        self.offered_per_s = offered_per_s
        end_ms = self.now_ms + seconds * 1000
        while self.events[0][0] < end_ms:
            self.now_ms, _, action, arguments = heappop(self.events)
            action(*arguments)
        self.now_ms = end_ms

    def arrive(self):
        """Let a request arrive at a random gateway."""
        self.plan(
            1000 * self.random.expovariate(max(0.001, self.offered_per_s)),
            self.arrive,
        )
        gateway = self.random.choice(self.gateways)
        if gateway.is_frozen:
            return
        gateway.book.record_arrival(self.account, self.now_ms)
        self.try_run(gateway, self.now_ms)

    def try_run(self, gateway, arrived_ms):
        """Run a request, refuse it or let it wait."""
        state = gateway.book.spend(self.account, self.now_ms)
        if state is QuotaState.SPENT:
            self.run_ms.append(self.now_ms)
        if state is not QuotaState.WAIT:
            self.outcomes[state] += 1
            return
        if self.now_ms - arrived_ms >= MAX_WAIT_MS:
            self.outcomes[QuotaState.REFUSED] += 1
            return
        gateway.book.begin_wait(self.account)
        gateway.waiting.append(arrived_ms)
        if not gateway.is_calling:
            gateway.renewal += 1
            self.plan(MIN_RENEWAL_MS, self.renew, gateway, gateway.renewal)

    def renew(self, gateway, renewal=0):
        """Send the reports of a gateway, unless another renewal has."""
        if renewal != gateway.renewal and renewal:
            return
        gateway.renewal += 1
        mark = gateway.renewal
        if gateway.is_frozen:
            self.plan(RENEWAL_MS, self.renew, gateway, mark)
            return
        gateway.is_calling = True
        reports = gateway.book.make_reports(self.now_ms)
        host = SimulatedHost(gateway.host.name, gateway.host.incarnation)
        if not self.has_leader or gateway.is_cut:
            self.plan(CALL_TIMEOUT_MS, self.give_up, gateway, mark)
            return
        self.plan(ONE_WAY_MS, self.answer, gateway, host, reports, mark)

    def answer(self, gateway, host, reports, mark):
        """Answer the reports as the leader."""
        names = {each.host.name for each in self.gateways}
        self.ledger.record_gateways(names)
        grants = self.ledger.grant(
            host, reports, AccountTable((self.account,)), self.now_ms
        )
        self.plan(ONE_WAY_MS, self.apply, gateway, host, grants, mark)

    def apply(self, gateway, host, grants, mark):
        """Apply the answer, and try the requests that wait."""
        if host.incarnation != gateway.host.incarnation or gateway.is_cut:
            return
        gateway.is_calling = False
        gateway.book.apply_grants(grants, self.now_ms)
        self.end_waits(gateway)
        if gateway.renewal == mark:
            self.plan(RENEWAL_MS, self.renew, gateway, mark)

    def give_up(self, gateway, mark):
        """Renew again after a call without an answer."""
        gateway.is_calling = False
        self.end_waits(gateway)
        if gateway.renewal == mark:
            self.plan(MIN_RENEWAL_MS, self.renew, gateway, mark)

    def end_waits(self, gateway):
        """Try all requests that wait once more."""
        waiting, gateway.waiting = gateway.waiting, deque()
        for arrived_ms in waiting:
            gateway.book.end_wait(self.account)
            self.try_run(gateway, arrived_ms)

    def change_leader(self):
        """Let another leader, that knows nothing, take over."""
        self.ledger = QuotaLedger(TERMS, LEASE_MS, self.now_ms)
        self.has_leader = True

    def cut(self, part):
        """Cut a part of the gateways off."""
        for gateway in self.gateways[: round(part * len(self.gateways))]:
            gateway.is_cut = True

    def mend(self):
        """Join all gateways again."""
        for gateway in self.gateways:
            gateway.is_cut = False
            gateway.is_frozen = False

    def freeze(self, part):
        """Freeze a part of the gateways."""
        for gateway in self.gateways[: round(part * len(self.gateways))]:
            gateway.is_frozen = True

    def restart(self, part):
        """Kill a part of the gateways and start them again."""
        for gateway in self.gateways[: round(part * len(self.gateways))]:
            gateway.restart(self.now_ms)
            gateway.book.set_gateway_count(len(self.gateways), self.now_ms)
            self.plan(ONE_WAY_MS, self.renew, gateway)

    def leave(self):
        """Let a gateway end for good, which the others learn at once."""
        self.gateways.pop().is_frozen = True
        for gateway in self.gateways:
            gateway.book.set_gateway_count(len(self.gateways), self.now_ms)

    def set_quota(self, rate_per_s, burst):
        """Change the quota in the configuration."""
        self.account = ClientAccount(ACCOUNT, (), rate_per_s, burst)

    def worst_window(self, since_ms=0.0):
        """Return the most requests that ran in any window."""
        window = deque()
        worst = 0
        for run_ms in self.run_ms:
            if run_ms < since_ms:
                continue
            window.append(run_ms)
            while window[0] < run_ms - TERMS.window_s * 1000:
                window.popleft()
            worst = max(worst, len(window))
        return worst

    @property
    def bound(self):
        """Requests that the quota allows in any window."""
        quota = self.account.rate_per_s * TERMS.window_s + self.account.burst
        return quota * (1 + TERMS.over) + TERMS.slack


EVENTS = {
    'nothing else happens': (),
    'the leader changes': ((2.0, 'change_leader', ()),),
    'no leader is heard for 3 s': (
        (1.0, 'lose_leader', ()),
        (4.0, 'change_leader', ()),
    ),
    'a third of the gateways is cut off for 4 s': (
        (1.0, 'cut', (0.34,)),
        (5.0, 'mend', ()),
    ),
    'half of the gateways freezes for 3 s': (
        (1.0, 'freeze', (0.5,)),
        (4.0, 'mend', ()),
    ),
    'all gateways start again': ((2.0, 'restart', (1.0,)),),
    'gateways end one after the other': (
        (1.0, 'leave', ()),
        (1.5, 'leave', ()),
        (2.0, 'leave', ()),
        (2.5, 'leave', ()),
    ),
    'a third is cut off while the leader changes': (
        (1.0, 'cut', (0.34,)),
        (1.5, 'lose_leader', ()),
        (3.0, 'change_leader', ()),
        (5.0, 'mend', ()),
    ),
    'half starts again while no leader is heard': (
        (1.0, 'lose_leader', ()),
        (2.0, 'restart', (0.5,)),
        (3.5, 'change_leader', ()),
    ),
}


def lose_leader(simulation):
    """Let no leader be heard."""
    simulation.has_leader = False


QuotaSimulation.lose_leader = lose_leader


@given(
    'an account of {rate:g} requests a second, and {burst:g} at once,'
    ' at {gateways:d} gateways'
)
def given_account(context, rate, burst, gateways):
    context.quota = (gateways, rate, burst)


@when('it sends {factor:g} times its rate while {event}, with {seeds:d} seeds')
def when_sent(context, factor, event, seeds):
    """Play each seed: calm, the load with the event, and calm again."""
    context.simulations = []
    for seed in range(seeds):
        simulation = QuotaSimulation(*context.quota, seed=seed)
        usual_per_s = 0.6 * simulation.account.rate_per_s
        offered_per_s = factor * simulation.account.rate_per_s
        simulation.run(8.0, usual_per_s)
        simulation.outcomes.clear()
        started_s = simulation.now_ms / 1000
        for at_s, name, arguments in EVENTS[event]:
            left_s = started_s + at_s - simulation.now_ms / 1000
            simulation.run(left_s, offered_per_s)
            getattr(simulation, name)(*arguments)
        simulation.run(8.0, offered_per_s)
        context.simulations.append(simulation)


@when('its quota falls to a tenth while it sends its earlier rate')
def when_lowered(context):
    simulation = QuotaSimulation(*context.quota)
    earlier_per_s = simulation.account.rate_per_s
    simulation.run(8.0, earlier_per_s)
    simulation.set_quota(earlier_per_s / 10, simulation.account.burst / 10)
    context.lowered_ms = simulation.now_ms
    simulation.run(20.0, earlier_per_s)
    context.simulations = [simulation]


@then('in no window more than the quota allows has run')
def then_bounded(context):
    for seed, simulation in enumerate(context.simulations):
        worst = simulation.worst_window()
        assert worst <= simulation.bound, (seed, worst, simulation.bound)


@then('one window later no window has more than the new quota allows')
def then_lowered(context):
    (simulation,) = context.simulations
    since_ms = context.lowered_ms + TERMS.window_s * 1000
    worst = simulation.worst_window(since_ms)
    assert 0 < worst <= simulation.bound, (worst, simulation.bound)


@then('at most {part:g} of its requests are refused')
def then_served(context, part):
    total = sum((each.outcomes for each in context.simulations), Counter())
    refused = sum(total.values()) - total[QuotaState.SPENT]
    assert refused <= part * sum(total.values()), total


@then('at least {part:g} of its rate is used')
def then_used(context, part):
    """Leave out the time before the load."""
    for simulation in context.simulations:
        used = sum(run_ms >= 8000.0 for run_ms in simulation.run_ms)
        seconds = simulation.now_ms / 1000 - 8.0
        rate_per_s = simulation.account.rate_per_s
        assert used >= part * rate_per_s * seconds, (used, seconds)
