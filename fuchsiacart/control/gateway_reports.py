"""Evidence, suspects and counts that the leader collects from all gateways.

They are kept in memory; each new leader starts without any.
"""

from fuchsiacart.clocks import wall_ms
from fuchsiacart.control.comparisons import PeerComparison
from fuchsiacart.load_boards import LoadBoard
from fuchsiacart.load_boards import ServerIndex
from fuchsiacart.logs import log_event
from fuchsiacart.quarantine import Quarantine

DETECTION_INTERVAL_MS = 250.0
# Maximum number of suspects in one reply; the newest are kept.
MAX_REPLY_SUSPECTS = 16


class GatewayReports:
    """Merges the gateways' reports on requests and backend servers.

    :param settings: the settings of the process.
    """

    def __init__(self, settings):
        self._comparison = PeerComparison()
        self._detected_ms = 0.0
        self._quarantine = Quarantine(settings.entry.quarantine_ms)
        self._regions = settings.routes.regions if settings.routes else {}
        self._board = LoadBoard()
        self._indexes = {}
        self._indexed_revision = 0

    def add_report(self, request, now_ms):
        """Merge the evidence, suspects and counts of one gateway.

        :param request: its :class:`KeepAliveRequest`.
        :param now_ms: current time, in milliseconds of a steady clock.
        """
        self._comparison.add_evidence(request.evidence, now_ms)
        self._quarantine.merge(request.suspects, wall_ms())
        self._board.record(request.host.name, request.counts, now_ms)

    def suspects(self):
        """Return the quarantined requests, which all gateways refuse."""
        return self._quarantine.quarantined(wall_ms())[-MAX_REPLY_SUSPECTS:]

    def load_map(self, host, stored, now_ms):
        """Return what other gateways have in flight at each server.

        :param host: the :class:`Host` of the gateway that is told.
        :param stored: the replicated state, with the registered servers.
        :param now_ms: current time, in milliseconds of a steady clock.
        :return: the :class:`LoadMap`.
        """
        if self._indexed_revision != stored.revision:
            self._indexed_revision = stored.revision
            self._indexes = {}
        if host.region not in self._indexes:
            self._indexes[host.region] = ServerIndex(
                stored.routes.servers.values(), self._regions, host.region
            )
        return self._board.load_map(
            host.name, self._indexes[host.region], now_ms
        )

    def log_outliers(self, servers, now_ms):
        """Detect servers that are outliers among their peers, and log them.

        Does nothing until ``DETECTION_INTERVAL_MS`` have passed since the
        last detection.

        :param servers: the registered servers by name.
        :param now_ms: current time, in milliseconds of a steady clock.
        """
        if now_ms - self._detected_ms < DETECTION_INTERVAL_MS:
            return
        self._detected_ms = now_ms
        self._comparison.retain(servers)
        for outlier in self._comparison.detect_outliers(now_ms):
            log_event(
                'server_judged', server=outlier.name, reason=outlier.reason
            )
