"""What an emulated gateway knows of its way to the servers."""

from random import Random

from fuchsiacart.gateway.gateway_selectors import GatewaySelector
from fuchsiacart.gateway.probes import PROBE_INTERVAL_S
from fuchsiacart.gateway.probes import PROBE_TIMEOUT_S
from fuchsiacart.gateway.reachability import Reach
from fuchsiacart.gateway.reachability import ServerReachability
from fuchsiacart.gateway.server_attempts import CONNECT_TIMEOUT_S
from fuchsiacart.models import HostState
from standins.emulation.deployments import MILLISECONDS

CONNECT_TIMEOUT_MS = CONNECT_TIMEOUT_S * MILLISECONDS
PROBE_TIMEOUT_MS = PROBE_TIMEOUT_S * MILLISECONDS
PROBE_INTERVAL_MS = PROBE_INTERVAL_S * MILLISECONDS


class EmulatedReach:
    """Finds out whether servers are reached, and which gateways relay.

    :param emulator: the :class:`Emulator`.
    :param gateway: the :class:`EmulatedGateway`.
    """

    def __init__(self, emulator, gateway):
        self._emulator = emulator
        self._gateway = gateway
        self._reachability = ServerReachability()
        self._reachability.apply_view(emulator.plan.servers)
        self.relays = GatewaySelector(
            gateway.host, Random(f'{emulator.plan.seed}/{gateway.host.name}')
        )

    @property
    def is_cut(self):
        """True if the gateway is cut off from all servers now."""
        return self._emulator.is_cut(self._gateway.host)

    @property
    def is_isolated(self):
        """True if the gateway knows that it reaches no server."""
        return self._reachability.is_isolated

    @property
    def state(self):
        """The state of the gateway as in its lease."""
        return HostState.ISOLATED if self.is_isolated else HostState.LIVE

    def record_silent(self, server_name):
        """Record a server that took no connection, and probe in doubt."""
        was_reached = self._reachability.reach is Reach.REACHED
        self._reachability.record_silent(server_name)
        if was_reached and self._reachability.reach is not Reach.REACHED:
            self._emulator.after(PROBE_TIMEOUT_MS, self._end_probe)

    def record_response(self):
        """Record that a server answered."""
        self._reachability.record_response()

    def _end_probe(self):
        has_changed = self._reachability.record_probe(not self.is_cut)
        if has_changed:
            self._emulator.announce_reach()
        if self._reachability.reach is Reach.REACHED:
            self._gateway.selector.end_suspensions()
            return
        delay_ms = PROBE_INTERVAL_MS + PROBE_TIMEOUT_MS
        self._emulator.after(delay_ms, self._end_probe)
