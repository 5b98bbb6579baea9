"""Runs a loopback deployment with load in three ranks and kills two processes.

Usage:
  demo [--user=USER] [--seconds=S] [--seed=N]

Options:
  --user=USER    golau-beic or halvorsen [default: golau-beic].
  --seconds=S    How long callers send [default: 12].
  --seed=N       Seed of all choices [default: 1].
"""

from asyncio import create_task
from asyncio import run
from asyncio import sleep
from asyncio import to_thread
from pathlib import Path
from subprocess import run as run_process
from sys import executable
from sys import exit as sys_exit
from tempfile import TemporaryDirectory

from docopt import docopt

from fuchsiacart.client.reports import format_table
from standins.caller import build_latency_histogram
from standins.caller import Load
from standins.caller import RequestOutcome
from standins.fleet import DEPLOY_FOLDER
from standins.fleet import Fleet
from standins.fleet import stop_on_sigterm
from standins.fleet_specs import FleetSpec
from standins.invariants import check_invariants
from standins.workloads import WORKLOADS
from tools.deploy import EXAMPLE_TOKENS

RATES_PER_S = {'urgent': 20, 'interactive': 60, 'background': 10}
KILLED_ENTRY_HOST = 'entry-4'


def put_contract_with_cli(fleet, customer):
    """Change a contract with the command line of operators."""
    hosts = [fleet.http_address(name) for name in fleet.control_names]
    source_path = (
        DEPLOY_FOLDER / fleet.spec.user / 'contracts' / f'{customer}.toml'
    )
    with TemporaryDirectory() as folder:
        path = Path(folder) / 'contract.toml'
        path.write_text(source_path.read_text().replace('= 400\n', '= 500\n'))
        run_process(
            [
                executable,
                '-m',
                'fuchsiacart.cli',
                f'--control={",".join(hosts)}',
                f'--token={EXAMPLE_TOKENS["operator"]}',
                'contract',
                'put',
                str(path),
            ],
            check=True,
        )


def result_rows(results, ranks):
    """Return the rows of the result table, one for each rank."""
    rows = []
    for rank in ranks:
        rank_results = [each for each in results if each.template.rank == rank]
        outcomes = [each.outcome for each in rank_results]
        latencies = build_latency_histogram(rank_results)
        reasons = sorted(
            {
                each.reason
                for each in rank_results
                if each.outcome is RequestOutcome.REFUSED
            }
        )
        rows.append(
            [
                rank,
                len(rank_results),
                outcomes.count(RequestOutcome.ANSWERED),
                outcomes.count(RequestOutcome.REFUSED),
                ','.join(reasons) or '-',
                outcomes.count(RequestOutcome.UNKNOWN),
                latencies.get_value_at_percentile(50),
                latencies.get_value_at_percentile(99),
            ]
        )
    return rows


RESULT_HEADINGS = (
    'rank',
    'sent',
    'answered',
    'refused',
    'reasons',
    'unknown',
    'p50 ms',
    'p99 ms',
)


async def send_load(fleet, workload, seconds, seed):
    """Send load; kill an entry host and a backend server after a third of it.

    :return: the :class:`Load` with its results.
    """
    load = Load(fleet.entry_hosts(), workload.clients, seed)
    sending = create_task(
        load.run(workload.request_templates(RATES_PER_S), seconds)
    )
    await sleep(seconds / 3)
    killed_backend = f'{workload.services[0].name}-{fleet.regions[0]}-1'
    print(f'killing {KILLED_ENTRY_HOST} and {killed_backend}')
    await to_thread(fleet.kill, KILLED_ENTRY_HOST)
    await to_thread(fleet.kill, killed_backend)
    await sending
    return load


def main():
    """Run the demo; exit with code 1 if an invariant was broken."""
    stop_on_sigterm()
    options = docopt(__doc__)
    workload = WORKLOADS[options['--user']]
    seed = int(options['--seed'])
    spec = FleetSpec(workload.user, services=workload.services, seed=seed)
    with Fleet(spec) as fleet:
        fleet.wait_until(lambda: all_regions_serve(fleet))
        put_contract_with_cli(fleet, workload.customers[0])
        load = run(
            send_load(fleet, workload, float(options['--seconds']), seed)
        )
        with fleet.operator_session() as session:
            in_force = session.list_audit(workload.customers[0])[-1]
        violations = check_invariants(
            load.results, load.started, fleet.records()
        )
    ranks = ('urgent', 'interactive', 'background')
    print(format_table(RESULT_HEADINGS, result_rows(load.results, ranks)))
    print(
        'contract in force everywhere after'
        f' {in_force["in_force_ms"] - in_force["accepted_ms"]} ms'
    )
    print(violations.describe())
    sys_exit(0 if violations.is_clean else 1)


def all_regions_serve(fleet):
    """Return True if every region has usable slots."""
    slots = fleet.usable_slots()
    return len(slots) == len(fleet.regions) and all(slots.values())


if __name__ == '__main__':
    main()
