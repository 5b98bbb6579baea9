"""What the leader makes of the reports of all gateways.

It is kept in memory and starts anew with each leader.
"""

from fuchsiacart.clocks import wall_ms
from fuchsiacart.control.comparisons import PeerComparison
from fuchsiacart.logs import log_event
from fuchsiacart.quarantine import Quarantine

JUDGE_INTERVAL_MS = 250.0
# Suspects in one reply; the newest matter most.
SUSPECT_LIMIT = 16


class GatewayAdvice:
    """Joins what gateways saw of requests and of backend servers.

    :param settings: the settings of the process.
    """

    def __init__(self, settings):
        self._comparison = PeerComparison()
        self._judged_ms = 0.0
        self._quarantine = Quarantine(settings.entry.quarantine_ms)

    def take(self, request, now_ms):
        """Take in a renewal of a lease.

        :param request: the :class:`KeepAliveRequest`.
        :param now_ms: the present.
        """
        self._comparison.add_evidence(request.evidence, now_ms)
        self._quarantine.merge(request.suspects, wall_ms())

    def suspects(self):
        """Return the requests that all gateways refuse."""
        return self._quarantine.quarantined(wall_ms())[-SUSPECT_LIMIT:]

    def judge(self, servers, now_ms):
        """Compare backend servers with their peers, now and then.

        :param servers: the registered servers by name.
        :param now_ms: the present.
        """
        if now_ms - self._judged_ms < JUDGE_INTERVAL_MS:
            return
        self._judged_ms = now_ms
        self._comparison.retain(servers)
        for verdict in self._comparison.detect_outliers(now_ms):
            log_event(
                'server_judged', server=verdict.name, reason=verdict.reason
            )
