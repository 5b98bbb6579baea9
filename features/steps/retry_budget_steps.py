"""Steps for the shared retry budget, in simulated time."""

from collections import Counter
from random import Random

from behave import given
from behave import then
from behave import when

from fuchsiacart.gateway.budgets.retry_budgets import SharedRetryBudget
from fuchsiacart.settings import RouteSettings

SEED = 7
STEP_MS = 10
WINDOW_MS = 10_000
# Time after which the gateways know that others have left or joined.
VIEW_LAG_MS = 3000
EVENT_MS = 30_000
RETURN_MS = 34_000
BURST_MS = 3000


class BudgetFixture:
    """Gateways that spend their budgets in simulated time."""

    def __init__(self, count, ratio, slack):
        self.settings = RouteSettings(
            retry_ratio=ratio, retry_slack=slack, retry_window_s=10
        )
        self.random = Random(SEED)
        self.count = count
        self.wanted_from_ms = 0
        self.rate = self.duration_ms = 0
        self.requests = Counter()
        self.retries = Counter()
        self.wanted = 0
        self.budgets = {
            name: self.make_budget(count, 0) for name in range(count)
        }

    def make_budget(self, count, now_ms):
        """Return the budget of a gateway that starts now."""
        budget = SharedRetryBudget(self.settings, now_ms)
        budget.gateway_count = count
        return budget

    def play(self, on_step):
        """Play the traffic.

        :param on_step: called with the time in each step; returns a factor
            on the rate.
        """
        for now_ms in range(0, self.duration_ms, STEP_MS):
            factor = on_step(now_ms)
            expected = self.rate * factor * STEP_MS / 1000
            count = int(expected)
            count += self.random.random() < expected - count
            for _ in range(count):
                self.send(now_ms)

    def send(self, now_ms):
        """Send a request through a random gateway and retry it."""
        budget = self.budgets[self.random.choice(list(self.budgets))]
        budget.record_request(now_ms)
        self.requests[now_ms] += 1
        if now_ms < self.wanted_from_ms:
            return
        self.wanted += 1
        if budget.try_spend(now_ms):
            self.retries[now_ms] += 1

    def set_count(self, count):
        """Tell all gateways how many they are."""
        for budget in self.budgets.values():
            budget.gateway_count = count

    def largest_excess(self):
        """Return the largest excess of retries over the limit of a window."""
        ratio, slack = self.settings.retry_ratio, self.settings.retry_slack
        worst = float('-inf')
        requests = retries = 0
        for end_ms in range(0, self.duration_ms, STEP_MS):
            requests += self.requests[end_ms]
            retries += self.retries[end_ms]
            requests -= self.requests[end_ms - WINDOW_MS]
            retries -= self.retries[end_ms - WINDOW_MS]
            worst = max(worst, retries - ratio * requests - slack)
        return worst


@given(
    '{count:d} gateways with a retry ratio of {ratio:f} and a slack of'
    ' {slack:d} in 10 s'
)
def given_gateways(context, count, ratio, slack):
    context.budget = BudgetFixture(count, ratio, slack)


@given('every request wants a retry')
def given_all_retry(context):
    context.budget.wanted_from_ms = 0


@given('requests want a retry only in the last {seconds:d} s')
def given_late_retry(context, seconds):
    context.budget.wanted_from_ms = 60_000 - seconds * 1000


@when('traffic of {rate:d} requests a second arrives for {seconds:d} s')
def when_traffic(context, rate, seconds):
    context.budget.rate = rate
    context.budget.duration_ms = seconds * 1000


@when('nothing else happens')
def when_nothing(context):
    context.budget.play(lambda now_ms: 1)


@when('it rises to three times for 3 s')
def when_burst(context):
    context.budget.play(
        lambda now_ms: 3 if EVENT_MS <= now_ms < EVENT_MS + BURST_MS else 1
    )


@when('half of the gateways die and return')
def when_half_die(context):
    """Half of the gateways die; the others learn of it after a while."""
    fixture, half = context.budget, context.budget.count // 2

    def on_step(now_ms):
        if now_ms == EVENT_MS:
            for name in range(half):
                del fixture.budgets[name]
        if now_ms == EVENT_MS + VIEW_LAG_MS:
            fixture.set_count(fixture.count - half)
        if now_ms == RETURN_MS:
            for name in range(half):
                fixture.budgets[name] = fixture.make_budget(
                    fixture.count - half, now_ms
                )
        if now_ms == RETURN_MS + VIEW_LAG_MS:
            fixture.set_count(fixture.count)
        return 1

    fixture.play(on_step)


@when('all gateways restart at once')
def when_all_restart(context):
    fixture = context.budget

    def on_step(now_ms):
        if now_ms == EVENT_MS:
            for name in fixture.budgets:
                fixture.budgets[name] = fixture.make_budget(
                    fixture.count, now_ms
                )
        return 1

    fixture.play(on_step)


@when('as many gateways join')
def when_join(context):
    """New gateways know their number at once, the others after a while."""
    fixture = context.budget

    def on_step(now_ms):
        if now_ms == EVENT_MS:
            for name in range(fixture.count):
                fixture.budgets[f'new-{name}'] = fixture.make_budget(
                    2 * fixture.count, now_ms
                )
        if now_ms == EVENT_MS + VIEW_LAG_MS:
            fixture.set_count(2 * fixture.count)
        return 1

    fixture.play(on_step)


@then(
    'no window of 10 s has more retries than {ratio:f} of its requests and'
    ' {slack:d}'
)
def then_within_limit(context, ratio, slack):
    assert (
        context.budget.largest_excess() <= 0
    ), context.budget.largest_excess()
    assert context.budget.retries.total() > 0


@then(
    'the gateways used at least {share:f} of what {ratio:f} of the requests'
    ' allow'
)
def then_used(context, share, ratio):
    fixture = context.budget
    allowed = ratio * fixture.requests.total()
    assert fixture.retries.total() >= share * allowed, fixture.retries.total()


@then('at least {share:f} of the requests that wanted a retry got one')
def then_got_one(context, share):
    fixture = context.budget
    got = fixture.retries.total() / fixture.wanted
    assert got >= share, got
