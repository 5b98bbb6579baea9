"""Which backend server a gateway sends a request to.

Requests for one object go to the same server as long as its load allows,
in a region that the shares name; then to the next in the object's own order
of preference, so that a second server learns the object too.
"""

from collections import defaultdict
from itertools import islice

from msgspec import Struct
from xxhash import xxh64_intdigest

from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.control.region_shares import order_regions
from fuchsiacart.ownership import rendezvous_order
from fuchsiacart.servers import ServerRecord
from fuchsiacart.servers import ServerState

HASH_SPAN = 2**64
# Servers that an object is kept on, in its own order of preference.
OBJECT_SERVERS = 2
# Orders of preference that are kept, by service, region and object.
ORDER_LIMIT = 1024
# Load for each slot up to which a server takes objects that are new to it.
SPARE_LOAD = 0.5
# Time after which a reported load counts for nothing any more.
REPORT_MS = 1000.0
FIRST_SUSPENSION_MS = 300.0
LONGEST_SUSPENSION_MS = 5000.0
# Part of the cold rate that is used, which leaves room for a second gateway
# that takes itself for the one in charge.
COLD_RATE_PART = 0.85


class TrackedServer(Struct, eq=False):
    """What this gateway knows of one backend server."""

    record: ServerRecord
    region: str
    in_flight: int = 0
    foreign: float = 0.0
    reported_ms: float = 0.0
    cold_until_ms: float = 0.0
    cold_tokens: float = 1.0
    cold_filled_ms: float = 0.0
    failures: int = 0
    suspended_until_ms: float = 0.0
    is_misdirected: bool = False

    @property
    def name(self):
        """Return the name of the server."""
        return self.record.name

    def load(self, now_ms):
        """Return the requests that the server holds, as far as is known."""
        age_ms = now_ms - self.reported_ms
        if age_ms >= REPORT_MS:
            return self.in_flight
        return self.in_flight + self.foreign * (1 - age_ms / REPORT_MS)

    def slot_load(self, now_ms):
        """Return the requests that the server holds for each slot."""
        return self.load(now_ms) / max(1, self.record.slots)

    def is_cold(self, now_ms):
        """Tell whether the server has to be spared."""
        return now_ms < self.cold_until_ms

    def note_report(self, load, now_ms):
        """Take in a reported load.

        :param load: the :class:`ReportedLoad` that came with an answer.
        :param now_ms: the present.
        """
        held = load.running + load.waiting
        self.foreign = max(0.0, held - self.in_flight)
        self.reported_ms = now_ms

    def note_success(self):
        """Take note of an answer."""
        self.failures = 0

    def record_failure(self, now_ms):
        """Take note that the server was lost, broke off or failed."""
        pause_ms = FIRST_SUSPENSION_MS * 2**self.failures
        self.failures = min(self.failures + 1, 6)
        self.suspended_until_ms = now_ms + min(pause_ms, LONGEST_SUSPENSION_MS)


class PlacementRequest(Struct, frozen=True):
    """What a server is wanted for.

    ``slots_factor`` is how many requests for each slot a server may hold,
    ``home_regions`` is empty where any region may serve.
    """

    service: str
    object_key: str
    slots_factor: float
    home_regions: tuple[str, ...] = ()
    excluded: frozenset[str] = frozenset()


