"""Losses of disks and of power while the control group's members change.

They follow the other faults of a run, so that no more disks are lost at a time
than the group tolerates.
"""

from asyncio import gather
from asyncio import sleep
from signal import SIGKILL
from time import monotonic

from msgspec import Struct

from soak.faults import marked_as_disturbed
from soak.ledger import RECONNECT_LIMIT_S
from soak.processes import CONTROL_RECOVERY_S
from soak.processes import Role
from soak.proxies import LinkState

# Of a run with such faults, and of one with five control hosts among these.
RUN_PROBABILITY = 0.5
LARGE_GROUP_PROBABILITY = 0.6
# By the number of tolerated losses.
CONTROL_HOSTS = (1, 3, 5)
FAULT_COUNT_RANGE = (2, 3)
# Between control hosts, as between regions.  A change then reaches some of
# them well before others.
DISTANCE_RANGE_S = (0.0, 0.08)
# Otherwise power and disks are lost while the group repairs itself.
REPLACE_PROBABILITY = 0.7
PAUSE_RANGE_S = (0.0, 1.0)
WIPE_PROBABILITY = 0.4
SILENT_PROBABILITY = 0.5
DOWN_RANGE_S = (0.0, 1.5)
POWER_LOSS_PROBABILITY = 0.8
POWER_LOSS_RANGE_S = (0.0, 6.0)
AFTER_ACK_PROBABILITY = 0.5
ACK_TIMEOUT_S = 2.0
# A learner is added, a voter removed, the learner promoted.  Few losses at a
# time drawn from the whole range would come between two of these.
AFTER_CHANGE_PROBABILITY = 0.5
CHANGE_COUNT_RANGE = (1, 3)
CHANGE_TIMEOUT_S = 6.0
AFTER_CHANGE_RANGE_S = (0.0, 0.05)
CHANGE_EVENT = b'event=members_change '
# Gateways that run on know what they were told; those that start anew show
# what the control group still knows.
GATEWAY_PROBABILITY = 0.4
RESTART_RANGE_S = (0.1, 1.0)
POLL_INTERVAL_S = 0.05
CHANGE_POLL_INTERVAL_S = 0.005
ACK_POLL_INTERVAL_S = 0.002
# Requests are checked again once gateways have been undisturbed for this time.
CALM_S = 2 * RECONNECT_LIMIT_S
# Evacuations go on for some more seconds, in which requests show them.
EVACUATION_HOLD_S = CALM_S + 2.0


class MemberFault(Struct, frozen=True):
    """A control host may be replaced; a loss of power may follow.

    ``target`` is the position of the host.  A host that keeps its address
    comes back with an empty disk.  Connections to one that is gone fall
    silent, or are reset.  ``power_loss_s`` counts from the start of the
    successor or, without one, from when disks may be lost again; if
    ``changes`` is not 0, from that many changes of the members since.  It is
    None if the power stays.  ``lost_disks`` are lost with the power at most,
    those of the hosts that come first in ``disk_order``.  ``restarts_s`` says
    when each host is back.  Gateways may lose power as well.
    """

    pause_s: float
    replaces: bool
    target: int
    keeps_address: bool
    is_silent: bool
    down_s: float
    power_loss_s: float | None
    changes: int
    follows_ack: bool
    lost_disks: int
    disk_order: tuple[int, ...]
    restarts_s: tuple[float, ...]
    includes_gateways: bool


class MemberPlan(Struct, frozen=True):
    """The losses that the control group tolerates, and its faults.

    ``distances_s`` holds the delay in front of each control host.
    """

    tolerated_losses: int = 1
    distances_s: tuple[float, ...] = ()
    faults: tuple[MemberFault, ...] = ()

    @property
    def control_hosts(self):
        """Return the number of control hosts."""
        return CONTROL_HOSTS[self.tolerated_losses]


