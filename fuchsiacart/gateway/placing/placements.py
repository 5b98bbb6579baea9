"""Selects the backend server for a request at a gateway.

The region shares choose the region.  Within it, requests for one object go
to the same server as long as its load allows, and then to the next in the
object's order of preference, so that a second server caches the object too.
"""

from collections import defaultdict
from itertools import islice
from random import Random

from msgspec.structs import replace

from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.control.region_shares import order_regions
from fuchsiacart.gateway.backoffs import BackoffLedger
from fuchsiacart.gateway.departures import DepartureLedger
from fuchsiacart.gateway.doubtful_starts import DoubtfulStarts
from fuchsiacart.gateway.placing.estimates import hash_fraction_of
from fuchsiacart.gateway.placing.estimates import time_to_limit_ms
from fuchsiacart.gateway.placing.object_rates import ObjectRates
from fuchsiacart.gateway.placing.obstacles import Obstacle
from fuchsiacart.gateway.placing.pickers import AffinityPicker
from fuchsiacart.gateway.placing.pickers import PREFERRED_SERVERS
from fuchsiacart.gateway.placing.pickers import SpreadPicker
from fuchsiacart.gateway.tracked_servers import TrackedServer
from fuchsiacart.load_boards import ServerIndex
from fuchsiacart.ownership import rendezvous_order
from fuchsiacart.servers import ServerState

# Entries in the cache of orders of preference, which is cleared when full.
ORDER_CACHE_LIMIT = 1024
# Fraction of the cold rate that is used.  The margin covers a second gateway
# that also considers itself responsible for the warm-up.
COLD_RATE_FRACTION = 0.85


