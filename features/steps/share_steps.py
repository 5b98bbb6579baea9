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
LOST_PART = 0.1
TOLERANCE = 1e-6


class ShareSubject:
    """A ledger, and the share that each host may use."""

    def __init__(self, limit, hosts, opens_ms=0.0):
        terms = RankTerms(RankName.URGENT, limit, limit, 10)
        self.limit = limit
        self.contract = Contract(CUSTOMER, (), (), (terms,))
        self.ledger = ShareLedger(LEASE_MS, opens_ms)
        self.held = dict.fromkeys(range(1, hosts + 1), 0.0)
        self.highest = 0.0
        self.now_ms = 0.0
        self.lose = lambda: False

    def renew(self, host, demand):
        """Renew the share of one host."""
        self.now_ms += RENEWAL_MS / len(self.held)
        shares = self.ledger.grant(
            f'entry-{host}',
            [self.contract],
            [Demand(CUSTOMER, Rank.URGENT, demand, demand)],
            [Share(CUSTOMER, Rank.URGENT, self.held[host], 0.0)],
            self.now_ms,
        )
        if not self.lose():
            self.held[host] = shares[0].rate_per_s
        self.highest = max(self.highest, sum(self.held.values()))


@given('a limit of {limit:d} requests a second and {hosts:d} entry hosts')
def given_limit(context, limit, hosts):
    """Set up a ledger."""
    context.shares = ShareSubject(limit, hosts)


@given('host {host:d} holds {held:d} requests a second from an earlier leader')
def given_earlier(context, host, held):
    """Start a leader that does not know of a share."""
    context.shares.ledger = ShareLedger(LEASE_MS, LEASE_MS)
    context.shares.held[host] = float(held)


@given(
    'a host with a share of {rate:d} requests a second and {slots:d} at a time'
)
def given_book(context, rate, slots):
    """Set up a host's count."""
    context.book = ContractLimiter()
    context.book.set_shares(
        [Share(CUSTOMER, Rank.URGENT, float(rate), float(slots))]
    )


@when(
    'demand moves at random between the hosts for {count:d} renewals'
    ' with seed {seed:d}'
)
def when_random(context, count, seed):
    """Plan renewals with random demand."""
    context.random = Random(seed)
    context.renewals = count


@when('a tenth of the replies are lost')
def when_lost(context):
    """Renew, losing some replies."""
    shares = context.shares
    shares.lose = lambda: context.random.random() < LOST_PART
    for _ in range(context.renewals):
        for host in shares.held:
            shares.renew(host, context.random.choice((0, 0, 5, 80)))


@when('only host {host:d} has demand for {count:d} renewals')
def when_one(context, host, count):
    """Renew with the demand on one host."""
    for _ in range(count):
        for each in context.shares.held:
            context.shares.renew(each, 200.0 if each == host else 0.0)


@when('host 1 asks first and host 2 asks next')
def when_first(context):
    """Ask once each, with no demand yet."""
    context.shares.renew(1, 0.0)
    context.shares.renew(2, 0.0)


@when('host 2 asks the new leader before host 1 has reported')
def when_new_leader(context):
    """Ask the new leader."""
    context.shares.renew(2, 50.0)


@when('{count:d} requests come in one instant')
def when_instant(context, count):
    """Use the share at once."""
    context.waits = [
        context.book.acquire_rate(CUSTOMER, Rank.URGENT, 0.0)
        or context.book.acquire_concurrency(CUSTOMER, Rank.URGENT, 0.0)
        for _ in range(count)
    ]


@then('the shares that hosts may use never add up to more than the limit')
def then_sum(context):
    """Check the highest sum seen."""
    shares = context.shares
    assert shares.highest <= shares.limit + TOLERANCE, shares.highest


@then('host {host:d} may use more than {least:d} requests a second')
def then_more(context, host, least):
    """Check a share."""
    assert context.shares.held[host] > least, context.shares.held


@then('host 2 may use some of the limit at once')
def then_some(context):
    """Check that something was left."""
    assert context.shares.held[2] > 0, context.shares.held


@then('host 2 may use nothing yet')
def then_nothing(context):
    """Check that nothing was granted."""
    assert context.shares.held[2] == 0, context.shares.held


@then('no more than {most:d} go on and the others are told when to come again')
def then_told(context, most):
    """Check the count and the waits."""
    granted = [wait for wait in context.waits if wait == 0]
    assert 0 < len(granted) <= most, context.waits
    assert all(wait > 0 for wait in context.waits[most:])
