"""Compares callers' results under the full policy and the baseline.

Usage:
  bench [--user=USER] [--scenario=NAME] [--policy=POLICY] [--seconds=S]
        [--seed=N] [--claim-hosts=N]

Options:
  --user=USER      golau-beic, halvorsen or all [default: all].
  --scenario=NAME  calm, background_flood, urgent_flood, region_lost,
                   planned_drain, poison or all [default: all].
  --policy=POLICY  full, baseline or all [default: all].
  --seconds=S      How long callers send [default: 8].
  --seed=N         Seed of all choices [default: 1].
  --claim-hosts=N  Hosts of a claim group in each region [default: 0].

Messages between processes are delayed by the distances between the users'
failure domains and regions.  Each request takes 100 ms on average, so that a
small load fills the slots.
"""

from asyncio import create_task
from asyncio import run
from asyncio import sleep
from asyncio import to_thread
from collections import Counter
from threading import Event
from threading import Thread

from docopt import docopt
from msgspec import Struct
from msgspec.structs import replace

from fuchsiacart.client.reports import format_table
from fuchsiacart.exceptions import FuchsiacartError
from standins.caller import build_latency_histogram
from standins.caller import Load
from standins.caller import RequestOutcome
from standins.caller import RequestTemplate
from standins.fleet import Fleet
from standins.fleet import stop_on_sigterm
from standins.fleet_specs import FleetSpec
from standins.invariants import check_invariants
from standins.workloads import WORKLOADS

SERVICE_MS = 100
RAMP_MS = 500
SETTLE_S = 2.0
SAMPLE_INTERVAL_S = 0.5
BASE_RATES_PER_S = {'urgent': 15, 'interactive': 40, 'background': 8}
FLOOD_RATE_PER_S = 250
ONE_WAY_DELAYS_MS = {'golau-beic': (5.0, 55.0), 'halvorsen': (4.0, 20.0)}
RANKS = ('urgent', 'interactive', 'background')
POISON_REQUESTS = 6


class Scenario(Struct, frozen=True):
    """What happens while callers send.

    ``flood_rank`` is a rank in which one customer floods a service, ``event``
    a failure or operation after a third of the time.
    """

    name: str
    flood_rank: str = ''
    event: str = ''


SCENARIOS = (
    Scenario('calm'),
    Scenario('background_flood', flood_rank='background'),
    Scenario('urgent_flood', flood_rank='urgent'),
    Scenario('region_lost', event='region_lost'),
    Scenario('planned_drain', event='planned_drain'),
    Scenario('poison', event='poison'),
)


