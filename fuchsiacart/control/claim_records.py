"""Record of a claimed idempotency key in the replicated state."""

from enum import Enum
from enum import unique

from msgspec import Struct

from fuchsiacart.models import HostId


@unique
class ClaimState(Enum):
    """State of a claimed request.

    RUNNING: an attempt has claimed the key and has not settled it yet.
    DONE: the request has run.  CLOSED: it has not run, and an attempt with a
    higher number may claim the key again.
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
