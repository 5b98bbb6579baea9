"""Evidence, suspects and counts that the leader collects from all gateways.

They are kept in memory; each new leader starts without any.
"""

from fuchsiacart.accounts import AccountTable
from fuchsiacart.accounts import QuotaLedger
from fuchsiacart.accounts import QuotaTerms
from fuchsiacart.clocks import steady_ms
from fuchsiacart.clocks import wall_ms
from fuchsiacart.control.comparisons import PeerComparison
from fuchsiacart.control.departures import DepartureReports
from fuchsiacart.load_boards import LoadBoard
from fuchsiacart.load_boards import ServerIndex
from fuchsiacart.logs import log_event
from fuchsiacart.messages import SuspectReport
from fuchsiacart.quarantine import MAX_SUSPECTS_IN_MESSAGE
from fuchsiacart.quarantine import must_be_refused
from fuchsiacart.quarantine import Quarantine

DETECTION_INTERVAL_MS = 250.0


class GatewayReports:
    """Merges the gateways' reports on requests and backend servers.

    :param settings: the settings of the process.
    """

    def __init__(self, settings):
        self.departures = DepartureReports()
        self._comparison = PeerComparison()
        self._detected_ms = 0.0
        self._quarantine = Quarantine(settings.entry.quarantine_ms)
        self._regions = settings.routes.regions if settings.routes else {}
        self._board = LoadBoard()
        self._indexes = {}
        self._indexed_revision = 0
        self._newest_suspects = None
        self._answered_ms = {}
        self._lease_ms = settings.entry.lease_ms
        self._accounts = AccountTable(())
        self._accounts_version = 0
        self._ledger = _make_ledger(settings)

    def add_report(self, request, now_ms):
        """Merge the departures, evidence, suspects and counts of one gateway.

        :param request: its :class:`KeepAliveRequest`.
        :param now_ms: current time, in milliseconds of a steady clock.
        """
        self.departures.add(request.leaving)
        self._comparison.add_evidence(request.evidence, now_ms)
        self._add_suspects(request.suspects)
        self._board.record(request.host.name, request.counts, now_ms)

    def suspect_report(self):
        """Return the :class:`SuspectReport` for all gateways.

        It names the newest, those that all gateways refuse before others, and
        the answers of the last ``lease_ms``.
        """
        now_ms = wall_ms()
        if self._newest_suspects is None:
            suspects = sorted(
                self._quarantine.suspects(now_ms), key=must_be_refused
            )
            self._newest_suspects = suspects[-MAX_SUSPECTS_IN_MESSAGE:]
        return SuspectReport(
            tuple(
                each
                for each in self._newest_suspects
                if each.until_ms > now_ms
            ),
            self._newest_answers(),
        )

    def _add_suspects(self, report):
        if not report.lost and not report.answered:
            return
        self._quarantine.merge(report.lost, wall_ms())
        for suspect in report.lost:
            self._answered_ms.pop(suspect.digest, None)
        for digest in report.answered:
            if not self._quarantine.is_proved(digest, wall_ms()):
                self._quarantine.clear(digest)
                self._answered_ms[digest] = steady_ms()
        self._newest_suspects = None

    def _newest_answers(self):
        since_ms = steady_ms() - self._lease_ms
        self._answered_ms = {
            digest: answered_ms
            for digest, answered_ms in self._answered_ms.items()
            if answered_ms > since_ms
        }
        return tuple(self._answered_ms)[-MAX_SUSPECTS_IN_MESSAGE:]

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

    def grant_quotas(self, request, stored, now_ms):
        """Grant a gateway tokens of the accounts that it reports.

        :param request: its :class:`KeepAliveRequest`.
        :param stored: the replicated state, with the configuration.
        :param now_ms: current time, in milliseconds of a steady clock.
        :return: a tuple of :class:`QuotaGrant`.
        """
        if self._ledger is None:
            return ()
        configuration = stored.routes.configuration
        if self._accounts_version != configuration.version:
            self._accounts_version = configuration.version
            self._accounts = AccountTable(configuration.accounts)
        if not self._accounts:
            return ()
        self._ledger.record_gateways(stored.hosts.keys())
        return self._ledger.grant(
            request.host, request.quotas, self._accounts, now_ms
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


def _make_ledger(settings):
    """Return the :class:`QuotaLedger`, None without routes."""
    routes = settings.routes
    if routes is None:
        return None
    terms = QuotaTerms(
        routes.quota_window_s, routes.quota_over, routes.quota_slack
    )
    return QuotaLedger(terms, settings.entry.lease_ms, steady_ms())
