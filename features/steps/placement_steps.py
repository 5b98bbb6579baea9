"""Steps for a gateway's choice of backend servers."""

from collections import defaultdict

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace

from fuchsiacart.configurations import Configuration
from fuchsiacart.configurations import Item
from fuchsiacart.configurations import ItemId
from fuchsiacart.configurations import ServiceTerms
from fuchsiacart.control.region_shares import RegionShare
from fuchsiacart.control.route_states import RouteView
from fuchsiacart.gateway.placing.placement_requests import PlacementRequest
from fuchsiacart.gateway.placing.placements import ServerSelector
from fuchsiacart.gateway.route_tables import RouteTable
from fuchsiacart.servers import ServerRecord
from fuchsiacart.servers import ServerState

REGIONS = {
    'cymru-a': 'cymru',
    'cymru-b': 'cymru',
    'lloegr-a': 'lloegr',
    'lloegr-b': 'lloegr',
}
SLOTS = 4
LOAD_FACTOR = 2.0
COLD_START_MS = 3000.0
COLD_RATE_PER_S = 5.0
STEP_MS = 20.0
NOW_MS = 10_000.0
STATES = {
    'drain': lambda fixture: fixture.drain(),
    'are evacuated': lambda fixture: fixture.evacuate(('cymru-a',)),
    'answer for another server': lambda fixture: fixture.mark_misdirected(),
    'could not be reached': lambda fixture: fixture.mark_failed(),
}


class PlacementFixture:
    """A server selector with a view that the steps change."""

    def __init__(self, count, domains=tuple(REGIONS), cold_ms=0.0):
        terms = ServiceTerms('stock', '/', 100, COLD_START_MS, COLD_RATE_PER_S)
        item = Item(ItemId('services', 'stock'), terms, b'')
        self.view = RouteView()
        self.view.configuration = Configuration(1, (item,))
        self.now_ms = NOW_MS
        for domain in domains:
            for index in range(count):
                name = f'{domain}-{index}'
                self.view.servers[name] = ServerRecord(
                    name, 1, 1, 'stock', name, domain, SLOTS, cold_ms=cold_ms
                )
        self.selector = ServerSelector('cymru', REGIONS)
        self.served = defaultdict(set)
        self.update_selector()

    def update_selector(self):
        """Apply the view to the selector."""
        table = RouteTable(self.view.configuration)
        self.selector.apply_view(self.view, table, self.now_ms)

    def choose(self, object_key, homes=()):
        """Choose a server for a request.

        :return: the server, or None if no server has room.
        """
        placement_request = PlacementRequest(
            'stock', object_key, LOAD_FACTOR, homes
        )
        return self.selector.choose(placement_request, self.now_ms)

    def request(self, count, objects, homes=()):
        """Send requests for each object in turn and record their servers."""
        for index in range(count):
            key = f'object-{index % objects}'
            server = self.choose(key, homes)
            self.served[key].add(server.record.name)

    def servers(self, domain=''):
        """Return the servers of one failure domain, or all."""
        return [
            self.selector.find(record.name)
            for record in self.view.servers.values()
            if not domain or record.failure_domain == domain
        ]

    def share(self, *rows):
        """Set the shares of callers in cymru."""
        self.view.shares = tuple(
            RegionShare('stock', 'cymru', target, permille)
            for target, permille in rows
        )
        self.update_selector()

    def drain(self):
        """Drain the servers of cymru-a."""
        for name, record in self.view.servers.items():
            if record.failure_domain == 'cymru-a':
                self.view.servers[name] = replace(
                    record, state=ServerState.DRAINING
                )
        self.update_selector()

    def evacuate(self, domains):
        """Set which failure domains are evacuated."""
        self.view.evacuated = domains
        self.update_selector()

    def mark_misdirected(self):
        """Mark the addresses of cymru-a as taken by other servers."""
        for server in self.servers('cymru-a'):
            server.is_misdirected = True

    def mark_failed(self):
        """Record a connection failure of each server of cymru-a."""
        for server in self.servers('cymru-a'):
            server.record_failure(self.now_ms)

    def highest_rate(self, seconds):
        """Request a server every ``STEP_MS`` for some seconds.

        :return: the most requests that got a server in any one second.
        """
        times = []
        end_ms = self.now_ms + seconds * 1000
        while self.now_ms < end_ms:
            if self.choose('object') is not None:
                times.append(self.now_ms)
            self.now_ms += STEP_MS
        return max(
            (
                sum(start <= at < start + 1000 for at in times)
                for start in times
            ),
            default=0,
        )


