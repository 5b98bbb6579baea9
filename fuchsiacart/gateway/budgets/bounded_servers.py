"""HTTP servers whose clients share the memory and descriptors of a process."""

from asyncio import sleep

from tornado.httpserver import HTTPServer

from fuchsiacart.gateway.budgets.bounded_applications import BODY_TIMEOUT_S
from fuchsiacart.gateway.budgets.bounded_applications import BoundedApplication
from fuchsiacart.gateway.budgets.client_connections import ClientConnection

MEASURE_INTERVAL_S = 1.0


class BoundedServer(HTTPServer):
    """Serves an application to clients that may hold little.

    :param application: tornado's application.
    :param connections: the :class:`ClientConnections` of the process.
    :param body_limit_bytes: bound of a single body.
    :param reads_documents: True if the application decodes bodies as JSON.
    :param ssl_options: TLS context, or None.
    """

    def initialize(
        self,
        application,
        connections,
        body_limit_bytes,
        reads_documents=False,
        ssl_options=None,
    ):
        """See :class:`HTTPServer`, which has no constructor of its own."""
        self._clients = connections
        self._by_stream = {}
        super().initialize(
            BoundedApplication(
                application,
                connections.budget,
                self._by_stream.get,
                reads_documents,
            ),
            ssl_options=ssl_options,
            body_timeout=BODY_TIMEOUT_S,
            max_body_size=body_limit_bytes,
            max_buffer_size=body_limit_bytes,
        )

    def handle_stream(self, stream, address):
        """See :class:`TCPServer`."""
        connection = ClientConnection(self._clients, stream, address[0])
        self._by_stream[stream] = connection
        self._clients.add(connection)
        super().handle_stream(stream, address)

    def on_close(self, server_conn):
        """See :class:`HTTPServerConnectionDelegate`."""
        connection = self._by_stream.pop(server_conn.stream, None)
        if connection is not None:
            connection.end()
        super().on_close(server_conn)


async def watch_connections(connections):
    """Measure what the kernel holds for all connections, until cancelled.

    :param connections: the :class:`ClientConnections`.
    """
    while True:
        await sleep(MEASURE_INTERVAL_S)
        connections.measure()
