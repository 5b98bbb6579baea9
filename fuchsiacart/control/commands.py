"""Commands that change the replicated state.

Each carries the time at which the leader or the asking host read its clock.
"""

from msgspec.msgpack import Decoder
from msgspec import Struct

from fuchsiacart.configurations import ConfigurationOrder
from fuchsiacart.control.region_shares import RegionShare
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
    """Who changes something; a resend has the same id."""

    change_id: ChangeId
    actor: str
    at_ms: int


class PutContract(Struct, frozen=True, tag=True):
    """Replace a customer's contract if its version is as expected."""

    change: Change
    expected_version: int
    contract: Contract


class StartDrain(Struct, frozen=True, tag=True):
    """Announce a planned drain."""

    change: Change
    drain: Drain


class CancelDrain(Struct, frozen=True, tag=True):
    """Take a drain back."""

    change: Change
    drain: Drain


class JoinHost(Struct, frozen=True, tag=True):
    """An entry host takes part, or changes its state."""

    host: Host
    at_ms: int


class LeaveHost(Struct, frozen=True, tag=True):
    """An entry host is gone; its lease has run out or it has stopped."""

    name: HostId
    incarnation: int
    at_ms: int


class SetWeights(Struct, frozen=True, tag=True):
    """New weights between regions."""

    weights: tuple[RegionWeight, ...]
    at_ms: int


class MarkInForce(Struct, frozen=True, tag=True):
    """Every entry host has this revision or is fenced by its lease."""

    revision: int
    at_ms: int


class Claim(Struct, frozen=True, tag=True):
    """Claim the right to run a request that may not be repeated."""

    customer: CustomerId
    key: str
    attempt: int
    digest: str
    owner: HostId
    token: str
    at_ms: int


class Settle(Struct, frozen=True, tag=True):
    """Record how a claimed request ended."""

    customer: CustomerId
    key: str
    token: str
    ran: bool
    status: int
    content_type: str
    body: bytes
    at_ms: int


class Close(Struct, frozen=True, tag=True):
    """Close a key that holds no claim, so that its refusal is final."""

    customer: CustomerId
    key: str
    attempt: int
    digest: str
    owner: HostId
    token: str
    at_ms: int


class ChangeConfiguration(Struct, frozen=True, tag=True):
    """Put a new configuration in force, or change items of it."""

    order: ConfigurationOrder
    at_ms: int


class SetEvacuation(Struct, frozen=True, tag=True):
    """Evacuate a failure domain, or take that back."""

    failure_domain: FailureDomainId
    evacuated: bool
    at_ms: int


class RecordServer(Struct, frozen=True, tag=True):
    """A backend server has registered or has changed."""

    record: ServerRecord
    at_ms: int


class ForgetServer(Struct, frozen=True, tag=True):
    """A backend server has left, or has fallen silent.

    ``born_ms`` is 0 where it was not told.
    """

    name: BackendServerId
    born_ms: int
    has_left: bool
    at_ms: int


class SetShares(Struct, frozen=True, tag=True):
    """New shares of requests between regions."""

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
