"""Status of hosts, regions and drains, built from state and reports."""

from msgspec import Struct

from fuchsiacart.clocks import steady_ms
from fuchsiacart.clocks import wall_ms
from fuchsiacart.control.statuses import drain_in_flight
from fuchsiacart.control.statuses import HostStatus
from fuchsiacart.control.statuses import RegionStatus
from fuchsiacart.control.statuses import sum_loads
from fuchsiacart.control.statuses import sum_queued
from fuchsiacart.control.steering import RegionLoad
from fuchsiacart.drains import covers_host
from fuchsiacart.drains import covers_region
from fuchsiacart.drains import DrainProgress
from fuchsiacart.messages import KeepAliveRequest
from fuchsiacart.models import HostState

REPORT_STALE_MS = 2000


class HostReport(Struct):
    """The latest keep-alive request of a host and when it arrived."""

    request: KeepAliveRequest
    received_ms: float


class StatusBuilder:
    """Combines the replicated state with the reports of the hosts.

    :param stored: the :class:`StoredState`.
    :param reports: the latest :class:`HostReport` of each host, by name.
    :param sessions: the :class:`Session` of each host's lease.
    :param drained_ms: milliseconds that each finished drain took; finished
        drains are added.
    """

    def __init__(self, stored, reports, sessions, drained_ms):
        self._stored = stored
        self._reports = reports
        self._sessions = sessions
        self._drained_ms = drained_ms

    def region_loads(self):
        """Return the :class:`RegionLoad` of each region."""
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
            fresh_reports = [
                report
                for report in reports
                if now_ms - report.received_ms < REPORT_STALE_MS
            ]
            loads.append(
                RegionLoad(
                    region,
                    sum_loads(fresh_reports, 'slots'),
                    sum_loads(fresh_reports, 'in_flight')
                    + sum_queued(fresh_reports),
                    len(fresh_reports) == len(hosts),
                    bool(hosts) and not covers_region(stored.drains, region),
                )
            )
        return loads

    def region_status(self, load):
        """Return the :class:`RegionStatus` for a :class:`RegionLoad`."""
        stored = self._stored
        names = [
            host.name
            for host in stored.hosts.values()
            if host.region == load.region
        ]
        reports = [
            self._reports[name] for name in names if name in self._reports
        ]
        queued = sum_queued(reports)
        return RegionStatus(
            load.region, len(names), load.slots, load.busy - queued, queued
        )

    def host_status(self, session):
        """Return the :class:`HostStatus` for a :class:`Session`."""
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
        """Return the :class:`DrainProgress` of a drain.

        A drain is finished once all hosts have its revision and nothing
        that it covers has requests in flight.
        """
        stored = self._stored
        drain_revision = max(
            (
                entry.outcome.revision
                for entry in stored.audit
                if entry.what == 'drain_start'
                and entry.subject == f'{drain.scope.value}/{drain.name}'
            ),
            default=0,
        )
        sessions = self._sessions
        informed = [
            each for each in sessions if each.revision >= drain_revision
        ]
        requests = [report.request for report in self._reports.values()]
        in_flight = sum(drain_in_flight(drain, each) for each in requests)
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
