"""Measures the costs of real processes of a small deployment."""

from asyncio import gather
from asyncio import run
from os import sysconf
from pathlib import Path
from time import sleep

from msgspec import Struct
from tornado.httpclient import AsyncHTTPClient

from standins.fleet import Fleet
from standins.fleet_specs import FleetSpec

IDLE_SPAN_S = 5.0
LOOKUP_COUNT = 4000
CONCURRENT_LOOKUPS = 20


class ProcessCosts(Struct, frozen=True):
    """Costs of an entry host and of the leading control host.

    Idle costs are fractions of a core; ``lookup_s`` is the processor time of
    one look-up.
    """

    entry_bytes: int
    control_bytes: int
    entry_idle_cores: float
    leader_idle_cores: float
    lookup_s: float
    lookups: int


def read_processor_s(process):
    """Return the processor time that a process has used, in seconds."""
    stat = Path(f'/proc/{process.process_id}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / sysconf('SC_CLK_TCK')


def read_resident_bytes(process):
    """Return the resident memory of a process."""
    statm = Path(f'/proc/{process.process_id}/statm').read_text()
    return int(statm.split()[1]) * sysconf('SC_PAGE_SIZE')


async def send_lookups(address, count):
    """Send look-ups to one entry host, several concurrently."""
    client = AsyncHTTPClient(
        force_instance=True, max_clients=CONCURRENT_LOOKUPS
    )
    url = f'http://{address}/v1/lookup?service=orders&client=10.20.200.'
    replies = await gather(
        *(client.fetch(f'{url}{number % 250}') for number in range(count))
    )
    assert all(reply.code == 200 for reply in replies)


def measure_process_costs():
    """Start a small deployment and return its :class:`ProcessCosts`."""
    with Fleet(FleetSpec('golau-beic', entry=3)) as fleet:
        entry = fleet.processes['entry-1']
        leader = fleet.processes[fleet.leader()]
        idle_start_s = read_processor_s(entry), read_processor_s(leader)
        sleep(IDLE_SPAN_S)
        idle_end_s = read_processor_s(entry), read_processor_s(leader)
        idle_cores = [
            (new - old) / IDLE_SPAN_S
            for old, new in zip(idle_start_s, idle_end_s)
        ]
        processor_s_used = read_processor_s(entry)
        run(send_lookups(fleet.http_address('entry-1'), LOOKUP_COUNT))
        processor_s_used = read_processor_s(entry) - processor_s_used
        return ProcessCosts(
            read_resident_bytes(entry),
            read_resident_bytes(leader),
            idle_cores[0],
            idle_cores[1],
            processor_s_used / LOOKUP_COUNT,
            LOOKUP_COUNT,
        )
