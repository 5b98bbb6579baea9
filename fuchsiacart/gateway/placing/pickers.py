"""Which of the usable servers of a region gets a request.

Answers objects that one server serves faster once it has seen them, and that
are too popular for one, and routes whose servers gain nothing by that.
"""

from abc import ABC
from abc import abstractmethod
from itertools import islice
from math import ceil

# Servers that are tried in the order of an object that is not popular: the
# second gets what the first has no room for.
PREFERRED_SERVERS = 2
# Load per slot of each server of a popular object.
REPLICA_LOAD = 0.5
MAX_REPLICAS = 16
# Load per slot below which a server takes objects that do not prefer it.
SPARE_LOAD_LIMIT = 0.2


class ServerPicker(ABC):
    """Picks a server with room."""

    @abstractmethod
    def pick(self, usable, placement, object_slots, now_ms):
        """Return the :class:`TrackedServer` for a request.

        :param usable: iterator of the usable servers of a region, in the
            order of preference of the object.
        :param placement: the :class:`PlacementRequest`.
        :param object_slots: slots that all requests for the object occupy.
        :param now_ms: the current time.
        :return: the server; None if no server has room.
        :raises LookupError: if no server is usable.
        """


class AffinityPicker(ServerPicker):
    """Keeps an object on few servers, as many as its rate needs."""

    def pick(self, usable, placement, object_slots, now_ms):
        """See :meth:`ServerPicker.pick`."""
        first = next(usable, None)
        if first is None:
            raise LookupError('no server is usable')
        replicas = _count_replicas(object_slots, first)
        further = max(PREFERRED_SERVERS, replicas + 1) - 1
        preferred = (first, *islice(usable, further))
        server = _least_loaded(preferred[:replicas], now_ms)
        if _has_room(server, placement, now_ms):
            return server
        for server in preferred[replicas:]:
            if _has_room(server, placement, now_ms):
                return server
        spare = _least_loaded(usable, now_ms)
        if spare is None or spare.slot_load(now_ms) >= SPARE_LOAD_LIMIT:
            return None
        return spare


class SpreadPicker(ServerPicker):
    """Spreads requests over all servers.

    Of the first two in an order that differs for each request, the less loaded
    one is taken; this keeps gateways that know the same loads from choosing
    the same server.
    """

    def pick(self, usable, placement, object_slots, now_ms):
        """See :meth:`ServerPicker.pick`."""
        drawn = tuple(islice(usable, PREFERRED_SERVERS))
        if not drawn:
            raise LookupError('no server is usable')
        server = _least_loaded(drawn, now_ms)
        if _has_room(server, placement, now_ms):
            return server
        other = _least_loaded(usable, now_ms)
        if other is None or not _has_room(other, placement, now_ms):
            return None
        return other


def _count_replicas(object_slots, server):
    """Return how many servers an object needs."""
    slots = max(1, server.record.slots) * REPLICA_LOAD
    needed = ceil(object_slots / slots)
    return min(MAX_REPLICAS, max(1, needed))


def _has_room(server, placement, now_ms):
    return server.slot_load(now_ms) < placement.max_requests_per_slot


def _least_loaded(servers, now_ms):
    """Return the least loaded server, the first of equals; None for none."""
    return min(
        servers, key=lambda server: server.slot_load(now_ms), default=None
    )
