"""Commands that change the replicated state.

``at_ms`` is the time when the command was made, by the clock of the leader or
of the requesting host, in milliseconds since the epoch.
"""

from msgspec.msgpack import Decoder
from msgspec.msgpack import encode
from msgspec import MsgspecError
from msgspec import Struct

from fuchsiacart.configurations import ConfigurationOrder
from fuchsiacart.control.region_shares import RegionShare
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.models import BackendServerId
from fuchsiacart.models import ChangeId
from fuchsiacart.models import Contract
from fuchsiacart.models import CustomerId
from fuchsiacart.models import Drain
from fuchsiacart.models import FailureDomainId
from fuchsiacart.models import Host
from fuchsiacart.models import HostId
from fuchsiacart.models import RegionWeight
from fuchsiacart.servers import ServerRecord


class Change(Struct, frozen=True):
    """Origin of an operator's change; a repeated one has the same id."""

    change_id: ChangeId
    actor: str
    at_ms: int


class PutContract(Struct, frozen=True, tag=True):
    """Replace a customer's contract if its version is the expected one."""

    change: Change
    expected_version: int
    contract: Contract


class StartDrain(Struct, frozen=True, tag=True):
    """Start a planned drain."""

    change: Change
    drain: Drain


class CancelDrain(Struct, frozen=True, tag=True):
    """Cancel a drain."""

    change: Change
    drain: Drain


class JoinHost(Struct, frozen=True, tag=True):
    """Add an entry host or change its state."""

    host: Host
    at_ms: int


class LeaveHost(Struct, frozen=True, tag=True):
    """Remove an entry host that has stopped or whose lease has expired."""

    name: HostId
    incarnation: int
    at_ms: int


class SetWeights(Struct, frozen=True, tag=True):
    """Set the weights between regions."""

    weights: tuple[RegionWeight, ...]
    at_ms: int


class MarkInForce(Struct, frozen=True, tag=True):
    """Record that a revision is in force.

    Every entry host has reached it or is fenced by its expired lease.
    """

    revision: int
    at_ms: int


class Claim(Struct, frozen=True, tag=True):
    """Claim the right to run a request that must not be repeated."""

    customer: CustomerId
    key: str
    attempt: int
    digest: str
    owner: HostId
    token: str
    at_ms: int


class Settle(Struct, frozen=True, tag=True):
    """Record the result of a claimed request."""

    customer: CustomerId
    key: str
    token: str
    ran: bool
    status: int
    content_type: str
    body: bytes
    at_ms: int


class Close(Struct, frozen=True, tag=True):
    """Close a key without a claim, so that its refusal is final."""

    customer: CustomerId
    key: str
    attempt: int
    digest: str
    owner: HostId
    token: str
    at_ms: int


class ChangeConfiguration(Struct, frozen=True, tag=True):
    """Replace the configuration or change items of it."""

    order: ConfigurationOrder
    at_ms: int


class SetEvacuation(Struct, frozen=True, tag=True):
    """Start or end the evacuation of a failure domain."""

    failure_domain: FailureDomainId
    evacuated: bool
    at_ms: int


class RecordServer(Struct, frozen=True, tag=True):
    """Store the record of a new or changed backend server."""

    record: ServerRecord
    at_ms: int


class ForgetServer(Struct, frozen=True, tag=True):
    """Remove a backend server that has left or stopped its heartbeats.

    ``born_ms`` is its start time, or 0 if that is not known.
    """

    name: BackendServerId
    born_ms: int
    has_left: bool
    at_ms: int


class SetShares(Struct, frozen=True, tag=True):
    """Set the shares of requests between regions."""

    shares: tuple[RegionShare, ...]
    at_ms: int


Command = (
    PutContract
    | StartDrain
    | CancelDrain
    | JoinHost
    | LeaveHost
    | SetWeights
    | MarkInForce
    | Claim
    | Settle
    | Close
    | ChangeConfiguration
    | SetEvacuation
    | RecordServer
    | ForgetServer
    | SetShares
)

COMMANDS = Decoder(Command)


def encode_command(command):
    """Return a command as each replica will decode it.

    :param command: the command.
    :return: the command as bytes.
    :raises ChangeError: if it cannot be encoded, or not be decoded again.
    """
    try:
        body = encode(command)
        COMMANDS.decode(body)
    except (MsgspecError, OverflowError, RecursionError, TypeError) as error:
        raise ChangeError(
            f'{type(command).__name__} cannot be stored: {error}',
            ErrorKind.BAD_REQUEST,
        ) from error
    return body
