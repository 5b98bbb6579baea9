"""Settings that change while a process runs."""

from asyncio import Event
from asyncio import get_running_loop
from asyncio import wait_for
from pathlib import Path
from signal import SIGHUP

from fuchsiacart.exceptions import SettingsError
from fuchsiacart.logs import log_event
from fuchsiacart.logs import log_warning
from fuchsiacart.settings import load_settings

POLL_S = 1.0


class SettingsWatch:
    """Reads the settings again on SIGHUP, and when the file has changed.

    Only the seeds are taken over; the rest needs a restart.

    :param path: path of the settings file.
    :param on_seeds: called with the peer addresses of the seeds.
    """

    def __init__(self, path, on_seeds):
        self._path = Path(path)
        self._on_seeds = on_seeds
        self._asked = Event()
        self._seen = self._stamp()

    async def run(self):
        """Watch for ever."""
        get_running_loop().add_signal_handler(SIGHUP, self._asked.set)
        while True:
            asked = await self._wait()
            stamp = self._stamp()
            if asked or stamp != self._seen:
                self._seen = stamp
                self._reload(asked)

    async def _wait(self):
        try:
            await wait_for(self._asked.wait(), POLL_S)
        except TimeoutError:
            return False
        self._asked.clear()
        return True

    def _reload(self, asked):
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            log_warning('settings_not_reloaded', detail=error.detail)
            return
        log_event('settings_reloaded', by_signal=asked, seeds=settings.seeds)
        self._on_seeds(settings.seed_addresses)

    def _stamp(self):
        try:
            status = self._path.stat()
        except OSError:
            return None
        return (status.st_mtime_ns, status.st_size)
