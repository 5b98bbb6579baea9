"""What a drain covers, and how far it has come."""

from msgspec import Struct

from fuchsiacart.models import DrainScope


class DrainProgress(Struct, frozen=True):
    """How far a drain has come.

    ``informed`` of ``hosts`` entry hosts enforce it; ``in_flight`` requests
    still run on what it covers.
    """

    scope: DrainScope
    name: str
    started_ms: int
    hosts: int
    informed: int
    in_flight: int
    drained_ms: int = 0


def effective_drains(drains, weights):
    """Return the drains that take hosts and servers out now.

    A region that is drained serves on until its blocks have moved: they
    move under the shift cap, and would find nobody meanwhile.

    :param drains: all drains.
    :param weights: weights between regions.
    """
    in_use = {row.target for row in weights if row.permille}
    return tuple(
        drain
        for drain in drains
        if drain.scope is not DrainScope.REGION or drain.name not in in_use
    )


def covers_host(drains, host):
    """Tell whether a drain covers an entry host.

    :param drains: the drains in force.
    :param host: the entry host.
    """
    names = {
        DrainScope.HOST: host.name,
        DrainScope.FAILURE_DOMAIN: host.failure_domain,
        DrainScope.REGION: host.region,
    }
    return any(names.get(drain.scope) == drain.name for drain in drains)


def covers_server(drains, server):
    """Tell whether a drain covers a backend server."""
    names = {
        DrainScope.BACKEND_SERVER: server.name,
        DrainScope.FAILURE_DOMAIN: server.failure_domain,
        DrainScope.REGION: server.region,
    }
    return any(names.get(drain.scope) == drain.name for drain in drains)


def covers_region(drains, region):
    """Tell whether a drain covers a whole region."""
    return any(
        drain.scope is DrainScope.REGION and drain.name == region
        for drain in drains
    )
