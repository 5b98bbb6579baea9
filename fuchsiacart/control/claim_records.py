"""Record of a claimed idempotency key in the replicated state."""

from enum import Enum
from enum import unique

from msgspec import Struct

from fuchsiacart.models import HostId


@unique
class ClaimState(Enum):
    """State of a claimed request.

    A closed key holds no result; a later attempt may claim it again.
    """

    RUNNING = 'running'
    DONE = 'done'
    CLOSED = 'closed'


class ClaimRecord(Struct, frozen=True):
    """The record of a key.

    ``kept`` is False if the body was too large to be stored.
    """

    state: ClaimState
    attempt: int
    digest: str
    owner: HostId
    token: str
    status: int = 0
    content_type: str = ''
    body: bytes = b''
    kept: bool = True
