"""Ownership of backend servers by entry hosts.

Rendezvous hashing (Thaler and Ravishankar, 1998) assigns each backend server
to one of the live entry hosts of its region.  Only this owner sends requests
to the server.  A new owner may start at once if every earlier owner has left
or has released the server, and otherwise after the duration of a lease.
"""

from msgspec import Struct
from xxhash import xxh64_intdigest

from fuchsiacart.control.states import is_live
from fuchsiacart.drains import covers_host
from fuchsiacart.models import HostId


class PastHosts(Struct, frozen=True):
    """Hosts that were eligible as owners until ``until_ms``."""

    hosts: tuple
    until_ms: float


def rendezvous_order(key, hosts):
    """Return hosts sorted by their rendezvous scores for a key, best first.

    :param key: string to assign to a host.
    :param hosts: objects with a ``name``.
    """
    return sorted(
        hosts,
        key=lambda host: xxh64_intdigest(f'{host.name}|{key}'.encode()),
        reverse=True,
    )


def find_owner(server, hosts):
    """Return the owner of a backend server, or None if there are no hosts.

    :param server: the backend server.
    :param hosts: eligible hosts.  Those of other regions are considered
        only if there are none in the region of the server.
    """
    nearby = [host for host in hosts if host.region == server.region]
    ordered = rendezvous_order(server.name, nearby or hosts)
    return ordered[0] if ordered else None


class Ownership:
    """Owners according to the view of one entry host; does no I/O.

    All times are milliseconds of one monotonic clock.

    :param name: name of this host.
    :param lease_ms: duration of a lease, for which a host may act on an
        older view.
    """

    def __init__(self, name: HostId, lease_ms):
        self._name = name
        self._lease_ms = lease_ms
        self._hosts = ()
        self._past = []

    def observe(self, hosts, drains, now_ms):
        """Update the eligible hosts from a new view.

        :param hosts: all entry hosts of the view.
        :param drains: the drains in force.
        :param now_ms: current time.
        """
        eligible = tuple(
            host
            for host in hosts
            if is_live(host) and not covers_host(drains, host)
        )
        if eligible == self._hosts:
            return
        if not self._hosts:
            others = tuple(
                host for host in eligible if host.name != self._name
            )
            self._past.append(PastHosts(others, now_ms))
        else:
            self._past.append(PastHosts(self._hosts, now_ms))
        self._hosts = eligible

    def owner(self, server):
        """Return the owner of a backend server, or None."""
        return find_owner(server, self._hosts)

    def is_owner(self, server):
        """Return True if this host owns a backend server."""
        owner = self.owner(server)
        return owner is not None and owner.name == self._name

    def earlier_owners(self, server, all_hosts, now_ms):
        """Return other hosts that may still act as owner of a server.

        These must release the server before this host may use it.

        :param server: the backend server.
        :param all_hosts: every entry host that has not left.  A host that
            has left holds no lease, so it need not be asked.
        :param now_ms: current time.
        """
        self._past = [
            each
            for each in self._past
            if now_ms - each.until_ms < self._lease_ms
        ]
        present = {host.name: host for host in all_hosts}
        owners = {}
        for each in self._past:
            owner = find_owner(server, each.hosts)
            if owner is None or owner.name == self._name:
                continue
            if owner.name in present:
                owners[owner.name] = present[owner.name]
        return tuple(owners.values())
