"""Policy of an emulated deployment, and policies that lack a part of it."""

from typing import Callable

from msgspec import Struct

from fuchsiacart.control.region_shares import ShareBalancer
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


class UnrelayingGateway(EmulatedGateway):
    """A gateway that tries servers alone while it reaches none."""

    def relay(self, request):
        """Refuse the request."""
        self.refuse_blind(request)


class ImpatientGateway(EmulatedGateway):
    """A gateway that refuses at once what arrives before its view."""

    def wait_for_view(self, request, view_ms):
        """Refuse the request."""
        self.refuse_blind(request)


class DepartureIgnoringGateway(EmulatedGateway):
    """A gateway that goes by what servers say to the control group only."""

    def record_departure(self, start):
        """Ignore it."""


class BackoffIgnoringGateway(EmulatedGateway):
    """A gateway that ignores for how long servers want no request."""

    def record_backoff(self, start, wait_ms):
        """Ignore it."""


class EvenBalancer(ShareBalancer):
    """A balancer that moves the shares in capped steps only."""

    def next_shares(self, service, loads, current, evacuated=frozenset()):
        """See :meth:`ShareBalancer.next_shares`."""
        return super().next_shares(service, loads, current)


class Policy(Struct, frozen=True):
    """Makes gateways, and the balancer of the shares between regions.

    ``make_gateway`` takes the emulator and a :class:`Host`, ``make_balancer``
    the cap of a step.
    """

    make_gateway: Callable = EmulatedGateway
    make_balancer: Callable = ShareBalancer


PRESENT = Policy()
BASELINES = {
    'ranks': Policy(UnrankedGateway),
    'shared loads': Policy(IsolatedGateway),
    'a wait for the view': Policy(ImpatientGateway),
    'a step for evacuations': Policy(make_balancer=EvenBalancer),
    'relays': Policy(UnrelayingGateway),
    'departures': Policy(DepartureIgnoringGateway),
    'back-offs': Policy(BackoffIgnoringGateway),
}
