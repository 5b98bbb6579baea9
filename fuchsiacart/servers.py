"""Records of registered backend servers in the replicated state.

Each start of a server, even under a name used before, has a larger
``born_ms``, and ``sequence`` numbers its calls within one start.  A call never
replaces one that was sent after it.
"""

from enum import Enum
from enum import unique

from msgspec import Struct

from fuchsiacart.models import Address
from fuchsiacart.models import BackendServerId
from fuchsiacart.models import FailureDomainId
from fuchsiacart.models import ServiceId

# Names of departed servers that are kept, so that calls which arrive late do
# not register them again.
TOMBSTONE_LIMIT = 4096
# Sequence of a record after which no call of its start counts.  It is above
# those of all calls, and the largest that MessagePack holds.
LAST_SEQUENCE = 2**64 - 1
# Reports are not replicated whose cold time is longer by up to the first, or
# shorter by up to the second, than what gateways still count.  Gateways add
# the first to each cold time, so that they never count too little.
MIN_COLD_INCREASE_MS = 100.0
MIN_COLD_DECREASE_MS = 500.0


@unique
class ServerState(Enum):
    """Whether a backend server accepts new requests."""

    READY = 'ready'
    DRAINING = 'draining'


class ServerStart(Struct, frozen=True):
    """Names one start of a backend server."""

    name: BackendServerId
    born_ms: int


class ServerRecord(Struct, frozen=True):
    """State of a backend server as reported in its latest call.

    ``cold_ms`` is the remaining cold time, counted from the arrival of this
    record at a host.
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
    def start(self):
        """The :class:`ServerStart` that the record is of."""
        return ServerStart(self.name, self.born_ms)

    @property
    def order_key(self):
        """Return the key that sorts the calls of a server by time."""
        return (self.born_ms, self.sequence)


class Tombstone(Struct, frozen=True):
    """Record of a server start that has ended.

    A server that has left is not registered again for the same start, even
    if earlier calls arrive late.  One whose heartbeats only stopped may be.
    """

    born_ms: int
    sequence: int
    has_left: bool


def is_redundant(current, record, left_ms):
    """Return True if a call changes nothing worth replicating.

    :param current: the stored :class:`ServerRecord`, or None.
    :param record: the :class:`ServerRecord` that the server has just sent.
    :param left_ms: for how long all gateways take the server for cold, at
        least; None if that is not known.
    """
    if current is None or current.born_ms != record.born_ms:
        return False
    if record.sequence < current.sequence:
        return True
    if current.state is ServerState.DRAINING:
        return True
    is_same = (
        current.service == record.service
        and current.address == record.address
        and current.failure_domain == record.failure_domain
        and current.slots == record.slots
        and current.state is record.state
    )
    if not is_same:
        return False
    # A gateway that starts later counts the stored time from then on.
    if current.cold_ms and (left_ms is None or not record.cold_ms):
        return False
    increase_ms = record.cold_ms - left_ms
    return -MIN_COLD_DECREASE_MS <= increase_ms <= MIN_COLD_INCREASE_MS
