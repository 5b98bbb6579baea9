"""Replicated state of routes: configuration, servers, evacuations, shares.

Applying a command is deterministic and reads no clock.  Methods that change
the state return the deltas for the entry hosts.
"""

from msgspec import field
from msgspec import Struct

from fuchsiacart.configurations import apply_order
from fuchsiacart.configurations import Configuration
from fuchsiacart.configurations import ConfigurationOrder
from fuchsiacart.configurations import find_difference
from fuchsiacart.configurations import find_validation_error
from fuchsiacart.configurations import without_texts
from fuchsiacart.control.region_shares import RegionShare
from fuchsiacart.models import FailureDomainId
from fuchsiacart.servers import LAST_SEQUENCE
from fuchsiacart.servers import ServerRecord
from fuchsiacart.servers import ServerState
from fuchsiacart.servers import Tombstone
from fuchsiacart.servers import TOMBSTONE_LIMIT

# Number of accepted orders that are kept to recognize a repeated one.
ACCEPTED_LIMIT = 4096


class ConfigurationChanged(Struct, frozen=True, tag=True):
    """Delta: the configuration has changed.

    ``order`` holds the items that differ, see :func:`find_difference`.
    """

    order: ConfigurationOrder


class EvacuationsSet(Struct, frozen=True, tag=True):
    """Delta: all evacuated failure domains."""

    domains: tuple[FailureDomainId, ...]


class ServerSet(Struct, frozen=True, tag=True):
    """Delta: a backend server has registered or has changed."""

    record: ServerRecord


class ServerGone(Struct, frozen=True, tag=True):
    """Delta: a backend server has left."""

    name: str


class SharesSet(Struct, frozen=True, tag=True):
    """Delta: all shares between regions."""

    shares: tuple[RegionShare, ...]


RouteDelta = (
    ConfigurationChanged | EvacuationsSet | ServerSet | ServerGone | SharesSet
)


class RouteSnapshot(Struct, frozen=True):
    """The state of routes that entry hosts need, at one revision.

    The items of the configuration have no texts.
    """

    configuration: Configuration = Configuration()
    evacuated: tuple[FailureDomainId, ...] = ()
    servers: tuple[ServerRecord, ...] = ()
    shares: tuple[RegionShare, ...] = ()


