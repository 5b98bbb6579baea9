"""What answers tell of backend servers, gathered for the control group.

One gateway sends too few requests to one server to tell a slow or failing
server by itself.  The leader compares what all gateways have seen.
"""

from msgspec import Struct

from fuchsiacart.models import BackendServerId
from fuchsiacart.models import ServiceId

# Servers in one report; a gateway that meets more tells of the others later.
REPORT_LIMIT = 64


class ServerEvidence(Struct, frozen=True, array_like=True):
    """Answers of one server to one gateway since its last report.

    ``failures`` are lost and failed attempts, ``timed`` the answers that
    did not wait at the server and ``taken_ms`` the time they took in all.
    """

    name: BackendServerId
    service: ServiceId
    answers: int
    failures: int
    timed: int
    taken_ms: int


class Outlier(Struct, frozen=True, array_like=True):
    """A server that sets itself apart from its peers, and how."""

    name: BackendServerId
    reason: str


class _Tally(Struct):
    """Counts of one server that are not reported yet."""

    service: ServiceId
    answers: int = 0
    failures: int = 0
    timed: int = 0
    taken_ms: float = 0.0


class EvidenceMeter:
    """Counts by server at one gateway, pure."""

    def __init__(self):
        self._tallies = {}

    def record_response(self, record, taken_ms, load):
        """Take note of an answer.

        :param record: the :class:`ServerRecord`.
        :param taken_ms: time from sending to the whole answer.
        :param load: the :class:`ReportedLoad`, or None.
        """
        tally = self._tally(record)
        tally.answers += 1
        if load is not None and load.waiting > 0:
            return
        tally.timed += 1
        tally.taken_ms += taken_ms

    def record_failure(self, record):
        """Take note of a lost or failed attempt."""
        self._tally(record).failures += 1

    def flush(self):
        """Return the evidence since the last call, a bounded part of it."""
        names = list(self._tallies)[:REPORT_LIMIT]
        return tuple(self._take(name) for name in names)

    def _tally(self, record):
        return self._tallies.setdefault(record.name, _Tally(record.service))

    def _take(self, name):
        tally = self._tallies.pop(name)
        return ServerEvidence(
            name,
            tally.service,
            tally.answers,
            tally.failures,
            tally.timed,
            int(tally.taken_ms),
        )
