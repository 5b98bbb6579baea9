"""The replicated state behind routes: configuration, servers, evacuations.

Applying a command is deterministic and reads no clock.  Each method returns
the outcome and the deltas that entry hosts need.
"""

from msgspec import field
from msgspec import Struct

from fuchsiacart.configurations import apply_order
from fuchsiacart.configurations import Configuration
from fuchsiacart.configurations import ConfigurationOrder
from fuchsiacart.configurations import find_validation_error
from fuchsiacart.control.region_shares import RegionShare
from fuchsiacart.models import FailureDomainId
from fuchsiacart.servers import ServerRecord
from fuchsiacart.servers import ServerState
from fuchsiacart.servers import Tombstone
from fuchsiacart.servers import TOMBSTONE_LIMIT

# Accepted orders that a resend is compared with.
ACCEPTED_LIMIT = 4096


class ConfigurationChanged(Struct, frozen=True, tag=True):
    """Delta: an order was accepted."""

    order: ConfigurationOrder


class EvacuationsSet(Struct, frozen=True, tag=True):
    """Delta: the failure domains that are evacuated."""

    domains: tuple[FailureDomainId, ...]


class ServerSet(Struct, frozen=True, tag=True):
    """Delta: a backend server has registered or has changed."""

    record: ServerRecord


class ServerGone(Struct, frozen=True, tag=True):
    """Delta: a backend server has left."""

    name: str


class SharesSet(Struct, frozen=True, tag=True):
    """Delta: the shares between regions."""

    shares: tuple[RegionShare, ...]


RouteDelta = (
    ConfigurationChanged | EvacuationsSet | ServerSet | ServerGone | SharesSet
)


class RouteSnapshot(Struct, frozen=True):
    """What entry hosts need of routes, at one revision."""

    configuration: Configuration = Configuration()
    evacuated: tuple[FailureDomainId, ...] = ()
    servers: tuple[ServerRecord, ...] = ()
    shares: tuple[RegionShare, ...] = ()


class RouteState(Struct):
    """Configuration, servers and evacuations, as snapshots keep them."""

    configuration: Configuration = Configuration()
    accepted: dict[str, int] = field(default_factory=dict)
    evacuated: tuple[FailureDomainId, ...] = ()
    servers: dict[str, ServerRecord] = field(default_factory=dict)
    tombstones: dict[str, Tombstone] = field(default_factory=dict)
    shares: tuple[RegionShare, ...] = ()

    def snapshot(self):
        """Return what entry hosts need."""
        return _snapshot_of(self)

    def has_accepted(self, order):
        """Tell whether this very order has been accepted before."""
        return self.accepted.get(order.digest) == order.version

    def is_stale(self, order):
        """Tell whether an order builds on another version."""
        return order.parent_version != self.configuration.version

    def fault_of(self, order):
        """Return what makes an order invalid, or None."""
        if order.version <= self.configuration.version:
            return (
                f'version {order.version} is not above'
                f' {self.configuration.version}'
            )
        return find_validation_error(apply_order(self.configuration, order))

    def change_configuration(self, order):
        """Put an order in force that is valid and builds on the newest.

        :return: the delta.
        """
        self.configuration = apply_order(self.configuration, order)
        self.accepted[order.digest] = order.version
        while len(self.accepted) > ACCEPTED_LIMIT:
            del self.accepted[next(iter(self.accepted))]
        return ConfigurationChanged(order)

    def set_evacuation(self, domain, evacuated):
        """Evacuate a failure domain, or take that back.

        :return: the delta, or None where nothing changes.
        """
        if (domain in self.evacuated) == evacuated:
            return None
        others = tuple(each for each in self.evacuated if each != domain)
        self.evacuated = others + ((domain,) if evacuated else ())
        return EvacuationsSet(self.evacuated)

    def record_server(self, record):
        """Take in what a server says of itself, unless it is outdated.

        :return: the deltas.
        """
        if self._is_outdated(record):
            return ()
        gone = [
            other
            for other in self.servers.values()
            if other.address == record.address and other.name != record.name
        ]
        if any(other.born_ms > record.born_ms for other in gone):
            return ()
        deltas = tuple(self._drop(other, True) for other in gone)
        self.servers[record.name] = record
        self.tombstones.pop(record.name, None)
        return deltas + (ServerSet(record),)

    def forget_server(self, name, born_ms, has_left):
        """Take a server out.

        :param name: the server.
        :param born_ms: its start; 0 stands for whichever is held.
        :param has_left: whether it said so, or has only fallen silent.
        :return: the delta, or None where it is not held.
        """
        held = self.servers.get(name)
        if held is None or (born_ms and born_ms < held.born_ms):
            return None
        return self._drop(held, has_left)

    def _is_outdated(self, record):
        held = self.servers.get(record.name)
        if held is not None:
            return record.order_key <= held.order_key or (
                held.state is ServerState.DRAINING
                and record.born_ms == held.born_ms
            )
        tombstone = self.tombstones.get(record.name)
        if tombstone is None:
            return False
        if tombstone.has_left:
            return record.born_ms <= tombstone.born_ms
        return record.order_key <= (tombstone.born_ms, tombstone.sequence)

    def _drop(self, record, has_left):
        del self.servers[record.name]
        self.tombstones[record.name] = Tombstone(
            record.born_ms, record.sequence, has_left
        )
        while len(self.tombstones) > TOMBSTONE_LIMIT:
            del self.tombstones[next(iter(self.tombstones))]
        return ServerGone(record.name)


class RouteView:
    """What an entry host enforces of routes; it follows the deltas."""

    def __init__(self):
        self.configuration = Configuration()
        self.evacuated = ()
        self.servers = {}
        self.shares = ()

    def restore(self, snapshot):
        """Take over a :class:`RouteSnapshot`."""
        self.configuration = snapshot.configuration
        self.evacuated = snapshot.evacuated
        self.servers = {record.name: record for record in snapshot.servers}
        self.shares = snapshot.shares

    def apply(self, body):
        """Take in a delta."""
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
        """Return the whole as a :class:`RouteSnapshot`."""
        return _snapshot_of(self)


def _snapshot_of(routes):
    """Return the :class:`RouteSnapshot` of a state or a view."""
    return RouteSnapshot(
        routes.configuration,
        routes.evacuated,
        tuple(routes.servers.values()),
        routes.shares,
    )
