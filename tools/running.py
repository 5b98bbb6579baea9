"""Costs of real processes of a small deployment."""

from asyncio import gather
from asyncio import run
from os import sysconf
from pathlib import Path
from time import sleep

from msgspec import Struct
from tornado.httpclient import AsyncHTTPClient

from standins.fleet import Fleet
from standins.fleet import FleetSpec

IDLE_S = 5.0
LOOKUPS = 4000
LOOKUP_CLIENTS = 20


class Running(Struct, frozen=True):
    """Costs of real processes of a small deployment.

    Processor time is in parts of a core, memory in bytes.
    """

    entry_memory: int
    control_memory: int
    entry_idle: float
    leader_idle: float
    lookup_s: float
    lookups: int


def processor_s(process):
    """Return the processor seconds that a process has used."""
    stat = Path(f'/proc/{process.process_id}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / sysconf('SC_CLK_TCK')


def resident_bytes(process):
    """Return the memory that a process holds."""
    statm = Path(f'/proc/{process.process_id}/statm').read_text()
    return int(statm.split()[1]) * sysconf('SC_PAGE_SIZE')


async def send_lookups(address, count):
    """Send look-ups to one entry host, some at a time."""
    client = AsyncHTTPClient(force_instance=True, max_clients=LOOKUP_CLIENTS)
    url = f'http://{address}/v1/lookup?service=orders&client=10.20.200.'
    replies = await gather(
        *(client.fetch(f'{url}{number % 250}') for number in range(count))
    )
    assert all(reply.code == 200 for reply in replies)


def measure_running():
    """Measure a small deployment of real processes."""
    with Fleet(FleetSpec('golau-beic', entry=3)) as fleet:
        entry = fleet.processes['entry-1']
        leader = fleet.processes[fleet.leader()]
        before = processor_s(entry), processor_s(leader)
        sleep(IDLE_S)
        after = processor_s(entry), processor_s(leader)
        idle = [(new - old) / IDLE_S for old, new in zip(before, after)]
        busy_s = processor_s(entry)
        run(send_lookups(fleet.http_address('entry-1'), LOOKUPS))
        busy_s = processor_s(entry) - busy_s
        return Running(
            resident_bytes(entry),
            resident_bytes(leader),
            idle[0],
            idle[1],
            busy_s / LOOKUPS,
            LOOKUPS,
        )
