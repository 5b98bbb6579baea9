"""Runs one seed of the soak and reports the promises that it broke.

Usage:
  runs SEED SLOT KEEP [--untimed] [--from=COMMIT] [--gateways=N]
"""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import gather
from asyncio import run
from asyncio import sleep
from asyncio import wait_for
from pathlib import Path
from random import Random
from shutil import copytree
from shutil import rmtree
from sys import exit as sys_exit
from tempfile import mkdtemp
from time import monotonic

from docopt import docopt
from msgspec.json import decode

from soak.accounts import AccountPlan
from soak.accounts import KeyCaller
from soak.accounts import LimitedCaller
from soak.accounts import REVOKE_S
from soak.body_limits import is_large
from soak.builds import BuildPlan
from soak.callers import Caller
from soak.crashing_callers import CrashingCaller
from soak.fault_plans import draw_plan
from soak.fault_plans import draw_server_cuts
from soak.fault_plans import draw_server_restarts
from soak.fault_plans import draw_starvations
from soak.fault_plans import draw_statements
from soak.faults import FaultInjector
from soak.holding_clients import CLIENTS as HOLDING_CLIENTS
from soak.holding_clients import HoldingClient
from soak.holding_clients import MEMORY_MB
from soak.holding_clients import watch_memory
from soak.large_callers import LargeCaller
from soak.ledger import Ledger
from soak.member_faults import draw_member_plan
from soak.member_faults import MemberFaultInjector
from soak.operators import Operator
from soak.operators import SERVICES
from soak.processes import DOMAINS
from soak.processes import Network
from soak.processes import Ports
from soak.processes import Role
from soak.processes import SEED_HOSTS
from soak.processes import SoakProcess
from soak.records import LoopStall
from soak.servers import LATE_HEARTBEAT_RANGE_S
from soak.servers import StandInServer

GATEWAY_COUNTS = range(2, 11)
DEFAULT_GATEWAYS = 3
FIRST_GATEWAY_INDEX = 11
FIRST_SUCCESSOR_INDEX = 21
CALLERS = 8
# Further callers, which use all gateways whatever a directory names.
FIXED_CALLERS = 4
# Callers whose bodies only some configurations allow.
LARGE_CALLERS = 6
# Callers whose keys come and go, and whose quota is used up.
KEY_CALLERS = 3
LIMITED_CALLERS = 2
SERVERS_PER_SERVICE = 2
START_TIMEOUT_S = 30.0
RECOVERY_TIMEOUT_S = 15.0
# Consecutive requests that must be served before a run counts as recovered.
SERVED_IN_A_ROW = 30
POLL_INTERVAL_S = 0.1
# A run that has not ended by then is considered stuck.
RUN_TIMEOUT_S = 240.0
# Shorter delays of the event loop are not recorded as stalls.
MIN_STALL_S = 0.15


