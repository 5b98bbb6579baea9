"""Gateways that lack a part of the present policy, to compare it with."""

from standins.emulation.gateways import EmulatedGateway


class UnrankedGateway(EmulatedGateway):
    """A gateway that treats all ranks alike."""

    def urgency(self, request):
        """Return the same urgency for each request."""
        return None


class IsolatedGateway(EmulatedGateway):
    """A gateway that does not learn what others have in flight."""

    def take_loads(self, load_map, counted_ms):
        """Ignore them."""


BASELINES = {'ranks': UnrankedGateway, 'shared loads': IsolatedGateway}
