"""Measures the replicated log with the users' distances put in.

It prints the time to commit a claim from each region, the time until a
change of a contract is in force everywhere, the gap when the leader is
killed, the time in which a replica catches up, and the bytes of a change.

Usage:
  commits [--user=USER] [--count=N] [--seed=N]

Options:
  --user=USER  golau-beic, halvorsen or all [default: all].
  --count=N    Claims to commit from each region [default: 30].
  --seed=N     Seed of all choices [default: 1].
"""

from asyncio import gather
from asyncio import run
from time import monotonic
from tomllib import loads

from docopt import docopt
from hdrh.histogram import HdrHistogram
from uuid6 import uuid7

from fuchsiacart.adapters import GrpcAdapter
from fuchsiacart.client.reports import format_table
from fuchsiacart.clocks import wall_ms
from fuchsiacart.control.commands import Claim
from fuchsiacart.control_clients import ControlClient
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.models import HostId
from standins.bench import DISTANCES_MS
from standins.delayed import DelayedAdapter
from standins.delayed import Distances
from standins.fleet import DEPLOY_FOLDER
from standins.fleet import Fleet
from standins.fleet import FleetSpec
from standins.fleet import stop_on_sigterm
from tools.deploy import EXAMPLE_TOKENS

PATIENCE_S = 10.0
LONGEST_US = 60_000_000
CHANGES = 20
WAVE = 200
MISSED = (200, 1000, 5000)
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
    control = ControlClient(adapter, fleet.control_addresses())
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


def change_contracts(fleet, count):
    """Change a contract some times.

    :return: milliseconds until each change was in force everywhere.
    """
    path = sorted((DEPLOY_FOLDER / fleet.shape.user).glob('contracts/*.toml'))[
        0
    ]
    contract = loads(path.read_text())
    customer = contract['customer']
    with fleet.operator_session() as session:
        for version in range(1, count + 1):
            session.put_contract(contract, version)

        def all_in_force():
            return session.list_audit(customer)[-1]['in_force_ms'] > 0

        fleet.wait_until(all_in_force)
        entries = session.list_audit(customer)[-count:]
    return sorted(
        entry['in_force_ms'] - entry['accepted_ms'] for entry in entries
    )


def log_bytes(fleet, name):
    """Return the size of a control host's log."""
    folder = fleet.data_folder(name)
    return sum(path.stat().st_size for path in folder.glob('log-*'))


def leader_gap_s(fleet):
    """Kill the leader and return the seconds until a new one answers."""
    old = fleet.leader()
    fleet.kill(old)
    started_s = monotonic()
    fleet.wait_until(lambda: fleet.leader() != old)
    gap_s = monotonic() - started_s
    fleet.restart(old)
    return gap_s


async def commit_many(fleet, leader, count):
    """Commit claims from the leader's region, ``WAVE`` at a time."""
    adapter = GrpcAdapter(EXAMPLE_TOKENS['peer'])
    control = ControlClient(adapter, [fleet.control_address(leader)])
    for _ in range(0, count, WAVE):
        keys = [str(uuid7()) for _ in range(WAVE)]
        claims = [
            Claim('shop', key, 1, '', HostId('bench'), key, wall_ms())
            for key in keys
        ]
        await gather(*(control.commit(claim, PATIENCE_S) for claim in claims))
    await adapter.close()


def catch_up_s(fleet, count):
    """Return the seconds in which a follower catches up.

    :param count: entries that it missed.
    """
    leader = fleet.leader()
    late = next(name for name in fleet.control_names if name != leader)
    fleet.kill(late)
    run(commit_many(fleet, leader, count))
    host = fleet.http_address(leader)
    with fleet.operator_session() as session:
        wanted = session.get_group(host)['commit_index']

    def caught_up():
        try:
            host = fleet.http_address(late)
            with fleet.operator_session() as session:
                return session.get_group(host)['commit_index'] >= wanted
        except FuchsiacartError:
            return False

    (fleet.folder / f'{late}.ports').unlink()
    fleet.restart(late)
    ports = fleet.folder / f'{late}.ports'
    fleet.wait_until(ports.exists)
    started_s = monotonic()
    fleet.wait_until(caught_up)
    return monotonic() - started_s


def measure(user, count, seed):
    """Print the figures of one user."""
    shape = FleetSpec(
        user, entry=6, distances_ms=DISTANCES_MS[user], seed=seed
    )
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
        before = log_bytes(fleet, leader)
        times_ms = change_contracts(fleet, CHANGES)
        grown = log_bytes(fleet, leader) - before
        print(
            f'{user}: {CHANGES} changes in force on 6 entry hosts: median'
            f' {times_ms[CHANGES // 2]} ms, worst {times_ms[-1]} ms;'
            f' {grown // CHANGES} bytes of disk a change'
        )
        for missed in MISSED:
            print(
                f'{user}: {missed} entries missed, caught up in'
                f' {catch_up_s(fleet, missed):.2f} s'
            )
        print(
            f'{user}: a new leader answers operators'
            f' {leader_gap_s(fleet):.2f} s after the old one was killed',
            flush=True,
        )


def main():
    """Measure the users asked for."""
    stop_on_sigterm()
    options = docopt(__doc__)
    for user in DISTANCES_MS:
        if options['--user'] in ('all', user):
            measure(user, int(options['--count']), int(options['--seed']))


if __name__ == '__main__':
    main()
