"""Clocks, in milliseconds."""

from time import monotonic
from time import time

MILLISECONDS = 1000


def steady_ms():
    """Return a clock that never goes back, for spans of time."""
    return monotonic() * MILLISECONDS


def wall_ms():
    """Return the wall clock since the epoch, for what others read."""
    return int(time() * MILLISECONDS)