class Soak:
    """One run: a deployment, its traffic and its faults.

    :param seed: seed of the faults and of the traffic.
    :param slot: number that keeps the networks of concurrent runs apart.
    :param commit: build that all processes start with; those that are
        restarted may run this tree.  '' to run this tree only.
    :param gateways: number of gateways, one of ``GATEWAY_COUNTS``.
    """

    def __init__(self, seed, slot, commit='', gateways=DEFAULT_GATEWAYS):
        self.seed = seed
        self.random = Random(f'traffic {seed}')
        self.plan = sorted(
            draw_plan(Random(seed))
            + draw_server_cuts(Random(f'server cuts {seed}'))
            + draw_statements(Random(f'statements {seed}'))
            + draw_starvations(Random(f'starvations {seed}'))
            + draw_server_restarts(Random(f'server restarts {seed}')),
            key=lambda fault: fault.at_s,
        )
        self.member_plan = draw_member_plan(Random(f'group losses {seed}'))
        self._crash_random = Random(f'crashes {seed}')
        self.restart_random = Random(f'restarts {seed}')
        self.silence_random = Random(f'silence {seed}')
        # The build in production cannot read accounts.
        self.accounts = None
        # Nor does it know the memory of its machine.
        self.memory_setting = ''
        if not commit:
            self.accounts = AccountPlan(Random(f'accounts {seed}'))
            self.memory_setting = f'memory_mb = {MEMORY_MB}'
        self.builds = BuildPlan(commit, Random(f'builds {seed}'))
        self.network = Network(slot)
        self.ports = Ports.find_free(self.network.private_address(1))
        self.folder = Path(mkdtemp(prefix=f'fuchsiacart-soak-{seed}-'))
        self.ledger = Ledger(self._was_disturbed)
        self.ledger.bounds_arrivals = not commit
        self.faults_are_over = False
        self.is_finished = False
        self.servers = []
        self.evacuable_domains = DOMAINS[1:]
        self.control = [
            SoakProcess(
                self, Role.CONTROL, 1 + index, DOMAINS[index % len(DOMAINS)]
            )
            for index in range(self.member_plan.control_hosts)
        ]
        self._gone = []
        self.gateways = [
            SoakProcess(
                self,
                Role.GATEWAY,
                FIRST_GATEWAY_INDEX + index,
                DOMAINS[index % len(DOMAINS)],
            )
            for index in range(gateways)
        ]
        self.operator = Operator(self)
        self.injector = FaultInjector(self)
        self.member_injector = MemberFaultInjector(self, self.member_plan)
        self.recovery_timeout_s = RECOVERY_TIMEOUT_S
        self._started_servers = 0
        self._tasks = []

    @property
    def terms(self):
        """Lines of the settings that only accounts need."""
        if self.accounts is None:
            return ''
        return f'revoke_s = {REVOKE_S}'

    @property
    def seeds(self):
        """Addresses at which a process finds the others when it starts."""
        return [host.public_address for host in self.control[:SEED_HOSTS]]

    def shuffled_control(self):
        """Return the control hosts in random order."""
        return self.random.sample(self.control, len(self.control))

    async def exchange_control(self, index):
        """Start a new control host, at a new address, in place of another.

        :param index: position of the host that is gone.
        """
        old = self.control[index]
        successor = SoakProcess(
            self,
            Role.CONTROL,
            FIRST_SUCCESSOR_INDEX + len(self._gone),
            old.domain,
        )
        self._gone.append(old)
        self.control[index] = successor
        await self._start_process(successor)

    async def replace_server(self, old, swap_service=False, keeps_id=False):
        """Start a new server at the address and port of another one.

        :param old: the server to replace; it must have ended.
        :param swap_service: True if the new server offers the other service.
        :param keeps_id: True if it registers under the same id, and late.
        :return: the new server.
        """
        service = old.service
        if swap_service:
            service = SERVICES[1 - SERVICES.index(service)]
        server = self._new_server(
            service,
            old.domain,
            old.address,
            old.port,
            old.server_id if keeps_id else '',
        )
        self.servers[self.servers.index(old)] = server
        return server

    async def execute(self, timed):
        """Start the deployment, inject the faults and check the promises.

        :param timed: True to check the promises with time limits as well.
        :return: descriptions of the broken promises.
        """
        self._tasks.append(create_task(self._record_loop_stalls()))
        if not timed:
            self.recovery_timeout_s = START_TIMEOUT_S
        try:
            await self._start_deployment()
            await self.operator.put_first_configuration()
            callers = self._start_callers()
            await self._wait_until_served(START_TIMEOUT_S)
            callers.append(self._start_crashing_caller())
            callers += self._start_holding_clients()
            orders = create_task(self.operator.run())
            await self.injector.inject_all(self.plan)
            await self.member_injector.inject_all()
            self.faults_are_over = True
            await orders
            await self._wait_until_served(self.recovery_timeout_s)
            await self._check_final_configuration()
            self.is_finished = True
            await gather(*callers)
            await self._stop_gateways()
        finally:
            await self._shut_down()
        return self.ledger.check_promises(timed)

    def _was_disturbed(self, address, start_s, end_s):
        host = address.partition(':')[0]
        process = next(
            each for each in self.gateways if each.public_address == host
        )
        return process.was_disturbed(start_s, end_s)

    async def _start_deployment(self):
        for process in self.control + self.gateways:
            await self._start_process(process, process.role is Role.CONTROL)
        for index, domain in enumerate(DOMAINS):
            for number in range(SERVERS_PER_SERVICE * len(SERVICES)):
                service = SERVICES[number % len(SERVICES)]
                address = self.network.server_address(1 + index)
                self.servers.append(self._new_server(service, domain, address))

    async def _start_process(self, process, bootstrap=False):
        await process.open_links()
        process.start(bootstrap)
        self._tasks.append(create_task(process.restart_on_exit()))

    def _new_server(self, service, domain, address, port=0, server_id=''):
        self._started_servers += 1
        name = f's{self._started_servers}'
        server = StandInServer(
            self, name, service, domain, address, port, server_id
        )
        delay_s = 0.0
        if server_id:
            delay_s = self.restart_random.uniform(*LATE_HEARTBEAT_RANGE_S)
        self._tasks.append(create_task(server.send_heartbeats(delay_s)))
        return server

    def _start_callers(self):
        callers = [Caller(self, number) for number in range(CALLERS)]
        addresses = tuple(each.address('caller') for each in self.gateways)
        callers += [
            Caller(self, CALLERS + number, addresses)
            for number in range(FIXED_CALLERS)
        ]
        first = CALLERS + FIXED_CALLERS + 1
        callers += [
            LargeCaller(self, first + number)
            for number in range(LARGE_CALLERS)
        ]
        if self.accounts is not None:
            first += LARGE_CALLERS
            callers += [
                KeyCaller(self, first + number, addresses)
                for number in range(KEY_CALLERS)
            ]
            first += KEY_CALLERS
            callers += [
                LimitedCaller(self, first + number, addresses)
                for number in range(LIMITED_CALLERS)
            ]
        return [create_task(caller.run()) for caller in callers]

    def _start_crashing_caller(self):
        addresses = tuple(each.address('caller') for each in self.gateways)
        caller = CrashingCaller(
            self, CALLERS + FIXED_CALLERS, addresses, self._crash_random
        )
        return create_task(caller.run())

    def _start_holding_clients(self):
        if not self.memory_setting:
            return []
        self._tasks.append(create_task(watch_memory(self)))
        clients = [
            HoldingClient(self, Random(f'holding {self.seed} {number}'))
            for number in range(HOLDING_CLIENTS)
        ]
        return [create_task(client.run()) for client in clients]

    async def _record_loop_stalls(self):
        """Record spans in which the event loop was blocked.

        The callers run in this loop and can't observe responses meanwhile.
        """
        while True:
            before_s = monotonic()
            await sleep(POLL_INTERVAL_S)
            now_s = monotonic()
            if now_s - before_s > POLL_INTERVAL_S + MIN_STALL_S:
                self.ledger.stalls.append(LoopStall(before_s, now_s))

    async def _wait_until_served(self, timeout_s):
        """Wait until ``SERVED_IN_A_ROW`` consecutive requests are served.

        Records a broken promise if that takes longer than the time-out.
        """
        start_s = monotonic()
        while monotonic() < start_s + timeout_s:
            await sleep(POLL_INTERVAL_S)
            ended = [
                sent
                for sent in self.ledger.requests.values()
                if sent.sent_s >= start_s
                and sent.ended_s < float('inf')
                and not is_large(sent)
                and not sent.may_be_denied
            ]
            ended.sort(key=lambda sent: sent.ended_s)
            recent = ended[-SERVED_IN_A_ROW:]
            if len(recent) == SERVED_IN_A_ROW:
                if all(sent.status == 200 for sent in recent):
                    return
        self.ledger.record_violation(
            'RECOVER', f'not served within {timeout_s} s'
        )

    async def _check_final_configuration(self):
        """Check that no acknowledged configuration was lost or altered."""
        deadline_s = monotonic() + START_TIMEOUT_S
        body = None
        while body is None and monotonic() < deadline_s:
            body = await self.operator.read()
        acked = self.ledger.newest_acked
        if body is None:
            self.ledger.record_violation(
                'LOST', 'no configuration could be read back'
            )
            return
        document = decode(body)
        version = int(document['version'][1:])
        if version < acked.version:
            self.ledger.record_violation(
                'LOST', f'{version} after {acked.version}'
            )
            return
        order = next(
            order
            for order in self.ledger.orders
            if order.version == version and not order.refused
        )
        if document['resources'] != decode(order.body)['resources']:
            self.ledger.record_violation(
                'LOST', f'{version} differs from what was sent'
            )

    async def _stop_gateways(self):
        ends = await gather(*(each.stop() for each in self.gateways))
        for process, ended in zip(self.gateways, ends):
            if not ended:
                self.ledger.record_violation(
                    'STOP', f'{process.name} did not end'
                )

    async def _shut_down(self):
        self.faults_are_over = self.is_finished = True
        for task in self._tasks:
            task.cancel()
        await gather(*self._tasks, return_exceptions=True)
        for server in self.servers:
            await server.crash()
        for process in self.control + self._gone + self.gateways:
            await process.close()


