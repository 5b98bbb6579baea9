"""Probes backend servers while a gateway doubts that it reaches any."""

from asyncio import gather
from asyncio import sleep

from fuchsiacart.gateway.reachability import PROBED_SERVERS
from fuchsiacart.logs import log_event

PROBE_TIMEOUT_S = 0.3
PROBE_INTERVAL_S = 0.5


class ReachabilityProber:
    """Opens connections to servers to confirm or clear a suspicion.

    :param forwarder: the :class:`Forwarder`.
    :param random: random number generator.
    :param on_change: function that is called when the gateway has become
        isolated, and when it no longer is.
    """

    def __init__(self, forwarder, random, on_change):
        self._forwarder = forwarder
        self._reachability = forwarder.reachability
        self._random = random
        self._on_change = on_change

    async def run(self):
        """Probe whenever there is doubt, until cancelled."""
        while True:
            await self._reachability.wait_for_doubt()
            before = self._reachability.reach
            is_reached = await self._probe()
            has_changed = self._reachability.record_probe(is_reached)
            if self._reachability.reach is not before:
                log_event('reachability', reach=self._reachability.reach.value)
            if has_changed:
                self._on_change()
            await sleep(PROBE_INTERVAL_S)

    async def _probe(self):
        """Return True if one of some random servers takes a connection."""
        drawn = self._draw_servers()
        if not drawn:
            return True
        return any(
            await gather(
                *(
                    self._forwarder.can_connect(server.record, PROBE_TIMEOUT_S)
                    for server in drawn
                )
            )
        )

    def _draw_servers(self):
        """Return some random servers, those first that have not failed."""
        servers = list(self._forwarder.selector.servers.values())
        self._random.shuffle(servers)
        doubted = self._reachability.doubted_names
        servers.sort(key=lambda server: server.name in doubted)
        return servers[:PROBED_SERVERS]
