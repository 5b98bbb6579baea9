"""Steps for accounts, from callers through a gateway to a server."""

from asyncio import create_task
from asyncio import open_connection
from asyncio import sleep

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace

from features.steps.cut_answer_steps import CutFixture
from features.steps.cut_answer_steps import CuttingServer
from features.steps.cut_answer_steps import RETRY_SLACK
from features.steps.forwarding_steps import PlainDialect
from features.steps.forwarding_steps import REGIONS
from fuchsiacart.accounts import ClientAccount
from fuchsiacart.accounts import digest_key
from fuchsiacart.accounts import QuotaGrant
from fuchsiacart.clocks import boot_ms
from fuchsiacart.configurations import Item
from fuchsiacart.configurations import ItemId
from fuchsiacart.configurations import RequestKind
from fuchsiacart.settings import RouteSettings

ACCOUNT_HEADER = 'Account'
KEYS = {'anna': ('a-key', 'a-second-key'), 'berta': ('b-key',)}
NAMED = f'{ACCOUNT_HEADER}: berta'
ANNA = 'Authorization: Bearer a-key'
# Header lines of a request by what the steps call them.
HEADERS = {
    'no key': (),
    'the key of anna': (ANNA,),
    'the second key of anna': ('Authorization: Bearer a-second-key',),
    'the key of berta': ('Authorization: Bearer b-key',),
    'an unknown key': ('Authorization: Bearer another',),
    'the key of anna in lower-case scheme': ('Authorization: bearer a-key',),
    'the key of anna in another scheme': ('Authorization: Basic a-key',),
    'the key of anna without a scheme': ('Authorization: a-key',),
    'a scheme without a key': ('Authorization: Bearer',),
    'the keys of anna and berta': (ANNA, 'Authorization: Bearer b-key'),
    'the key of anna twice': (ANNA, ANNA),
    'the key of anna and the name of berta': (ANNA, NAMED),
    'the name of berta only': (NAMED,),
}
CONNECT_S = 0.05
FAR_S = 3600.0


class AccountDialect(PlainDialect):
    """A dialect that names the account to servers."""

    def write_account(self, headers, account_name):
        """See :meth:`Dialect.write_account`."""
        headers.pop(ACCOUNT_HEADER, None)
        if account_name:
            headers[ACCOUNT_HEADER] = account_name


class RecordingServer(CuttingServer):
    """Keeps the heads of requests; may break off its first answer."""

    def __init__(self, form):
        super().__init__(form)
        self.heads = []
        self.breaks_off = False
        self.on_break = None

    async def _serve(self, reader, writer):
        while True:
            head = await reader.read(65_536)
            if not head:
                break
            self.heads.append(head.decode())
            if self.breaks_off and len(self.heads) == 1:
                if self.on_break is not None:
                    self.on_break()
                    await sleep(CONNECT_S)
                break
            writer.write(f'{self.head}{self.body}'.encode())
        writer.close()

    def account_names(self):
        """Return the account that each request has named, '' for none."""
        return [read_header(head, ACCOUNT_HEADER) for head in self.heads]


def read_header(head, name):
    """Return the value of a header, '' if it is absent."""
    for line in head.split('\r\n'):
        field, _, value = line.partition(': ')
        if field == name:
            return value
    return ''


