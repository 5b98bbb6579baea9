"""Reloading of settings while a process runs."""

from asyncio import Event
from asyncio import get_running_loop
from asyncio import wait_for
from pathlib import Path
from signal import SIGHUP

from fuchsiacart.exceptions import SettingsError
from fuchsiacart.logs import log_event
from fuchsiacart.logs import log_warning
from fuchsiacart.reload_signals import release_reloads
from fuchsiacart.settings import load_settings

POLL_S = 1.0


class SettingsWatcher:
    """Reloads the settings on SIGHUP and when the file has changed.

    Only changes of the seeds take effect; all others need a restart.

    :param path: path of the settings file.
    :param on_seeds: function that is called with the peer addresses of the
        seeds after each reload.
    """

    def __init__(self, path, on_seeds):
        self._path = Path(path)
        self._on_seeds = on_seeds
        self._reload_requested = Event()
        self._last_stamp = self._read_stamp()

    async def run(self):
        """Watch the file until cancelled."""
        get_running_loop().add_signal_handler(
            SIGHUP, self._reload_requested.set
        )
        release_reloads()
        while True:
            by_signal = await self._wait_for_signal()
            stamp = self._read_stamp()
            if by_signal or stamp != self._last_stamp:
                self._last_stamp = stamp
                self._reload(by_signal)

    async def _wait_for_signal(self):
        try:
            await wait_for(self._reload_requested.wait(), POLL_S)
        except TimeoutError:
            return False
        self._reload_requested.clear()
        return True

    def _reload(self, by_signal):
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            log_warning('settings_not_reloaded', detail=error.detail)
            return
        log_event(
            'settings_reloaded', by_signal=by_signal, seeds=settings.seeds
        )
        self._on_seeds(settings.seed_addresses)

    def _read_stamp(self):
        try:
            status = self._path.stat()
        except OSError:
            return None
        return (status.st_mtime_ns, status.st_size)
