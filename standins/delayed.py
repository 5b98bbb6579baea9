"""The daemon with the users' distances put in at its transport.

Usage:
  delayed SETTINGS

FUCHSIACART_DISTANCES holds the one-way times in ms between failure domains
and between regions, with a comma between them; FUCHSIACART_FOLDER the
folder in which all processes leave their settings and ports.
"""

from asyncio import sleep
from os import environ
from pathlib import Path
from sys import exit as sys_exit
from tomllib import loads

from absl.flags import FLAGS
from absl import logging
from docopt import docopt
from msgspec.json import decode
from msgspec import Struct

from fuchsiacart.adapters import GrpcAdapter
from fuchsiacart.adapters import PeerAdapter
from fuchsiacart.daemon import serve
from fuchsiacart.settings import load_settings


class Distances(Struct, frozen=True):
    """One-way times between places."""

    domain_ms: float
    region_ms: float

    def between(self, here, there):
        """Return the one-way time between two places.

        :param here: the [host] table of one process.
        :param there: that of another.
        """
        if here['region'] != there['region']:
            return self.region_ms
        if here['failure_domain'] != there['failure_domain']:
            return self.domain_ms
        return 0.0


class DelayedAdapter(PeerAdapter):
    """Holds each request and each answer back for the time of its way.

    :param inner: the real transport.
    :param here: the [host] table of this process.
    :param distances: the :class:`Distances`.
    :param folder: folder with the settings and ports of all processes.
    """

    def __init__(self, inner, here, distances, folder):
        self._inner = inner
        self._here = here
        self._distances = distances
        self._folder = Path(folder)
        self._places = {}

    async def call(self, address, method, message, timeout_s):
        """See :meth:`PeerAdapter.call`."""
        way_s = self._way_ms(address) / 1000
        await sleep(way_s)
        left_s = max(0.001, timeout_s - 2 * way_s)
        try:
            return await self._inner.call(address, method, message, left_s)
        finally:
            await sleep(way_s)

    async def close(self):
        """See :meth:`PeerAdapter.close`."""
        await self._inner.close()

    def _way_ms(self, address):
        if address not in self._places:
            self._read_places()
        there = self._places.get(address, self._here)
        return self._distances.between(self._here, there)

    def _read_places(self):
        for path in self._folder.glob('*.ports'):
            settings = path.with_suffix('.toml').read_text()
            address = decode(path.read_bytes())['peer_address']
            self._places[address] = loads(settings)['host']


def main():
    """Run the daemon."""
    settings = load_settings(docopt(__doc__)['SETTINGS'])
    domain_ms, region_ms = environ['FUCHSIACART_DISTANCES'].split(',')
    distances = Distances(float(domain_ms), float(region_ms))
    here = settings.host.model_dump()
    folder = environ['FUCHSIACART_FOLDER']

    def make_adapter(token, certificate_file):
        inner = GrpcAdapter(token, certificate_file)
        return DelayedAdapter(inner, here, distances, folder)

    FLAGS.mark_as_parsed()
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    sys_exit(serve(settings, make_adapter))


if __name__ == '__main__':
    main()
