"""Chooses the gateways that a look-up names.

Answers callers of a failure domain with more gateways than one look-up may
name: each caller is told some of them, and all of them get callers.
"""

from fuchsiacart.control.states import is_live
from fuchsiacart.models import HostState
from fuchsiacart.ownership import rendezvous_order

# With fewer gateways a caller has no alternative when one of them fails.
MIN_GATEWAYS = 2
MAX_GATEWAYS = 64


def find_gateways(hosts, region, domain, caller):
    """Return the addresses of the gateways that are nearest to a caller.

    Those of the caller's failure domain are preferred, then those of its
    region.  Gateways that reach no backend server are named only if there
    are too few others in the region; they relay what they get.  Of too many,
    a caller is told the same each time, by rendezvous hashing, as it closes
    its connections to the others.

    :param hosts: all gateways.
    :param region: region of the caller.
    :param domain: failure domain of the caller.
    :param caller: IP address of the caller.
    """
    live = [host for host in hosts if is_live(host)]
    isolated = [host for host in hosts if host.state is HostState.ISOLATED]
    near = [host for host in live if host.failure_domain == domain]
    if len(near) < MIN_GATEWAYS:
        near = [host for host in live if host.region == region]
    if len(near) < MIN_GATEWAYS:
        near += [host for host in isolated if host.region == region]
    if not near:
        near = live or isolated
    if len(near) > MAX_GATEWAYS:
        near = rendezvous_order(caller, near)[:MAX_GATEWAYS]
    return tuple(host.http_address for host in near)
