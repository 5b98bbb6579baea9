"""Steps for the choice of backend servers by a gateway."""

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
from fuchsiacart.gateway.placements import PlacementRequest
from fuchsiacart.gateway.placements import ServerSelector
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
FACTOR = 2.0
COLD_MS = 3000.0
RATE_PER_S = 5.0
STEP_MS = 20.0
NOW_MS = 10_000.0
STATES = {
    'drain': lambda subject: subject.drain(),
    'are evacuated': lambda subject: subject.evacuate(('cymru-a',)),
    'answer for another server': lambda subject: subject.mark_misdirected(),
    'could not be reached': lambda subject: subject.mark_failed(),
}


class PlacementSubject:
    """A gateway's board of servers."""

    def __init__(self, count, domains=tuple(REGIONS), cold_ms=0.0):
        terms = ServiceTerms('stock', '/', 100, COLD_MS, RATE_PER_S)
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
        self.board = ServerSelector('cymru', REGIONS)
        self.served = defaultdict(set)
        self.follow()

    def follow(self):
        """Let the board follow the view."""
        table = RouteTable(self.view.configuration)
        self.board.apply_view(self.view, table, self.now_ms)

    def choose(self, object_key, homes=()):
        """Return the track for a request, or None."""
        wanted = PlacementRequest('stock', object_key, FACTOR, homes)
        return self.board.choose(wanted, self.now_ms)

    def request(self, count, objects, homes=()):
        """Have requests chosen for objects in turn."""
        for index in range(count):
            key = f'object-{index % objects}'
            track = self.choose(key, homes)
            self.served[key].add(track.record.name)

    def tracks(self, domain=''):
        """Return the tracks of a domain, or all."""
        return [
            self.board.find(record.name)
            for record in self.view.servers.values()
            if not domain or record.failure_domain == domain
        ]

    def share(self, *rows):
        """Set the shares of cymru-a."""
        self.view.shares = tuple(
            RegionShare('stock', 'cymru', target, permille)
            for target, permille in rows
        )
        self.follow()

    def drain(self):
        """Let the servers of cymru-a drain."""
        for name, record in self.view.servers.items():
            if record.failure_domain == 'cymru-a':
                self.view.servers[name] = replace(
                    record, state=ServerState.DRAINING
                )
        self.follow()

    def evacuate(self, domains):
        """Set which domains are evacuated."""
        self.view.evacuated = domains
        self.follow()

    def mark_misdirected(self):
        """Take note that other servers have the addresses."""
        for track in self.tracks('cymru-a'):
            track.is_misdirected = True

    def mark_failed(self):
        """Take note that the servers could not be reached."""
        for track in self.tracks('cymru-a'):
            track.record_failure(self.now_ms)

    def most_in_a_second(self, seconds):
        """Return the most requests that got a server in any second."""
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
    """Set up a gateway."""
    context.placement = PlacementSubject(count)


@given(
    'a gateway in cymru-a with one server, which is cold'
    ' and bears 5 requests a second'
)
def given_cold(context):
    """Set up a gateway with a cold server."""
    context.placement = PlacementSubject(1, ('cymru-a',), cold_ms=60_000.0)


@given('shares of {own:d} to cymru and {other:d} to lloegr')
@when('the shares become {own:d} to cymru and {other:d} to lloegr')
def given_shares(context, own, other):
    """Set the shares."""
    context.placement.share(('cymru', own), ('lloegr', other))


@when('{count:d} requests come for {objects:d} objects')
def when_requests(context, count, objects):
    """Have requests chosen."""
    context.placement.request(count, objects)


@when('{count:d} requests come for routes at home in {region}')
def when_home(context, count, region):
    """Have requests chosen that must stay at home."""
    context.placement.request(count, count, (region,))


@when('all servers hold 1 request for each slot')
def when_busy(context):
    """Set the load of all servers."""
    for track in context.placement.tracks():
        track.in_flight = SLOTS


