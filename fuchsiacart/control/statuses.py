"""Status documents for operators, and sums over host reports."""

from msgspec import Struct

from fuchsiacart.control.replica_states import Group
from fuchsiacart.drains import DrainProgress
from fuchsiacart.models import DrainScope
from fuchsiacart.models import HostState
from fuchsiacart.models import RegionWeight
from fuchsiacart.models import ReplicaId


class RegionStatus(Struct, frozen=True):
    """Status of a region."""

    region: str
    entry_hosts: int
    slots: int
    busy: float
    queued: int


class HostStatus(Struct, frozen=True):
    """Status of an entry host."""

    name: str
    region: str
    failure_domain: str
    state: HostState
    revision: int
    lease_left_ms: int
    in_flight: int
    http_address: str


class Status(Struct, frozen=True):
    """Status of the whole system."""

    leader: str
    term: int
    revision: int
    in_force_revision: int
    regions: tuple[RegionStatus, ...]
    hosts: tuple[HostStatus, ...]
    drains: tuple[DrainProgress, ...]
    weights: tuple[RegionWeight, ...]
    contracts: int
    claims: int


class ReplicaStatus(Struct, frozen=True):
    """Status of a control host, as it knows it itself.

    ``format`` is that of its data folder.
    """

    replica: ReplicaId
    leader: str
    term: int
    last_index: int
    commit_index: int
    blank: bool
    group: Group
    build: str
    format: int


def sum_loads(reports, field):
    """Return the sum of a field over all loads in some reports."""
    return sum(
        getattr(load, field)
        for report in reports
        for load in report.request.loads
    )


def sum_queued(reports):
    """Return the number of queued requests in some reports."""
    return sum(
        sum(load.queued) for report in reports for load in report.request.loads
    )


def drain_in_flight(drain, request):
    """Return the requests in flight at a host that a drain covers.

    :param drain: the :class:`Drain`.
    :param request: the latest :class:`KeepAliveRequest` of the host.
    """
    if drain.scope is DrainScope.HOST:
        return request.in_flight if request.host.name == drain.name else 0
    if drain.scope is DrainScope.BACKEND_SERVER:
        return sum(
            server.in_flight
            for server in request.draining
            if server.name == drain.name
        )
    if drain.scope is DrainScope.REGION:
        return request.in_flight if request.host.region == drain.name else 0
    host_in_flight = 0
    if request.host.failure_domain == drain.name:
        host_in_flight = request.in_flight
    return host_in_flight + sum(
        server.in_flight
        for server in request.draining
        if server.failure_domain == drain.name
    )
