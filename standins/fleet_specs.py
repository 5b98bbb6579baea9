"""What a deployment that scenarios start consists of."""

from msgspec import Struct


class Service(Struct, frozen=True):
    """A service that stand-in backend servers offer.

    ``per_region`` is the number of servers in each region, ``slots`` those of
    each server, ``service_ms`` the mean time of a request.
    """

    name: str
    per_region: int
    slots: int
    service_ms: int


class FleetSpec(Struct, frozen=True):
    """The part of a user's deployment that a :class:`Fleet` starts.

    ``control`` and ``entry`` are numbers of hosts, ``claim_hosts`` is that of
    a claim group in each region.  ``one_way_delays_ms`` are the delays between
    failure domains and between regions; without them nothing is delayed.
    """

    user: str
    control: int = 3
    entry: int = 4
    services: tuple[Service, ...] = ()
    entry_settings: dict[str, object] = {}
    control_settings: dict[str, object] = {}
    one_way_delays_ms: tuple[float, float] = ()
    claim_hosts: int = 0
    seed: int = 1
