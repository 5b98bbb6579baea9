"""TCP proxy that delays, blocks and resets connections on loopback."""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import Event
from asyncio import gather
from asyncio import get_running_loop
from asyncio import open_connection
from asyncio import Queue
from asyncio import sleep
from asyncio import start_server
from enum import Enum
from enum import unique
from socket import AF_INET
from socket import SO_LINGER
from socket import SO_REUSEADDR
from socket import SOCK_STREAM
from socket import socket
from socket import SOL_SOCKET
from struct import pack
from time import monotonic

CHUNK_BYTES = 65_536
# Chunks that a link holds while they are delayed.
QUEUED_CHUNKS = 16
# Closing a socket with a linger time of 0 sends a reset.
RESET_LINGER = pack('ii', 1, 0)


@unique
class LinkState(Enum):
    """What a proxy forwards.

    ``SILENT`` forwards nothing, ``ONE_WAY`` only requests; ``REFUSING`` resets
    open connections and new ones.  ``GONE`` is silent for good, as a host that
    no longer exists.
    """

    OPEN = 'open'
    SILENT = 'silent'
    ONE_WAY = 'one_way'
    REFUSING = 'refusing'
    GONE = 'gone'


class LinkProxy:
    """Forwards connections to one process.

    Bytes that are held back are delivered once the link is open again, unless
    the connection was closed meanwhile.

    :param public: IP:port to listen on.
    :param private: IP:port of the process.
    """

    def __init__(self, public, private):
        self._public = public
        self._private = private
        self._server = None
        self._writers = set()
        self._opened = Event()
        self._opened.set()
        self.state = LinkState.OPEN
        self.delay_s = 0.0

    async def start(self):
        """Start to listen on the public address."""
        host, _, port = self._public.rpartition(':')
        self._server = await start_server(self._serve, host, int(port))

    def set_state(self, state):
        """Set the :class:`LinkState` for all connections."""
        self.state = state
        if state is LinkState.OPEN:
            self._opened.set()
        else:
            self._opened.clear()
        if state is LinkState.REFUSING:
            self.reset()

    def reset(self):
        """Reset all connections."""
        for writer in tuple(self._writers):
            _abort(writer)

    async def close(self):
        """Close the listener and all connections."""
        self._server.close()
        self.set_state(LinkState.OPEN)
        self.reset()
        await self._server.wait_closed()

    async def _serve(self, reader, writer):
        if self.state is LinkState.REFUSING:
            _abort(writer)
            return
        if self.state is LinkState.GONE:
            await self._opened.wait()
            _abort(writer)
            return
        try:
            process_reader, process_writer = await self._connect(writer)
        except (CancelledError, OSError):
            _abort(writer)
            return
        pair = {writer, process_writer}
        self._writers |= pair
        try:
            await gather(
                self._forward(reader, process_writer, False),
                self._forward(process_reader, writer, True),
            )
        except (CancelledError, OSError):
            _abort(writer)
            _abort(process_writer)
        finally:
            self._writers -= pair
            writer.close()
            process_writer.close()

    async def _connect(self, writer):
        """Connect to the process from the address of the peer."""
        source, _ = writer.get_extra_info('peername')
        host, _, port = self._private.rpartition(':')
        own_socket = socket(AF_INET, SOCK_STREAM)
        try:
            own_socket.setblocking(False)
            # Listeners may have this port once the connection has ended.
            own_socket.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
            own_socket.bind((source, 0))
            await get_running_loop().sock_connect(
                own_socket, (host, int(port))
            )
        except BaseException:
            own_socket.close()
            raise
        return await open_connection(sock=own_socket)

    async def _forward(self, reader, writer, is_response):
        """Forward bytes, each of them after the delay."""
        chunks = Queue(QUEUED_CHUNKS)
        reading = create_task(_read_chunks(reader, chunks))
        try:
            while True:
                chunk, read_s = await chunks.get()
                await self._wait_until_open(is_response)
                await sleep(max(0.0, read_s + self.delay_s - monotonic()))
                if isinstance(chunk, OSError):
                    raise chunk
                if not chunk:
                    writer.write_eof()
                    return
                writer.write(chunk)
                await writer.drain()
        finally:
            reading.cancel()

    async def _wait_until_open(self, is_response):
        """Wait until the link forwards bytes in this direction."""
        while self.state is not LinkState.OPEN:
            if self.state is LinkState.ONE_WAY and not is_response:
                return
            await self._opened.wait()


async def _read_chunks(reader, chunks):
    """Queue what is read with the time, until the end or an error."""
    chunk = b' '
    while chunk and not isinstance(chunk, OSError):
        try:
            chunk = await reader.read(CHUNK_BYTES)
        except OSError as error:
            chunk = error
        await chunks.put((chunk, monotonic()))


def _abort(writer):
    own_socket = writer.get_extra_info('socket')
    if own_socket is not None and own_socket.fileno() >= 0:
        own_socket.setsockopt(SOL_SOCKET, SO_LINGER, RESET_LINGER)
    writer.transport.abort()
