"""Injects the planned faults of one run."""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from contextlib import contextmanager
from random import Random
from time import monotonic

from soak.fault_plans import FaultKind
from soak.launch import Conditions
from soak.ledger import RECONNECT_LIMIT_S
from soak.processes import CONTROL_RECOVERY_S
from soak.proxies import LinkState
from soak.records import GatewayCut
from soak.records import PlannedStop
from soak.server_cuts import ServerCut
from soak.servers import LeaveForm
from soak.servers import ServerMode

# Times for which a starved process does not run, and runs.
IDLE_RANGE_S = (0.05, 0.9)
SLICE_RANGE_S = (0.005, 0.05)
CLOCK_OFFSETS_S = (-2.0, 2.0)
SYNC_DELAY_S = 0.3
LINK_DELAY_S = 0.15
# A crashed server's address goes to a new server after this time; a flapping
# server divides it among its restarts.
ADDRESS_REUSE_DELAY_S = 2.0
FLAP_COUNT = 3
# Share of the servers that keep their id after a request has crashed them.
SAME_ID_SHARE = 0.5
# Part of its span for which a server that starts again is down.
RESTART_SPEEDUP = 10
# One in so many servers that start again does not leave.
STAYING_RESTARTS = 4
CUT_STATES = (LinkState.SILENT, LinkState.ONE_WAY, LinkState.REFUSING)
SERVER_CUTS = (ServerCut.SILENT, ServerCut.RESET, ServerCut.REFUSING)


