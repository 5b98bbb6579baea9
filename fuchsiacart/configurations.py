"""Configuration of all routes and services, one version at a time.

An operator's order replaces the whole configuration or changes named items.
It names the version that it builds on, so that of two racing orders one
wins.  Items keep the text in which they were sent, for reading back.
"""

from enum import Enum
from enum import unique

from msgspec import field
from msgspec import Struct

from fuchsiacart.models import RegionId
from fuchsiacart.models import ServiceId

LONGEST_TIMEOUT_MS = 600_000
# An objective may lie above its route's timeout, by less than this.
OBJECTIVE_MARGIN_MS = 60_000
FIRST_VERSION = 0


@unique
class RequestKind(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'


class RouteTarget(Struct, frozen=True):
    """A service and its weight among the targets of a route."""

    service: ServiceId
    weight: float = 1.0


class PathRoute(Struct, frozen=True, tag=True):
    """Requests to a host name under a path prefix.

    ``objective_ms`` is the latency within which an answer is worth most;
    ``rank`` 0 is the most urgent.  ``home_regions`` is empty where any
    region may serve the route.
    """

    name: str
    host_name: str
    path_prefix: str
    kind: RequestKind
    timeout_ms: float
    objective_ms: float
    rank: int
    targets: tuple[RouteTarget, ...]
    max_attempts: int
    sticky: bool = False
    home_regions: tuple[RegionId, ...] = ()

    @property
    def is_idempotent(self):
        """Tell whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT


class ServiceTerms(Struct, frozen=True, tag=True):
    """What the backend servers of a service bear.

    ``cold_rate_per_s`` is what a server bears within ``cold_start_ms``
    after its start.
    """

    name: ServiceId
    health_path: str
    max_connections: int
    cold_start_ms: float
    cold_rate_per_s: float


class CallerLimits(Struct, frozen=True, tag=True):
    """What a caller may send, and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


ItemValue = PathRoute | ServiceTerms | CallerLimits


class ItemId(Struct, frozen=True):
    """Kind and name of an item; names are unique within a kind."""

    kind: str
    name: str


class Item(Struct, frozen=True):
    """One item, decoded and as the operator sent it."""

    id: ItemId
    value: ItemValue
    text: bytes


class ConfigurationOrder(Struct, frozen=True):
    """An operator's order; ``digest`` tells a resend from another order."""

    version: int
    parent_version: int
    digest: str
    replaces_all: bool
    items: tuple[Item, ...]
    removed: tuple[ItemId, ...] = ()


class Configuration(Struct, frozen=True):
    """The configuration at one version."""

    version: int = FIRST_VERSION
    items: tuple[Item, ...] = field(default_factory=tuple)

    @property
    def routes(self):
        """Return all routes."""
        return tuple(
            item.value
            for item in self.items
            if isinstance(item.value, PathRoute)
        )

    @property
    def services(self):
        """Return the terms of all services."""
        return tuple(
            item.value
            for item in self.items
            if isinstance(item.value, ServiceTerms)
        )

    @property
    def limits(self):
        """Return what callers may send."""
        for item in self.items:
            if isinstance(item.value, CallerLimits):
                return item.value
        return CallerLimits()


def apply_order(configuration, order):
    """Return the configuration that an order leads to.

    :param configuration: the one that it builds on.
    :param order: the :class:`ConfigurationOrder`.
    """
    held = {} if order.replaces_all else _by_id(configuration.items)
    held |= _by_id(order.items)
    for removed in order.removed:
        held.pop(removed, None)
    return Configuration(order.version, tuple(held.values()))


def find_validation_error(configuration):
    """Return what makes a configuration invalid, or None.

    :param configuration: the configuration.
    """
    services = {service.name for service in configuration.services}
    for route in configuration.routes:
        fault = _route_fault(route, services)
        if fault:
            return f'route {route.name}: {fault}'
    return None


def _by_id(items):
    return {item.id: item for item in items}


def _route_fault(route, services):
    missing = [
        target.service
        for target in route.targets
        if target.service not in services
    ]
    if missing:
        return f'service {missing[0]} is not known'
    if not route.targets:
        return 'it has no service'
    if route.timeout_ms > LONGEST_TIMEOUT_MS:
        return f'its timeout is over {LONGEST_TIMEOUT_MS} ms'
    if route.objective_ms - route.timeout_ms >= OBJECTIVE_MARGIN_MS:
        return 'its objective is too far above its timeout'
    if route.max_attempts < 1:
        return 'it allows no attempt'
    if not route.path_prefix.startswith('/'):
        return 'its path prefix does not begin with a slash'
    return None
