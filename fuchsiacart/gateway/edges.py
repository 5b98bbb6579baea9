"""Interface to the listeners of a deployment's own protocol."""

from abc import ABC
from abc import abstractmethod


class Edge(ABC):
    """Listeners of a deployment's protocol on control hosts and gateways."""

    @abstractmethod
    def dialect(self):
        """Return the :class:`Dialect` of callers and backend servers."""

    @abstractmethod
    async def open_control(self, control, connections):
        """Open the listeners of a control host.

        :param control: the :class:`RouteControl` that serves the calls.
        :param connections: the :class:`ClientConnections` of the process.
        """

    @abstractmethod
    async def open_gateway(self, gateway):
        """Open the listeners of a gateway.

        :param gateway: the :class:`GatewayHost` that serves the requests.
        """

    @abstractmethod
    def close_after_responses(self):
        """Close each caller's connection after its next response."""

    @abstractmethod
    async def stop_accepting(self):
        """Accept the waiting connections of callers, and no others."""

    @abstractmethod
    async def close(self):
        """Close all listeners and connections."""