def main():
    """Run one seed; exit with code 1 if it broke a promise."""
    options = docopt(__doc__)
    seed, slot = int(options['SEED']), int(options['SLOT'])
    gateways = int(options['--gateways'] or DEFAULT_GATEWAYS)
    soak = Soak(seed, slot, options['--from'] or '', gateways)
    try:
        violations = run(
            wait_for(soak.execute(not options['--untimed']), RUN_TIMEOUT_S)
        )
    except (CancelledError, OSError, TimeoutError) as error:
        violations = [f'SOAK: {error!r}', *soak.ledger.violations]
    requests = soak.ledger.requests.values()
    served = sum(sent.status == 200 for sent in requests)
    print(
        f'seed {seed}: {len(requests)} requests, {served} served,'
        f' {len(soak.ledger.orders)} orders,'
        f' {len(soak.injector.injected)} faults,'
        f' {len(soak.ledger.crashes_s)} servers crashed by a request,'
        f' {soak.ledger.proper_quarantined} proper requests quarantined,'
        f' {len(violations)} broken'
    )
    print(
        f'  {soak.ledger.statements.departures} servers left by their answers,'
        f' {len(soak.ledger.statements.refusals)} refusals with a time'
    )
    for build, count in soak.builds.starts.items():
        print(f'  {count} starts of {build}')
    members = soak.member_injector
    if members.injected:
        print(
            f'  {len(soak.control)} control hosts, {members.replaced}'
            f' replaced, {len(members.recoveries_s)} recovered losses of power'
            f' with {members.lost_disks} disks,'
            f' within {max(members.recoveries_s, default=0):.1f} s'
        )
    if soak.ledger.stalls:
        stalled_s = sum(
            stall.end_s - stall.start_s for stall in soak.ledger.stalls
        )
        last = soak.ledger.stalls[-1]
        print(
            f'  event loop of the soak blocked for {stalled_s:.1f} s in total,'
            f' last for {last.end_s - last.start_s:.1f} s,'
            f' {monotonic() - last.end_s:.1f} s ago'
        )
    for violation in violations[:20]:
        print(f'  {violation}')
    if violations:
        kept_folder = Path(options['KEEP']) / str(seed)
        rmtree(kept_folder, ignore_errors=True)
        copytree(soak.folder, kept_folder)
        plan = '\n'.join(
            str(fault) for fault in soak.injector.injected + members.injected
        )
        (kept_folder / 'plan').write_text(plan)
        (kept_folder / 'broken').write_text('\n'.join(violations))
    rmtree(soak.folder, ignore_errors=True)
    sys_exit(1 if violations else 0)


if __name__ == '__main__':
    main()
