"""Which entry host owns a backend server, and when it may start to.

Rendezvous hashing (Thaler and Ravishankar, 1998) gives each backend server
one owner among the live entry hosts of its region, the only one that sends
it work.  A new owner takes over at once where every earlier owner is gone
or has released the server, else after a whole lease.
"""

from msgspec import Struct
from xxhash import xxh64_intdigest

from fuchsiacart.control.states import is_live
from fuchsiacart.drains import covers_host
from fuchsiacart.models import HostId


class HostSet(Struct, frozen=True):
    """Hosts that could own servers until a time."""

    hosts: tuple
    until_ms: float


def rendezvous_order(key, hosts):
    """Return hosts in the order of their scores for a key, best first.

    :param key: what is to be placed.
    :param hosts: entry hosts.
    """
    return sorted(
        hosts,
        key=lambda host: xxh64_intdigest(f'{host.name}|{key}'.encode()),
        reverse=True,
    )


def find_owner(server, hosts):
    """Return the owner of a backend server, or None without hosts.

    :param server: the backend server.
    :param hosts: hosts that may own; those of the server's region go first.
    """
    near = [host for host in hosts if host.region == server.region]
    ordered = rendezvous_order(server.name, near or hosts)
    return ordered[0] if ordered else None


class Ownership:
    """Owners as one entry host sees them, pure.

    :param name: this host.
    :param lease_ms: how long a host can act on an older view.
    """

    def __init__(self, name: HostId, lease_ms):
        self._name = name
        self._lease_ms = lease_ms
        self._hosts = ()
        self._earlier = []

    def observe(self, hosts, drains, now_ms):
        """Take in the hosts of a new view.

        :param hosts: all entry hosts of the view.
        :param drains: drains in force.
        :param now_ms: the present.
        """
        able = tuple(
            host
            for host in hosts
            if is_live(host) and not covers_host(drains, host)
        )
        if able == self._hosts:
            return
        if not self._hosts:
            others = tuple(host for host in able if host.name != self._name)
            self._earlier.append(HostSet(others, now_ms))
        else:
            self._earlier.append(HostSet(self._hosts, now_ms))
        self._hosts = able

    def owner(self, server):
        """Return the owner of a backend server, or None."""
        return find_owner(server, self._hosts)

    def is_owner(self, server):
        """Tell whether this host owns a backend server."""
        owner = self.owner(server)
        return owner is not None and owner.name == self._name

    def earlier_owners(self, server, all_hosts, now_ms):
        """Return the hosts that may still act as owners of a server.

        :param server: the backend server.
        :param all_hosts: every entry host that has not left; one that has
            left is fenced by its lease.
        :param now_ms: the present.
        :return: hosts to ask for a release.
        """
        self._earlier = [
            each
            for each in self._earlier
            if now_ms - each.until_ms < self._lease_ms
        ]
        present = {host.name: host for host in all_hosts}
        owners = {}
        for each in self._earlier:
            owner = find_owner(server, each.hosts)
            if owner is None or owner.name == self._name:
                continue
            if owner.name in present:
                owners[owner.name] = present[owner.name]
        return tuple(owners.values())
