"""Starts of backend servers that have ended for good.

A start that has left must not be registered again, whatever calls of it arrive
late.  Replicas of earlier builds apply the same log, so that is written with
commands that all builds apply alike: a record that no call of the start comes
after, and its removal.
"""

from msgspec.structs import replace

from fuchsiacart.control.commands import ForgetServer
from fuchsiacart.control.commands import RecordServer
from fuchsiacart.models import Address
from fuchsiacart.models import FailureDomainId
from fuchsiacart.models import ServiceId
from fuchsiacart.servers import LAST_SEQUENCE
from fuchsiacart.servers import ServerRecord
from fuchsiacart.servers import ServerState

# No server is reached there, and no two names have the same.
END_ADDRESS = 'ended/{}'


def plan_departure(routes, start, at_ms):
    """Return the commands after which a start cannot be registered again.

    The start may be removed for its silence, or registered, between what is
    known here and each of the commands.  The record comes first, so that there
    is something to remove.

    :param routes: the :class:`RouteState`, as far as it is applied here.
    :param start: the :class:`ServerStart` that leaves.
    :param at_ms: the time of day.
    :return: a tuple of commands, to be committed one after the other.
    """
    removal = ForgetServer(start.name, start.born_ms, True, at_ms)
    known = routes.servers.get(start.name)
    if known is None or known.start != start:
        known = _make_unknown(start)
    elif known.state is ServerState.DRAINING:
        return (removal,)
    record = replace(
        known,
        sequence=LAST_SEQUENCE,
        address=Address(END_ADDRESS.format(start.name)),
        state=ServerState.DRAINING,
    )
    return (RecordServer(record, at_ms), removal)


def plan_expiry(record, at_ms):
    """Return the command that removes a server for its silence.

    A start that has said that it leaves does not come back.

    :param record: its :class:`ServerRecord`.
    :param at_ms: the time of day.
    """
    has_left = record.state is ServerState.DRAINING
    return ForgetServer(record.name, record.born_ms, has_left, at_ms)


def _make_unknown(start):
    """Return the record of a start of which only the name is known."""
    return ServerRecord(
        start.name,
        start.born_ms,
        LAST_SEQUENCE,
        ServiceId(''),
        Address(''),
        FailureDomainId(''),
        1,
    )
