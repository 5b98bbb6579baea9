"""Identifiers and data types shared by all processes."""

from enum import Enum
from enum import IntEnum
from enum import unique
from fnmatch import fnmatchcase
from hashlib import sha256
from hmac import compare_digest
from ipaddress import ip_network
from typing import Annotated
from typing import NewType

from msgspec import Meta
from msgspec import Struct

HostId = NewType('HostId', str)
RegionId = NewType('RegionId', str)
FailureDomainId = NewType('FailureDomainId', str)
CustomerId = NewType('CustomerId', str)
ServiceId = NewType('ServiceId', str)
BackendServerId = NewType('BackendServerId', str)
ReplicaId = NewType('ReplicaId', str)
ChangeId = NewType('ChangeId', str)
Address = NewType('Address', str)

Name = Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9.:_-]{0,62}$')]
Percent = Annotated[int, Meta(ge=0, le=100)]
Positive = Annotated[int, Meta(gt=0)]
Digest = Annotated[str, Meta(pattern='^[0-9a-f]{64}$')]


@unique
class Rank(IntEnum):
    """Urgency of a request; lower numbers are served first."""

    URGENT = 0
    INTERACTIVE = 1
    BACKGROUND = 2

    @property
    def label(self):
        """Return the name used in contracts and metrics."""
        return self.name.lower()


@unique
class RankName(Enum):
    """Name of a rank in a contract."""

    URGENT = 'urgent'
    INTERACTIVE = 'interactive'
    BACKGROUND = 'background'

    @property
    def rank(self):
        """Return the :class:`Rank` of this name."""
        return Rank[self.name]


class Route(Struct, frozen=True, forbid_unknown_fields=True):
    """Assigns a rank to matching requests; ``repeatable`` allows retries."""

    service: Name
    method: Annotated[str, Meta(pattern='^[A-Z]{1,10}$')]
    path: Annotated[str, Meta(pattern='^/')]
    rank: RankName
    repeatable: bool
    deadline_ms: Positive

    def covers(self, service, method, path):
        """Return True if a request matches this route.

        :param service: service named by the caller.
        :param method: HTTP method.
        :param path: request path without its query, matched against the
            glob pattern of the route.
        """
        if service != self.service or method != self.method:
            return False
        return fnmatchcase(path, self.path)


class RankTerms(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits that a contract grants to a customer's requests of one rank."""

    rank: RankName
    rate_per_s: Positive
    concurrency: Positive
    floor_percent: Percent


class Block(Struct, frozen=True, forbid_unknown_fields=True):
    """An address prefix of clients and their nearest region."""

    prefix: str
    region: Name

    def __post_init__(self):
        ip_network(self.prefix)


class Contract(Struct, frozen=True, forbid_unknown_fields=True):
    """Tokens, routes, limits and address blocks agreed with one customer.

    Every limit of the customer comes from its contract.
    """

    customer: Name
    token_sha256: tuple[Digest, ...]
    routes: tuple[Route, ...]
    ranks: tuple[RankTerms, ...]
    blocks: tuple[Block, ...] = ()

    def __post_init__(self):
        names = [terms.rank for terms in self.ranks]
        if len(set(names)) != len(names):
            raise ValueError('`ranks` names a rank twice')
        if sum(terms.floor_percent for terms in self.ranks) > 100:
            raise ValueError('the `floor_percent` of all ranks exceed 100')
        missing = {route.rank for route in self.routes} - set(names)
        if missing:
            raise ValueError('a rank of `routes` is missing in `ranks`')

    def holds_token(self, token):
        """Return True if a bearer token belongs to this contract.

        All digests are compared, each in constant time.

        :param token: the token as the caller sent it.
        """
        digest = token_digest(token)
        matches = [compare_digest(digest, own) for own in self.token_sha256]
        return any(matches)

    def find_route(self, service, method, path):
        """Return the first route that matches a request, or None.

        See :meth:`Route.covers` for the parameters.
        """
        for route in self.routes:
            if route.covers(service, method, path):
                return route
        return None

    def terms(self, rank):
        """Return the :class:`RankTerms` of a :class:`Rank`, or None."""
        for terms in self.ranks:
            if terms.rank.rank is rank:
                return terms
        return None


def token_digest(token):
    """Return the SHA-256 digest by which a bearer token is stored."""
    return sha256(token.encode()).hexdigest()


@unique
class DrainScope(Enum):
    """Kind of object that a drain takes out of service."""

    HOST = 'host'
    FAILURE_DOMAIN = 'failure_domain'
    REGION = 'region'
    BACKEND_SERVER = 'backend_server'


class Drain(Struct, frozen=True, forbid_unknown_fields=True):
    """A planned drain; ``name`` is the object of kind ``scope``."""

    scope: DrainScope
    name: Name
    started_ms: int = 0


@unique
class HostState(Enum):
    """Whether an entry host is in service.

    ``ISOLATED``: it reaches no backend server and relays its requests.
    """

    LIVE = 'live'
    ISOLATED = 'isolated'
    LEAVING = 'leaving'


class Host(Struct, frozen=True):
    """Identity and addresses of an entry host.

    A restart of the host increases its ``incarnation``.
    """

    name: HostId
    incarnation: int
    region: RegionId
    failure_domain: FailureDomainId
    http_address: Address
    peer_address: Address
    state: HostState = HostState.LIVE


class RegionWeight(Struct, frozen=True):
    """Share of a home region's blocks that is sent to a target region."""

    home: RegionId
    target: RegionId
    permille: int


class BackendServer(Struct, frozen=True):
    """Description of a backend server, taken from its announcement."""

    name: Name
    incarnation: int
    service: Name
    region: Name
    failure_domain: Name
    address: str
    slots: Positive
    connections: Positive


class LoadReport(Struct, frozen=True):
    """Load as reported by a backend server; it may be late or wrong."""

    busy_slots: int = 0
    usable_slots: int = 1_000_000
    draining: bool = False