@when('the first server of an object is full')
@when('that one is full too')
def when_full(context):
    """Fill the server that the object would get."""
    context.placement.choose('object').in_flight = int(SLOTS * FACTOR)


@when('both servers of an object are full')
def when_both_full(context):
    """Let all servers be busy, and fill the two servers of an object."""
    when_busy(context)
    when_full(context)
    when_full(context)
    context.placement.tracks('cymru-a')[0].in_flight = 0
    context.placement.tracks('cymru-b')[0].in_flight = 0


@when('the servers of cymru-a {state}')
def when_state(context, state):
    """Bring the servers into a state."""
    STATES[state](context.placement)


@when('the evacuation is taken back')
def when_back(context):
    """Take the evacuation back."""
    context.placement.evacuate(())


@when('the gateway is not its keeper')
def when_not_keeper(context):
    """Let another gateway warm the servers up."""
    context.placement.board.is_warmup_owner = lambda track: False


@when('the gateway is its keeper')
def when_keeper(context):
    """Let this gateway warm the servers up."""
    context.placement.board.is_warmup_owner = lambda track: True


@then('each object was served by one server of cymru')
def then_one_near(context):
    """Check where the objects were served."""
    for names in context.placement.served.values():
        assert len(names) == 1, names
        assert all(name.startswith('cymru') for name in names), names


@then('each object was served by one server')
def then_one(context):
    """Check that no object had two servers."""
    assert all(len(each) == 1 for each in context.placement.served.values())


@then('its next requests go to one other server')
def then_second(context):
    """Check that the second choice is stable."""
    chosen = {
        context.placement.choose('object').record.name for _ in range(20)
    }
    assert len(chosen) == 1, chosen


@then('the next request for it is refused')
def then_refused(context):
    """Check that there is no third server."""
    assert context.placement.choose('object') is None


@then('its next request goes to an idle server of the region')
def then_spare(context):
    """Check the load of the server that is chosen."""
    track = context.placement.choose('object')
    assert track.in_flight == 0 and track.region == 'cymru', track


@then('{low:d} to {high:d} percent of them went to {domain}')
def then_part(context, low, high, domain):
    """Check the part that went to a domain."""
    served = [next(iter(each)) for each in context.placement.served.values()]
    part = sum(name.startswith(domain) for name in served) * 100 / len(served)
    assert low <= part <= high, part


@then('at most {percent:d} percent of the objects have another server')
def then_few_moved(context, percent):
    """Compare the servers of the objects with those before."""
    moved = sum(
        context.placement.choose(key).record.name not in names
        for key, names in context.placement.served.items()
    )
    part = moved * 100 / len(context.placement.served)
    assert 0 < part <= percent, part


@then('{count:d} requests go to none of them')
def then_none(context, count):
    """Check that the servers of cymru-a get nothing."""
    for index in range(count):
        track = context.placement.choose(f'object-{index}')
        assert track.record.failure_domain != 'cymru-a', track


@then('all of them went to {region}')
def then_region(context, region):
    """Check the regions of the servers."""
    for names in context.placement.served.values():
        assert all(name.startswith(region) for name in names), names


@then('no request goes to it in {seconds:d} seconds')
def then_no_request(context, seconds):
    """Check that the cold server gets nothing."""
    assert context.placement.most_in_a_second(seconds) == 0


@then('at most {count:d} requests go to it in any second')
def then_slow(context, count):
    """Check the rate at which the cold server gets requests."""
    most = context.placement.most_in_a_second(5)
    assert 0 < most <= count, most


@then(
    'a gateway that is not their keeper sends them nothing'
    ' for {seconds:d} seconds'
)
def then_still_cold(context, seconds):
    """Check that the servers are spared until they are warm."""
    subject = context.placement
    subject.board.is_warmup_owner = lambda track: False
    subject.now_ms += seconds * 1000 - 1
    then_none(context, 50)
    subject.now_ms += 2
    names = {subject.choose(f'o{index}').name for index in range(50)}
    assert any(name.startswith('cymru-a') for name in names), names
