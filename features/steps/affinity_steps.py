"""Steps for objects and the servers that have seen them, in simulated time."""

from collections import Counter
from collections import deque
from collections import OrderedDict
from heapq import heappop
from heapq import heappush
from itertools import count
from random import Random

from behave import given
from behave import then
from behave import when
from msgspec import Struct

from fuchsiacart.configurations import Configuration
from fuchsiacart.configurations import Item
from fuchsiacart.configurations import ItemId
from fuchsiacart.configurations import ServiceTerms
from fuchsiacart.control.route_states import RouteView
from fuchsiacart.gateway.dialects import ReportedLoad
from fuchsiacart.gateway.placing.placement_requests import PlacementRequest
from fuchsiacart.gateway.placing.placements import ServerSelector
from fuchsiacart.gateway.route_tables import RouteTable
from fuchsiacart.servers import ServerRecord

REGIONS = {'cymru-a': 'cymru'}
SLOTS = 9
COLD_MS = 1200.0
WARM_MS = 360.0
# Objects that a server remembers.
REMEMBERED = 28
ROOM = 2.0
OBJECTS = 200
POPULAR = 'popular'
WINDOW_MS = 10_000.0


class Visit(Struct):
    """One request: its object and what became of it."""

    at_ms: float
    object_key: str
    server: str = ''
    is_warm: bool = False


class RememberingServer:
    """A server that serves the objects that it remembers faster."""

    def __init__(self):
        self.running = 0
        self.waiting = deque()
        self.seen = OrderedDict()

    def begin(self, object_key):
        """Note an object; return True if it was remembered."""
        is_warm = object_key in self.seen
        self.seen[object_key] = True
        self.seen.move_to_end(object_key)
        while len(self.seen) > REMEMBERED:
            self.seen.popitem(last=False)
        return is_warm

    def load(self):
        """Return the load that an answer reports."""
        return ReportedLoad(self.running, len(self.waiting), SLOTS)


class AffinityFixture:
    """Gateways that send requests to remembering servers."""

    def __init__(self, gateways, servers):
        self.random = Random(1)
        self.now_ms = 0.0
        self.order = count()
        self.events = []
        self.visits = []
        self.is_sticky = True
        self.servers = {
            f'server-{index}': RememberingServer() for index in range(servers)
        }
        self.selectors = [
            ServerSelector('cymru', REGIONS, Random(index))
            for index in range(gateways)
        ]
        self.apply_view()

    def apply_view(self):
        """Apply the servers to all gateways."""
        view = RouteView()
        terms = ServiceTerms('stock', '/', 1000, 0.0, 0.0)
        item = Item(ItemId('services', 'stock'), terms, b'')
        view.configuration = Configuration(1, (item,))
        view.servers = {
            name: ServerRecord(name, 1, 1, 'stock', name, 'cymru-a', SLOTS)
            for name in self.servers
        }
        table = RouteTable(view.configuration)
        for selector in self.selectors:
            selector.apply_view(view, table, self.now_ms)
            selector.region_gateways = len(self.selectors)

    def end_servers(self, ended):
        """Remove some servers and what runs there."""
        for name in list(self.servers)[:ended]:
            del self.servers[name]
        self.apply_view()

    def play(self, rate_per_s, seconds, popular_part):
        """Let requests arrive at random gateways for some seconds."""
        end_ms = self.now_ms + seconds * 1000
        next_ms = self.now_ms
        while next_ms < end_ms:
            next_ms += 1000 * self.random.expovariate(rate_per_s)
            self.finish_until(next_ms)
            self.now_ms = next_ms
            object_key = POPULAR
            if self.random.random() >= popular_part:
                object_key = f'object-{self.random.randrange(OBJECTS)}'
            self.arrive(object_key)

    def arrive(self, object_key):
        """Let a random gateway place a request."""
        selector = self.random.choice(self.selectors)
        placement = PlacementRequest(
            'stock',
            object_key,
            ROOM,
            is_sticky=self.is_sticky,
            service_ms=WARM_MS,
        )
        visit = Visit(self.now_ms, object_key)
        self.visits.append(visit)
        tracked = selector.choose(placement, self.now_ms)
        if tracked is None:
            return
        visit.server = tracked.name
        tracked.in_flight += 1
        server = self.servers[tracked.name]
        server.waiting.append((visit, tracked))
        self.start_next(server)

    def start_next(self, server):
        """Start the requests for which the server has slots."""
        while server.waiting and server.running < SLOTS:
            visit, tracked = server.waiting.popleft()
            server.running += 1
            visit.is_warm = server.begin(visit.object_key)
            work_ms = WARM_MS if visit.is_warm else COLD_MS
            end_ms = self.now_ms + work_ms * self.random.uniform(0.85, 1.15)
            heappush(self.events, (end_ms, next(self.order), server, tracked))

    def finish_until(self, until_ms):
        """End the requests that are done by then."""
        while self.events and self.events[0][0] <= until_ms:
            self.now_ms, _, server, tracked = heappop(self.events)
            server.running -= 1
            tracked.in_flight -= 1
            tracked.record_report(server.load(), self.now_ms)
            self.start_next(server)

    def recent(self):
        """Return the visits of the last 10 s that are not under way."""
        since_ms = self.now_ms - WINDOW_MS
        until_ms = self.now_ms - 2 * COLD_MS
        return [
            each for each in self.visits if since_ms < each.at_ms < until_ms
        ]


@given(
    '{gateways:d} gateways and {servers:d} servers that serve an object'
    ' faster once they have seen it'
)
def given_servers(context, gateways, servers):
    context.affinity = AffinityFixture(gateways, servers)


@given('its route is not sticky')
def given_spread(context):
    context.affinity.is_sticky = False


@when(
    '{rate:d} requests a second arrive for {seconds:d} s, {part:g} of them'
    ' for one object'
)
def when_played(context, rate, seconds, part):
    context.affinity.play(rate, seconds, part)


@when('{ended:d} servers end')
def when_ended(context, ended):
    context.affinity.end_servers(ended)


@then(
    'at least {part:g} of the last 10 s are served by a server that has seen'
    ' the object'
)
def then_warm(context, part):
    served = [each for each in context.affinity.recent() if each.server]
    warm = sum(each.is_warm for each in served)
    assert warm >= part * len(served), (warm, len(served))


@then('at most {part:g} of the last 10 s are refused')
def then_refused(context, part):
    recent = context.affinity.recent()
    refused = sum(not each.server for each in recent)
    assert refused <= part * len(recent), (refused, len(recent))


@then('no server gets more than {factor:g} times the mean of the last 10 s')
def then_even(context, factor):
    fixture = context.affinity
    counts = Counter(each.server for each in fixture.recent() if each.server)
    mean = sum(counts.values()) / len(fixture.servers)
    most = max(counts.values())
    assert most <= factor * mean, (most, mean)


@then(
    'the popular object is on {least:d} to {most:d} servers in the last 10 s,'
    ' another on {other:d} at most'
)
def then_replicas(context, least, most, other):
    places = {}
    for each in context.affinity.recent():
        if each.server:
            places.setdefault(each.object_key, set()).add(each.server)
    popular = len(places.pop(POPULAR))
    assert least <= popular <= most, popular
    assert max(map(len, places.values())) <= other, places
