"""Weights between regions: which share of a home region goes where."""

from abc import ABC
from abc import abstractmethod

from msgspec import Struct

from fuchsiacart.control.commands import SetWeights
from fuchsiacart.models import RegionId
from fuchsiacart.models import RegionWeight

WHOLE_PERMILLE = 1000
FULL_PART = 0.8


class RegionLoad(Struct, frozen=True):
    """What is known of one region.

    ``measured`` is False when reports have stopped; such a region is never
    taken for free.  ``usable`` is False when it is drained or has no live
    entry host.
    """

    region: RegionId
    slots: int
    busy: float
    measured: bool
    usable: bool

    @property
    def headroom(self):
        """Return the slots that may still be filled."""
        if not self.usable or not self.measured:
            return 0.0
        return max(0.0, self.slots * FULL_PART - self.busy)


class Weights:
    """Shares of each home region, in permille."""

    def __init__(self, rows=()):
        self._shares = {}
        for row in rows:
            self._shares[(row.home, row.target)] = row.permille

    def share(self, home, target):
        """Return the permille of a home region that goes to a target."""
        return self._shares.get((home, target), 0)

    def set_share(self, home, target, permille):
        """Set the permille of a home region that goes to a target."""
        self._shares[(home, target)] = permille

    def rows(self):
        """Return all shares that are not zero, in order."""
        return tuple(
            RegionWeight(home, target, permille)
            for (home, target), permille in sorted(self._shares.items())
            if permille
        )

    def has_home(self, home):
        """Tell whether a home region has any share."""
        return any(key[0] == home for key in self._shares)


class WeightPolicy(ABC):
    """Chooses where the weights should go in the long run."""

    @abstractmethod
    def target(self, loads, current):
        """Return the weights to move to.

        :param loads: what is known of each region.
        :param current: the weights in force.
        :return: the weights to reach, with no regard to the shift cap.
        """


class HomeWeights(WeightPolicy):
    """Baseline: each region serves its own blocks, come what may."""

    def target(self, loads, current):
        """See :meth:`WeightPolicy.target`."""
        weights = Weights()
        for load in loads:
            weights.set_share(load.region, load.region, WHOLE_PERMILLE)
        return weights


class HeadroomWeights(WeightPolicy):
    """Each region serves its own blocks up to its headroom.

    What a region cannot serve goes to the others in proportion to their
    headroom.  Without headroom elsewhere it stays, to be refused by rank
    where it can be counted.
    """

    def target(self, loads, current):
        """See :meth:`WeightPolicy.target`."""
        weights = Weights()
        headroom = {load.region: load.headroom for load in loads}
        for load in loads:
            self._place(load, loads, headroom, current, weights)
        return weights

    def _place(self, load, loads, headroom, current, weights):
        if load.usable and not load.measured:
            self._freeze(load, loads, current, weights)
            return
        away = self._part_away(load, current)
        others = [
            each
            for each in loads
            if each.region != load.region and headroom[each.region] > 0
        ]
        total = sum(headroom[each.region] for each in others)
        if away <= 0 or total <= 0:
            weights.set_share(load.region, load.region, WHOLE_PERMILLE)
            return
        left = WHOLE_PERMILLE
        for each in others:
            part = away * headroom[each.region] / total
            permille = int(part * WHOLE_PERMILLE)
            weights.set_share(load.region, each.region, permille)
            left -= permille
        weights.set_share(load.region, load.region, left)

    def _part_away(self, load, current):
        """Return the part of a region's own blocks to serve elsewhere."""
        if not load.usable:
            return 1.0
        held = WHOLE_PERMILLE
        if current.has_home(load.region):
            held = current.share(load.region, load.region)
        demand = load.busy * WHOLE_PERMILLE / max(held, 1)
        if demand <= load.slots * FULL_PART:
            return 0.0
        return 1.0 - load.slots * FULL_PART / demand

    def _freeze(self, load, loads, current, weights):
        if not current.has_home(load.region):
            weights.set_share(load.region, load.region, WHOLE_PERMILLE)
            return
        for each in loads:
            share = current.share(load.region, each.region)
            weights.set_share(load.region, each.region, share)


class ShiftLimiter:
    """Keeps each move of the weights under the shift cap.

    Over any window, the permille of a home region's blocks that change
    their target stays within the cap.  The window is not shorter than the
    time for which callers keep a look-up, so that answers still cached are
    counted.  Moves are read from the replicated history, so a new leader
    counts those of the leader before it.

    :param cap_permille: permille of a home region moved per window at most.
    :param window_ms: length of the window.
    """

    def __init__(self, cap_permille, window_ms):
        self._cap_permille = cap_permille
        self._window_ms = window_ms

    def limit(self, wanted, history, regions, now_ms):
        """Return the weights nearest to those wanted that keep the cap.

        :param wanted: the weights to reach.
        :param history: weights set before, oldest first.
        :param regions: all regions.
        :param now_ms: the present, on the clock of the history.
        :return: the weights to set now.
        """
        current = Weights(history[-1].weights if history else ())
        limited = Weights()
        for home in regions:
            if not current.has_home(home):
                self._copy(wanted, limited, home, regions)
                continue
            spent = self._spent(home, history, regions, now_ms)
            budget = max(0, self._cap_permille - spent)
            self._move(home, current, wanted, limited, regions, budget)
        return limited

    def _copy(self, source, target, home, regions):
        for region in regions:
            target.set_share(home, region, source.share(home, region))

    def _spent(self, home, history, regions, now_ms):
        spent = 0
        for before, after in zip(history, history[1:]):
            if after.at_ms <= now_ms - self._window_ms:
                continue
            old = Weights(before.weights)
            if not old.has_home(home):
                continue
            spent += moved_permille(home, old, Weights(after.weights), regions)
        return spent

    def _move(self, home, current, wanted, limited, regions, budget):
        distance = moved_permille(home, current, wanted, regions)
        self._copy(current, limited, home, regions)
        if distance == 0 or budget == 0:
            return
        part = min(1.0, budget / distance)
        total = 0
        for region in regions:
            old = current.share(home, region)
            step = int((wanted.share(home, region) - old) * part)
            limited.set_share(home, region, old + step)
            total += old + step
        own = limited.share(home, home)
        limited.set_share(home, home, own + WHOLE_PERMILLE - total)


def moved_permille(home, before, after, regions):
    """Return the permille of a home region whose target changes.

    :param home: the home region.
    :param before: weights before the move.
    :param after: weights after the move.
    :param regions: all regions.
    """
    gained = (
        max(0, after.share(home, region) - before.share(home, region))
        for region in regions
    )
    return sum(gained)


def make_weights_command(weights, at_ms):
    """Return the command that records weights in the replicated state."""
    return SetWeights(weights.rows(), at_ms)