class AccountFixture(CutFixture):
    """A gateway with accounts, its callers and a server."""

    dialect = AccountDialect
    make_server = RecordingServer

    def __init__(self, names, revoke_s=None):
        self.routes = RouteSettings(
            regions=REGIONS,
            retry_slack=RETRY_SLACK,
            revoke_s=revoke_s,
            # Only the bound of revocations is in question.
            drain_s=FAR_S,
            apply_s=FAR_S,
            evacuate_s=FAR_S,
            quota_slack=20.0,
        )
        self.accounts = {
            name: ClientAccount(name, tuple(map(digest_key, KEYS[name])))
            for name in names
        }
        self.is_public = False
        self.homes = ()
        self.ranks = []
        self.answers = []
        self.connection = None
        super().__init__('a length')
        self.confirm(0)
        self.configure()
        record = self.forwarder._admission.record_arrival
        self.forwarder._admission.record_arrival = (
            lambda service, rank, now_ms: (
                self.ranks.append(rank),
                record(service, rank, now_ms),
            )
        )

    def further_items(self):
        """See :meth:`CutFixture.further_items`."""
        return [
            Item(ItemId('accounts', name), account, b'')
            for name, account in self.accounts.items()
        ]

    def configure(self):
        """Apply the configuration to the gateway."""
        self.apply(RequestKind.IDEMPOTENT)

    def change_route(self, route):
        """See :meth:`CutFixture.change_route`."""
        return replace(
            route, is_public=self.is_public, home_regions=self.homes
        )

    def confirm(self, age_ms):
        """Confirm the view as it was some time ago, and as the newest."""
        freshness = self.forwarder.freshness
        freshness.record_lease(boot_ms() - age_ms, float('inf'), False)
        freshness._current_until_ms = float('inf')

    def change(self, name, **fields):
        """Change fields of an account in the configuration."""
        self.accounts[name] = replace(self.accounts[name], **fields)
        self.configure()

    async def send(self, headers, keeps=False):
        """Send a request; add its status and head to the answers."""
        if self.connection is None:
            self.connection = await open_connection(*self.address)
        reader, writer = self.connection
        lines = ('GET /1 HTTP/1.1', 'Host: shop.example', *headers, '', '')
        writer.write('\r\n'.join(lines).encode())
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        await reader.readexactly(int(read_header(head, 'Content-Length')))
        self.answers.append((int(head.split()[1]), head))
        if not keeps:
            writer.close()
            self.connection = None

    @property
    def statuses(self):
        """The statuses of all answers."""
        return [status for status, _ in self.answers]

    def close(self):
        """See :meth:`CutFixture.close`."""
        if self.connection is not None:
            self.connection[1].close()
        super().close()

    async def add_second(self):
        """Start a second server; either breaks off the first request."""
        self.second = RecordingServer('a length')
        self.second.heads = self.cutting.heads
        for server in (self.cutting, self.second):
            server.breaks_off = True
        self.addresses['second'] = await self.second.start()

    def revoke(self):
        """Take the keys of anna away."""
        self.change('anna', key_digests=())


def give_accounts(context, names, revoke_s=None):
    """Start a gateway with accounts."""
    context.account = AccountFixture(names, revoke_s)
    context.resources.callback(context.account.close)


@given('a gateway whose configuration has the accounts anna and berta')
def given_accounts(context):
    give_accounts(context, ('anna', 'berta'))


@given('a gateway whose configuration has no accounts')
def given_none(context):
    give_accounts(context, ())


@given(
    'a gateway whose configuration has the accounts anna and berta,'
    ' where a revocation holds everywhere after {revoke_s:g} s'
)
def given_bound(context, revoke_s):
    give_accounts(context, ('anna', 'berta'), revoke_s)


@given('a public route')
def given_public(context):
    context.account.is_public = True
    context.account.configure()


@given('two servers that break off the first request')
def given_breaking(context):
    fixture = context.account
    fixture.run(fixture.add_second())
    fixture.configure()


@given(
    'two servers that break off the first request once the key of anna'
    ' is taken away'
)
def given_revoking(context):
    given_breaking(context)
    for server in (context.account.cutting, context.account.second):
        server.on_break = context.account.revoke


@given('no server that listens')
def given_no_server(context):
    context.account.addresses['cutting'] = '127.0.0.1:1'
    context.account.configure()


@given(
    'a route with the homes "{route}" and the account anna'
    ' with the homes "{account}"'
)
@given(
    'a route with the homes "" and the account anna with the homes "{account}"'
)
@given(
    'a route with the homes "{route}" and the account anna with the homes ""'
)
@given('a route with the homes "" and the account anna with the homes ""')
def given_homes(context, route='', account=''):
    fixture = context.account
    fixture.homes = tuple(filter(None, route.split(',')))
    homes = tuple(filter(None, account.split(',')))
    fixture.change('anna', home_regions=homes)


@given('the account {name} has the rank {rank:d}')
def given_rank(context, name, rank):
    context.account.change(name, rank=rank)


