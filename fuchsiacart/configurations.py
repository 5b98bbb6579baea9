"""Versioned configuration of all routes, services and caller limits.

An operator's order replaces the whole configuration or changes named items.
It names the version it is based on, so that only one of two concurrent
orders succeeds.  Items keep the text in which they were sent, so that they
can be read back unchanged.
"""

from enum import Enum
from enum import unique

from msgspec import field
from msgspec import Struct

from fuchsiacart.accounts import ClientAccount
from fuchsiacart.accounts import find_shared_key
from fuchsiacart.models import RegionId
from fuchsiacart.models import ServiceId

MAX_TIMEOUT_MS = 600_000
# An objective may exceed the timeout of its route by less than this.
OBJECTIVE_MARGIN_MS = 60_000
FIRST_VERSION = 0


@unique
class RequestKind(Enum):
    """Whether a request may run more than once.

    ``DOWNLOAD``: it may, and its answer is large.
    """

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    DOWNLOAD = 'download'


class RouteTarget(Struct, frozen=True):
    """A service and its weight among the targets of a route."""

    service: ServiceId
    weight: float = 1.0


class PathRoute(Struct, frozen=True, tag=True):
    """Route for requests to a host name under a path prefix.

    ``objective_ms`` is the latency objective, within which an answer is
    worth most; ``rank`` 0 is the most urgent.  If ``home_regions`` is empty,
    any region may serve the route.  With ``sticky``, a server that has lately
    served an object serves it faster.  Requests need no key if it
    ``is_public``.
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
    is_public: bool = False

    @property
    def is_idempotent(self):
        """Return True if a request may run more than once."""
        return self.kind is not RequestKind.NON_IDEMPOTENT

    def has_target(self, service):
        """Return True if requests may go to a service.

        :param service: name of the service.
        """
        return any(target.service == service for target in self.targets)


class ServiceTerms(Struct, frozen=True, tag=True):
    """Health check path and limits for each backend server of a service.

    A server may receive ``cold_rate_per_s`` requests per second during the
    ``cold_start_ms`` after its start.
    """

    name: ServiceId
    health_path: str
    max_connections: int
    cold_start_ms: float
    cold_rate_per_s: float


class CallerLimits(Struct, frozen=True, tag=True):
    """Limits on the requests of callers and on idle connections."""

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


ItemValue = PathRoute | ServiceTerms | CallerLimits | ClientAccount


class ItemId(Struct, frozen=True):
    """Identifies an item; names are unique within a kind."""

    kind: str
    name: str


class Item(Struct, frozen=True):
    """One item, as the operator sent it in ``text``, decoded in ``value``."""

    id: ItemId
    value: ItemValue
    text: bytes


class ConfigurationOrder(Struct, frozen=True):
    """An operator's change of the configuration.

    It applies to ``parent_version`` and leads to ``version``.  Orders with
    the same ``digest`` are the same order, sent again.
    """

    version: int
    parent_version: int
    digest: str
    replaces_all: bool
    items: tuple[Item, ...]
    removed: tuple[ItemId, ...] = ()


class Configuration(Struct, frozen=True):
    """All items at one version."""

    version: int = FIRST_VERSION
    items: tuple[Item, ...] = field(default_factory=tuple)

    @property
    def routes(self):
        """Return the :class:`PathRoute` of each route."""
        return tuple(
            item.value
            for item in self.items
            if isinstance(item.value, PathRoute)
        )

    @property
    def services(self):
        """Return the :class:`ServiceTerms` of each service."""
        return tuple(
            item.value
            for item in self.items
            if isinstance(item.value, ServiceTerms)
        )

    @property
    def accounts(self):
        """Return each :class:`ClientAccount`."""
        return tuple(
            item.value
            for item in self.items
            if isinstance(item.value, ClientAccount)
        )

    @property
    def limits(self):
        """Return the :class:`CallerLimits`, or the defaults if unset."""
        for item in self.items:
            if isinstance(item.value, CallerLimits):
                return item.value
        return CallerLimits()


def apply_order(configuration, order):
    """Return the configuration after an order.

    :param configuration: the :class:`Configuration` it is based on.
    :param order: the :class:`ConfigurationOrder`.
    """
    items = {} if order.replaces_all else _index_by_id(configuration.items)
    items |= _index_by_id(order.items)
    for removed in order.removed:
        items.pop(removed, None)
    return Configuration(order.version, tuple(items.values()))


def find_difference(before, after):
    """Return the order that leads from one configuration to another.

    It holds only the items whose values differ, without their texts: an
    operator may send thousands of items to change one.

    :param before: the :class:`Configuration` to which it applies.
    :param after: the :class:`Configuration` to which it leads.
    """
    values = {item.id: item.value for item in before.items}
    changed = tuple(
        _without_text(item)
        for item in after.items
        if values.get(item.id) != item.value
    )
    kept = {item.id for item in after.items}
    removed = tuple(each for each in values if each not in kept)
    return ConfigurationOrder(
        after.version, before.version, '', False, changed, removed
    )


def without_texts(configuration):
    """Return a configuration without the texts, which only reads need.

    :param configuration: the :class:`Configuration`.
    """
    items = tuple(_without_text(item) for item in configuration.items)
    return Configuration(configuration.version, items)


def find_validation_error(configuration):
    """Return a message about the first invalid item, or None.

    All replicas have to come to the same result, so what this refuses must
    not differ between builds that run side by side.

    :param configuration: the :class:`Configuration` to validate.
    """
    services = {service.name for service in configuration.services}
    for route in configuration.routes:
        error = _find_route_error(route, services)
        if error:
            return f'route {route.name}: {error}'
    shared = find_shared_key(configuration.accounts)
    if shared:
        return f'accounts {shared[0]} and {shared[1]} share a key'
    return None


def _without_text(item):
    return Item(item.id, item.value, b'')


def _index_by_id(items):
    return {item.id: item for item in items}


def _find_route_error(route, services):
    missing = [
        target.service
        for target in route.targets
        if target.service not in services
    ]
    if missing:
        return f'service {missing[0]} is not known'
    if not route.targets:
        return 'it has no service'
    if route.timeout_ms > MAX_TIMEOUT_MS:
        return f'its timeout is over {MAX_TIMEOUT_MS} ms'
    if route.objective_ms - route.timeout_ms >= OBJECTIVE_MARGIN_MS:
        return 'its objective is too far above its timeout'
    if route.max_attempts < 1:
        return 'it allows no attempt'
    if not route.path_prefix.startswith('/'):
        return 'its path prefix does not begin with a slash'
    return None
