"""Leases of entry hosts: the control group's side and the host's side.

A host may enforce contracts and hand out work only under a lease.  The
control group takes a host for gone only when its lease has surely run out,
so a change is in force everywhere once each host has it or is fenced.
"""

from msgspec import Struct

from fuchsiacart.models import Host

CLOCK_MARGIN_MS = 250


class Session(Struct):
    """What the leader knows of one entry host."""

    host: Host
    expires_ms: float
    revision: int = 0


class LeaseTable:
    """The leader's leases, pure.

    :param lease_ms: how long a lease holds.
    :param hosts: hosts of the replicated state; their leases may have been
        renewed by an earlier leader until now.
    :param now_ms: start, in milliseconds of any steady clock.
    """

    def __init__(self, lease_ms, hosts, now_ms):
        self._lease_ms = lease_ms
        self._sessions = {
            host.name: Session(host, self._expiry_ms(now_ms)) for host in hosts
        }

    def renew(self, host, revision, now_ms):
        """Renew a lease.

        :param host: the host that asks.
        :param revision: the revision that the host has reached.
        :param now_ms: when the request was received.
        """
        session = self._sessions.get(host.name)
        if session is None or session.host.incarnation < host.incarnation:
            session = Session(host, 0.0)
            self._sessions[host.name] = session
        session.host = host
        session.expires_ms = self._expiry_ms(now_ms)
        session.revision = max(session.revision, revision)

    def remove(self, name):
        """Forget a host that has left."""
        self._sessions.pop(name, None)

    def expired(self, now_ms):
        """Return the hosts whose leases have surely run out."""
        return tuple(
            session.host
            for session in self._sessions.values()
            if session.expires_ms <= now_ms
        )

    def revision_in_force(self, revision, now_ms):
        """Return the newest revision that is in force everywhere.

        :param revision: the newest committed revision.
        :param now_ms: the present.
        """
        live = [
            session.revision
            for session in self._sessions.values()
            if session.expires_ms > now_ms
        ]
        return min(live + [revision])

    def sessions(self):
        """Return all sessions."""
        return tuple(self._sessions.values())

    def _expiry_ms(self, now_ms):
        return now_ms + self._lease_ms + CLOCK_MARGIN_MS


class Lease:
    """An entry host's own lease, pure.

    A renewal counts from when its request was sent, and only once the host
    has reached the revision that the reply names.
    """

    def __init__(self):
        self._until_ms = 0.0
        self._pending_until_ms = 0.0
        self._needed_revision = 0

    def renew(self, sent_ms, lease_ms, needed_revision, revision):
        """Take in a reply.

        :param sent_ms: when the request was sent.
        :param lease_ms: how long the lease holds from then.
        :param needed_revision: the revision that the reply names.
        :param revision: the revision that the host has reached.
        """
        self._pending_until_ms = max(
            self._pending_until_ms, sent_ms + lease_ms
        )
        self._needed_revision = max(self._needed_revision, needed_revision)
        self.record_revision(revision)

    def record_revision(self, revision):
        """Take note that the host has reached a revision."""
        if revision >= self._needed_revision:
            self._until_ms = self._pending_until_ms

    def holds(self, now_ms):
        """Tell whether the lease holds."""
        return now_ms < self._until_ms

    def left_ms(self, now_ms):
        """Return how long the lease still holds, 0 if it does not."""
        return max(0.0, self._until_ms - now_ms)

    @property
    def needed_revision(self):
        """Return the revision to reach before a renewal counts."""
        return self._needed_revision


class RelayTree:
    """Whom each host pulls changes from, worked out once for a revision.

    Hosts stand in a tree by the order of their names, so each serves at
    most ``fan_out`` others, however many there are.

    :param hosts: all entry hosts.
    :param control_addresses: addresses of the control hosts.
    :param fan_out: children of a host, and of the control group.
    """

    def __init__(self, hosts, control_addresses, fan_out):
        self._ordered = sorted(hosts, key=lambda host: host.name)
        self._positions = {
            host.name: position for position, host in enumerate(self._ordered)
        }
        self._control_addresses = tuple(control_addresses)
        self._fan_out = fan_out

    def parents(self, name):
        """Return whom a host pulls from, best first.

        :param name: the host that asks.
        :return: addresses; control hosts follow as a last resort.
        """
        position = self._positions.get(name)
        if position is None:
            return self._control_addresses
        first = position % len(self._control_addresses)
        turned = (
            self._control_addresses[first:] + self._control_addresses[:first]
        )
        if position < self._fan_out:
            return turned
        parent = self._ordered[position // self._fan_out - 1]
        return (parent.peer_address,) + turned
