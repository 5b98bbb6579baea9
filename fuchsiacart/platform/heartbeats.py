"""JSON documents of heartbeats and departures of instances."""

from typing import Annotated
from typing import Literal

from msgspec.json import decode
from msgspec import Meta
from msgspec import MsgspecError
from msgspec import Struct

from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.models import Address
from fuchsiacart.models import BackendServerId
from fuchsiacart.models import FailureDomainId
from fuchsiacart.models import ServiceId
from fuchsiacart.servers import ServerRecord
from fuchsiacart.servers import ServerState

ADDRESS = r'^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$'
STATES = {'ready': ServerState.READY, 'draining': ServerState.DRAINING}


class Heartbeat(Struct):
    """State of an instance as it reports it.

    ``born`` is the start of the instance in Unix milliseconds, ``seq``
    increases with each call since then, and ``cold_left_s`` is the
    remaining time in which the instance is slow after its start.
    """

    service: Annotated[str, Meta(min_length=1)]
    address: Annotated[str, Meta(pattern=ADDRESS)]
    zone: Annotated[str, Meta(min_length=1)]
    slots: Annotated[int, Meta(gt=0)]
    state: Literal['ready', 'draining']
    seq: Annotated[int, Meta(ge=0)]
    cold_left_s: Annotated[float, Meta(ge=0)] = 0.0
    born: Annotated[int, Meta(ge=0)] = 0


class Departure(Struct):
    """Optional body of the call by which an instance leaves."""

    born: Annotated[int, Meta(ge=0)] = 0


def read_heartbeat(name, body):
    """Decode a heartbeat.

    :param name: id of the instance, from the path of the call.
    :param body: body of the call as bytes.
    :return: the :class:`ServerRecord`.
    :raises ChangeError: if the body is malformed.
    """
    heartbeat = _decode(body, Heartbeat)
    return ServerRecord(
        BackendServerId(name),
        heartbeat.born,
        heartbeat.seq,
        ServiceId(heartbeat.service),
        Address(heartbeat.address),
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


def _decode(body, kind):
    try:
        return decode(body, type=kind)
    except (MsgspecError, UnicodeDecodeError) as error:
        raise ChangeError(str(error), ErrorKind.BAD_REQUEST) from error
