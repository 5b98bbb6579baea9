"""The main job on loopback: both ends, three ranks, two hosts lost.

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
from standins.caller import histogram
from standins.caller import Load
from standins.caller import RequestOutcome
from standins.fleet import DEPLOY_FOLDER
from standins.fleet import Fleet
from standins.fleet import FleetSpec
from standins.fleet import stop_on_sigterm
from standins.invariants import check_invariants
from standins.workloads import WORKLOADS
from tools.deploy import EXAMPLE_TOKENS

RATES_PER_S = {'urgent': 20, 'interactive': 60, 'background': 10}
LOST_ENTRY_HOST = 'entry-4'


def put_contract_by_command(fleet, customer):
    """Amend a contract with the operators' command."""
    hosts = [fleet.http_address(name) for name in fleet.control_names]
    text = DEPLOY_FOLDER / fleet.shape.user / 'contracts' / f'{customer}.toml'
    with TemporaryDirectory() as folder:
        path = Path(folder) / 'contract.toml'
        path.write_text(text.read_text().replace('= 400\n', '= 500\n'))
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
    """Return a row of the table for each rank."""
    rows = []
    for rank in ranks:
        own = [each for each in results if each.kind.rank == rank]
        endings = [each.outcome for each in own]
        times = histogram(own)
        reasons = sorted(
            {
                each.reason
                for each in own
                if each.outcome is RequestOutcome.REFUSED
            }
        )
        rows.append(
            [
                rank,
                len(own),
                endings.count(RequestOutcome.ANSWERED),
                endings.count(RequestOutcome.REFUSED),
                ','.join(reasons) or '-',
                endings.count(RequestOutcome.UNKNOWN),
                times.get_value_at_percentile(50),
                times.get_value_at_percentile(99),
            ]
        )
    return rows


RESULT_HEADS = (
    'rank',
    'sent',
    'whole answers',
    'refused',
    'reasons',
    'unknown',
    'p50 ms',
    'p99 ms',
)


async def drive(fleet, workload, seconds, seed):
    """Send load and lose an entry host and a backend server in the middle.

    :return: the :class:`Load` with its results.
    """
    load = Load(fleet.entry_hosts(), workload.clients, seed)
    sending = create_task(
        load.run(workload.request_templates(RATES_PER_S), seconds)
    )
    await sleep(seconds / 3)
    lost = f'{workload.services[0].name}-{fleet.regions[0]}-1'
    print(f'killing {LOST_ENTRY_HOST} and {lost}')
    await to_thread(fleet.kill, LOST_ENTRY_HOST)
    await to_thread(fleet.kill, lost)
    await sending
    return load


def main():
    """Run the demo; exit with 1 if an invariant was broken."""
    stop_on_sigterm()
    options = docopt(__doc__)
    workload = WORKLOADS[options['--user']]
    seed = int(options['--seed'])
    shape = FleetSpec(workload.user, services=workload.services, seed=seed)
    with Fleet(shape) as fleet:
        fleet.wait_until(lambda: all_regions_serve(fleet))
        put_contract_by_command(fleet, workload.customers[0])
        load = run(drive(fleet, workload, float(options['--seconds']), seed))
        with fleet.operator_session() as session:
            in_force = session.list_audit(workload.customers[0])[-1]
        verdict = check_invariants(load.results, load.started, fleet.records())
    ranks = ('urgent', 'interactive', 'background')
    print(format_table(RESULT_HEADS, result_rows(load.results, ranks)))
    print(
        'contract in force everywhere after'
        f' {in_force["in_force_ms"] - in_force["accepted_ms"]} ms'
    )
    print(verdict.describe())
    sys_exit(0 if verdict.is_clean else 1)


def all_regions_serve(fleet):
    """Tell whether each region has usable slots."""
    slots = fleet.usable_slots()
    return len(slots) == len(fleet.regions) and all(slots.values())


if __name__ == '__main__':
    main()
