"""Adds up what all gateways have in flight at each backend server.

Answers a load under which queues form at some servers while others have
room: one gateway among hundreds sends to a server too seldom to know its
queue.  Gateways tell the leader their requests in flight with the renewals of
their leases; its replies hold the sums, one byte for each server.  What a
gateway sends and receives does not grow with the number of gateways.
"""

from collections import Counter
from heapq import nlargest

from msgspec import Struct
from xxhash import xxh32_intdigest

from fuchsiacart.models import BackendServerId
from fuchsiacart.models import HostId

# Requests per slot at any server from which the sums are sent at all.
BUSY_LOAD = 0.75
# Servers in a message of a gateway.
MAX_COUNTS = 64
# Servers above which a gateway is told of those of its own region only.
MAX_INDEXED_SERVERS = 1024
# Age after which the counts of a gateway are dropped.
MAX_COUNT_AGE_MS = 2000.0
# Time for which the sums are kept.
SUM_AGE_MS = 50.0
MAX_BYTE = 255


class ServerCount(Struct, frozen=True, array_like=True):
    """Requests that a gateway has in flight at one server."""

    name: BackendServerId
    requests: int


class LoadMap(Struct, frozen=True, array_like=True):
    """Requests in flight at the servers of the index ``index_id``.

    ``counts`` has one byte for each server in the order of the index, and is
    empty while no server is busy.
    """

    index_id: int = 0
    counts: bytes = b''


class ServerIndex:
    """Order of the servers that a gateway is told of.

    The leader and the gateway build it from their own views; its ``id`` tells
    whether they are the same.

    :param records: all registered servers, each a :class:`ServerRecord`.
    :param regions: region of each failure domain.
    :param region: region of the gateway.
    """

    def __init__(self, records, regions, region):
        records = sorted(records, key=lambda record: record.name)
        if len(records) > MAX_INDEXED_SERVERS:
            records = [
                record
                for record in records
                if regions.get(record.failure_domain) == region
            ]
        self.names = tuple(record.name for record in records)
        self.slots = tuple(record.slots for record in records)
        self.positions = {name: index for index, name in enumerate(self.names)}
        self.id = xxh32_intdigest('\n'.join(self.names).encode())


class _GatewayCounts(Struct):
    """Counts of one gateway by server, and when they arrived."""

    counts: dict
    received_ms: float


class LoadBoard:
    """Requests in flight of all gateways, by server.

    Performs no I/O.  All times are milliseconds of one steady clock.
    """

    def __init__(self):
        self._gateways = {}
        self._total = Counter()
        self._sums = {}

    def record(self, gateway: HostId, counts, now_ms):
        """Replace the counts of a gateway.

        :param gateway: its name.
        :param counts: a :class:`ServerCount` for each server that it uses.
        :param now_ms: the current time.
        """
        self._remove(gateway)
        by_name = {each.name: each.requests for each in counts}
        self._gateways[gateway] = _GatewayCounts(by_name, now_ms)
        self._total.update(by_name)

    def load_map(self, gateway: HostId, index, now_ms):
        """Return what the other gateways have in flight.

        :param gateway: name of the gateway that is told.
        :param index: the :class:`ServerIndex` of its region.
        :param now_ms: the current time.
        :return: the :class:`LoadMap`.
        """
        sums = self._find_sums(index, now_ms)
        if not sums:
            return LoadMap()
        counts = bytearray(sums)
        entry = self._gateways.get(gateway)
        for name, requests in entry.counts.items() if entry else ():
            position = index.positions.get(name)
            if position is not None:
                counts[position] = max(0, counts[position] - requests)
        return LoadMap(index.id, bytes(counts))

    def _find_sums(self, index, now_ms):
        """Return one byte for each server, or nothing if none is busy."""
        sums, summed_ms = self._sums.get(index.id, (b'', float('-inf')))
        if now_ms - summed_ms < SUM_AGE_MS:
            return sums
        self._drop_old(now_ms)
        totals = [self._total[name] for name in index.names]
        sums = b''
        if any(
            total and total >= slots * BUSY_LOAD
            for total, slots in zip(totals, index.slots)
        ):
            sums = bytes(min(MAX_BYTE, total) for total in totals)
        self._sums = {
            key: entry
            for key, entry in self._sums.items()
            if now_ms - entry[1] < MAX_COUNT_AGE_MS
        }
        self._sums[index.id] = (sums, now_ms)
        return sums

    def _remove(self, gateway):
        earlier = self._gateways.pop(gateway, None)
        if earlier is None:
            return
        for name, requests in earlier.counts.items():
            self._total[name] -= requests
            if not self._total[name]:
                del self._total[name]

    def _drop_old(self, now_ms):
        old = [
            name
            for name, each in self._gateways.items()
            if now_ms - each.received_ms >= MAX_COUNT_AGE_MS
        ]
        for name in old:
            self._remove(name)


def count_in_flight(servers):
    """Return the counts of the servers that a gateway uses now.

    :param servers: all servers by name, each with its ``in_flight``.
    :return: a tuple of at most ``MAX_COUNTS``
        :class:`ServerCount`, the largest first.
    """
    used = (
        (server.in_flight, name)
        for name, server in servers.items()
        if server.in_flight
    )
    return tuple(
        ServerCount(name, requests)
        for requests, name in nlargest(MAX_COUNTS, used)
    )
