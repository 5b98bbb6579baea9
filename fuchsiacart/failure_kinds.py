"""How an attempt at a backend server is lost."""

from enum import Enum
from enum import unique


@unique
class FailureKind(Enum):
    """How an attempt without an answer ended."""

    NOT_CONNECTED = 'not_connected'
    TOO_LATE = 'too_late'
    BROKEN = 'broken'
    SILENT = 'silent'
