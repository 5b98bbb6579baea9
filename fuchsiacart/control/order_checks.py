"""Checks that the caller of an order without version or age still waits.

What a caller gave up may be read late, when the caller has repeated it
elsewhere and has given other orders since; see :mod:`order_positions`.
"""

from asyncio import sleep

from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.metrics import ORDERS_OUTDATED

# The close of a caller that gave up an order follows it within a round trip,
# also if a cut link has held up both.
CLOSE_NOTICE_S = 0.15


async def confirm_caller(replica, has_left):
    """Return how far the log is applied, once the caller is seen to wait.

    The index is noted before, so that later orders of the caller have a
    higher one.

    :param replica: the :class:`ReplicaTask` of this host.
    :param has_left: function that returns True once the caller is gone.
    :return: the index to send along with the order.
    :raises ChangeError: if the order may be outdated (not run).
    """
    seen_index = replica.applied_index
    if replica.was_paused():
        raise _make_outdated_error('paused', 'this host was paused')
    await sleep(CLOSE_NOTICE_S)
    if has_left():
        raise _make_outdated_error('caller_left', 'the caller has left')
    return seen_index


def _make_outdated_error(reason, detail):
    ORDERS_OUTDATED.labels(reason).inc()
    return ChangeError(detail, ErrorKind.OUTDATED)
