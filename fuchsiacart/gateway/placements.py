"""Selects the backend server for a request at a gateway.

The region shares choose the region.  Within it, requests for one object go
to the same server as long as its load allows, and then to the next in the
object's order of preference, so that a second server caches the object too.
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
# Preferred servers of an object, the first ones in its order of preference.
OBJECT_SERVERS = 2
# Cached orders of preference, by service, region and object.
ORDER_LIMIT = 1024
# Load per slot below which a server takes objects that are not its own.
SPARE_LOAD = 0.5
# Time in which the weight of a reported load decreases to zero.
REPORT_MS = 1000.0
FIRST_SUSPENSION_MS = 300.0
LONGEST_SUSPENSION_MS = 5000.0
# Fraction of the cold rate that is used.  The margin covers a second gateway
# that also warms the server up while views differ.
COLD_RATE_PART = 0.85


class TrackedServer(Struct, eq=False):
    """State of one backend server as this gateway sees it.

    ``in_flight`` counts this gateway's own requests, ``foreign`` those of
    others by the last report.  A cold server, until ``cold_until_ms``, takes
    requests only at the rate of its token bucket.
    """

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
        """Name of the server."""
        return self.record.name

    def load(self, now_ms):
        """Return the estimated number of requests at the server.

        The reported requests of others lose weight as the report ages.

        :param now_ms: the current time.
        """
        age_ms = now_ms - self.reported_ms
        if age_ms >= REPORT_MS:
            return self.in_flight
        return self.in_flight + self.foreign * (1 - age_ms / REPORT_MS)

    def slot_load(self, now_ms):
        """Return the estimated number of requests per slot.

        :param now_ms: the current time.
        """
        return self.load(now_ms) / max(1, self.record.slots)

    def is_cold(self, now_ms):
        """Return True while the server warms up.

        :param now_ms: the current time.
        """
        return now_ms < self.cold_until_ms

    def note_report(self, load, now_ms):
        """Update the load of other gateways from a report.

        :param load: the :class:`ReportedLoad` of a response.
        :param now_ms: the current time.
        """
        held = load.running + load.waiting
        self.foreign = max(0.0, held - self.in_flight)
        self.reported_ms = now_ms

    def note_success(self):
        """Reset the count of failures after a response."""
        self.failures = 0

    def record_failure(self, now_ms):
        """Suspend the server after a failure, with exponential backoff.

        :param now_ms: the current time.
        """
        pause_ms = FIRST_SUSPENSION_MS * 2**self.failures
        self.failures = min(self.failures + 1, 6)
        self.suspended_until_ms = now_ms + min(pause_ms, LONGEST_SUSPENSION_MS)


class PlacementRequest(Struct, frozen=True):
    """Requirements of a request on its server.

    ``slots_factor`` bounds the requests per slot at a preferred server.
    ``home_regions`` lists the regions that may serve it; empty means any.
    ``excluded`` names the servers already tried.
    """

    service: str
    object_key: str
    slots_factor: float
    home_regions: tuple[str, ...] = ()
    excluded: frozenset[str] = frozenset()


class ServerSelector:
    """Tracks all backend servers and chooses one for each request.

    Performs no I/O.  ``is_warmup_owner`` is set by the gateway: it takes a
    :class:`TrackedServer` and returns True if this gateway warms it up.

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
        """Apply a new view.

        Servers keep their state across views.  The servers of a failure
        domain that is no longer evacuated start cold.

        :param view: the :class:`RouteView`.
        :param table: the :class:`RouteTable` of its configuration.
        :param now_ms: the current time.
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
        """Return the :class:`TrackedServer` of a server, or None."""
        return self._tracks.get(name)

    def choose(self, wanted, now_ms):
        """Choose the server for a request.

        :param wanted: the :class:`PlacementRequest`.
        :param now_ms: the current time.
        :return: the :class:`TrackedServer`, or None if no server has room.
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
        """Return the regions in the order in which they are tried.

        The region that the shares choose comes first, then the own one.
        """
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
        """Yield the usable servers of a region in order of preference."""
        for server in self._order(domains, region, wanted):
            domain = server.record.failure_domain
            if not self._may_serve(domain, wanted):
                continue
            if self._is_usable(server, wanted, now_ms):
                yield server

    def _order(self, domains, region, wanted):
        """Return a region's servers in the object's order of preference.

        The order is cached until the view changes.
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
        """Return a preferred server or else the least loaded one with room.

        :param own: the preferred servers of the object.
        :param others: the remaining usable servers.
        :return: the :class:`TrackedServer`, or None if no server has room.
        """
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
