"""Look-ups: the entry hosts that a client should use."""

from ipaddress import ip_address
from ipaddress import ip_network

from msgspec import Struct
from xxhash import xxh64_intdigest

from fuchsiacart.control.states import is_live
from fuchsiacart.control.steering import WHOLE_PERMILLE
from fuchsiacart.drains import covers_host
from fuchsiacart.ownership import rendezvous_order

BUCKETS = 1024
HOSTS_IN_ANSWER = 3


class LookupAnswer(Struct, frozen=True):
    """Answer to a look-up.

    ``hosts`` are addresses (IP:port) in order of preference.  ``key_home``
    is the home to put into idempotency keys, or ''.
    """

    service: str
    home: str
    region: str
    hosts: tuple[str, ...]
    ttl_ms: int
    key_home: str = ''


class BlockTable:
    """Maps client addresses to home regions by longest-prefix match.

    :param blocks: each a :class:`Block`.
    """

    def __init__(self, blocks):
        self._by_length = {4: {}, 6: {}}
        for block in blocks:
            network = ip_network(block.prefix)
            table = self._by_length[network.version]
            regions = table.setdefault(network.prefixlen, {})
            regions[int(network.network_address)] = block.region
        self._lengths = {
            version: sorted(table, reverse=True)
            for version, table in self._by_length.items()
        }

    def home(self, client):
        """Return the home region of a client address, or None.

        :param client: the address as text.
        :raises ValueError: if it is not an IP address.
        """
        address = ip_address(client)
        number = int(address)
        bits = address.max_prefixlen
        table = self._by_length[address.version]
        for length in self._lengths[address.version]:
            prefix = number >> (bits - length) << (bits - length)
            region = table[length].get(prefix)
            if region is not None:
                return region
        return None


class LookupTable:
    """Answers look-ups from one view.  Performs no I/O.

    The hosts of a region are ordered once for each of ``BUCKETS`` buckets
    of clients, so the cost of a look-up does not depend on the number of
    hosts.

    :param view: the :class:`View`.
    :param region: region of this host, the home of unknown clients.
    :param ttl_ms: milliseconds for which callers may cache an answer.
    :param key_homes: regions with control groups for their own claims.
    """

    def __init__(self, view, region, ttl_ms, key_homes=frozenset()):
        self._key_homes = key_homes
        self._region = region
        self._ttl_ms = ttl_ms
        drains = view.effective_drains
        self._hosts = [
            host
            for host in view.hosts
            if is_live(host) and not covers_host(drains, host)
        ]
        self._blocks = BlockTable(
            block for contract in view.contracts for block in contract.blocks
        )
        self._weights = {}
        for weight in view.weights:
            self._weights.setdefault(weight.home, []).append(weight)
        self._address_cache = {}

    def look_up(self, service, client):
        """Answer a look-up.

        :param service: the service that the caller wants.
        :param client: the caller's IP address, or an empty string.
        :return: the :class:`LookupAnswer`; its hosts are empty if none is
            live in the region.
        :raises ValueError: if ``client`` is not an IP address.
        """
        home = self._blocks.home(client) if client else None
        home = home or self._region
        score = xxh64_intdigest(client.encode())
        region = self._target(home, score % WHOLE_PERMILLE)
        bucket = (score // WHOLE_PERMILLE) % BUCKETS
        return LookupAnswer(
            service,
            home,
            region,
            self._host_addresses(region, bucket),
            self._ttl_ms,
            region if region in self._key_homes else '',
        )

    def _target(self, home, point):
        cumulative = 0
        for weight in self._weights.get(home, ()):
            cumulative += weight.permille
            if point < cumulative:
                return weight.target
        return home

    def _host_addresses(self, region, bucket):
        key = (region, bucket)
        if key not in self._address_cache:
            hosts = [host for host in self._hosts if host.region == region]
            ordered = rendezvous_order(bucket, hosts)[:HOSTS_IN_ANSWER]
            self._address_cache[key] = tuple(
                host.http_address for host in ordered
            )
        return self._address_cache[key]
