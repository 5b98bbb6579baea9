"""Scope and progress of drains."""

from msgspec import Struct

from fuchsiacart.models import DrainScope


class DrainProgress(Struct, frozen=True):
    """Progress of a drain.

    ``informed`` of ``hosts`` entry hosts enforce the drain; ``in_flight``
    requests still run within its scope.
    """

    scope: DrainScope
    name: str
    started_ms: int
    hosts: int
    informed: int
    in_flight: int
    drained_ms: int = 0


def effective_drains(drains, weights):
    """Return the drains that exclude hosts and servers now.

    The drain of a region takes effect only once no blocks are sent to it.
    The shift cap limits how fast blocks move away; until then they need the
    hosts of the region.

    :param drains: all drains.
    :param weights: the :class:`RegionWeight` entries.
    """
    in_use = {row.target for row in weights if row.permille}
    return tuple(
        drain
        for drain in drains
        if drain.scope is not DrainScope.REGION or drain.name not in in_use
    )


def covers_host(drains, host):
    """Return True if a drain covers an entry host.

    :param drains: the drains in force.
    :param host: the :class:`Host`.
    """
    names = {
        DrainScope.HOST: host.name,
        DrainScope.FAILURE_DOMAIN: host.failure_domain,
        DrainScope.REGION: host.region,
    }
    return any(names.get(drain.scope) == drain.name for drain in drains)


def covers_server(drains, server):
    """Return True if a drain covers a backend server."""
    names = {
        DrainScope.BACKEND_SERVER: server.name,
        DrainScope.FAILURE_DOMAIN: server.failure_domain,
        DrainScope.REGION: server.region,
    }
    return any(names.get(drain.scope) == drain.name for drain in drains)


def covers_region(drains, region):
    """Return True if a drain covers a whole region."""
    return any(
        drain.scope is DrainScope.REGION and drain.name == region
        for drain in drains
    )
