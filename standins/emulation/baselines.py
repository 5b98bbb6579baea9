"""Gateways with an earlier policy, to compare the present one with."""

from standins.emulation.gateways import EmulatedGateway


class UnrankedGateway(EmulatedGateway):
    """A gateway that treats all ranks alike."""

    def urgency(self, request):
        """Return the same urgency for each request."""
        return None
