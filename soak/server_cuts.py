"""Cuts a process off from all backend servers, as a faulty network does.

Only connections to the servers are affected; callers, other gateways and
control hosts still reach the process.
"""

from contextlib import suppress
from ctypes import addressof
from ctypes import create_string_buffer
from ctypes import PyDLL
from enum import Enum
from enum import unique
from socket import AF_INET
from socket import SO_REUSEADDR
from socket import socket
from socket import SOL_SOCKET
from struct import pack
from threading import Lock
from threading import Thread
from time import sleep
from weakref import WeakSet

POLL_INTERVAL_S = 0.05
# From the kernel's include/uapi/asm-generic/socket.h and linux/bpf_common.h.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
BPF_RETURN_CONSTANT = 0x06
DROP_ALL_PROGRAM = create_string_buffer(
    pack('HBBI', BPF_RETURN_CONSTANT, 0, 0, 0)
)
DROP_ALL_FILTER = pack('HL', 1, addressof(DROP_ALL_PROGRAM))
# Connecting a socket to no address makes the kernel reset its connection.
UNSPECIFIED_ADDRESS = bytes(16)
CLOSED_PORT = 1
# Holds the interpreter lock, so that no other thread closes the descriptor.
LIBC = PyDLL(None)


@unique
class ServerCut(Enum):
    """How a process is cut off from the backend servers.

    ``SILENT`` drops all that they send, so that connections hang.
    ``RESET`` resets open connections and refuses new ones.  ``REFUSING``
    refuses new connections, while open ones live on.
    """

    NONE = 'none'
    SILENT = 'silent'
    RESET = 'reset'
    REFUSING = 'refusing'


REFUSING_CUTS = (ServerCut.RESET, ServerCut.REFUSING)


class ServerNetwork:
    """The connections of this process to backend servers.

    :param conditions: the :class:`ConditionsFile` that says when they are
        cut.
    """

    def __init__(self, conditions):
        self._conditions = conditions
        self._lock = Lock()
        self._sockets = WeakSet()
        self._cut = ServerCut.NONE

    def patch(self):
        """Replace ``socket.connect`` and follow the conditions."""
        real_connect = socket.connect

        def cut_connect(own_socket, address):
            current = self._conditions.current()
            if own_socket.family != AF_INET:
                return real_connect(own_socket, address)
            if current.source_address:
                # Listeners may have this port once the connection has ended.
                own_socket.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
                own_socket.bind((current.source_address, 0))
            prefix = current.server_prefix
            if not prefix or not address[0].startswith(prefix):
                return real_connect(own_socket, address)
            with self._lock:
                self._sockets.add(own_socket)
                if self._cut is ServerCut.SILENT:
                    _drop_received(own_socket)
                is_refused = self._cut in REFUSING_CUTS
            if is_refused:
                address = (address[0], CLOSED_PORT)
            return real_connect(own_socket, address)

        socket.connect = cut_connect
        Thread(target=self._follow_conditions, daemon=True).start()

    def _follow_conditions(self):
        while True:
            cut = self._conditions.current().server_cut
            if cut is not self._cut:
                self._apply(cut)
            sleep(POLL_INTERVAL_S)

    def _apply(self, cut):
        with self._lock:
            was_silent = self._cut is ServerCut.SILENT
            self._cut = cut
            for each in tuple(self._sockets):
                # The product may close a socket at any moment.
                with suppress(OSError):
                    if was_silent:
                        each.setsockopt(SOL_SOCKET, SO_DETACH_FILTER, 0)
                    if cut is ServerCut.SILENT:
                        _drop_received(each)
                    if cut is ServerCut.RESET:
                        _reset(each)


def _reset(own_socket):
    LIBC.connect(
        own_socket.fileno(), UNSPECIFIED_ADDRESS, len(UNSPECIFIED_ADDRESS)
    )


def _drop_received(own_socket):
    own_socket.setsockopt(SOL_SOCKET, SO_ATTACH_FILTER, DROP_ALL_FILTER)
