"""JSON documents in which operators send and read configurations."""

from decimal import Decimal
from hashlib import sha256
from typing import Literal

from msgspec import convert
from msgspec import field
from msgspec.json import decode
from msgspec.json import encode
from msgspec import MsgspecError
from msgspec import Raw
from msgspec import Struct

from fuchsiacart.accounts import ClientAccount
from fuchsiacart.accounts import digest_key
from fuchsiacart.bounds import Amount
from fuchsiacart.bounds import Count
from fuchsiacart.bounds import HeaderText
from fuchsiacart.bounds import Integer
from fuchsiacart.bounds import MAX_NAME_LENGTH
from fuchsiacart.bounds import parse_count
from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.configurations import CallerLimits
from fuchsiacart.configurations import ConfigurationOrder
from fuchsiacart.configurations import Item
from fuchsiacart.configurations import ItemId
from fuchsiacart.configurations import PathRoute
from fuchsiacart.configurations import RequestKind
from fuchsiacart.configurations import RouteTarget
from fuchsiacart.configurations import ServiceTerms
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.route_times import make_route_times

VERSION_PREFIX = 'r'
Seconds = Amount


class Metadata(Struct):
    """Name of an item, empty for limits."""

    name: str = ''


class Resource(Struct):
    """One item of a configuration; ``type`` sets the form of ``spec``."""

    type: str
    spec: Raw
    metadata: Metadata = field(default_factory=Metadata)


class Split(Struct):
    """A service and its weight in a route with several services."""

    service: str
    weight: Amount


class RouteSpec(Struct):
    """Specification of a route.

    ``slo_s`` is the objective for the latency of an answer.
    """

    host: str
    path_prefix: str
    kind: Literal['idempotent', 'non_idempotent', 'download']
    timeout_s: Seconds
    slo_s: Seconds
    max_attempts: Count
    priority: Integer = 0
    service: str = ''
    split: list[Split] = field(default_factory=list)
    sticky: bool = False
    home_regions: list[str] = field(default_factory=list)
    public: bool = False


class RouteFigures(Struct):
    """The times of a :class:`RouteSpec` with all their digits."""

    timeout_s: Decimal
    slo_s: Decimal


class ServiceSpec(Struct):
    """Specification of a service.

    ``cold_per_s`` is the number of requests per second for an instance
    during the first ``cold_start_s`` seconds after its start.
    """

    health_path: str = '/'
    max_conns: Count = 0
    cold_start_s: Seconds = 0.0
    cold_per_s: Amount = 0.0


class TenantSpec(Struct):
    """Specification of a tenant, called client account in other modules.

    ``rate_per_s`` is the quota of requests per second, 0 for none, ``burst``
    what may be sent at once beyond it.
    """

    api_keys: list[HeaderText] = field(default_factory=list)
    rate_per_s: Amount = 0.0
    burst: Amount = 0.0
    priority: Integer | None = None
    home_regions: list[str] = field(default_factory=list)


class LimitsSpec(Struct):
    """Specification of the limits on requests of clients."""

    max_header_bytes: Count
    max_body_bytes: Count
    header_timeout_s: Seconds
    idle_timeout_s: Seconds


class Upsert(Struct):
    """Items to add or replace."""

    resources: list[Raw] = field(default_factory=list)


class PutBody(Struct):
    """Order that replaces the whole configuration."""

    version: str
    base_version: str | int
    resources: list[Raw]


class PatchBody(Struct):
    """Order that changes named items; ``delete`` lists names by type."""

    version: str
    base_version: str | int
    upsert: Upsert = field(default_factory=Upsert)
    delete: dict[str, list[str]] = field(default_factory=dict)


class ReadBody(Struct):
    """The newest configuration, as operators read it."""

    version: str
    resources: list[Raw]


def read_put(body):
    """Decode an order that replaces the whole configuration.

    :param body: body of the call as bytes.
    :return: the :class:`ConfigurationOrder`.
    :raises ChangeError: if any part is malformed.
    """
    document = _decode(body, PutBody)
    return ConfigurationOrder(
        _read_version(document.version),
        _read_version(document.base_version),
        _compute_digest(b'put', body),
        True,
        tuple(_read_item(raw) for raw in document.resources),
    )


