"""Plans of the faults of one run, drawn from its seed."""

from enum import Enum
from enum import unique

from msgspec import Struct

FAULT_PHASE_S = 20.0
# Mean time between the starts of two faults; shorter than most faults, so
# several overlap.
MEAN_FAULT_INTERVAL_S = 0.6
FAULT_SPAN_RANGE_S = (0.5, 3.0)
# Starts and spans of the two cuts of each run.  The second begins when faults
# of gateways are over, so that the gateways beside it are undisturbed.
SERVER_CUT_STARTS_S = ((0.0, 8.0), (21.0, 23.0))
SERVER_CUT_SPAN_RANGE_S = (6.0, 9.0)
# Other faults during the second cut.
LATE_FAULTS = 4
# Servers that leave, and servers that are full, in each run.
LEAVING_SERVERS = 4
FULL_SERVERS = 4
# Servers that start again under their ids in each run.
RESTARTED_SERVERS = 6
# Gateways that get little processor time, and for how long, in each run.
STARVED_GATEWAYS = 3
STARVED_SPAN_RANGE_S = (3.0, 7.0)


@unique
class FaultKind(Enum):
    """Kinds of faults."""

    GATEWAY_KILL = 'gateway_kill'
    GATEWAY_PAUSE = 'gateway_pause'
    GATEWAY_STOP = 'gateway_stop'
    GATEWAY_RELOAD = 'gateway_reload'
    GATEWAY_LINK = 'gateway_link'
    GATEWAY_RESET = 'gateway_reset'
    GATEWAY_DELAY = 'gateway_delay'
    CONTROL_KILL = 'control_kill'
    CONTROL_STOP = 'control_stop'
    CONTROL_PAUSE = 'control_pause'
    CONTROL_LINK = 'control_link'
    CONTROL_DELAY = 'control_delay'
    CONTROL_WIPE = 'control_wipe'
    CONTROL_CLOCK = 'control_clock'
    CONTROL_SLOW_DISK = 'control_slow_disk'
    CONTROL_FULL_DISK = 'control_full_disk'
    CONTROL_KILL_ALL = 'control_kill_all'
    SERVER_MOOD = 'server_mood'
    SERVER_CRASH = 'server_crash'
    SERVER_LEAVE = 'server_leave'
    SERVER_FLAP = 'server_flap'
    SERVER_FULL = 'server_full'
    SERVER_RESTART = 'server_restart'
    CUT_FROM_SERVERS = 'cut_from_servers'
    GATEWAY_STARVED = 'gateway_starved'


# Each of these is drawn with the same probability.  A change alters the plans
# of all seeds.
DRAWN_KINDS = tuple(
    kind
    for kind in FaultKind
    if kind
    not in (
        FaultKind.CUT_FROM_SERVERS,
        FaultKind.SERVER_FULL,
        FaultKind.SERVER_RESTART,
        FaultKind.GATEWAY_STARVED,
    )
)
# Faults that leave the gateways in contact with the control group.
LATE_KINDS = tuple(
    kind
    for kind in DRAWN_KINDS
    if not kind.value.startswith('gateway')
    and kind is not FaultKind.CONTROL_KILL_ALL
)


class PlannedFault(Struct, frozen=True):
    """One fault of a run.

    ``at_s`` counts from the start of the fault phase.  ``target`` selects the
    process and ``variant`` the form of the fault, both modulo the number of
    choices.  ``span_s`` is the duration, for kinds of faults that have one.
    """

    at_s: float
    kind: FaultKind
    target: int
    variant: int
    span_s: float


def draw_plan(random):
    """Draw the faults of one run.

    :param random: random number generator, seeded with the run's seed.
    :return: a tuple of :class:`PlannedFault`, ordered by start time.
    """
    plan = []
    at_s = 0.0
    while True:
        at_s += random.expovariate(1 / MEAN_FAULT_INTERVAL_S)
        if at_s >= FAULT_PHASE_S:
            return tuple(plan)
        plan.append(_draw_fault(random, at_s, DRAWN_KINDS, FAULT_SPAN_RANGE_S))


def draw_server_cuts(random):
    """Draw the cuts between gateways and all servers in one run.

    They come on top of those of :func:`draw_plan`, and overlap with them.

    :param random: random number generator of its own, seeded with the run's
        seed.
    :return: a tuple of :class:`PlannedFault`.
    """
    cuts = [
        _draw_fault(
            random,
            random.uniform(*starts_s),
            (FaultKind.CUT_FROM_SERVERS,),
            SERVER_CUT_SPAN_RANGE_S,
        )
        for starts_s in SERVER_CUT_STARTS_S
    ]
    last = cuts[-1]
    late = [
        _draw_fault(
            random,
            last.at_s + random.uniform(0, last.span_s),
            LATE_KINDS,
            FAULT_SPAN_RANGE_S,
        )
        for _ in range(LATE_FAULTS)
    ]
    return tuple(cuts + late)


def draw_statements(random):
    """Draw the servers that leave and those that are full in one run.

    They come on top of those of :func:`draw_plan`.

    :param random: random number generator of its own, seeded with the run's
        seed.
    :return: a tuple of :class:`PlannedFault`.
    """
    kinds = (FaultKind.SERVER_LEAVE,) * LEAVING_SERVERS
    kinds += (FaultKind.SERVER_FULL,) * FULL_SERVERS
    return _draw_each(random, kinds)


def draw_server_restarts(random):
    """Draw the servers that start again under their ids in one run.

    They come on top of those of :func:`draw_plan`.

    :param random: random number generator of its own, seeded with the run's
        seed.
    :return: a tuple of :class:`PlannedFault`.
    """
    return _draw_each(random, (FaultKind.SERVER_RESTART,) * RESTARTED_SERVERS)


def draw_starvations(random):
    """Draw the gateways that get little processor time in one run.

    They come on top of those of :func:`draw_plan`.

    :param random: random number generator of its own, seeded with the run's
        seed.
    :return: a tuple of :class:`PlannedFault`.
    """
    return tuple(
        _draw_fault(
            random,
            random.uniform(0, FAULT_PHASE_S - STARVED_SPAN_RANGE_S[1]),
            (FaultKind.GATEWAY_STARVED,),
            STARVED_SPAN_RANGE_S,
        )
        for _ in range(STARVED_GATEWAYS)
    )


def _draw_each(random, kinds):
    """Draw one fault of each kind, at any time of the fault phase."""
    return tuple(
        _draw_fault(
            random,
            random.uniform(0, FAULT_PHASE_S),
            (kind,),
            FAULT_SPAN_RANGE_S,
        )
        for kind in kinds
    )


def _draw_fault(random, at_s, kinds, span_range_s):
    return PlannedFault(
        round(at_s, 2),
        random.choice(kinds),
        random.randrange(100),
        random.randrange(100),
        round(random.uniform(*span_range_s), 2),
    )
