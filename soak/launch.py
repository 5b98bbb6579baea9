"""Runs a platform process with a faulty clock, disk or network.

The environment variable ``SOAK_CONDITIONS`` names the file that holds the
current conditions.  Only ``time.time``, ``os.fsync`` and ``socket.connect``
are replaced.
"""

from contextlib import suppress
from errno import ENOSPC
import os
from os import environ
from pathlib import Path
import time

from msgspec import DecodeError
from msgspec.json import decode
from msgspec import Struct

from soak.server_cuts import ServerCut
from soak.server_cuts import ServerNetwork

CONDITIONS_VARIABLE = 'SOAK_CONDITIONS'
REREAD_INTERVAL_S = 0.05


class Conditions(Struct, frozen=True):
    """Faults of the clock, the disk and the network of one process.

    Addresses of backend servers begin with ``server_prefix``.  Connections
    come from ``source_address`` if that is set, but for those of gRPC.
    """

    clock_offset_s: float = 0.0
    sync_delay_s: float = 0.0
    sync_fails: bool = False
    server_prefix: str = ''
    server_cut: ServerCut = ServerCut.NONE
    source_address: str = ''


class ConditionsFile:
    """The file with the conditions of this process.

    It is read at most once per ``REREAD_INTERVAL_S``.  The last conditions
    stay in force while it is missing or malformed.

    :param path: path of the file.
    """

    def __init__(self, path):
        self._path = Path(path)
        self._read_s = 0.0
        self._conditions = Conditions()

    def current(self):
        """Return the :class:`Conditions` in force now."""
        now_s = time.monotonic()
        if now_s - self._read_s >= REREAD_INTERVAL_S:
            self._read_s = now_s
            with suppress(OSError, DecodeError):
                self._conditions = decode(
                    self._path.read_bytes(), type=Conditions
                )
        return self._conditions


def patch_clock_and_fsync(conditions):
    """Replace ``time.time`` and ``os.fsync`` by faulty versions.

    :param conditions: the :class:`ConditionsFile` that they follow.
    """
    real_time, real_fsync = time.time, os.fsync

    def skewed_time():
        return real_time() + conditions.current().clock_offset_s

    def faulty_fsync(descriptor):
        current = conditions.current()
        if current.sync_delay_s:
            time.sleep(current.sync_delay_s)
        if current.sync_fails:
            raise OSError(
                ENOSPC, 'no space left on device (injected by the soak)'
            )
        real_fsync(descriptor)

    time.time = skewed_time
    os.fsync = faulty_fsync


def main():
    """Run the entry point of the platform under the conditions."""
    conditions = ConditionsFile(environ[CONDITIONS_VARIABLE])
    patch_clock_and_fsync(conditions)
    ServerNetwork(conditions).patch()
    from fuchsiacart.platform.__main__ import main as run_platform

    run_platform()


if __name__ == '__main__':
    main()
