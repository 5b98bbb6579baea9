"""Measures the replicated log under the latencies between users' sites.

Prints the time to commit a claim from each region, the time until a change of
a contract is in force on all hosts, the time until a new leader answers after
the old one was killed, the time in which a replica catches up and the bytes of
a change.

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
from standins.bench import ONE_WAY_DELAYS_MS
from standins.delayed import DelayedAdapter
from standins.delayed import OneWayDelays
from standins.fleet import DEPLOY_FOLDER
from standins.fleet import Fleet
from standins.fleet import stop_on_sigterm
from standins.fleet_specs import FleetSpec
from tools.deploy import EXAMPLE_TOKENS

COMMIT_TIMEOUT_S = 10.0
MAX_LATENCY_US = 60_000_000
CHANGE_COUNT = 20
CONCURRENT_CLAIMS = 200
MISSED_ENTRY_COUNTS = (200, 1000, 5000)
MICROSECONDS_PER_S = 1_000_000


async def commit_claims(fleet, region, leader, count):
    """Commit claims from a region, one at a time.

    :param region: region whose latency to the control hosts is simulated.
    :param leader: name of the leading control host, which is asked first.
    :param count: number of claims.
    :return: histogram of the commit latencies, in microseconds.
    """
    delays = OneWayDelays(*fleet.spec.one_way_delays_ms)
    local_host = {'region': region, 'failure_domain': f'{region}-a'}
    adapter = DelayedAdapter(
        GrpcAdapter(EXAMPLE_TOKENS['peer']), local_host, delays, fleet.folder
    )
    control = ControlClient(adapter, fleet.control_addresses())
    control.prefer(fleet.control_address(leader))
    latencies = HdrHistogram(1, MAX_LATENCY_US, 3)
    for _ in range(count):
        key = str(uuid7())
        claim = Claim('shop', key, 1, '', HostId('bench'), key, wall_ms())
        started_s = monotonic()
        outcome = await control.commit(claim, COMMIT_TIMEOUT_S)
        assert outcome.granted
        latencies.record_value(
            int((monotonic() - started_s) * MICROSECONDS_PER_S)
        )
    await adapter.close()
    return latencies


def change_contracts(fleet, count):
    """Change a contract several times.

    :param count: number of changes.
    :return: sorted times in ms until each change was in force on all hosts.
    """
    path = sorted((DEPLOY_FOLDER / fleet.spec.user).glob('contracts/*.toml'))[
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
    """Return the size of a control host's log files in bytes."""
    folder = fleet.data_folder(name)
    return sum(path.stat().st_size for path in folder.glob('log-*'))


def measure_failover_s(fleet):
    """Kill the leader and return the seconds until a new one answers.

    The killed control host is restarted.
    """
    old = fleet.leader()
    fleet.kill(old)
    started_s = monotonic()
    fleet.wait_until(lambda: fleet.leader() != old)
    failover_s = monotonic() - started_s
    fleet.restart(old)
    return failover_s


async def commit_many(fleet, leader, count):
    """Commit claims from the leader's region, in concurrent batches.

    :param count: number of claims, a multiple of ``CONCURRENT_CLAIMS``.
    """
    adapter = GrpcAdapter(EXAMPLE_TOKENS['peer'])
    control = ControlClient(adapter, [fleet.control_address(leader)])
    for _ in range(0, count, CONCURRENT_CLAIMS):
        keys = [str(uuid7()) for _ in range(CONCURRENT_CLAIMS)]
        claims = [
            Claim('shop', key, 1, '', HostId('bench'), key, wall_ms())
            for key in keys
        ]
        await gather(
            *(control.commit(claim, COMMIT_TIMEOUT_S) for claim in claims)
        )
    await adapter.close()


def measure_catch_up_s(fleet, count):
    """Return the seconds in which a restarted follower catches up.

    :param count: number of entries that are committed while it is down.
    """
    leader = fleet.leader()
    follower = next(name for name in fleet.control_names if name != leader)
    fleet.kill(follower)
    run(commit_many(fleet, leader, count))
    host = fleet.http_address(leader)
    with fleet.operator_session() as session:
        target_index = session.get_group(host)['commit_index']

    def caught_up():
        try:
            host = fleet.http_address(follower)
            with fleet.operator_session() as session:
                return session.get_group(host)['commit_index'] >= target_index
        except FuchsiacartError:
            return False

    (fleet.folder / f'{follower}.ports').unlink()
    fleet.restart(follower)
    ports = fleet.folder / f'{follower}.ports'
    fleet.wait_until(ports.exists)
    started_s = monotonic()
    fleet.wait_until(caught_up)
    return monotonic() - started_s


def measure(user, count, seed):
    """Measure the deployment of one user and print the results."""
    spec = FleetSpec(
        user, entry=6, one_way_delays_ms=ONE_WAY_DELAYS_MS[user], seed=seed
    )
    with Fleet(spec) as fleet:
        leader = fleet.leader()
        rows = []
        for region in fleet.regions:
            latencies = run(commit_claims(fleet, region, leader, count))
            rows.append(
                [
                    user,
                    region,
                    fleet.region_of(leader),
                    count,
                    latencies.get_value_at_percentile(50) / 1000,
                    latencies.get_value_at_percentile(99) / 1000,
                ]
            )
        headings = ('user', 'from', 'leader in', 'claims', 'p50 ms', 'p99 ms')
        print(format_table(headings, rows), flush=True)
        bytes_before = log_bytes(fleet, leader)
        times_ms = change_contracts(fleet, CHANGE_COUNT)
        growth_bytes = log_bytes(fleet, leader) - bytes_before
        print(
            f'{user}: {CHANGE_COUNT} changes in force on 6 entry hosts: median'
            f' {times_ms[CHANGE_COUNT // 2]} ms, worst {times_ms[-1]} ms;'
            f' {growth_bytes // CHANGE_COUNT} bytes of disk a change'
        )
        for missed in MISSED_ENTRY_COUNTS:
            print(
                f'{user}: {missed} entries missed, caught up in'
                f' {measure_catch_up_s(fleet, missed):.2f} s'
            )
        print(
            f'{user}: a new leader answers operators'
            f' {measure_failover_s(fleet):.2f} s after the old one was killed',
            flush=True,
        )


def main():
    """Measure the users that the options select."""
    stop_on_sigterm()
    options = docopt(__doc__)
    for user in ONE_WAY_DELAYS_MS:
        if options['--user'] in ('all', user):
            measure(user, int(options['--count']), int(options['--seed']))


if __name__ == '__main__':
    main()
