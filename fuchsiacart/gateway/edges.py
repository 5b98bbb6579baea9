"""Where a deployment's own protocol meets the roles of this package."""

from abc import ABC
from abc import abstractmethod


class Edge(ABC):
    """Listeners that speak a deployment's own protocol."""

    @abstractmethod
    def dialect(self):
        """Return the :class:`Dialect` of callers and backend servers."""

    @abstractmethod
    async def open_control(self, control):
        """Listen on a control host.

        :param control: the :class:`RouteControl` that answers.
        """

    @abstractmethod
    async def open_gateway(self, gateway):
        """Listen on a gateway.

        :param gateway: the :class:`GatewayHost` that answers.
        """

    @abstractmethod
    def close_after_responses(self):
        """Have callers' connections closed after their next answer."""

    @abstractmethod
    def stop_accepting(self):
        """Take no new connections of callers any more."""

    @abstractmethod
    async def close(self):
        """Close all listeners and connections."""
