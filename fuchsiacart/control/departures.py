"""Servers of which gateways report that they leave."""

from asyncio import gather

from msgspec.structs import replace

from fuchsiacart.clocks import wall_ms
from fuchsiacart.control.commands import RecordServer
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.logs import log_event
from fuchsiacart.servers import LAST_SEQUENCE
from fuchsiacart.servers import ServerState

# Reports that the leader keeps until it has proposed their change.
REPORT_LIMIT = 4096


class DepartureReports:
    """Collects the reports of all gateways until they are in the log.

    Performs no I/O.  Many gateways report the same departure; it is one
    change.  A gateway reports again until its view has the change, so what is
    dropped here is not lost.
    """

    def __init__(self):
        self._starts = {}

    def add(self, starts):
        """Record what a gateway reports.

        :param starts: each :class:`ServerStart` that leaves.
        """
        for start in starts:
            if len(self._starts) < REPORT_LIMIT:
                self._starts[start] = None

    def take_records(self, records):
        """Return the records to store, and forget the reports.

        The record of a departure comes after all calls of that start, so that
        none undoes it, not even after the server is removed for its silence.

        :param records: each registered :class:`ServerRecord`, by name.
        :return: a list of :class:`ServerRecord`.
        """
        starts, self._starts = self._starts, {}
        known = (records.get(start.name) for start in starts)
        return [
            replace(
                record,
                state=ServerState.DRAINING,
                sequence=LAST_SEQUENCE,
            )
            for record in known
            if record is not None
            and record.start in starts
            and record.state is ServerState.READY
        ]


async def record_departures(replica, reports):
    """Store the records of the servers that are reported to leave.

    What is not committed is reported again by the gateways.

    :param replica: the :class:`ReplicaTask` of the leader.
    :param reports: the :class:`DepartureReports`.
    """
    records = reports.take_records(_servers(replica))
    await gather(*(_record_departure(replica, record) for record in records))


async def _record_departure(replica, record):
    try:
        await replica.propose(RecordServer(record, wall_ms()))
    except ChangeError as error:
        log_event(
            'server_departure_not_recorded',
            server=record.name,
            born_ms=record.born_ms,
            detail=error.detail,
        )
        return
    if _servers(replica).get(record.name) == record:
        log_event(
            'server_departure_recorded',
            server=record.name,
            born_ms=record.born_ms,
        )


def _servers(replica):
    return replica.replicated_state.stored.routes.servers
