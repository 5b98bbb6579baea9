"""Selects the gateway that an isolated gateway relays a request to."""

from collections import Counter

from fuchsiacart.control.states import is_live

# Time for which a gateway that could not serve a relayed request is avoided.
AVOIDANCE_MS = 1000.0
# Gateways drawn, of which the one with fewer relayed requests is taken.
DRAWN_GATEWAYS = 2


class GatewaySelector:
    """Knows the other gateways and what is relayed to them.

    Performs no I/O.

    :param host: the :class:`HostSettings` of this gateway.
    :param random: random number generator.
    """

    def __init__(self, host, random):
        self._own_name = host.name
        self._region = host.region
        self._random = random
        self._hosts = ()
        self._addresses = frozenset()
        self._avoided_until_ms = {}
        self.in_flight = Counter()

    @property
    def hosts(self):
        """Each :class:`Host` that may be chosen."""
        return self._hosts

    @property
    def names(self):
        """Names of the gateways that may be chosen."""
        return tuple(host.name for host in self._hosts)

    def apply_view(self, hosts):
        """Apply a new view.

        :param hosts: each :class:`Host` of the view.
        """
        others = [host for host in hosts if host.name != self._own_name]
        self._hosts = tuple(host for host in others if is_live(host))
        self._addresses = frozenset(
            host.http_address.rpartition(':')[0] for host in others
        )
        names = self.names
        self._avoided_until_ms = {
            name: until_ms
            for name, until_ms in self._avoided_until_ms.items()
            if name in names
        }

    def is_gateway(self, ip_address):
        """Return True if an IP address is that of another gateway.

        :param ip_address: the address.
        """
        return ip_address in self._addresses

    def avoid(self, name, now_ms):
        """Avoid a gateway that could not serve a relayed request.

        :param name: the gateway.
        :param now_ms: the current time.
        """
        self._avoided_until_ms[name] = now_ms + AVOIDANCE_MS

    def choose(self, home_regions, excluded, now_ms):
        """Choose a gateway, of this gateway's region if possible.

        :param home_regions: regions that may see the request; empty means
            any.
        :param excluded: names of the gateways already tried.
        :param now_ms: the current time.
        :return: the :class:`Host`, or None if there is none.
        """
        usable = [
            host
            for host in self._hosts
            if host.name not in excluded
            and may_see(host.region, home_regions)
            and now_ms >= self._avoided_until_ms.get(host.name, 0.0)
        ]
        near = [host for host in usable if host.region == self._region]
        near = near or usable
        if not near:
            return None
        drawn = self._random.sample(near, min(DRAWN_GATEWAYS, len(near)))
        return min(drawn, key=lambda host: self.in_flight[host.name])


def may_see(region, home_regions):
    """Return True if hosts of a region may see a request.

    :param region: the region.
    :param home_regions: regions that may see the request; empty means any.
    """
    return not home_regions or region in home_regions
