"""Estimates behind the choice of a server."""

from xxhash import xxh64_intdigest

HASH_SPAN = 2**64


def hash_fraction_of(object_key):
    """Return the hash of an object key in the range 0 to 1."""
    return xxh64_intdigest(object_key.encode()) / HASH_SPAN


def time_to_limit_ms(server, placement, service_ms, now_ms):
    """Return when a server's load is below the limit of a request."""
    slots = max(1, server.record.slots)
    limit = placement.max_requests_per_slot * slots
    excess = server.load(now_ms) - limit + 1
    return max(0.0, excess) * service_ms / slots
