"""Measures the replicated log with the users' distances put in.

Usage:
  commits [--user=USER] [--count=N] [--seed=N]

Options:
  --user=USER  golau-beic, halvorsen or all [default: all].
  --count=N    Claims to commit from each region [default: 30].
  --seed=N     Seed of all choices [default: 1].
"""

from asyncio import run
from time import monotonic

from docopt import docopt
from hdrh.histogram import HdrHistogram
from uuid6 import uuid7

from fuchsiacart.adapters import GrpcAdapter
from fuchsiacart.clocks import wall_ms
from fuchsiacart.commands import Claim
from fuchsiacart.controllers import ControlGroup
from fuchsiacart.models import HostId
from fuchsiacart.reports import format_table
from standins.bench import DISTANCES_MS
from standins.delayed import DelayedAdapter
from standins.delayed import Distances
from standins.fleet import Fleet
from standins.fleet import Shape
from standins.fleet import stop_on_sigterm
from tools.deploy import EXAMPLE_TOKENS

PATIENCE_S = 10.0
LONGEST_US = 60_000_000
MICROSECONDS = 1_000_000


async def commit_claims(fleet, region, leader, count):
    """Commit claims one after the other from a region.

    :return: histogram of microseconds.
    """
    distances = Distances(*fleet.shape.distances_ms)
    here = {'region': region, 'failure_domain': f'{region}-a'}
    adapter = DelayedAdapter(
        GrpcAdapter(EXAMPLE_TOKENS['peer']), here, distances, fleet.folder
    )
    control = ControlGroup(adapter, fleet.control_addresses())
    control.prefer(fleet.control_address(leader))
    times = HdrHistogram(1, LONGEST_US, 3)
    for _ in range(count):
        key = str(uuid7())
        claim = Claim('shop', key, 1, '', HostId('bench'), key, wall_ms())
        started_s = monotonic()
        outcome = await control.commit(claim, PATIENCE_S)
        assert outcome.granted
        times.record_value(int((monotonic() - started_s) * MICROSECONDS))
    await adapter.close()
    return times


def measure(user, count, seed):
    """Print the commit latency of one user from each region."""
    shape = Shape(user, entry=3, distances_ms=DISTANCES_MS[user], seed=seed)
    with Fleet(shape) as fleet:
        leader = fleet.leader()
        rows = []
        for region in fleet.regions:
            times = run(commit_claims(fleet, region, leader, count))
            rows.append(
                [
                    user,
                    region,
                    fleet.region_of(leader),
                    count,
                    times.get_value_at_percentile(50) / 1000,
                    times.get_value_at_percentile(99) / 1000,
                ]
            )
    heads = ('user', 'from', 'leader in', 'claims', 'p50 ms', 'p99 ms')
    print(format_table(heads, rows), flush=True)


def main():
    """Measure the users asked for."""
    stop_on_sigterm()
    options = docopt(__doc__)
    for user in DISTANCES_MS:
        if options['--user'] in ('all', user):
            measure(user, int(options['--count']), int(options['--seed']))


if __name__ == '__main__':
    main()
