"""JSON documents of heartbeats and departures of instances."""

from typing import Literal

from msgspec.json import decode
from msgspec import MsgspecError
from msgspec import Struct

from fuchsiacart.bounds import Amount
from fuchsiacart.bounds import Count
from fuchsiacart.bounds import is_header_name
from fuchsiacart.bounds import MAX_NAME_LENGTH
from fuchsiacart.bounds import Name
from fuchsiacart.bounds import Slots
from fuchsiacart.bounds import split_address
from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.models import Address
from fuchsiacart.models import BackendServerId
from fuchsiacart.models import FailureDomainId
from fuchsiacart.models import ServiceId
from fuchsiacart.servers import ServerRecord
from fuchsiacart.servers import ServerState

STATES = {'ready': ServerState.READY, 'draining': ServerState.DRAINING}


class Heartbeat(Struct):
    """State of an instance as it reports it.

    ``born`` is the start of the instance in Unix milliseconds, ``seq``
    increases with each call since then, and ``cold_left_s`` is the
    remaining time in which the instance is slow after its start.
    """

    service: Name
    address: str
    zone: Name
    slots: Slots
    state: Literal['ready', 'draining']
    seq: Count
    cold_left_s: Amount = 0.0
    born: Count = 0


class Departure(Struct):
    """Optional body of the call by which an instance leaves."""

    born: Count = 0


def read_heartbeat(name, body):
    """Decode a heartbeat.

    :param name: id of the instance, from the path of the call.
    :param body: body of the call as bytes.
    :return: the :class:`ServerRecord`.
    :raises ChangeError: if the name or the body is malformed.
    """
    if not is_header_name(name):
        raise ChangeError(
            f'name {name[:MAX_NAME_LENGTH]!r}', ErrorKind.BAD_REQUEST
        )
    heartbeat = _decode(body, Heartbeat)
    return ServerRecord(
        BackendServerId(name),
        heartbeat.born,
        heartbeat.seq,
        ServiceId(heartbeat.service),
        _read_address(heartbeat.address),
        FailureDomainId(heartbeat.zone),
        heartbeat.slots,
        STATES[heartbeat.state],
        heartbeat.cold_left_s * MILLISECONDS,
    )


def read_departure(body):
    """Decode the start of an instance that leaves.

    :param body: body of the call as bytes.
    :return: the start in Unix milliseconds, 0 if it is not given.
    :raises ChangeError: if the body is malformed.
    """
    if not body:
        return 0
    return _decode(body, Departure).born


def _read_address(text):
    try:
        ip, port = split_address(text)
    except ValueError as error:
        raise ChangeError(str(error), ErrorKind.BAD_REQUEST) from error
    return Address(f'{ip}:{port}')


def _decode(body, kind):
    try:
        return decode(body, type=kind)
    except (MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise ChangeError(str(error), ErrorKind.BAD_REQUEST) from error
