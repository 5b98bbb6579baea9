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


class ImpatientGateway(EmulatedGateway):
    """A gateway that refuses at once what arrives before its view."""

    def wait_for_view(self, request, view_ms):
        """Refuse the request."""
        self.refuse_blind(request)


BASELINES = {
    'ranks': UnrankedGateway,
    'shared loads': IsolatedGateway,
    'a wait for the view': ImpatientGateway,
}
