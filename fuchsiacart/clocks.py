"""Monotonic and wall clock in milliseconds."""

from time import CLOCK_BOOTTIME
from time import clock_gettime
from time import monotonic
from time import time

MILLISECONDS = 1000


def steady_ms():
    """Return the monotonic clock in milliseconds, to measure durations."""
    return monotonic() * MILLISECONDS


def boot_ms():
    """Return the time since the machine booted, in milliseconds.

    Unlike :func:`steady_ms` it runs on while the machine is suspended.
    """
    return clock_gettime(CLOCK_BOOTTIME) * MILLISECONDS


def wall_ms():
    """Return the wall clock in milliseconds since the Unix epoch.

    For times that are sent to other processes, stored or displayed.
    """
    return int(time() * MILLISECONDS)