class RouteState(Struct):
    """The replicated state of routes, as stored in snapshots."""

    configuration: Configuration = Configuration()
    accepted: dict[str, int] = field(default_factory=dict)
    evacuated: tuple[FailureDomainId, ...] = ()
    servers: dict[str, ServerRecord] = field(default_factory=dict)
    tombstones: dict[str, Tombstone] = field(default_factory=dict)
    shares: tuple[RegionShare, ...] = ()

    def snapshot(self):
        """Return the current :class:`RouteSnapshot`."""
        return _snapshot_of(self)

    def has_accepted(self, order):
        """Return True if the same order has been accepted before."""
        return self.accepted.get(order.digest) == order.version

    def is_stale(self, order):
        """Return True if an order is not based on the current version."""
        return order.parent_version != self.configuration.version

    def find_order_error(self, order):
        """Return why an order is invalid, or None."""
        if order.version <= self.configuration.version:
            return (
                f'version {order.version} is not above'
                f' {self.configuration.version}'
            )
        return find_validation_error(apply_order(self.configuration, order))

    def change_configuration(self, order):
        """Apply a valid order that is based on the current version.

        :return: the delta.
        """
        before = self.configuration
        self.configuration = apply_order(before, order)
        self.accepted[order.digest] = order.version
        while len(self.accepted) > ACCEPTED_LIMIT:
            del self.accepted[next(iter(self.accepted))]
        difference = find_difference(before, self.configuration)
        return ConfigurationChanged(difference)

    def set_evacuation(self, domain, evacuated):
        """Start or end the evacuation of a failure domain.

        :param domain: the failure domain.
        :param evacuated: True to start, False to end it.
        :return: the delta, or None if nothing changes.
        """
        if (domain in self.evacuated) == evacuated:
            return None
        others = tuple(each for each in self.evacuated if each != domain)
        self.evacuated = others + ((domain,) if evacuated else ())
        return EvacuationsSet(self.evacuated)

    def record_server(self, record):
        """Store the record of a server, unless it is outdated.

        Other servers at the same address are removed, as the address now
        belongs to this one.  A record is also outdated if a server that
        started later is registered at its address.

        :param record: the :class:`ServerRecord`.
        :return: the deltas; empty if the record is outdated.
        """
        if self._is_outdated(record):
            return ()
        displaced = [
            other
            for other in self.servers.values()
            if other.address == record.address and other.name != record.name
        ]
        if any(other.born_ms > record.born_ms for other in displaced):
            return ()
        deltas = tuple(self._remove(other, True) for other in displaced)
        self.servers[record.name] = record
        self.tombstones.pop(record.name, None)
        return deltas + (ServerSet(record),)

    def forget_server(self, name, born_ms, has_left):
        """Remove a server.

        :param name: the server.
        :param born_ms: start time of the instance that has gone; 0 for any.
        :param has_left: True if the server announced that it leaves, False
            if its heartbeats have stopped.
        :return: the delta, or None if the server is not registered or a
            newer instance is.
        """
        existing = self.servers.get(name)
        if existing is None or (born_ms and born_ms < existing.born_ms):
            return None
        return self._remove(existing, has_left)

    def latest_born_ms(self, name):
        """Return the start time of a server's latest start, 0 if unknown.

        :param name: the server.
        """
        latest = self.servers.get(name) or self.tombstones.get(name)
        return latest.born_ms if latest is not None else 0

    def has_ended(self, start):
        """Return True if no call of a start can register it any more.

        :param start: the :class:`ServerStart`.
        """
        if start.born_ms < self.latest_born_ms(start.name):
            return True
        tombstone = self.tombstones.get(start.name)
        if tombstone is None or tombstone.born_ms != start.born_ms:
            return False
        return tombstone.has_left or tombstone.sequence >= LAST_SEQUENCE

    def _is_outdated(self, record):
        existing = self.servers.get(record.name)
        if existing is not None:
            return record.order_key <= existing.order_key or (
                existing.state is ServerState.DRAINING
                and record.born_ms == existing.born_ms
            )
        tombstone = self.tombstones.get(record.name)
        if tombstone is None:
            return False
        if tombstone.has_left:
            return record.born_ms <= tombstone.born_ms
        return record.order_key <= (tombstone.born_ms, tombstone.sequence)

    def _remove(self, record, has_left):
        del self.servers[record.name]
        self.tombstones[record.name] = Tombstone(
            record.born_ms, record.sequence, has_left
        )
        while len(self.tombstones) > TOMBSTONE_LIMIT:
            del self.tombstones[next(iter(self.tombstones))]
        return ServerGone(record.name)


class RouteView:
    """The state of routes on an entry host, kept up to date by deltas."""

    def __init__(self):
        self.configuration = Configuration()
        self.evacuated = ()
        self.servers = {}
        self.shares = ()

    def restore(self, snapshot):
        """Replace the state by that of a :class:`RouteSnapshot`."""
        self.configuration = snapshot.configuration
        self.evacuated = snapshot.evacuated
        self.servers = {record.name: record for record in snapshot.servers}
        self.shares = snapshot.shares

    def apply(self, body):
        """Apply a delta; other types of delta have no effect."""
        if isinstance(body, ConfigurationChanged):
            self.configuration = apply_order(self.configuration, body.order)
        elif isinstance(body, EvacuationsSet):
            self.evacuated = body.domains
        elif isinstance(body, ServerSet):
            self.servers[body.record.name] = body.record
        elif isinstance(body, ServerGone):
            self.servers.pop(body.name, None)
        elif isinstance(body, SharesSet):
            self.shares = body.shares

    def snapshot(self):
        """Return the current :class:`RouteSnapshot`."""
        return _snapshot_of(self)


def _snapshot_of(routes):
    """Return the :class:`RouteSnapshot` of a state or a view."""
    return RouteSnapshot(
        without_texts(routes.configuration),
        routes.evacuated,
        tuple(routes.servers.values()),
        routes.shares,
    )