@given('a gateway in cymru-a with {count:d} servers in each of 4 domains')
def given_gateway(context, count):
    context.placement = PlacementFixture(count)


@given(
    'a gateway in cymru-a with one server, which is cold'
    ' and limited to 5 requests a second'
)
def given_cold_server(context):
    context.placement = PlacementFixture(1, ('cymru-a',), cold_ms=60_000.0)


@given('shares of {own:d} to cymru and {other:d} to lloegr')
@when('the shares become {own:d} to cymru and {other:d} to lloegr')
def given_shares(context, own, other):
    context.placement.share(('cymru', own), ('lloegr', other))


@when('{count:d} requests arrive for {objects:d} objects')
def when_requests(context, count, objects):
    context.placement.request(count, objects)


@when('{count:d} requests arrive for routes with the home region {region}')
def when_home_requests(context, count, region):
    context.placement.request(count, count, (region,))


@when('all servers run 1 request for each slot')
def when_busy(context):
    for server in context.placement.servers():
        server.in_flight = SLOTS


@when('the first server of an object is full')
@when('that one is full too')
def when_full(context):
    context.placement.choose('object').in_flight = int(SLOTS * LOAD_FACTOR)


@when('both servers of an object are full')
def when_both_full(context):
    """Load all servers, fill the object's two servers, idle two servers.

    One idle server is in cymru-a and one in cymru-b.
    """
    when_busy(context)
    when_full(context)
    when_full(context)
    context.placement.servers('cymru-a')[0].in_flight = 0
    context.placement.servers('cymru-b')[0].in_flight = 0


@when('the servers of cymru-a {state}')
def when_state(context, state):
    STATES[state](context.placement)


@when('the evacuation ends')
def when_evacuation_ended(context):
    context.placement.evacuate(())


@when('another gateway warms it up')
def when_other_warms(context):
    context.placement.selector.is_warmup_owner = lambda server: False


@when('the gateway warms it up')
def when_this_warms(context):
    context.placement.selector.is_warmup_owner = lambda server: True


@then('each object was served by one server of cymru')
def then_one_server_near(context):
    for names in context.placement.served.values():
        assert len(names) == 1, names
        assert all(name.startswith('cymru') for name in names), names


@then('each object was served by one server')
def then_one_server(context):
    assert all(len(each) == 1 for each in context.placement.served.values())


@then('its next requests go to one other server')
def then_second_server(context):
    chosen = {
        context.placement.choose('object').record.name for _ in range(20)
    }
    assert len(chosen) == 1, chosen


@then('the next request for it is refused')
def then_refused(context):
    """Check that the object has no third server."""
    assert context.placement.choose('object') is None


@then('its next request goes to an idle server of the region')
def then_idle_server(context):
    server = context.placement.choose('object')
    assert server.in_flight == 0 and server.region == 'cymru', server


@then('{low:d} to {high:d} percent of them went to {domain}')
def then_share_served(context, low, high, domain):
    served = [next(iter(each)) for each in context.placement.served.values()]
    part = sum(name.startswith(domain) for name in served) * 100 / len(served)
    assert low <= part <= high, part


@then('at most {percent:d} percent of the objects have another server')
def then_few_moved(context, percent):
    moved = sum(
        context.placement.choose(key).record.name not in names
        for key, names in context.placement.served.items()
    )
    part = moved * 100 / len(context.placement.served)
    assert 0 < part <= percent, part


@then('{count:d} requests use none of them')
def then_none(context, count):
    for index in range(count):
        server = context.placement.choose(f'object-{index}')
        assert server.record.failure_domain != 'cymru-a', server


@then('all of them went to {region}')
def then_region(context, region):
    for names in context.placement.served.values():
        assert all(name.startswith(region) for name in names), names


@then('no request goes to it in {seconds:d} seconds')
def then_no_request(context, seconds):
    assert context.placement.highest_rate(seconds) == 0


@then('at most {count:d} requests go to it in any second')
def then_limited_rate(context, count):
    most = context.placement.highest_rate(5)
    assert 0 < most <= count, most


@then(
    'a gateway that does not warm them up sends them nothing'
    ' for {seconds:d} seconds'
)
def then_cold_after_evacuation(context, seconds):
    """Check 1 ms before the end of the warm-up and 1 ms after it."""
    fixture = context.placement
    fixture.selector.is_warmup_owner = lambda server: False
    fixture.now_ms += seconds * 1000 - 1
    then_none(context, 50)
    fixture.now_ms += 2
    names = {fixture.choose(f'o{index}').name for index in range(50)}
    assert any(name.startswith('cymru-a') for name in names), names
