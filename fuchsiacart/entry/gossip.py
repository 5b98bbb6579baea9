"""Gossip between entry hosts about their load.

In each round a host exchanges a bounded number of summaries with a bounded
number of peers, so the cost does not grow with the number of hosts.
"""

from msgspec import Struct

from fuchsiacart.messages import Summary
from fuchsiacart.models import HostId

NEAR_PEERS = 2
FAR_PEERS = 1
SUMMARIES_IN_MESSAGE = 32
FRESH_MS = 2000


class HostSummary(Struct):
    """The latest summary of a host; ``sent`` counts requests sent since."""

    summary: Summary
    received_ms: float
    sent: int = 0


class Gossip:
    """Load summaries known to one entry host.  Performs no I/O.

    :param name: name of this host.
    :param region: region of this host.
    :param random: random generator for the choice of peers.
    """

    def __init__(self, name: HostId, region, random):
        self._name = name
        self._region = region
        self._random = random
        self._summaries = {}

    def set_own(self, summary, now_ms):
        """Replace the summary of this host."""
        self._summaries[self._name] = HostSummary(summary, now_ms)

    def merge(self, summaries, now_ms):
        """Merge summaries; the higher incarnation and sequence wins.

        :param summaries: each a :class:`Summary`.
        :param now_ms: the current time.
        """
        for summary in summaries:
            if summary.host == self._name:
                continue
            current = self._summaries.get(summary.host)
            if current and _version(current.summary) >= _version(summary):
                continue
            self._summaries[summary.host] = HostSummary(summary, now_ms)

    def retain(self, names):
        """Remove the summaries of all other hosts.

        :param names: names of the hosts in the view.
        """
        for name in list(self._summaries):
            if name not in names:
                del self._summaries[name]

    def peers(self, hosts):
        """Choose the hosts to gossip with in this round.

        ``NEAR_PEERS`` are drawn from this host's region and ``FAR_PEERS``
        from the others.

        :param hosts: all entry hosts.
        """
        others = [host for host in hosts if host.name != self._name]
        near = [host for host in others if host.region == self._region]
        far = [host for host in others if host.region != self._region]
        chosen = self._random.sample(near, min(NEAR_PEERS, len(near)))
        return chosen + self._random.sample(far, min(FAR_PEERS, len(far)))

    def summaries(self):
        """Return the summaries to send: this host's, then the latest others.

        At most ``SUMMARIES_IN_MESSAGE`` are returned.
        """
        ordered = sorted(
            self._summaries.values(),
            key=lambda record: (
                record.summary.host != self._name,
                -record.received_ms,
            ),
        )
        kept = ordered[:SUMMARIES_IN_MESSAGE]
        return tuple(record.summary for record in kept)

    def fresh(self, now_ms):
        """Return this host's summary and others younger than ``FRESH_MS``.

        :param now_ms: the current time.
        :return: a tuple of :class:`HostSummary`.
        """
        return tuple(
            record
            for record in self._summaries.values()
            if record.summary.host == self._name
            or now_ms - record.received_ms < FRESH_MS
        )

    def record_sent(self, name):
        """Count a request sent to a host since its last summary."""
        record = self._summaries.get(name)
        if record is not None:
            record.sent += 1


def _version(summary):
    return summary.incarnation, summary.sequence
