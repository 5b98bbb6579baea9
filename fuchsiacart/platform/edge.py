"""HTTP servers for the platform's calls, by role."""

from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.gateway.budgets.bounded_servers import BoundedServer
from fuchsiacart.gateway.budgets.client_connections import listen
from fuchsiacart.gateway.budgets.memory_limits import CALLER_SOCKET_BYTES
from fuchsiacart.gateway.budgets.memory_limits import CLIENT_SOCKET_BYTES
from fuchsiacart.gateway.edges import Edge
from fuchsiacart.logs import log_event
from fuchsiacart.platform.calls import make_control_application
from fuchsiacart.platform.calls import make_directory_application
from fuchsiacart.platform.calls import make_ready_application
from fuchsiacart.platform.headers import PlatformDialect

BODY_LIMIT_BYTES = 64 * 1024 * 1024
LISTEN_BACKLOG = 1024
# Added to the idle timeout of clients, so that the client closes an idle
# connection first.
IDLE_MARGIN_S = 5.0


class PlatformEdge(Edge):
    """Opens the HTTP servers at the addresses in the settings.

    :param settings: the :class:`Settings` of the process.
    """

    def __init__(self, settings):
        self._routes = settings.routes
        self._dialect = PlatformDialect()
        self._servers = []
        self._caller_server = None

    def dialect(self):
        """See :meth:`Edge.dialect`."""
        return self._dialect

    async def open_control(self, control, connections):
        """See :meth:`Edge.open_control`."""
        self._listen(
            make_control_application(control),
            self._routes.control_address,
            connections,
        )
        self._listen(
            make_directory_application(control),
            self._routes.directory_address,
            connections,
        )

    async def open_gateway(self, gateway):
        """See :meth:`Edge.open_gateway`."""
        self._caller_server = gateway.caller_server
        _open(
            self._caller_server,
            self._routes.caller_address,
            CALLER_SOCKET_BYTES,
        )
        self._listen(
            make_ready_application(gateway),
            self._routes.ready_address,
            gateway.connections,
        )
        gateway.on_limits(self._apply_limits)

    def close_after_responses(self):
        """See :meth:`Edge.close_after_responses`."""
        self._caller_server.is_stopping = True

    async def stop_accepting(self):
        """See :meth:`Edge.stop_accepting`."""
        await self._caller_server.stop_accepting()

    async def close(self):
        """See :meth:`Edge.close`."""
        for server in self._servers:
            server.stop()
        for server in self._servers:
            await server.close_all_connections()
        if self._caller_server is not None:
            self._caller_server.stop()
            await self._caller_server.close_all()

    def _apply_limits(self, limits):
        """Apply limits to further requests of callers."""
        idle_s = limits.idle_timeout_ms / MILLISECONDS
        self._caller_server.set_limits(
            limits.header_bytes, limits.body_bytes, idle_s + IDLE_MARGIN_S
        )

    def _listen(self, application, address, connections):
        server = BoundedServer(
            application, connections, BODY_LIMIT_BYTES, reads_documents=True
        )
        _open(server, address, CLIENT_SOCKET_BYTES)
        self._servers.append(server)


def _open(server, address, socket_bytes):
    """Let a server listen at an address."""
    host, _, port = address.rpartition(':')
    listen(server, int(port), host, LISTEN_BACKLOG, socket_bytes)
    log_event('edge_listening', address=address)
