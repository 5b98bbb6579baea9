"""What the leader sees of hosts, regions and drains at one moment."""

from msgspec import Struct

from fuchsiacart.clocks import steady_ms
from fuchsiacart.clocks import wall_ms
from fuchsiacart.control.statuses import HostStatus
from fuchsiacart.control.statuses import in_flight_under
from fuchsiacart.control.statuses import queued
from fuchsiacart.control.statuses import RegionStatus
from fuchsiacart.control.statuses import total
from fuchsiacart.control.steering import RegionLoad
from fuchsiacart.drains import covers_host
from fuchsiacart.drains import covers_region
from fuchsiacart.drains import DrainProgress
from fuchsiacart.messages import KeepAliveRequest
from fuchsiacart.models import HostState

REPORT_STALE_MS = 2000


class Report(Struct):
    """The last keep-alive of a host and when it came."""

    request: KeepAliveRequest
    received_ms: float


class Overview:
    """The replicated state beside what hosts have reported.

    :param stored: the :class:`StoredState`.
    :param reports: the last :class:`Report` by host.
    :param sessions: leases of the hosts.
    :param drained_ms: how long each finished drain took; it is added to.
    """

    def __init__(self, stored, reports, sessions, drained_ms):
        self._stored = stored
        self._reports = reports
        self._sessions = sessions
        self._drained_ms = drained_ms

    def region_loads(self):
        """Return the load of each region."""
        stored = self._stored
        now_ms = steady_ms()
        loads = []
        for region in self._regions():
            hosts = [
                host
                for host in stored.hosts.values()
                if host.region == region
                and host.state is HostState.LIVE
                and not covers_host(stored.drains, host)
            ]
            reports = [
                self._reports[host.name]
                for host in hosts
                if host.name in self._reports
            ]
            fresh = [
                report
                for report in reports
                if now_ms - report.received_ms < REPORT_STALE_MS
            ]
            loads.append(
                RegionLoad(
                    region,
                    total(fresh, 'slots'),
                    total(fresh, 'in_flight') + queued(fresh),
                    len(fresh) == len(hosts),
                    bool(hosts) and not covers_region(stored.drains, region),
                )
            )
        return loads

    def region_status(self, load):
        """Return a region at a glance, by its load."""
        stored = self._stored
        names = [
            host.name
            for host in stored.hosts.values()
            if host.region == load.region
        ]
        reports = [
            self._reports[name] for name in names if name in self._reports
        ]
        waiting = queued(reports)
        return RegionStatus(
            load.region, len(names), load.slots, load.busy - waiting, waiting
        )

    def host_status(self, session):
        """Return a host at a glance, by its lease."""
        report = self._reports.get(session.host.name)
        return HostStatus(
            session.host.name,
            session.host.region,
            session.host.failure_domain,
            session.host.state,
            session.revision,
            max(0, int(session.expires_ms - steady_ms())),
            report.request.in_flight if report else 0,
            session.host.http_address,
        )

    def drain_progress(self, drain):
        """Return how far a drain has come."""
        stored = self._stored
        needed = max(
            (
                entry.outcome.revision
                for entry in stored.audit
                if entry.what == 'drain_start'
                and entry.subject == f'{drain.scope.value}/{drain.name}'
            ),
            default=0,
        )
        sessions = self._sessions
        informed = [each for each in sessions if each.revision >= needed]
        reports = [report.request for report in self._reports.values()]
        in_flight = sum(in_flight_under(drain, report) for report in reports)
        key = (drain.scope, drain.name, drain.started_ms)
        if len(informed) == len(sessions) and in_flight == 0:
            self._drained_ms.setdefault(key, wall_ms() - drain.started_ms)
        return DrainProgress(
            drain.scope,
            drain.name,
            drain.started_ms,
            len(sessions),
            len(informed),
            in_flight,
            self._drained_ms.get(key, 0),
        )

    def _regions(self):
        stored = self._stored
        regions = {row.home for row in stored.weights}
        regions |= {host.region for host in stored.hosts.values()}
        return sorted(regions)
