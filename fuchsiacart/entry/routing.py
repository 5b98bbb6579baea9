"""Routing: chooses the owner that a request is sent to."""

from abc import ABC
from abc import abstractmethod

from msgspec import Struct

from fuchsiacart.models import Address
from fuchsiacart.models import HostId
from fuchsiacart.models import RegionId


class Candidate(Struct, frozen=True):
    """An entry host that owns backend servers of the service.

    ``sent`` counts the requests sent to the host since its last summary.
    """

    host: HostId
    region: RegionId
    address: Address
    slots: int
    in_flight: int
    queued: int
    sent: int

    @property
    def load(self):
        """Known requests per slot."""
        return (self.in_flight + self.queued + self.sent) / self.slots

    @property
    def free(self):
        """Estimated number of free slots."""
        return self.slots - self.in_flight - self.queued - self.sent


class Router(ABC):
    """Chooses one of the candidates."""

    @abstractmethod
    def choose(self, candidates, home):
        """Return the owner to send a request to, or None.

        :param candidates: each a :class:`Candidate` with usable slots.
        :param home: region of the entry host that forwards the request.
        """


class RoundRobinRouter(Router):
    """Baseline: round robin, regardless of load and region."""

    def __init__(self):
        self._choice_count = 0

    def choose(self, candidates, home):
        """See :meth:`Router.choose`."""
        if not candidates:
            return None
        ordered = sorted(candidates, key=lambda each: each.host)
        self._choice_count += 1
        return ordered[self._choice_count % len(ordered)]


class PowerOfTwoRouter(Router):
    """Chooses the less loaded of two random owners, near ones first.

    Owners are drawn with their slots as weights.  The two random choices
    keep hosts with the same outdated summaries from all choosing the same
    owner (Mitzenmacher, 2001).  Another region is used only if it has an
    owner with a free slot and the region of the entry host has none.

    :param random: random generator of the draws.
    """

    def __init__(self, random):
        self._random = random

    def choose(self, candidates, home):
        """See :meth:`Router.choose`."""
        near = [each for each in candidates if each.region == home]
        far = [
            each
            for each in candidates
            if each.region != home and each.free > 0
        ]
        if near and (any(each.free > 0 for each in near) or not far):
            return self._draw(near)
        if far:
            return self._draw(far)
        return self._draw(candidates)

    def _draw(self, candidates):
        if not candidates:
            return None
        weights = [each.slots for each in candidates]
        drawn = self._random.choices(candidates, weights, k=2)
        return min(drawn, key=lambda each: each.load)
