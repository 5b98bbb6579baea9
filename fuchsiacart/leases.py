"""Leases of entry hosts: the control group's side and the host's side.

A host may enforce contracts and dispatch work only while it holds a lease.
The control group treats a host as gone only once its lease has certainly
expired.  A change is therefore in force everywhere once every host has
either applied it or lost its lease.
"""

from collections import defaultdict
from collections import deque

from msgspec import Struct

from fuchsiacart.models import Host

# Added to the duration of a lease on the leader's side only.
CLOCK_MARGIN_MS = 250
# Renewals that wait for their revisions; the oldest are dropped first.
MAX_PENDING_RENEWALS = 32


class Session(Struct):
    """The leader's record of one entry host."""

    host: Host
    expires_ms: float
    revision: int = 0


class PendingRenewal(Struct, frozen=True):
    """A renewal that takes effect with a revision of the view."""

    sent_ms: float
    until_ms: float
    needed_revision: int


class LeaseTable:
    """The leases granted by the leader; does no I/O.

    All times are milliseconds of one monotonic clock.

    :param lease_ms: duration of a lease.
    :param hosts: hosts of the replicated state.  An earlier leader may have
        renewed their leases up to now, so each gets a full lease.
    :param now_ms: time at which the table is created.
    """

    def __init__(self, lease_ms, hosts, now_ms):
        self._lease_ms = lease_ms
        self._sessions = {
            host.name: Session(host, self._expiry_ms(now_ms)) for host in hosts
        }

    def renew(self, host, revision, now_ms):
        """Grant or renew a lease.

        :param host: the :class:`Host` that sent the request.
        :param revision: the revision of the host's view.
        :param now_ms: time at which the request was received.
        """
        session = self._sessions.get(host.name)
        if session is None or session.host.incarnation < host.incarnation:
            session = Session(host, 0.0)
            self._sessions[host.name] = session
        session.host = host
        session.expires_ms = self._expiry_ms(now_ms)
        session.revision = max(session.revision, revision)

    def remove(self, name):
        """Remove a host that has left."""
        self._sessions.pop(name, None)

    def expired(self, now_ms):
        """Return the hosts whose leases have certainly expired."""
        return tuple(
            session.host
            for session in self._sessions.values()
            if session.expires_ms <= now_ms
        )

    def revision_in_force(self, revision, now_ms):
        """Return the newest revision that all hosts with a lease have applied.

        :param revision: the newest committed revision, an upper bound of
            the result.
        :param now_ms: current time.
        """
        live = [
            session.revision
            for session in self._sessions.values()
            if session.expires_ms > now_ms
        ]
        return min(live + [revision])

    def sessions(self):
        """Return the :class:`Session` of each host."""
        return tuple(self._sessions.values())

    def _expiry_ms(self, now_ms):
        return now_ms + self._lease_ms + CLOCK_MARGIN_MS


class Lease:
    """The lease as its entry host sees it; does no I/O.

    A renewal runs from the time its request was sent.  It takes effect only
    once the host has reached the revision named in the reply.
    """

    def __init__(self):
        self._until_ms = 0.0
        self._renewed_ms = 0.0
        # Renewals whose revision the view has not reached, oldest first.
        self._pending = deque(maxlen=MAX_PENDING_RENEWALS)
        self._needed_revision = 0
        self._revision = 0

    def renew(self, sent_ms, lease_ms, needed_revision, revision):
        """Apply the reply to a renewal request.

        :param sent_ms: time at which the request was sent.
        :param lease_ms: duration of the lease from then on.
        :param needed_revision: the revision named in the reply.
        :param revision: the revision of the host's view.
        """
        self._needed_revision = max(self._needed_revision, needed_revision)
        self._pending.append(
            PendingRenewal(sent_ms, sent_ms + lease_ms, needed_revision)
        )
        self.record_revision(revision)

    def record_revision(self, revision):
        """Apply the pending renewals whose revision the view has reached.

        :param revision: the revision of the host's view.
        """
        self._revision = revision
        reached = [
            renewal
            for renewal in self._pending
            if renewal.needed_revision <= revision
        ]
        for renewal in reached:
            self._pending.remove(renewal)
            self._until_ms = max(self._until_ms, renewal.until_ms)
            self._renewed_ms = max(self._renewed_ms, renewal.sent_ms)

    def holds(self, now_ms):
        """Return True if the lease is valid."""
        return now_ms < self._until_ms

    @property
    def is_behind(self):
        """Return True if the view lacks the needed revision."""
        return self._revision < self._needed_revision

    @property
    def until_ms(self):
        """Return the time at which the lease ends, 0 before the first."""
        return self._until_ms

    @property
    def renewed_ms(self):
        """Return when the last renewal in effect was sent, 0 for none."""
        return self._renewed_ms

    @property
    def was_held(self):
        """Return True once the lease has been valid."""
        return self._until_ms > 0

    def left_ms(self, now_ms):
        """Return the remaining milliseconds of the lease, 0 if expired."""
        return max(0.0, self._until_ms - now_ms)

    @property
    def needed_revision(self):
        """Return the revision to reach before a renewal takes effect."""
        return self._needed_revision


class RelayTree:
    """Assigns the parents that each host pulls changes from.

    The hosts of each region form a tree in which each serves at most
    ``fan_out`` others, whatever their number, so that a change crosses to a
    region once.  The tree is built once for a revision.

    :param hosts: all entry hosts.
    :param control_addresses: peer addresses of the control hosts.
    :param fan_out: maximum number of children of a host, and of the control
        group.
    """

    def __init__(self, hosts, control_addresses, fan_out):
        by_region = defaultdict(list)
        for host in sorted(hosts, key=lambda host: host.name):
            by_region[host.region].append(host)
        self._regions = [by_region[name] for name in sorted(by_region)]
        self._positions = {
            host.name: (region, position)
            for region, members in enumerate(self._regions)
            for position, host in enumerate(members)
        }
        self._control_addresses = tuple(control_addresses)
        self._fan_out = fan_out
        # Hosts of each region that pull from outside.
        self._roots = max(1, fan_out // max(1, len(self._regions)))

    def parents(self, name):
        """Return the peer addresses a host pulls from, best first.

        The control hosts follow as a last resort, in an order that is
        rotated by the position of the host.

        :param name: name of the host.
        """
        region, position = self._positions.get(name, (0, None))
        if position is None:
            return self._control_addresses
        first = (region + position) % len(self._control_addresses)
        rotated = (
            self._control_addresses[first:] + self._control_addresses[:first]
        )
        parent = self._parent(region, position)
        if parent is None:
            return rotated
        return (parent.peer_address,) + rotated

    def _parent(self, region, position):
        """Return the host that a host pulls from, or None for control."""
        members = self._regions[region]
        if len(self._regions) <= self._fan_out:
            if position < self._roots:
                return None
            return members[(position - self._roots) // self._fan_out]
        if position > 0:
            # The first host has one child less, for that of another region.
            return members[position // self._fan_out]
        if region < self._fan_out:
            return None
        return self._regions[region - self._fan_out][0]
