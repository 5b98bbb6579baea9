"""Heartbeats of instances on the platform."""

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
    """What an instance says of itself.

    ``seq`` grows with each call since ``born``, its start in Unix
    milliseconds; ``cold_left_s`` is how much longer it remains slow.
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
    """What an instance may say as it leaves."""

    born: Annotated[int, Meta(ge=0)] = 0


def read_heartbeat(name, body):
    """Decode a heartbeat.

    :param name: the instance's id, which stands in the path.
    :param body: bytes of the call.
    :return: the :class:`ServerRecord`.
    :raises ChangeError: when it cannot be read.
    """
    beat = _decode(body, Heartbeat)
    return ServerRecord(
        BackendServerId(name),
        beat.born,
        beat.seq,
        ServiceId(beat.service),
        Address(beat.address),
        FailureDomainId(beat.zone),
        beat.slots,
        STATES[beat.state],
        beat.cold_left_s * MILLISECONDS,
    )


def read_departure(body):
    """Return the start of the instance that leaves, 0 if it is not told."""
    if not body:
        return 0
    return _decode(body, Departure).born


def _decode(body, kind):
    try:
        return decode(body, type=kind)
    except (MsgspecError, UnicodeDecodeError) as error:
        raise ChangeError(str(error), ErrorKind.BAD_REQUEST) from error