class FaultInjector:
    """Injects planned faults.

    Skips a fault whose process is disturbed already, and a control fault
    while another one is active or its host recovers, because such faults would
    take out too much at once.  ``injected`` holds the faults that were not
    skipped.

    :param soak: the :class:`Soak` run.
    """

    def __init__(self, soak):
        self._soak = soak
        self._disturbed_names = set()
        self._next_control_fault_s = 0.0
        self._is_control_disturbed = False
        self.injected = []

    async def inject_all(self, plan):
        """Inject all faults and wait until the last one is removed."""
        start_s = monotonic()
        tasks = []
        for fault in plan:
            await sleep(max(0.0, start_s + fault.at_s - monotonic()))
            tasks.append(create_task(self._inject(fault)))
        await gather(*tasks)

    async def _inject(self, fault):
        kind = fault.kind.value
        if kind.startswith('server'):
            await self._inject_server_fault(fault)
        elif kind.startswith('gateway'):
            await self._inject_gateway_fault(fault)
        elif fault.kind is FaultKind.CUT_FROM_SERVERS:
            await self._cut_from_servers(fault)
        else:
            await self._inject_control_fault(fault)

    async def _inject_server_fault(self, fault):
        servers = self._soak.servers
        server = servers[fault.target % len(servers)]
        if server.name in self._disturbed_names:
            return
        self._disturbed_names.add(server.name)
        self.injected.append(fault)
        if fault.kind is FaultKind.SERVER_MOOD:
            mode = tuple(ServerMode)[fault.variant % len(ServerMode)]
            await self._change_mode(server, mode, fault.span_s)
        elif fault.kind is FaultKind.SERVER_FULL:
            await self._change_mode(server, ServerMode.FULL, fault.span_s)
        elif fault.kind is FaultKind.SERVER_FLAP:
            await self._flap(server)
        elif fault.kind is FaultKind.SERVER_RESTART:
            await self._restart_server(server, fault)
        elif fault.kind is FaultKind.SERVER_LEAVE:
            form = tuple(LeaveForm)[fault.variant % len(LeaveForm)]
            await server.leave(form)
            await self._soak.replace_server(server, swap_service=False)
        else:
            await server.crash()
            await sleep(max(ADDRESS_REUSE_DELAY_S, fault.span_s))
            await self._soak.replace_server(server, fault.variant % 2 == 0)
        self._disturbed_names.discard(server.name)

    async def _change_mode(self, server, mode, span_s):
        server.mode = mode
        await sleep(span_s)
        server.mode = ServerMode.HEALTHY
        if server.has_ended:
            await self._soak.replace_server(server, swap_service=False)

    async def crash_server(self, server):
        """Crash a server and replace it, unless it is disturbed already.

        Its disturbance ends with its replacement.

        :param server: the :class:`StandInServer`.
        """
        if server.name in self._disturbed_names:
            await server.crash()
            return
        self._disturbed_names.add(server.name)
        await server.crash()
        await sleep(ADDRESS_REUSE_DELAY_S)
        if not self._soak.is_finished:
            keeps_id = self._soak.restart_random.random() < SAME_ID_SHARE
            await self._soak.replace_server(server, keeps_id=keeps_id)
        self._disturbed_names.discard(server.name)

    async def _restart_server(self, server, fault):
        """Start a server again under its id, and let most starts leave.

        One that leaves says so in all its answers, also before it registers.
        """
        await server.crash()
        await sleep(fault.span_s / RESTART_SPEEDUP)
        self._disturbed_names.discard(server.name)
        server = await self._soak.replace_server(server, keeps_id=True)
        if fault.variant % STAYING_RESTARTS == 0:
            return
        self._disturbed_names.add(server.name)
        server.is_leaving = True
        await server.wait_for_registration()
        form = tuple(LeaveForm)[fault.variant % len(LeaveForm)]
        await server.leave(form)
        await self._soak.replace_server(server)
        self._disturbed_names.discard(server.name)

    async def _flap(self, server):
        for _ in range(FLAP_COUNT):
            await server.crash()
            await sleep(ADDRESS_REUSE_DELAY_S / FLAP_COUNT)
            self._disturbed_names.discard(server.name)
            server = await self._soak.replace_server(
                server, swap_service=False
            )
            self._disturbed_names.add(server.name)
            await sleep(ADDRESS_REUSE_DELAY_S / FLAP_COUNT)
        self._disturbed_names.discard(server.name)

    async def _inject_gateway_fault(self, fault):
        gateways = self._soak.gateways
        gateway = gateways[fault.target % len(gateways)]
        if gateway.name in self._disturbed_names:
            return
        self._disturbed_names.add(gateway.name)
        self.injected.append(fault)
        if fault.kind is FaultKind.GATEWAY_STOP:
            await self._restart_gateway(gateway)
        elif fault.kind is FaultKind.GATEWAY_RELOAD:
            gateway.reload()
        else:
            with marked_as_disturbed((gateway,)):
                await self._disturb_gateway(gateway, fault)
        self._disturbed_names.discard(gateway.name)

    async def _disturb_gateway(self, gateway, fault):
        if fault.kind is FaultKind.GATEWAY_KILL:
            gateway.kill()
            await sleep(fault.span_s)
            gateway.start()
        elif fault.kind is FaultKind.GATEWAY_PAUSE:
            await self._pause(gateway, fault)
        elif fault.kind is FaultKind.GATEWAY_STARVED:
            await self._starve(gateway, fault)
        elif fault.kind is FaultKind.GATEWAY_RESET:
            for link in gateway.links.values():
                link.reset()
        elif fault.kind is FaultKind.GATEWAY_LINK:
            await self._cut(gateway, fault)
        else:
            await self._delay(gateway, fault)

    async def _cut_from_servers(self, fault):
        """Cut gateways off from all servers, whatever else disturbs them."""
        self.injected.append(fault)
        gateways = self._soak.gateways
        # One bit for each gateway; at least one is set.
        mask = 1 + fault.target % (2 ** len(gateways) - 1)
        cut_off = [each for at, each in enumerate(gateways) if mask >> at & 1]
        form = SERVER_CUTS[fault.variant % len(SERVER_CUTS)]
        start_s = monotonic()
        for gateway in cut_off:
            gateway.set_server_cut(form)
        await sleep(fault.span_s)
        addresses = frozenset(each.address('caller') for each in cut_off)
        cut = GatewayCut(addresses, start_s, monotonic())
        self._soak.ledger.cuts.append(cut)
        for gateway in cut_off:
            gateway.set_server_cut(ServerCut.NONE)

    async def _restart_gateway(self, gateway):
        asked_s = monotonic()
        if not await gateway.stop():
            self._soak.ledger.record_violation(
                'STOP', f'{gateway.name} did not end'
            )
        stop = PlannedStop(gateway.address('caller'), asked_s, monotonic())
        self._soak.ledger.stops.append(stop)
        with marked_as_disturbed((gateway,)):
            gateway.start()

    async def _inject_control_fault(self, fault):
        """Disturb one control host, or kill all of them at once."""
        if (
            self._is_control_disturbed
            or monotonic() < self._next_control_fault_s
        ):
            return
        self._is_control_disturbed = True
        self.injected.append(fault)
        hosts = self._soak.control
        if fault.kind is FaultKind.CONTROL_KILL_ALL:
            # The promises do not cover gateways until the group is back.
            with marked_as_disturbed(hosts + self._soak.gateways):
                for host in hosts:
                    host.kill()
                await sleep(min(1.0, fault.span_s))
                for host in hosts:
                    host.start()
                await sleep(CONTROL_RECOVERY_S)
        else:
            host = hosts[fault.target % len(hosts)]
            with marked_as_disturbed((host,)):
                await self._disturb_control(host, fault)
        self._is_control_disturbed = False
        self._next_control_fault_s = monotonic() + CONTROL_RECOVERY_S

    async def _disturb_control(self, host, fault):
        kind = fault.kind
        if kind in (FaultKind.CONTROL_KILL, FaultKind.CONTROL_WIPE):
            host.kill()
            if kind is FaultKind.CONTROL_WIPE:
                host.wipe()
            await sleep(fault.span_s)
            host.start()
        elif kind is FaultKind.CONTROL_STOP:
            await host.stop()
            host.start()
        elif kind is FaultKind.CONTROL_PAUSE:
            await self._pause(host, fault)
        elif kind is FaultKind.CONTROL_LINK:
            await self._cut(host, fault)
        elif kind is FaultKind.CONTROL_DELAY:
            await self._delay(host, fault)
        else:
            host.set_conditions(_make_conditions(fault))
            await sleep(fault.span_s)
            host.set_conditions(Conditions())

    async def _pause(self, process, fault):
        process.pause()
        await sleep(fault.span_s)
        process.resume()

    async def _starve(self, process, fault):
        """Let a process run for short moments only."""
        random = Random(f'{fault.at_s} {fault.variant}')
        until_s = monotonic() + fault.span_s
        while monotonic() < until_s:
            process.pause()
            await sleep(random.uniform(*IDLE_RANGE_S))
            process.resume()
            await sleep(random.uniform(*SLICE_RANGE_S))

    async def _cut(self, process, fault):
        state = CUT_STATES[fault.variant % len(CUT_STATES)]
        process.set_links(state)
        await sleep(fault.span_s)
        process.set_links(LinkState.OPEN)

    async def _delay(self, process, fault):
        for link in process.links.values():
            link.delay_s = LINK_DELAY_S
        await sleep(fault.span_s)
        for link in process.links.values():
            link.delay_s = 0.0


def _make_conditions(fault):
    if fault.kind is FaultKind.CONTROL_CLOCK:
        return Conditions(clock_offset_s=CLOCK_OFFSETS_S[fault.variant % 2])
    if fault.kind is FaultKind.CONTROL_SLOW_DISK:
        return Conditions(sync_delay_s=SYNC_DELAY_S)
    return Conditions(sync_fails=True)


@contextmanager
def marked_as_disturbed(processes):
    """Record that processes are disturbed during the context and after it.

    The disturbance ends ``RECONNECT_LIMIT_S`` after the context, when the
    processes must be in contact with the others again.
    """
    start_s = monotonic()
    for process in processes:
        process.disturbances.append((start_s, float('inf')))
    try:
        yield
    finally:
        end_s = monotonic() + RECONNECT_LIMIT_S
        for process in processes:
            process.disturbances.remove((start_s, float('inf')))
            process.disturbances.append((start_s, end_s))
