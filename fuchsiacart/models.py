"""Identifiers and data that operators, callers and processes share."""

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
    """How urgent work is; a lower number is served first."""

    URGENT = 0
    INTERACTIVE = 1
    BACKGROUND = 2

    @property
    def label(self):
        """Return the name that contracts and reports use."""
        return self.name.lower()


@unique
class RankName(Enum):
    """The rank as a contract writes it."""

    URGENT = 'urgent'
    INTERACTIVE = 'interactive'
    BACKGROUND = 'background'

    @property
    def rank(self):
        """Return the rank in its order of service."""
        return Rank[self.name]


class Route(Struct, frozen=True, forbid_unknown_fields=True):
    """Which requests have which rank, and whether they may be repeated."""

    service: Name
    method: Annotated[str, Meta(pattern='^[A-Z]{1,10}$')]
    path: Annotated[str, Meta(pattern='^/')]
    rank: RankName
    repeatable: bool
    deadline_ms: Positive

    def covers(self, service, method, path):
        """Tell whether a request falls under this route.

        :param service: service that the caller names.
        :param method: HTTP method.
        :param path: request path without its query.
        :return: True when all three match.
        """
        if service != self.service or method != self.method:
            return False
        return fnmatchcase(path, self.path)


class RankTerms(Struct, frozen=True, forbid_unknown_fields=True):
    """What a contract grants to one rank of a customer's work."""

    rank: RankName
    rate_per_s: Positive
    concurrency: Positive
    floor_percent: Percent


class Block(Struct, frozen=True, forbid_unknown_fields=True):
    """A block of client addresses and its nearest region."""

    prefix: str
    region: Name

    def __post_init__(self):
        ip_network(self.prefix)


class Contract(Struct, frozen=True, forbid_unknown_fields=True):
    """All that is agreed with one customer; every limit comes from it."""

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
        """Compare a bearer token with the digests, in constant time.

        :param token: the token as the caller sent it.
        :return: True when one digest matches.
        """
        digest = token_digest(token)
        matches = [compare_digest(digest, own) for own in self.token_sha256]
        return any(matches)

    def find_route(self, service, method, path):
        """Return the first route that covers a request, or None."""
        for route in self.routes:
            if route.covers(service, method, path):
                return route
        return None

    def terms(self, rank):
        """Return the terms of a rank, or None."""
        for terms in self.ranks:
            if terms.rank.rank is rank:
                return terms
        return None


def token_digest(token):
    """Return the digest under which a bearer token is kept."""
    return sha256(token.encode()).hexdigest()


@unique
class DrainScope(Enum):
    """What an operator takes out of service."""

    HOST = 'host'
    FAILURE_DOMAIN = 'failure_domain'
    REGION = 'region'
    BACKEND_SERVER = 'backend_server'


class Drain(Struct, frozen=True, forbid_unknown_fields=True):
    """A planned drain."""

    scope: DrainScope
    name: Name
    started_ms: int = 0


@unique
class HostState(Enum):
    """Whether an entry host takes part."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Host(Struct, frozen=True):
    """An entry host as the control group knows it."""

    name: HostId
    incarnation: int
    region: RegionId
    failure_domain: FailureDomainId
    http_address: Address
    peer_address: Address
    state: HostState = HostState.LIVE


class RegionWeight(Struct, frozen=True):
    """Which share of a home region's blocks goes to a target region."""

    home: RegionId
    target: RegionId
    permille: int


class BackendServer(Struct, frozen=True):
    """What a backend server says of itself when it announces itself."""

    name: Name
    incarnation: int
    service: Name
    region: Name
    failure_domain: Name
    address: str
    slots: Positive
    connections: Positive


class LoadReport(Struct, frozen=True):
    """Load as a backend server reports it; it may lag or mislead."""

    busy_slots: int = 0
    usable_slots: int = 1_000_000
    draining: bool = False
