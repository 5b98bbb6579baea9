"""Statistics on backend servers that gateways report to the control group.

One gateway sends too few requests to each server to detect a slow or failing
one by itself, so the leader compares the reports of all gateways.
"""

from msgspec import Struct

from fuchsiacart.models import BackendServerId
from fuchsiacart.models import ServiceId

# Servers in one report; the rest follows in later reports.
MAX_SERVERS_IN_REPORT = 64


class ServerEvidence(Struct, frozen=True, array_like=True):
    """Counts of one server at one gateway since its last report.

    ``answers`` counts the responses that are not failures, ``failures`` the
    failed attempts and server errors.  ``timed`` counts the responses that
    did not wait in a queue of the server and ``taken_ms`` is their total
    time.
    """

    name: BackendServerId
    service: ServiceId
    answers: int
    failures: int
    timed: int
    taken_ms: int


class Outlier(Struct, frozen=True, array_like=True):
    """A server that performs worse than its peers, with the reason."""

    name: BackendServerId
    reason: str


class _Tally(Struct):
    """Counts of one server since the last report."""

    service: ServiceId
    answers: int = 0
    failures: int = 0
    timed: int = 0
    taken_ms: float = 0.0


class EvidenceMeter:
    """Counts responses and failures by server.  Performs no I/O."""

    def __init__(self):
        self._tallies = {}

    def record_response(self, record, taken_ms, load):
        """Count a response.

        Its time is left out if the server reports a queue, as the time then
        includes the wait.

        :param record: the :class:`ServerRecord`.
        :param taken_ms: milliseconds from sending to the complete response.
        :param load: the :class:`ReportedLoad` of the response, or None.
        """
        tally = self._tally(record)
        tally.answers += 1
        if load is not None and load.waiting > 0:
            return
        tally.timed += 1
        tally.taken_ms += taken_ms

    def record_failure(self, record):
        """Count a failed attempt or a server error.

        :param record: the :class:`ServerRecord`.
        """
        self._tally(record).failures += 1

    def flush(self):
        """Return the counts since the last call and reset them.

        :return: a :class:`ServerEvidence` for each of at most
            ``MAX_SERVERS_IN_REPORT`` servers; the others are kept for the
            next call.
        """
        names = list(self._tallies)[:MAX_SERVERS_IN_REPORT]
        return tuple(self._pop(name) for name in names)

    def _tally(self, record):
        return self._tallies.setdefault(record.name, _Tally(record.service))

    def _pop(self, name):
        tally = self._tallies.pop(name)
        return ServerEvidence(
            name,
            tally.service,
            tally.answers,
            tally.failures,
            tally.timed,
            int(tally.taken_ms),
        )
