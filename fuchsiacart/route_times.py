"""Times of routes: the figures that operators send, and their milliseconds.

Bounds are checked on the decimal figures.  Their milliseconds are rounded to
floating point numbers, which may lie on the other side of a bound.
"""

from decimal import Context
from decimal import Decimal
from decimal import Inexact
from math import nextafter

from msgspec import Struct

from fuchsiacart.configurations import MAX_TIMEOUT_MS
from fuchsiacart.configurations import OBJECTIVE_MARGIN_MS
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind

MAX_DIGITS = 10_000
# Powers of ten between seconds and milliseconds.
MILLISECONDS_SCALE = 3
# Raises Inexact where a result would have to be rounded.
EXACT = Context(prec=MAX_DIGITS, traps=[Inexact])


class RouteTimes(Struct, frozen=True):
    """Timeout and latency objective of a route, see :class:`PathRoute`."""

    timeout_ms: float
    objective_ms: float


def make_route_times(timeout_s: Decimal, objective_s: Decimal):
    """Check the times of a route and convert them.

    :param timeout_s: the timeout in seconds, as it was sent.
    :param objective_s: the latency objective in seconds, as it was sent.
    :return: the :class:`RouteTimes`, which :func:`find_validation_error`
        finds valid, too.
    :raises ChangeError: if they are invalid, or have more digits than
        ``MAX_DIGITS``.
    """
    try:
        timeout = EXACT.scaleb(timeout_s, MILLISECONDS_SCALE)
        objective = EXACT.scaleb(objective_s, MILLISECONDS_SCALE)
        objective_limit = EXACT.add(timeout, OBJECTIVE_MARGIN_MS)
    except Inexact as error:
        raise _make_error(
            f'a time has more than {MAX_DIGITS} digits'
        ) from error
    if timeout > MAX_TIMEOUT_MS:
        raise _make_error(f'its timeout is over {MAX_TIMEOUT_MS} ms')
    if objective >= objective_limit:
        raise _make_error('its objective is too far above its timeout')
    timeout_ms, objective_ms = float(timeout), float(objective)
    while objective_ms - timeout_ms >= OBJECTIVE_MARGIN_MS:
        objective_ms = nextafter(objective_ms, 0.0)
    return RouteTimes(timeout_ms, objective_ms)


def _make_error(detail):
    return ChangeError(detail, ErrorKind.BAD_REQUEST)
