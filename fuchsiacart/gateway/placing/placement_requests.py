"""What a request requires of its server."""

from msgspec import Struct


class PlacementRequest(Struct, frozen=True):
    """Requirements of a request on its server.

    ``max_requests_per_slot`` is the load up to which a preferred server is
    used.  ``home_regions`` lists the regions that may serve the request;
    empty means any.  ``excluded`` names the servers already tried.
    ``is_sticky`` is True if a server that has lately served the object serves
    it faster; ``service_ms`` is the mean service time, 0 if unknown.
    """

    service: str
    object_key: str
    max_requests_per_slot: float
    home_regions: tuple[str, ...] = ()
    excluded: frozenset[str] = frozenset()
    is_sticky: bool = True
    service_ms: float = 0.0
