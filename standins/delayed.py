"""Runs the daemon with a transport that simulates the users' distances.

Usage:
  delayed SETTINGS

FUCHSIACART_DISTANCES holds the one-way delays in ms between failure domains
and between regions, separated by a comma.  FUCHSIACART_FOLDER is the folder
that holds the settings and ports files of all processes.
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


class OneWayDelays(Struct, frozen=True):
    """One-way delays between hosts in different failure domains or regions."""

    domain_ms: float
    region_ms: float

    def between(self, local_host, remote_host):
        """Return the one-way delay between two hosts in milliseconds.

        :param local_host: the [host] table of one host's settings.
        :param remote_host: that of the other host.
        """
        if local_host['region'] != remote_host['region']:
            return self.region_ms
        if local_host['failure_domain'] != remote_host['failure_domain']:
            return self.domain_ms
        return 0.0


class DelayedAdapter(PeerAdapter):
    """Delays each request and each response by its one-way delay.

    :param inner: the real transport.
    :param local_host: the [host] table of this process's settings.
    :param delays: the :class:`OneWayDelays`.
    :param folder: folder with the settings and ports files of all processes.
    """

    def __init__(self, inner, local_host, delays, folder):
        self._inner = inner
        self._local_host = local_host
        self._delays = delays
        self._folder = Path(folder)
        self._hosts_by_address = {}

    async def call(self, address, method, message, timeout_s):
        """See :meth:`PeerAdapter.call`."""
        delay_s = self._delay_ms(address) / 1000
        await sleep(delay_s)
        remaining_s = max(0.001, timeout_s - 2 * delay_s)
        try:
            return await self._inner.call(
                address, method, message, remaining_s
            )
        finally:
            await sleep(delay_s)

    def notice_undecoded(self, address, method):
        """See :meth:`PeerAdapter.notice_undecoded`."""
        self._inner.notice_undecoded(address, method)

    async def close(self):
        """See :meth:`PeerAdapter.close`."""
        await self._inner.close()

    def _delay_ms(self, address):
        if address not in self._hosts_by_address:
            self._read_hosts()
        remote_host = self._hosts_by_address.get(address, self._local_host)
        return self._delays.between(self._local_host, remote_host)

    def _read_hosts(self):
        for path in self._folder.glob('*.ports'):
            settings = path.with_suffix('.toml').read_text()
            address = decode(path.read_bytes())['peer_address']
            self._hosts_by_address[address] = loads(settings)['host']


def main():
    """Run the daemon with the delayed transport."""
    settings = load_settings(docopt(__doc__)['SETTINGS'])
    domain_ms, region_ms = environ['FUCHSIACART_DISTANCES'].split(',')
    delays = OneWayDelays(float(domain_ms), float(region_ms))
    local_host = settings.host.model_dump()
    folder = environ['FUCHSIACART_FOLDER']

    def make_adapter(token, certificate_file):
        inner = GrpcAdapter(token, certificate_file)
        return DelayedAdapter(inner, local_host, delays, folder)

    FLAGS.mark_as_parsed()
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    sys_exit(serve(settings, make_adapter))


if __name__ == '__main__':
    main()
