"""Plays grids of emulated deployments: policies, loads and seeds."""

from concurrent.futures import ProcessPoolExecutor
from itertools import product

from msgspec import Struct
from msgspec.structs import replace

from standins.emulation.deployments import Deployment
from standins.emulation.emulator import Emulator
from standins.emulation.examples import TROUBLES
from standins.emulation.policies import BASELINES
from standins.emulation.policies import PRESENT

PRESENT_NAME = 'present'
POLICIES = {PRESENT_NAME: PRESENT} | {
    f'without {part}': policy for part, policy in BASELINES.items()
}


class Cell(Struct, frozen=True):
    """One play of a grid.

    ``policy`` is a name in ``POLICIES``, ``load`` a factor of the load.
    """

    plan: Deployment
    policy: str
    load: float
    seed: int


class Result(Struct, frozen=True):
    """What the callers of one play got.

    ``credit`` is the share of the credit earned, also of the worst region, of
    the two worst windows of 2 s in the mean, and of each kind and window.
    ``refused`` and ``failed`` are shares of the requests.  ``sends`` counts
    those to servers, per request.  ``isolated`` is the share of first tries
    served at gateways that reach no server, relative to the others.
    ``sends_after_no`` counts those to servers that had told the gateway that
    they leave or are full.  ``at_once`` is the share of the refusals that came
    without a try at a server.
    """

    policy: str
    load: float
    seed: int
    credit: float
    worst_region: float
    worst_windows: float
    refused: float
    failed: float
    sends: float
    isolated: float
    sends_after_no: int
    at_once: float
    by_kind: dict[str, float]
    by_window: tuple[float, ...]


def make_grid(plan, policies, loads, seeds, trouble=''):
    """Return the cells of a grid.

    :param plan: the :class:`Deployment`.
    :param policies: names in ``POLICIES``.
    :param loads: factors of the load.
    :param seeds: the seeds.
    :param trouble: name in ``TROUBLES``, empty for none.
    """
    plan = replace(plan, **TROUBLES[trouble])
    return [
        Cell(plan, policy, load, seed)
        for policy, load, seed in product(policies, loads, seeds)
    ]


def play_grid(cells, jobs=1):
    """Play cells in processes of their own, and yield their results in order.

    :param cells: each a :class:`Cell`.
    :param jobs: number of processes.
    """
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(play_cell, cells)


def play_cell(cell):
    """Play one :class:`Cell` and return its :class:`Result`."""
    plan = replace(cell.plan, load=cell.load, seed=cell.seed)
    emulator = Emulator(plan, POLICIES[cell.policy])
    tallies = emulator.play()
    total = tallies.total
    return Result(
        cell.policy,
        cell.load,
        cell.seed,
        total.credit,
        tallies.worst_region(),
        tallies.worst_windows(),
        total.refused / total.count,
        total.failed / total.count,
        emulator.sends / total.count,
        tallies.isolated_ratio(),
        emulator.heard.sends_to_leaving + emulator.heard.sends_to_full,
        emulator.callers.refusals_at_once / max(1, emulator.callers.refusals),
        {name: tally.credit for name, tally in tallies.by_kind.items()},
        tuple(tally.credit for _, tally in sorted(tallies.by_window.items())),
    )
