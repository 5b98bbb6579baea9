"""Backend servers that register themselves, in the replicated state.

A server starts anew with a later ``born_ms``, also under an earlier name;
within one start its calls are numbered.  What was sent earlier never
replaces what was sent later.
"""

from enum import Enum
from enum import unique

from msgspec import Struct

from fuchsiacart.models import Address
from fuchsiacart.models import BackendServerId
from fuchsiacart.models import FailureDomainId
from fuchsiacart.models import ServiceId

# Names of departed servers that are remembered against late calls.
TOMBSTONE_LIMIT = 4096
# Extra cold time that is worth telling entry hosts of.
COLD_STEP_MS = 500.0


@unique
class ServerState(Enum):
    """Whether a backend server takes new work."""

    READY = 'ready'
    DRAINING = 'draining'


class ServerRecord(Struct, frozen=True):
    """What a backend server last said of itself.

    ``cold_ms`` is how much longer it is cold, counted from when this
    record reaches a host.
    """

    name: BackendServerId
    born_ms: int
    sequence: int
    service: ServiceId
    address: Address
    failure_domain: FailureDomainId
    slots: int
    state: ServerState = ServerState.READY
    cold_ms: float = 0.0

    @property
    def order_key(self):
        """Return what tells an earlier call from a later one."""
        return (self.born_ms, self.sequence)


class Tombstone(Struct, frozen=True):
    """A start of a server that is over.

    One that has left does not come back in the same start, however late
    its earlier calls arrive; one that only fell silent may.
    """

    born_ms: int
    sequence: int
    has_left: bool


def is_redundant(held, record):
    """Tell whether a call only repeats what is held.

    :param held: the :class:`ServerRecord` that is held, or None.
    :param record: the one that a server has just sent.
    """
    if held is None or held.born_ms != record.born_ms:
        return False
    if record.sequence < held.sequence:
        return True
    if held.state is ServerState.DRAINING:
        return True
    same = (
        held.service == record.service
        and held.address == record.address
        and held.failure_domain == record.failure_domain
        and held.slots == record.slots
        and held.state is record.state
    )
    if not same:
        return False
    if held.cold_ms and not record.cold_ms:
        return False
    return record.cold_ms <= held.cold_ms + COLD_STEP_MS