class ServerSelector:
    """All backend servers as one gateway sees them, pure.

    :param region: the gateway's region.
    :param regions: region of each failure domain.
    """

    def __init__(self, region, regions):
        self._regions = dict(regions)
        self._region = region
        self._tracks = {}
        self._by_service = defaultdict(lambda: defaultdict(list))
        self._rows = {}
        self._orders = {}
        self._evacuated = frozenset()
        self._cold_rates = {}
        self.is_warmup_owner = lambda server: True

    def apply_view(self, view, table, now_ms):
        """Take over a new view.

        :param view: the :class:`RouteView`.
        :param table: the :class:`RouteTable` of its configuration.
        :param now_ms: the present.
        """
        freed = self._evacuated - set(view.evacuated)
        self._evacuated = frozenset(view.evacuated)
        kept = {}
        for record in view.servers.values():
            kept[record.name] = self._track(record, now_ms)
        self._tracks = kept
        self._orders = {}
        self._by_service = defaultdict(lambda: defaultdict(list))
        for server in kept.values():
            terms = table.terms(server.record.service)
            self._cold_rates[server.record.service] = (
                terms.cold_rate_per_s if terms else 0.0
            )
            if terms and server.record.failure_domain in freed:
                server.cold_until_ms = now_ms + terms.cold_start_ms
            domains = self._by_service[server.record.service]
            domains[server.record.failure_domain].append(server)
        self._rows = defaultdict(list)
        for share in view.shares:
            if share.home == self._region:
                self._rows[share.service].append(share)

    def find(self, name):
        """Return what is known of a server, or None."""
        return self._tracks.get(name)

    def choose(self, wanted, now_ms):
        """Return the track of the server to send a request to, or None.

        :param wanted: what for.
        :param now_ms: the present.
        """
        domains = self._by_service.get(wanted.service)
        if not domains:
            return None
        point = xxh64_intdigest(wanted.object_key.encode()) / HASH_SPAN
        for region in self._ordered_regions(wanted, domains, point):
            usable = self._usable(domains, region, wanted, now_ms)
            own = tuple(islice(usable, OBJECT_SERVERS))
            if own:
                return self._pick(own, usable, wanted, now_ms)
        return None

    def _track(self, record, now_ms):
        server = self._tracks.get(record.name)
        region = self._regions.get(record.failure_domain, '')
        if server is None or server.record.born_ms != record.born_ms:
            server = TrackedServer(record, region)
            if record.cold_ms:
                server.cold_until_ms = now_ms + record.cold_ms
            return server
        if record != server.record:
            server.is_misdirected = False
            server.cold_until_ms = 0.0
            if record.cold_ms:
                server.cold_until_ms = now_ms + record.cold_ms
        server.record = record
        return server

    def _ordered_regions(self, wanted, domains, point):
        """Return the regions, in the order in which they are tried."""
        first = self._first_region(wanted, point)
        regions = {self._regions.get(domain, '') for domain in domains}
        return sorted(
            regions,
            key=lambda region: (
                region != first,
                region != self._region,
                region,
            ),
        )

    def _first_region(self, wanted, point):
        row = {
            share.target: share.permille
            for share in self._rows.get(wanted.service, ())
            if not wanted.home_regions or share.target in wanted.home_regions
        }
        left = point * sum(row.values())
        for region in order_regions(self._region, row):
            left -= row[region]
            if left < 0:
                return region
        return self._region

    def _may_serve(self, domain, wanted):
        if domain in self._evacuated:
            return False
        if not wanted.home_regions:
            return True
        return self._regions.get(domain, '') in wanted.home_regions

    def _usable(self, domains, region, wanted, now_ms):
        """Yield a region's usable servers in the object's own order."""
        for server in self._order(domains, region, wanted):
            domain = server.record.failure_domain
            if not self._may_serve(domain, wanted):
                continue
            if self._is_usable(server, wanted, now_ms):
                yield server

    def _order(self, domains, region, wanted):
        """Return a region's servers in the object's order of preference.

        It is worked out once for an object, until the view changes.
        """
        key = (wanted.service, region, wanted.object_key)
        order = self._orders.get(key)
        if order is None:
            tracks = [
                server
                for domain, members in domains.items()
                if self._regions.get(domain, '') == region
                for server in members
            ]
            order = tuple(rendezvous_order(wanted.object_key, tracks))
            if len(self._orders) >= ORDER_LIMIT:
                self._orders.clear()
            self._orders[key] = order
        return order

    def _is_usable(self, server, wanted, now_ms):
        record = server.record
        if record.state is ServerState.DRAINING or server.is_misdirected:
            return False
        if record.name in wanted.excluded:
            return False
        if now_ms < server.suspended_until_ms:
            return False
        if server.is_cold(now_ms):
            return self._has_cold_token(server, now_ms)
        return True

    def _has_cold_token(self, server, now_ms):
        if not self.is_warmup_owner(server):
            return False
        rate = self._cold_rates.get(server.record.service, 0.0)
        if not server.cold_filled_ms:
            server.cold_filled_ms = now_ms
        passed_s = (now_ms - server.cold_filled_ms) / MILLISECONDS
        server.cold_filled_ms = now_ms
        filled = server.cold_tokens + passed_s * rate * COLD_RATE_PART
        server.cold_tokens = min(1.0, filled)
        return server.cold_tokens >= 1.0

    def _pick(self, own, others, wanted, now_ms):
        """Return one of the object's own servers or an idle one, or None."""
        for server in own:
            if server.slot_load(now_ms) < wanted.slots_factor:
                return self._taken(server, now_ms)
        best = min(
            others, key=lambda server: server.slot_load(now_ms), default=None
        )
        if best is None or best.slot_load(now_ms) >= SPARE_LOAD:
            return None
        return self._taken(best, now_ms)

    def _taken(self, server, now_ms):
        if server.is_cold(now_ms):
            server.cold_tokens -= 1.0
        return server
