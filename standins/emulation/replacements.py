"""Replaces emulated servers, one after the other, as an update does."""

from msgspec.structs import replace

from fuchsiacart.control.departures import DepartureReports
from fuchsiacart.servers import ServerState
from standins.emulation.deployments import MILLISECONDS

# From a change of the servers to the view that gateways get of it.
ANNOUNCEMENT_MS = 200.0


class ServerReplacements:
    """Ends servers and starts them anew.

    Keeps the records of the leader: servers that leave never say so to it, so
    it learns that from gateways.

    :param emulator: the :class:`Emulator`.
    :param servers: each :class:`EmulatedServer`, by name.
    :param records: each :class:`ServerRecord`, by name.
    """

    def __init__(self, emulator, servers, records):
        self._emulator = emulator
        self._servers = servers
        self._records = records
        self._reports = DepartureReports()
        self._is_announcing = False
        self.changes = 0

    def schedule(self, replacement):
        """Schedule the replacement of a part of the servers.

        :param replacement: the :class:`Replacement`.
        """
        names = choose_servers(self._emulator.plan, replacement.share)
        span_s = replacement.end_s - replacement.start_s
        for index, name in enumerate(names):
            at_s = replacement.start_s + span_s * index / len(names)
            self._emulator.after(
                at_s * MILLISECONDS,
                lambda name=name: self._leave(name, replacement),
            )

    def take_report(self, starts):
        """Take the servers that leave from the report of a gateway.

        :param starts: each :class:`ServerStart`.
        """
        self._reports.add(starts)
        for record in self._reports.take_records(self._records):
            self._records[record.name] = record
            self.changes += 1
            self._announce()

    def _leave(self, name, replacement):
        self._servers[name].is_leaving = True
        self._emulator.after(
            replacement.serves_s * MILLISECONDS,
            lambda: self._end(name, replacement),
        )

    def _end(self, name, replacement):
        record = self._records.pop(name)
        self._servers[name].end()
        self._announce()
        self._emulator.after(
            replacement.absent_s * MILLISECONDS,
            lambda: self._start_anew(name, record),
        )

    def _start_anew(self, name, record):
        self._emulator.add_server(
            replace(
                record,
                born_ms=int(self._emulator.now_ms),
                sequence=1,
                state=ServerState.READY,
            )
        )
        self._announce()

    def _announce(self):
        """Send a view to all gateways, with what changes until then."""
        if self._is_announcing:
            return
        self._is_announcing = True
        self._emulator.after(ANNOUNCEMENT_MS, self._apply)

    def _apply(self):
        self._is_announcing = False
        self._emulator.apply_view()


def choose_servers(plan, share):
    """Return the names of a share of the servers, the regions in turn.

    :param plan: the :class:`Deployment`.
    :param share: share of the servers of each region.
    """
    names = [
        (index, region.name)
        for region in plan.regions
        for index in range(round(share * region.servers))
    ]
    return [f'{region}-{index}' for index, region in sorted(names)]
