"""Weights between regions: where the requests of a home region are served.

Weights are given in permille of a home region's address blocks.
"""

from abc import ABC
from abc import abstractmethod

from msgspec import Struct

from fuchsiacart.control.commands import SetWeights
from fuchsiacart.models import RegionId
from fuchsiacart.models import RegionWeight

WHOLE_PERMILLE = 1000
# Utilization up to which a region has headroom; above it, a region's own
# blocks are served elsewhere.
HEADROOM_UTILIZATION = 0.8


class RegionLoad(Struct, frozen=True):
    """Load of one region, as reported by its entry hosts.

    ``measured`` is False if not all of its hosts have reported recently;
    such a region counts as having no headroom.  ``usable`` is False if the
    region is drained or has no live entry host.
    """

    region: RegionId
    slots: int
    busy: float
    measured: bool
    usable: bool

    @property
    def headroom(self):
        """Return the number of slots that may still be used."""
        if not self.usable or not self.measured:
            return 0.0
        return max(0.0, self.slots * HEADROOM_UTILIZATION - self.busy)


class Weights:
    """Shares of each home region that go to target regions, in permille."""

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
        """Return the shares above zero as sorted :class:`RegionWeight`."""
        return tuple(
            RegionWeight(home, target, permille)
            for (home, target), permille in sorted(self._shares.items())
            if permille
        )

    def has_home(self, home):
        """Return True if a home region has any share."""
        return any(key[0] == home for key in self._shares)


class WeightPolicy(ABC):
    """Strategy that chooses the target weights."""

    @abstractmethod
    def target(self, loads, current):
        """Return the target weights, without regard to the shift cap.

        :param loads: the :class:`RegionLoad` of each region.
        :param current: the :class:`Weights` in force.
        :return: the :class:`Weights` to reach.
        """


class HomeWeights(WeightPolicy):
    """Baseline policy: each region serves its own blocks at any load."""

    def target(self, loads, current):
        """See :meth:`WeightPolicy.target`."""
        weights = Weights()
        for load in loads:
            weights.set_share(load.region, load.region, WHOLE_PERMILLE)
        return weights


class HeadroomWeights(WeightPolicy):
    """Policy: each region serves its own blocks up to its headroom.

    The excess goes to the other regions in proportion to their headroom.
    If they have none it stays at home, where it is refused by rank and can
    be counted.  A usable region that is not measured keeps its weights.
    """

    def target(self, loads, current):
        """See :meth:`WeightPolicy.target`."""
        weights = Weights()
        headroom = {load.region: load.headroom for load in loads}
        for load in loads:
            self._set_home_shares(load, loads, headroom, current, weights)
        return weights

    def _set_home_shares(self, load, loads, headroom, current, weights):
        if load.usable and not load.measured:
            self._keep_current(load, loads, current, weights)
            return
        away_fraction = self._fraction_away(load, current)
        others = [
            each
            for each in loads
            if each.region != load.region and headroom[each.region] > 0
        ]
        total = sum(headroom[each.region] for each in others)
        if away_fraction <= 0 or total <= 0:
            weights.set_share(load.region, load.region, WHOLE_PERMILLE)
            return
        remaining = WHOLE_PERMILLE
        for each in others:
            fraction = away_fraction * headroom[each.region] / total
            permille = int(fraction * WHOLE_PERMILLE)
            weights.set_share(load.region, each.region, permille)
            remaining -= permille
        weights.set_share(load.region, load.region, remaining)

    def _fraction_away(self, load, current):
        """Return the fraction of a region's own blocks to serve elsewhere."""
        if not load.usable:
            return 1.0
        own_permille = WHOLE_PERMILLE
        if current.has_home(load.region):
            own_permille = current.share(load.region, load.region)
        demand = load.busy * WHOLE_PERMILLE / max(own_permille, 1)
        if demand <= load.slots * HEADROOM_UTILIZATION:
            return 0.0
        return 1.0 - load.slots * HEADROOM_UTILIZATION / demand

    def _keep_current(self, load, loads, current, weights):
        if not current.has_home(load.region):
            weights.set_share(load.region, load.region, WHOLE_PERMILLE)
            return
        for each in loads:
            share = current.share(load.region, each.region)
            weights.set_share(load.region, each.region, share)


class ShiftLimiter:
    """Limits changes of the weights to the shift cap.

    Within any window, the permille of a home region's blocks that change
    their target does not exceed the cap.  The window is at least as long as
    callers cache a look-up, so that cached answers are accounted for.
    Earlier changes are read from the replicated history, which includes
    those of previous leaders.

    :param cap_permille: maximum permille of a home region that may move in
        one window.
    :param window_ms: length of the window in milliseconds.
    """

    def __init__(self, cap_permille, window_ms):
        self._cap_permille = cap_permille
        self._window_ms = window_ms

    def limit(self, target, history, regions, now_ms):
        """Return the weights closest to the target within the cap.

        A home region that has no weights yet gets the target at once.

        :param target: the :class:`Weights` to reach.
        :param history: the earlier :class:`SetWeights`, oldest first.
        :param regions: all regions.
        :param now_ms: current time, on the clock of the history.
        :return: the :class:`Weights` to set now.
        """
        current = Weights(history[-1].weights if history else ())
        limited = Weights()
        for home in regions:
            if not current.has_home(home):
                self._copy(target, limited, home, regions)
                continue
            spent = self._spent(home, history, regions, now_ms)
            budget = max(0, self._cap_permille - spent)
            self._move(home, current, target, limited, regions, budget)
        return limited

    def _copy(self, source, destination, home, regions):
        for region in regions:
            destination.set_share(home, region, source.share(home, region))

    def _spent(self, home, history, regions, now_ms):
        """Return the permille of a home region moved in the last window."""
        spent = 0
        for before, after in zip(history, history[1:]):
            if after.at_ms <= now_ms - self._window_ms:
                continue
            old = Weights(before.weights)
            if not old.has_home(home):
                continue
            spent += moved_permille(home, old, Weights(after.weights), regions)
        return spent

    def _move(self, home, current, target, limited, regions, budget):
        """Set weights between current and target, within the budget."""
        distance = moved_permille(home, current, target, regions)
        self._copy(current, limited, home, regions)
        if distance == 0 or budget == 0:
            return
        fraction = min(1.0, budget / distance)
        total = 0
        for region in regions:
            old = current.share(home, region)
            step = int((target.share(home, region) - old) * fraction)
            limited.set_share(home, region, old + step)
            total += old + step
        own = limited.share(home, home)
        limited.set_share(home, home, own + WHOLE_PERMILLE - total)


def moved_permille(home, before, after, regions):
    """Return how much of a home region changes its target.

    :param home: the home region.
    :param before: the :class:`Weights` before the change.
    :param after: the :class:`Weights` after the change.
    :param regions: all regions.
    :return: the share in permille.
    """
    gained = (
        max(0, after.share(home, region) - before.share(home, region))
        for region in regions
    )
    return sum(gained)


def make_weights_command(weights, at_ms):
    """Return the command that sets weights in the replicated state."""
    return SetWeights(weights.rows(), at_ms)
