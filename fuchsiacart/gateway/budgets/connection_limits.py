"""Limits on the connections of callers and on the time of their requests.

Answers callers that open connections without end, or stop in the middle of a
request and stay.
"""

from collections import Counter
from resource import getrlimit
from resource import RLIM_INFINITY
from resource import RLIMIT_NOFILE

from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import RequestError
from fuchsiacart.logs import log_event
from fuchsiacart.metrics import CONNECTIONS_CLOSED

# Parts of the descriptors of a process for connections of its clients and of
# other processes.  A control host has more of the latter.
CLIENT_PART = 0.75
PEER_PART = 0.125
CONTROL_CLIENT_PART = 0.5
CONTROL_PEER_PART = 0.375
# Bound where the process has any number of descriptors.
MAX_CONNECTIONS = 65_536
# Before the first configuration sets the idle timeout.
DEFAULT_STALL_S = 30.0


def connection_limit(part=CLIENT_PART):
    """Return how many connections may be open.

    :param part: part of the descriptors of the process.
    """
    descriptors, _ = getrlimit(RLIMIT_NOFILE)
    if descriptors == RLIM_INFINITY:
        return MAX_CONNECTIONS
    return min(MAX_CONNECTIONS, int(descriptors * part))


def find_surplus(connections, limit):
    """Return the connection to close, or None if there are not too many.

    It is one of the caller that has most, on which nothing runs and nothing
    has arrived for the longest time.

    :param connections: each :class:`CallerConnection`.
    :param limit: see :func:`connection_limit`.
    """
    if len(connections) <= limit:
        return None
    unused = [each for each in connections if not each.has_requests]
    if not unused:
        return None
    totals = Counter(each.remote_ip for each in unused)
    caller = max(totals, key=totals.get)
    return min(
        (each for each in unused if each.remote_ip == caller),
        key=lambda each: each.active_s,
    )


def close_surplus(connections, limit):
    """Close a connection if there are too many.

    :param connections: each :class:`CallerConnection`.
    :param limit: see :func:`connection_limit`.
    """
    surplus = find_surplus(connections, limit)
    if surplus is None:
        return
    log_event(
        'connection_closed',
        caller=surplus.remote_ip,
        reason='too_many',
        connections=len(connections),
    )
    CONNECTIONS_CLOSED.labels('too_many').inc()
    surplus.close()


def refuse_stalled(connections, idle_timeout_s, now_s):
    """Refuse the requests that have not arrived and do not go on.

    :param connections: each :class:`CallerConnection`.
    :param idle_timeout_s: time without a byte that is allowed; None for
        ``DEFAULT_STALL_S``.
    :param now_s: the current time.
    """
    stall_s = idle_timeout_s or DEFAULT_STALL_S
    for connection in tuple(connections):
        exchange = connection.find_stalled(now_s - stall_s)
        if exchange is None:
            continue
        CONNECTIONS_CLOSED.labels('stalled').inc()
        exchange.give_up(
            RequestError(
                f'nothing of its body came for {stall_s:g} s',
                ErrorKind.NOT_RECEIVED,
            )
        )