@given('the account {name} has a quota of {rate:g} request a second')
def given_quota(context, name, rate):
    fixture = context.account
    fixture.change(name, rate_per_s=rate, burst=rate)
    # As one that has run for some time.
    fixture.forwarder.quotas._book._float_from_ms = 0.0


@when('a request is sent with {headers}')
@when('a request is sent on the same connection with {headers}')
def when_sent(context, headers):
    fixture = context.account
    fixture.run(fixture.send(HEADERS[headers], keeps=True))


@when('the key of anna is taken away')
def when_revoked(context):
    context.account.revoke()


@when('its view was confirmed {age:g} ms ago')
def when_confirmed(context, age):
    context.account.confirm(age)


@when('its view is not known to be the newest')
def when_uncertain(context):
    context.account.forwarder.freshness._current_until_ms = 0.0


@when(
    'its view becomes too old while a request with the key of anna'
    ' waits for its connection'
)
def when_aged(context):
    """Let the view age between the choice of the server and the sending."""
    fixture = context.account
    pool = fixture.forwarder._pool
    reached = pool._reachability.record_connected

    def age_view():
        fixture.confirm(9000)
        reached()

    pool._reachability.record_connected = age_view
    fixture.run(fixture.send(HEADERS['the key of anna']))


@when(
    '{count:d} requests are sent with the key of anna,'
    ' and the leader grants nothing more'
)
def when_many(context, count):
    """Answer each report of the gateway with no further token."""
    fixture = context.account
    quotas = fixture.forwarder.quotas

    async def refuse_tokens():
        while True:
            reports = quotas.make_reports()
            quotas.apply_grants(
                [
                    QuotaGrant(each.account, each.granted, 1.0, True)
                    for each in reports
                ]
            )
            await sleep(0.01)

    async def send_all():
        task = create_task(refuse_tokens())
        await sleep(0.02)
        for _ in range(count):
            await fixture.send(HEADERS['the key of anna'])
        task.cancel()

    fixture.run(send_all())


@then('it is answered {status:d} and reaches the server {how}')
def then_reached(context, status, how):
    fixture = context.account
    assert fixture.statuses == [status], fixture.answers
    if status == 401:
        head = fixture.answers[0][1].lower()
        assert 'www-authenticate: bearer' in head, head
    names = fixture.cutting.account_names()
    heads = ''.join(fixture.cutting.heads)
    if how == 'with the headers as sent':
        assert ANNA in heads and names == ['berta'], heads
        return
    assert 'Authorization' not in heads and 'key' not in heads, heads
    expected = {
        'never': [],
        'without an account': [''],
        'as anna': ['anna'],
        'as berta': ['berta'],
        'as anna, each of 2 times': ['anna', 'anna'],
    }
    assert names == expected[how], names


@then('it is answered {status:d} and the server got {count:d} request')
def then_counted(context, status, count):
    fixture = context.account
    assert fixture.statuses == [status], fixture.answers
    assert len(fixture.cutting.heads) == count, fixture.cutting.heads


@then(
    'the answers are {first:d} and {second:d}, and the server got'
    ' {count:d} request'
)
def then_both(context, first, second, count):
    fixture = context.account
    assert fixture.statuses == [first, second], fixture.answers
    assert len(fixture.cutting.heads) == count, fixture.cutting.heads


@then('the ranks of the two requests were {first:d} and {second:d}')
def then_ranks(context, first, second):
    assert context.account.ranks == [first, second], context.account.ranks


@then(
    'at most {most:d} are answered 200, and the others 429'
    ' with a time to return'
)
def then_limited(context, most):
    answers = context.account.answers
    statuses = context.account.statuses
    assert 0 < statuses.count(200) <= most, statuses
    assert statuses.count(200) + statuses.count(429) == len(statuses), statuses
    assert all(
        'Retry-After: ' in head for status, head in answers if status == 429
    ), answers


@then('requests with the key of berta are answered 200')
def then_others(context):
    fixture = context.account
    fixture.answers.clear()
    fixture.run(fixture.send(HEADERS['the key of berta']))
    assert fixture.statuses == [200], fixture.answers


@then('none is answered 429')
def then_none(context):
    assert 429 not in context.account.statuses, context.account.statuses
