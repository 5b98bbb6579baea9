"""Addresses of the control hosts and the initial voters of their group.

If the settings list all control hosts, a replica is named after its host.
If they name only a few seeds, a replica is named after its address, so that
the addresses of all members are known from the group itself.
"""

from fuchsiacart.models import HostId
from fuchsiacart.models import ReplicaId

# Second part of the id of an initial voter, after its host.
FOUNDER = 'founder'


class AddressNamedHosts:
    """Address book for hosts that are named after their addresses."""

    def get(self, host, default=None):
        """Return the address of a host.

        :param host: the host.
        :param default: the value to return for an empty name.
        """
        return host or default


def make_address_book(settings):
    """Return a mapping from control hosts to their addresses.

    :param settings: the settings of the process.
    """
    if not settings.control_hosts:
        return AddressNamedHosts()
    return {
        HostId(host.name): host.peer_address for host in settings.control_hosts
    }


def host_of(replica):
    """Return the control host that the id of a replica names."""
    return HostId(replica.partition('/')[0])


def founding_voters(settings):
    """Return the initial voters; empty if this host is not one of them.

    At the first start all seeds know each other, so each of them can derive
    the ids of all initial voters without asking the others.

    :param settings: the settings of the process.
    """
    if not settings.control.bootstrap or settings.control_hosts:
        return ()
    if settings.replica_host not in settings.seed_addresses:
        return ()
    seeds = sorted(settings.seed_addresses)
    return tuple(ReplicaId(f'{seed}/{FOUNDER}') for seed in seeds)