class HeadroomSampler:
    """Samples the share of free slots in a thread of its own.

    :param fleet: the deployment.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._stop = Event()
        self._thread = Thread(target=self._run)
        self.lowest_headroom = 1.0

    def start(self):
        """Start the sampling thread."""
        self._thread.start()

    def stop(self):
        """Stop the sampling thread and wait for its end."""
        self._stop.set()
        self._thread.join()

    def _run(self):
        with self._fleet.operator_session() as session:
            while not self._stop.wait(SAMPLE_INTERVAL_S):
                try:
                    regions = session.get_status()['regions']
                except FuchsiacartError:
                    continue
                for region in regions:
                    if region['slots']:
                        free = 1.0 - region['busy'] / region['slots']
                        self.lowest_headroom = min(self.lowest_headroom, free)


class Bench:
    """Runs one scenario of one user under one policy.

    :param workload: the user's workload.
    :param scenario: the :class:`Scenario`.
    :param policy: full or baseline.
    :param seconds: how long callers send.
    :param seed: seed of all random choices.
    :param claim_hosts: hosts of a claim group in each region.
    """

    def __init__(self, workload, scenario, policy, seconds, seed, claim_hosts):
        self._workload = workload
        self._scenario = scenario
        self._policy = policy
        self._seconds = seconds
        self._seed = seed
        self._claim_hosts = claim_hosts
        self._drain_ms = 0

    def run(self):
        """Run the scenario and print its results."""
        services = tuple(
            replace(each, service_ms=SERVICE_MS)
            for each in self._workload.services
        )
        spec = FleetSpec(
            self._workload.user,
            entry=6,
            services=services,
            entry_settings={'policy': self._policy, 'ramp_ms': RAMP_MS},
            one_way_delays_ms=ONE_WAY_DELAYS_MS[self._workload.user],
            claim_hosts=self._claim_hosts,
            seed=self._seed,
        )
        with Fleet(spec) as fleet:
            expected_slots = sum(
                each.per_region * each.slots for each in services
            )
            fleet.wait_until(lambda: _has_all_slots(fleet, expected_slots))
            sampler = HeadroomSampler(fleet)
            sampler.start()
            try:
                load = run(self._send_load(fleet))
            finally:
                sampler.stop()
            violations = check_invariants(
                load.results, load.started, fleet.records()
            )
        self._print_results(load, violations, sampler.lowest_headroom)

    async def _send_load(self, fleet):
        await sleep(SETTLE_S)
        load = Load(fleet.entry_hosts(), self._workload.clients, self._seed)
        templates = self._workload.request_templates(BASE_RATES_PER_S)
        if self._scenario.flood_rank:
            templates += self._flood_templates()
        sending = create_task(load.run(templates, self._seconds))
        await sleep(self._seconds / 3)
        await self._trigger_event(fleet, load)
        await sending
        return load

    def _flood_templates(self):
        rank = self._scenario.flood_rank
        customer = self._workload.customers[0]
        templates = self._workload.request_templates(
            {rank: FLOOD_RATE_PER_S}, (customer,)
        )
        service = self._workload.services[0].name
        return [each for each in templates if each.service == service]

    async def _trigger_event(self, fleet, load):
        event = self._scenario.event
        if event == 'region_lost':
            await to_thread(self._kill_region, fleet, fleet.regions[1])
        if event == 'planned_drain':
            await to_thread(
                self._drain_failure_domain, fleet, fleet.regions[0]
            )
        if event == 'poison':
            template = self._poison_template()
            for _ in range(POISON_REQUESTS):
                load.started += 1
                create_task(load.send_one(template))
                await sleep(0.5)

    def _poison_template(self):
        templates = self._workload.request_templates({'interactive': 1.0})
        return RequestTemplate(
            **{
                name: getattr(templates[0], name)
                for name in RequestTemplate.__struct_fields__
                if name not in ('path', 'rank')
            },
            path=templates[0].path.rpartition('/')[0] + '/poison',
            rank='poison',
        )

    def _kill_region(self, fleet, region):
        for name in fleet.process_names_in(region):
            fleet.kill(name)

    def _drain_failure_domain(self, fleet, region):
        def is_drained():
            with fleet.operator_session() as session:
                rows = session.list_drains()
            self._drain_ms = rows[0]['drained_ms']
            return self._drain_ms > 0

        with fleet.operator_session() as session:
            session.start_drain('failure_domain', f'{region}-a')
        fleet.wait_until(is_drained, 60.0)

    def _print_results(self, load, violations, headroom):
        rows = []
        for rank in RANKS:
            rank_results = [
                each for each in load.results if each.template.rank == rank
            ]
            rows.append(_result_row(rank, rank_results))
        print(
            f'\n{self._workload.user}, {self._scenario.name},'
            f' {self._policy}, {self._seconds:g} s, seed {self._seed}'
            + (', claim groups' if self._claim_hosts else '')
        )
        print(format_table(HEADINGS, rows))
        print(
            f'duplicate runs {violations.duplicate_runs}, runs after not run'
            f' {violations.runs_after_not_run}, unanswered'
            f' {violations.unanswered}, invalid answers'
            f' {violations.invalid_answers}, slots exceeded'
            f' {violations.slots_exceeded}, lowest headroom'
            f' {headroom:.0%}'
            + (f', drain {self._drain_ms} ms' if self._drain_ms else ''),
            flush=True,
        )


HEADINGS = (
    'rank',
    'sent',
    'in time',
    'in time %',
    'refused',
    'unknown',
    'p50 ms',
    'p99 ms',
    'not answered',
)


def _result_row(rank, results):
    in_time = [
        each
        for each in results
        if each.outcome is RequestOutcome.ANSWERED
        and each.elapsed_ms <= each.template.deadline_ms
    ]
    outcomes = [each.outcome for each in results]
    latencies = build_latency_histogram(results)
    ratio = len(in_time) / len(results) if results else 0.0
    return [
        rank,
        len(results),
        len(in_time),
        f'{ratio:.1%}',
        outcomes.count(RequestOutcome.REFUSED),
        outcomes.count(RequestOutcome.UNKNOWN),
        latencies.get_value_at_percentile(50),
        latencies.get_value_at_percentile(99),
        _format_reasons(results),
    ]


def _format_reasons(results):
    """Return the reasons of requests without an answer, with their counts."""
    counts = Counter(
        f'{each.reason} {each.outcome.value}'
        for each in results
        if each.outcome is not RequestOutcome.ANSWERED
    )
    return ', '.join(
        f'{count} {reason}' for reason, count in counts.most_common()
    )


def _has_all_slots(fleet, expected_slots):
    slots = fleet.usable_slots()
    all_regions_known = len(slots) == len(fleet.regions)
    return all_regions_known and min(slots.values()) >= expected_slots


def main():
    """Run the scenarios that the options select."""
    stop_on_sigterm()
    options = docopt(__doc__)
    seconds, seed = float(options['--seconds']), int(options['--seed'])
    for user, workload in WORKLOADS.items():
        for scenario in SCENARIOS:
            for policy in ('full', 'baseline'):
                filters = (
                    (options['--user'], user),
                    (options['--scenario'], scenario.name),
                    (options['--policy'], policy),
                )
                if all(
                    wanted in ('all', actual) for wanted, actual in filters
                ):
                    Bench(
                        workload,
                        scenario,
                        policy,
                        seconds,
                        seed,
                        int(options['--claim-hosts']),
                    ).run()


if __name__ == '__main__':
    main()