def draw_member_plan(random):
    """Draw the size of the control group and the faults of its members.

    :param random: random number generator of its own, seeded with the run's
        seed.
    :return: the :class:`MemberPlan`.
    """
    if random.random() >= RUN_PROBABILITY:
        return MemberPlan()
    tolerated_losses = 2 if random.random() < LARGE_GROUP_PROBABILITY else 1
    distances_s = tuple(
        round(random.uniform(*DISTANCE_RANGE_S), 3)
        for _ in range(CONTROL_HOSTS[tolerated_losses])
    )
    faults = tuple(
        _draw_fault(random, tolerated_losses)
        for _ in range(random.randint(*FAULT_COUNT_RANGE))
    )
    return MemberPlan(tolerated_losses, distances_s, faults)


def _draw_fault(random, tolerated_losses):
    hosts = CONTROL_HOSTS[tolerated_losses]
    loses_power = random.random() < POWER_LOSS_PROBABILITY
    changes, range_s = 0, POWER_LOSS_RANGE_S
    if random.random() < AFTER_CHANGE_PROBABILITY:
        changes = random.randint(*CHANGE_COUNT_RANGE)
        range_s = AFTER_CHANGE_RANGE_S
    power_loss_s = round(random.uniform(*range_s), 3)
    return MemberFault(
        pause_s=round(random.uniform(*PAUSE_RANGE_S), 2),
        replaces=random.random() < REPLACE_PROBABILITY,
        target=random.randrange(hosts),
        keeps_address=random.random() < WIPE_PROBABILITY,
        is_silent=random.random() < SILENT_PROBABILITY,
        down_s=round(random.uniform(*DOWN_RANGE_S), 2),
        power_loss_s=power_loss_s if loses_power else None,
        changes=changes,
        follows_ack=not changes and random.random() < AFTER_ACK_PROBABILITY,
        lost_disks=random.randint(1, tolerated_losses),
        disk_order=tuple(random.sample(range(hosts), hosts)),
        restarts_s=tuple(
            round(random.uniform(*RESTART_RANGE_S), 2) for _ in range(hosts)
        ),
        includes_gateways=random.random() < GATEWAY_PROBABILITY,
    )


class LossBudget:
    """Counts the control hosts that are lost.

    A host stays lost until it has had ``CONTROL_RECOVERY_S``.

    :param tolerated_losses: number of hosts that may be lost at a time.
    """

    def __init__(self, tolerated_losses):
        self._tolerated_losses = tolerated_losses
        self._ends_s = {}

    def record(self, host, started_s):
        """Record that a host, or its successor, has started."""
        self._ends_s[host] = started_s + CONTROL_RECOVERY_S

    def allows(self, hosts, now_s):
        """Return True if these hosts may be lost as well."""
        lost = {host for host, end_s in self._ends_s.items() if end_s > now_s}
        return len(lost.union(hosts)) <= self._tolerated_losses

    def choose(self, hosts, count, now_s):
        """Return the first hosts, at most ``count``, that may be lost."""
        chosen = []
        for host in hosts:
            if len(chosen) < count and self.allows((*chosen, host), now_s):
                chosen.append(host)
        return chosen


