"""Outcome of a command that is applied to the replicated state."""

from msgspec import Struct

from fuchsiacart.control.claim_records import ClaimRecord
from fuchsiacart.exceptions import ErrorKind


class Outcome(Struct, frozen=True):
    """Result of applying a command.

    ``error`` is None if the command was accepted.  ``granted`` is True if a
    claim gave the right to run; ``record`` is the current record of its key.
    """

    error: ErrorKind | None = None
    detail: str = ''
    version: int = 0
    revision: int = 0
    granted: bool = False
    record: ClaimRecord | None = None