def read_patch(body):
    """Decode an order that changes named items; see :func:`read_put`."""
    document = _decode(body, PatchBody)
    removed = tuple(
        ItemId(kind, name)
        for kind, names in document.delete.items()
        for name in names
    )
    return ConfigurationOrder(
        _read_version(document.version),
        _read_version(document.base_version),
        _compute_digest(b'patch', body),
        False,
        tuple(_read_item(raw) for raw in document.upsert.resources),
        removed,
    )


def write_configuration(configuration):
    """Encode a configuration, with its items as they were sent.

    :param configuration: the :class:`Configuration`.
    :return: the document as bytes.
    """
    resources = [Raw(item.text) for item in configuration.items]
    version = f'{VERSION_PREFIX}{configuration.version}'
    return encode(ReadBody(version, resources))


def _decode(body, kind):
    try:
        return decode(body, type=kind)
    except (MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise ChangeError(str(error), ErrorKind.BAD_REQUEST) from error


def _compute_digest(operation, body):
    return sha256(operation + b'\n' + body).hexdigest()


def _read_version(text):
    digits = str(text).removeprefix(VERSION_PREFIX)
    try:
        return parse_count(digits)
    except ValueError as error:
        raise ChangeError(
            f'version: {error}', ErrorKind.BAD_REQUEST
        ) from error


def _read_item(raw):
    resource = _decode(raw, Resource)
    try:
        value = _read_value(resource)
    except (MsgspecError, RecursionError) as error:
        raise ChangeError(
            f'{resource.type} {resource.metadata.name}: {error}',
            ErrorKind.BAD_REQUEST,
        ) from error
    item_id = ItemId(resource.type, resource.metadata.name)
    return Item(item_id, value, bytes(raw))


def _read_value(resource):
    name = resource.metadata.name
    spec = decode(resource.spec)
    if resource.type == 'routes':
        route = convert(spec, RouteSpec)
        return _read_route(
            name, route, decode(resource.spec, type=RouteFigures)
        )
    if resource.type == 'services':
        return _read_service(name, convert(spec, ServiceSpec))
    if resource.type == 'tenants':
        return _read_account(name, convert(spec, TenantSpec))
    if resource.type == 'limits':
        return _read_limits(convert(spec, LimitsSpec))
    raise ChangeError(
        f'type {resource.type[:MAX_NAME_LENGTH]!r}', ErrorKind.BAD_REQUEST
    )


def _read_route(name, spec, figures):
    times = _read_times(name, figures)
    return PathRoute(
        name,
        spec.host,
        spec.path_prefix,
        RequestKind(spec.kind),
        times.timeout_ms,
        times.objective_ms,
        spec.priority,
        _read_targets(spec),
        spec.max_attempts,
        spec.sticky,
        tuple(spec.home_regions),
        spec.public,
    )


def _read_times(name, figures):
    try:
        return make_route_times(figures.timeout_s, figures.slo_s)
    except ChangeError as error:
        raise ChangeError(
            f'route {name}: {error.detail}', error.kind
        ) from error


def _read_targets(spec):
    """Return each :class:`RouteTarget` of a route.

    A service that is named beside the split gets no requests, but is among
    them so that it has to be known.
    """
    targets = [RouteTarget(each.service, each.weight) for each in spec.split]
    if not targets and spec.service:
        return (RouteTarget(spec.service),)
    named = {target.service for target in targets}
    if spec.service and spec.service not in named:
        targets.append(RouteTarget(spec.service, 0.0))
    return tuple(targets)


def _read_service(name, spec):
    return ServiceTerms(
        name,
        spec.health_path,
        spec.max_conns,
        spec.cold_start_s * MILLISECONDS,
        spec.cold_per_s,
    )


def _read_account(name, spec):
    """Return a :class:`ClientAccount`, which holds digests of its keys only.

    :raises MsgspecError: if no header can carry the name.
    """
    return ClientAccount(
        convert(name, HeaderText),
        tuple(map(digest_key, spec.api_keys)),
        spec.rate_per_s,
        spec.burst,
        spec.priority,
        tuple(spec.home_regions),
    )


def _read_limits(spec):
    return CallerLimits(
        spec.max_header_bytes,
        spec.max_body_bytes,
        spec.header_timeout_s * MILLISECONDS,
        spec.idle_timeout_s * MILLISECONDS,
    )