class ServerSelector:
    """Tracks all backend servers and chooses one for each request.

    Performs no I/O.  ``is_warmup_owner`` is set by the gateway: it takes a
    :class:`TrackedServer` and returns True if this gateway warms it up.

    :param region: the gateway's region.
    :param regions: region of each failure domain.
    :param random: random number generator.
    """

    def __init__(self, region, regions, random=None):
        self._regions = dict(regions)
        self._region = region
        self._servers = {}
        self._index = ServerIndex((), self._regions, region)
        self._by_service = defaultdict(lambda: defaultdict(list))
        self._shares = {}
        self._order_cache = {}
        self._evacuated = frozenset()
        self._cold_rates = {}
        self._random = random or Random()
        # Gateways of the own region that get requests of its callers.
        self.region_gateways = 1
        self._object_rates = ObjectRates()
        self._affinity = AffinityPicker()
        self._spread = SpreadPicker()
        self.is_warmup_owner = lambda server: True
        self.departures = DepartureLedger()
        self.doubtful = DoubtfulStarts()
        self.backoffs = BackoffLedger(self._random)

    def apply_view(self, view, table, now_ms):
        """Apply a new view.

        Servers keep their state across views.  The servers of a failure
        domain that is no longer evacuated start cold.

        :param view: the :class:`RouteView`.
        :param table: the :class:`RouteTable` of its configuration.
        :param now_ms: the current time.
        """
        readmitted = self._evacuated - set(view.evacuated)
        self._evacuated = frozenset(view.evacuated)
        servers = {}
        for record in view.servers.values():
            servers[record.name] = self._update_server(record, now_ms)
        self._servers = servers
        self._index = ServerIndex(
            view.servers.values(), self._regions, self._region
        )
        self._order_cache = {}
        self._by_service = defaultdict(lambda: defaultdict(list))
        for server in servers.values():
            terms = table.service_terms(server.record.service)
            self._cold_rates[server.record.service] = (
                terms.cold_rate_per_s if terms else 0.0
            )
            if terms and server.record.failure_domain in readmitted:
                server.cold_until_ms = now_ms + terms.cold_start_ms
            domains = self._by_service[server.record.service]
            domains[server.record.failure_domain].append(server)
        self._shares = defaultdict(list)
        for share in view.shares:
            if share.home == self._region:
                self._shares[share.service].append(share)

    @property
    def servers(self):
        """All :class:`TrackedServer` by name."""
        return self._servers

    def find(self, name):
        """Return the :class:`TrackedServer` of a server, or None."""
        return self._servers.get(name)

    def unconfirmed_departures(self):
        """See :meth:`DepartureLedger.unconfirmed`."""
        records = {
            name: server.record for name, server in self._servers.items()
        }
        return self.departures.unconfirmed(records)

    def doubted_servers(self):
        """Return each :class:`TrackedServer` whose start is in doubt."""
        known = map(self.find, self.doubtful.names)
        return [
            server
            for server in known
            if server is not None
            and not self._leaves(server)
            and self.doubtful.find(server.record)
        ]

    def accepts(self, server, home_regions):
        """Return False if a server may leave or may not serve a request.

        :param server: the :class:`TrackedServer`.
        :param home_regions: see :class:`PlacementRequest`.
        """
        if not self._may_serve(server.record.failure_domain, home_regions):
            return False
        return not (self._leaves(server) or self.doubtful.find(server.record))

    def end_suspensions(self):
        """Use all servers again, whatever has failed so far."""
        for server in self._servers.values():
            server.end_suspension()

    def record_loads(self, load_map, counted_ms):
        """Record what other gateways have in flight at each server.

        A map of other servers than those of the view is ignored.

        :param load_map: the :class:`LoadMap`.
        :param counted_ms: about when it was counted.
        """
        if load_map.index_id != self._index.id:
            return
        for name, requests in zip(self._index.names, load_map.counts):
            server = self._servers.get(name)
            if server is not None:
                server.record_count(requests, counted_ms)

    def choose(self, placement, now_ms):
        """Choose the server for a request.

        :param placement: the :class:`PlacementRequest`.
        :param now_ms: the current time.
        :return: the :class:`TrackedServer`, or None if no server is usable
            and has room.
        """
        self._count_object(placement, now_ms)
        server = self.peek(placement, now_ms)
        if server is not None and server.is_cold(now_ms):
            server.cold_tokens -= 1.0
        return server

    def peek(self, placement, now_ms):
        """Return the server that :meth:`choose` would choose.

        See :meth:`choose`; nothing is counted.
        """
        picker = self._affinity if placement.is_sticky else self._spread
        object_slots = self._measure_object(placement, now_ms)
        for _, servers in self.orders(placement):
            usable = self._usable(servers, placement, now_ms)
            try:
                return picker.pick(usable, placement, object_slots, now_ms)
            except LookupError:
                continue
        return None

    def orders(self, placement):
        """Yield each region with its servers, as they are tried in turn.

        :param placement: the :class:`PlacementRequest`.
        """
        domains = self._by_service.get(placement.service) or {}
        for region in self._ordered_regions(placement, domains):
            yield region, self._server_order(domains, region, placement)

    def _count_object(self, placement, now_ms):
        if placement.is_sticky and not placement.excluded:
            key = (placement.service, placement.object_key)
            self._object_rates.record(key, now_ms)

    def _measure_object(self, placement, now_ms):
        """Return the slots that all requests for the object occupy.

        Other gateways of the region get as many as this one.
        """
        key = (placement.service, placement.object_key)
        rate_per_s = self._object_rates.rate_per_s(key, now_ms)
        service_s = placement.service_ms / MILLISECONDS
        return rate_per_s * self.region_gateways * service_s

    def time_to_room_ms(self, placement, service_ms, now_ms):
        """Estimate when a preferred server has room for a request.

        The requests above the limit of the server leave at the rate at which
        its slots finish requests.

        :param placement: the :class:`PlacementRequest`; the servers already
            tried count too, as the request may return to them.
        :param service_ms: mean service time of a request, 0 if unknown.
        :param now_ms: the current time.
        :return: milliseconds, or None if that cannot be estimated.
        """
        domains = self._by_service.get(placement.service)
        if not domains:
            return None
        if not service_ms:
            return self._time_to_return_ms(domains, placement, now_ms)
        placement = replace(placement, excluded=frozenset())
        for _, servers in self.orders(placement):
            usable = self._usable(servers, placement, now_ms)
            preferred = tuple(islice(usable, PREFERRED_SERVERS))
            if preferred:
                return min(
                    time_to_limit_ms(server, placement, service_ms, now_ms)
                    for server in preferred
                )
        return self._time_to_return_ms(domains, placement, now_ms)

    def _time_to_return_ms(self, domains, placement, now_ms):
        """Return when the first server that wants no request may want some.

        :return: milliseconds, or None if a server does not say so.
        """
        waits_ms = [
            self.backoffs.wait_ms(server.record.start, now_ms)
            for domain, servers in domains.items()
            if self._may_serve(domain, placement.home_regions)
            for server in servers
            if not self._leaves(server)
        ]
        return min(waits_ms, default=0.0) or None

    def _leaves(self, server):
        return (
            server.record.state is ServerState.DRAINING
            or self.departures.covers(server.record.start)
        )

    def _update_server(self, record, now_ms):
        server = self._servers.get(record.name)
        region = self._regions.get(record.failure_domain, '')
        if server is None or server.record.born_ms != record.born_ms:
            server = TrackedServer(record, region)
            server.begin_cold(now_ms)
            return server
        if record != server.record:
            server.is_misdirected = False
            server.record = record
            server.begin_cold(now_ms)
        server.record = record
        server.region = region
        return server

    def _ordered_regions(self, placement, domains):
        """Return the regions in the order in which they are tried.

        The region that the shares choose comes first, then the gateway's.
        """
        hash_fraction = hash_fraction_of(placement.object_key)
        first = self._first_region(placement, hash_fraction)
        regions = {self._regions.get(domain, '') for domain in domains}
        return sorted(
            regions,
            key=lambda region: (
                region != first,
                region != self._region,
                region,
            ),
        )

    def _first_region(self, placement, hash_fraction):
        permilles = {
            share.target: share.permille
            for share in self._shares.get(placement.service, ())
            if not placement.home_regions
            or share.target in placement.home_regions
        }
        remaining = hash_fraction * sum(permilles.values())
        for region in order_regions(self._region, permilles):
            remaining -= permilles[region]
            if remaining < 0:
                return region
        return self._region

    def _may_serve(self, domain, home_regions):
        if domain in self._evacuated:
            return False
        if not home_regions:
            return True
        return self._regions.get(domain, '') in home_regions

    def _usable(self, servers, placement, now_ms):
        """Yield the usable servers of a region in order of preference."""
        for server in servers:
            if self.find_obstacle(server, placement, now_ms) is None:
                yield server

    def _server_order(self, domains, region, placement):
        """Return a region's servers in the object's order of preference.

        The order is cached until the view changes.  A request that prefers no
        server gets a random order.
        """
        if not placement.is_sticky:
            servers = self._servers_in(domains, region)
            return self._random.sample(servers, len(servers))
        key = (placement.service, region, placement.object_key)
        order = self._order_cache.get(key)
        if order is None:
            servers = self._servers_in(domains, region)
            order = tuple(rendezvous_order(placement.object_key, servers))
            if len(self._order_cache) >= ORDER_CACHE_LIMIT:
                self._order_cache.clear()
            self._order_cache[key] = order
        return order

    def _servers_in(self, domains, region):
        return [
            server
            for domain, members in domains.items()
            if self._regions.get(domain, '') == region
            for server in members
        ]

    def find_obstacle(self, server, placement, now_ms):
        """Return why a server gets no request, whatever its load.

        :param server: the :class:`TrackedServer`.
        :param placement: the :class:`PlacementRequest`.
        :param now_ms: the current time.
        :return: the :class:`Obstacle`, or None.
        """
        record = server.record
        if server.is_misdirected:
            return Obstacle.MISDIRECTED
        if not self._may_serve(record.failure_domain, placement.home_regions):
            return Obstacle.NOT_ALLOWED
        if self._leaves(server):
            return Obstacle.LEAVING
        if self.doubtful.find(record):
            return Obstacle.IN_DOUBT
        if not self.backoffs.accepts(record.start, now_ms):
            return Obstacle.WANTS_NONE
        if record.name in placement.excluded:
            return Obstacle.TRIED
        if now_ms < server.suspended_until_ms:
            return Obstacle.SUSPENDED
        if server.is_cold(now_ms) and not self._has_cold_token(server, now_ms):
            return Obstacle.COLD
        return None

    def _has_cold_token(self, server, now_ms):
        """Return True if a cold server may be sent a request now.

        Only the gateway that warms the server up sends it requests.
        """
        if not self.is_warmup_owner(server):
            return False
        rate = self._cold_rates.get(server.record.service, 0.0)
        return server.has_cold_token(rate * COLD_RATE_FRACTION, now_ms)
