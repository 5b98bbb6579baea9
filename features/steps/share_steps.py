"""Steps for shares of a contract's limits."""

from random import Random

from behave import given
from behave import then
from behave import when

from fuchsiacart.control.limit_shares import ShareLedger
from fuchsiacart.entry.limits import ContractLimiter
from fuchsiacart.messages import Demand
from fuchsiacart.messages import Share
from fuchsiacart.models import Contract
from fuchsiacart.models import CustomerId
from fuchsiacart.models import Rank
from fuchsiacart.models import RankName
from fuchsiacart.models import RankTerms

CUSTOMER = CustomerId('shop')
LEASE_MS = 3000
RENEWAL_MS = 500
LOST_REPLIES_RATIO = 0.1
RATE_TOLERANCE_PER_S = 1e-6


class ShareFixture:
    """A share ledger, and the rate that each host may use."""

    def __init__(self, limit, hosts, first_grant_ms=0.0):
        terms = RankTerms(RankName.URGENT, limit, limit, 10)
        self.limit = limit
        self.contract = Contract(CUSTOMER, (), (), (terms,))
        self.ledger = ShareLedger(LEASE_MS, first_grant_ms)
        self.usable = dict.fromkeys(range(1, hosts + 1), 0.0)
        self.highest_sum = 0.0
        self.now_ms = 0.0
        self.is_reply_lost = lambda: False

    def renew(self, host, demand):
        """Renew a host's share; record the highest sum of all usable rates."""
        self.now_ms += RENEWAL_MS / len(self.usable)
        shares = self.ledger.grant(
            f'entry-{host}',
            [self.contract],
            [Demand(CUSTOMER, Rank.URGENT, demand, demand)],
            [Share(CUSTOMER, Rank.URGENT, self.usable[host], 0.0)],
            self.now_ms,
        )
        if not self.is_reply_lost():
            self.usable[host] = shares[0].rate_per_s
        self.highest_sum = max(self.highest_sum, sum(self.usable.values()))


@given('a limit of {limit:d} requests a second and {hosts:d} entry hosts')
def given_limit(context, limit, hosts):
    context.shares = ShareFixture(limit, hosts)


@given(
    'host {host:d} holds {usable:d} requests a second from an earlier'
    ' leader'
)
def given_earlier(context, host, usable):
    """Replace the ledger by a new leader's, which knows of no share yet.

    For one lease it grants nothing of its own: hosts keep what they report,
    as the shares of the earlier leader may still be in use.
    """
    context.shares.ledger = ShareLedger(LEASE_MS, LEASE_MS)
    context.shares.usable[host] = float(usable)


@given(
    'a host with a share of {rate:d} requests a second and {slots:d} at a time'
)
def given_limiter(context, rate, slots):
    """Set up the limiter of a host with one share."""
    context.limiter = ContractLimiter()
    context.limiter.set_shares(
        [Share(CUSTOMER, Rank.URGENT, float(rate), float(slots))]
    )


@when(
    'demand moves at random between the hosts for {count:d} renewals'
    ' with seed {seed:d}'
)
def when_random(context, count, seed):
    """Store the number and the seed; the next step renews."""
    context.random = Random(seed)
    context.renewals = count


@when('a tenth of the replies are lost')
def when_lost(context):
    """Renew all shares with random demand; lose some replies."""
    shares = context.shares
    shares.is_reply_lost = lambda: context.random.random() < LOST_REPLIES_RATIO
    for _ in range(context.renewals):
        for host in shares.usable:
            shares.renew(host, context.random.choice((0, 0, 5, 80)))


@when('only host {host:d} has demand for {count:d} renewals')
def when_one_has_demand(context, host, count):
    for _ in range(count):
        for each in context.shares.usable:
            context.shares.renew(each, 200.0 if each == host else 0.0)


@when('host 1 asks first and host 2 asks next')
def when_both_ask(context):
    """Renew once for each host, without demand."""
    context.shares.renew(1, 0.0)
    context.shares.renew(2, 0.0)


@when('host 2 asks the new leader before host 1 has reported')
def when_new_leader(context):
    context.shares.renew(2, 50.0)


@when('{count:d} requests arrive at the same instant')
def when_all_at_once(context, count):
    """Ask the limiter once for each request, all at time 0."""
    context.waits = [
        context.limiter.acquire_rate(CUSTOMER, Rank.URGENT, 0.0)
        or context.limiter.acquire_concurrency(CUSTOMER, Rank.URGENT, 0.0)
        for _ in range(count)
    ]


@then('the shares that hosts may use never add up to more than the limit')
def then_sum(context):
    """Check the highest sum after any renewal."""
    shares = context.shares
    assert (
        shares.highest_sum <= shares.limit + RATE_TOLERANCE_PER_S
    ), shares.highest_sum


@then('host {host:d} may use more than {least:d} requests a second')
def then_more(context, host, least):
    assert context.shares.usable[host] > least, context.shares.usable


@then('host 2 may use some of the limit at once')
def then_some(context):
    assert context.shares.usable[2] > 0, context.shares.usable


@then('host 2 may use nothing yet')
def then_nothing(context):
    assert context.shares.usable[2] == 0, context.shares.usable


@then('no more than {most:d} are admitted and the others get a retry time')
def then_rest_wait(context, most):
    """Check the number of requests admitted and the wait of all others."""
    admitted = [wait for wait in context.waits if wait == 0]
    assert 0 < len(admitted) <= most, context.waits
    assert all(wait > 0 for wait in context.waits[most:])