class MemberFaultInjector:
    """Injects the faults of a :class:`MemberPlan`, one after the other.

    ``replaced`` counts the hosts that were replaced, ``lost_disks`` the disks
    lost with the power; ``recoveries_s`` holds the times after which the group
    had a leader again.

    :param soak: the :class:`Soak` run.
    :param plan: the plan.
    """

    def __init__(self, soak, plan):
        self._soak = soak
        self._plan = plan
        self._budget = LossBudget(plan.tolerated_losses)
        self._is_recovering = False
        self._hold_until_s = 0.0
        self._log_sizes = {}
        self.injected = []
        self.replaced = 0
        self.recoveries_s = []
        self.lost_disks = 0

    @property
    def holds_evacuations(self):
        """True while evacuations go on, to be seen after a loss of power."""
        return self._is_recovering or monotonic() < self._hold_until_s

    async def inject_all(self):
        """Inject all faults; stop if the group has no leader in time."""
        if not self._plan.faults:
            return
        await sleep(CONTROL_RECOVERY_S)
        for index in range(self._plan.control_hosts):
            self._set_distance(index)
        for fault in self._plan.faults:
            await sleep(fault.pause_s)
            self.injected.append(fault)
            await self._wait_until_tolerated(fault.target)
            self._log_sizes = {
                path: path.stat().st_size for path in self._find_logs()
            }
            if fault.replaces:
                await self._replace(fault)
            if fault.power_loss_s is None:
                continue
            await self._wait_for_changes(fault.changes)
            await sleep(fault.power_loss_s)
            if fault.follows_ack:
                await self._wait_for_acknowledgement()
            if not await self._cut_power(fault):
                return
        await sleep(max(0.0, self._hold_until_s - monotonic()))

    def _set_distance(self, index):
        link = self._soak.control[index].links['peer']
        link.delay_s = self._plan.distances_s[index]

    async def _wait_until_tolerated(self, index):
        while not self._budget.allows((index,), monotonic()):
            await sleep(POLL_INTERVAL_S)

    async def _replace(self, fault):
        """Replace a control host by an empty one."""
        index = fault.target
        host = self._soak.control[index]
        if fault.is_silent and not fault.keeps_address:
            host.set_links(LinkState.GONE)
        host.kill()
        await sleep(fault.down_s)
        if fault.keeps_address:
            host.wipe()
            host.start()
        else:
            await self._soak.exchange_control(index)
            self._set_distance(index)
        self.replaced += 1
        self._budget.record(index, monotonic())

    def _find_logs(self):
        return self._soak.folder.glob(f'{Role.CONTROL.value}-*/log')

    def _count_changes(self):
        """Return how many changes of the members this fault has led to."""
        count = 0
        for path in self._find_logs():
            with path.open('rb') as log:
                log.seek(self._log_sizes.get(path, 0))
                count += log.read().count(CHANGE_EVENT)
        return count

    async def _wait_for_changes(self, count):
        deadline_s = monotonic() + CHANGE_TIMEOUT_S
        while self._count_changes() < count:
            if monotonic() > deadline_s:
                return
            await sleep(CHANGE_POLL_INTERVAL_S)

    async def _wait_for_acknowledgement(self):
        deadline_s = monotonic() + ACK_TIMEOUT_S
        before = self._soak.ledger.newest_acked
        while self._soak.ledger.newest_acked is before:
            if monotonic() > deadline_s:
                return
            await sleep(ACK_POLL_INTERVAL_S)

    async def _cut_power(self, fault):
        """Kill all control hosts at once; some lose their disks as well.

        :return: True if the group had a leader again in time.
        """
        hosts = self._soak.control
        gateways = self._soak.gateways if fault.includes_gateways else []
        self._is_recovering = True
        # The promises do not cover gateways until the group is back.
        with marked_as_disturbed(self._soak.gateways):
            lost = self._budget.choose(
                fault.disk_order, fault.lost_disks, monotonic()
            )
            for process in (*hosts, *gateways):
                process.send_signal(SIGKILL)
            for process in (*hosts, *gateways):
                process.kill()
            for index in lost:
                hosts[index].wipe()
            self.lost_disks += len(lost)
            await gather(
                *(
                    self._start_later(index, after_s)
                    for index, after_s in enumerate(fault.restarts_s)
                )
            )
            for gateway in gateways:
                gateway.start()
            has_recovered = await self._wait_for_leader(lost)
        self._hold_until_s = monotonic() + EVACUATION_HOLD_S
        self._is_recovering = False
        return has_recovered

    async def _start_later(self, index, after_s):
        await sleep(after_s)
        self._soak.control[index].start()
        self._budget.record(index, monotonic())

    async def _wait_for_leader(self, lost):
        """Wait until an order is acknowledged and can be read back."""
        start_s = monotonic()
        limit_s = self._soak.recovery_timeout_s
        while monotonic() < start_s + limit_s:
            if self._soak.ledger.has_leader_since(start_s):
                self.recoveries_s.append(monotonic() - start_s)
                return True
            await self._soak.operator.read()
            await sleep(POLL_INTERVAL_S)
        names = [self._soak.control[index].name for index in lost]
        self._soak.ledger.record_violation(
            'RECOVER',
            f'no leader within {limit_s} s, {names} lost their disks',
        )
        return False
