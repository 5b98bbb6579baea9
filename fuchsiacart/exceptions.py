"""Exceptions, and the closed list of error kinds with their answers."""

from enum import Enum
from enum import unique

from msgspec import Struct


@unique
class ErrorKind(Enum):
    """All kinds of error that callers and operators can receive."""

    BAD_REQUEST = 'bad_request'
    BAD_KEY = 'bad_key'
    HEAD_TOO_LARGE = 'head_too_large'
    BODY_TOO_LARGE = 'body_too_large'
    NOT_RECEIVED = 'not_received'
    NO_MEMORY = 'no_memory'
    UNAUTHORIZED = 'unauthorized'
    NO_CONTRACT = 'no_contract'
    NOT_FOUND = 'not_found'
    CONFLICT = 'conflict'
    KEY_REUSED = 'key_reused'
    KEY_EXPIRED = 'key_expired'
    KEY_CLOSED = 'key_closed'
    RATE_LIMITED = 'rate_limited'
    OVERLOADED = 'overloaded'
    NO_BACKEND = 'no_backend'
    ISOLATED = 'isolated'
    STALE = 'stale'
    DRAINING = 'draining'
    DEADLINE = 'deadline'
    NO_QUORUM = 'no_quorum'
    OUTDATED = 'outdated'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    QUARANTINED = 'quarantined'
    INVALID_SETTINGS = 'invalid_settings'
    CORRUPT_JOURNAL = 'corrupt_journal'
    UNREACHABLE = 'unreachable'
    INTERNAL = 'internal'


@unique
class Run(Enum):
    """Whether a refused or failed request may have run.

    ``NO`` is used only if the request certainly has not run.
    """

    NO = 'no'
    UNKNOWN = 'unknown'


class Answer(Struct, frozen=True):
    """HTTP status, exit code of the command line and title of an error."""

    status: int
    exit_code: int
    title: str


ANSWERS = {
    ErrorKind.BAD_REQUEST: Answer(400, 3, 'The request is malformed'),
    ErrorKind.BAD_KEY: Answer(
        400, 3, 'An Idempotency-Key holding a UUIDv7 is required'
    ),
    ErrorKind.HEAD_TOO_LARGE: Answer(
        431, 3, 'The head of the request is too large'
    ),
    ErrorKind.BODY_TOO_LARGE: Answer(
        413, 3, 'The body of the request is too large'
    ),
    ErrorKind.NOT_RECEIVED: Answer(
        408, 7, 'The request did not arrive in time'
    ),
    ErrorKind.NO_MEMORY: Answer(
        503, 7, 'All requests hold too much memory together'
    ),
    ErrorKind.UNAUTHORIZED: Answer(401, 4, 'The bearer token is not known'),
    ErrorKind.NO_CONTRACT: Answer(403, 4, 'No contract covers this request'),
    ErrorKind.NOT_FOUND: Answer(404, 5, 'There is no such item'),
    ErrorKind.CONFLICT: Answer(409, 6, 'The version was changed by another'),
    ErrorKind.KEY_REUSED: Answer(
        422, 3, 'The key was used with a different request'
    ),
    ErrorKind.KEY_EXPIRED: Answer(
        409, 3, 'The key is too old to be remembered'
    ),
    ErrorKind.KEY_CLOSED: Answer(
        409, 3, 'The attempt with this key was closed as not run'
    ),
    ErrorKind.RATE_LIMITED: Answer(
        429, 7, 'The limit of the contract is used up'
    ),
    ErrorKind.OVERLOADED: Answer(
        503, 7, 'The request cannot be answered in time'
    ),
    ErrorKind.NO_BACKEND: Answer(
        503, 7, 'No backend server of the service can be used'
    ),
    ErrorKind.ISOLATED: Answer(
        503, 7, 'This gateway reaches no backend server'
    ),
    ErrorKind.STALE: Answer(
        503, 7, 'This entry host cannot show that its contracts are current'
    ),
    ErrorKind.DRAINING: Answer(503, 7, 'This entry host is draining'),
    ErrorKind.DEADLINE: Answer(504, 8, 'The deadline has passed'),
    ErrorKind.NO_QUORUM: Answer(
        503, 9, 'No quorum of control hosts can be reached'
    ),
    ErrorKind.OUTDATED: Answer(
        503, 9, 'The order may be outdated; send it again'
    ),
    ErrorKind.OUTCOME_UNKNOWN: Answer(
        502, 8, 'The request may have run; its answer is lost'
    ),
    ErrorKind.QUARANTINED: Answer(
        422, 3, 'The request broke the backend servers that ran it'
    ),
    ErrorKind.INVALID_SETTINGS: Answer(400, 2, 'The settings are invalid'),
    ErrorKind.CORRUPT_JOURNAL: Answer(
        500, 10, 'The journal is damaged before its end'
    ),
    ErrorKind.UNREACHABLE: Answer(502, 9, 'No host could be reached'),
    ErrorKind.INTERNAL: Answer(500, 1, 'Unexpected internal error'),
}


class FuchsiacartError(Exception):
    """Base class of all exceptions that this package raises.

    :param detail: human-readable description of the error.
    :param kind: the :class:`ErrorKind`; by default that of the class.
    :param run: the :class:`Run` of the request.
    :param retry_after_ms: milliseconds after which to try again, 0 if
        unknown.
    """

    kind = ErrorKind.INTERNAL

    def __init__(self, detail='', kind=None, run=Run.NO, retry_after_ms=0):
        super().__init__(detail)
        self.detail = detail
        self.kind = kind or self.kind
        self.run = run
        self.retry_after_ms = retry_after_ms

    @property
    def answer(self):
        """Return the :class:`Answer` for the kind of this error."""
        return ANSWERS[self.kind]


class RequestError(FuchsiacartError):
    """A caller's request was refused or its outcome is unknown."""


class ChangeError(FuchsiacartError):
    """An operator's change or query was refused."""


class SettingsError(FuchsiacartError):
    """The settings file is invalid; ``detail`` lists all its errors."""

    kind = ErrorKind.INVALID_SETTINGS


class JournalError(FuchsiacartError):
    """The journal on disk is damaged or cannot be read."""

    kind = ErrorKind.CORRUPT_JOURNAL


class TransportError(FuchsiacartError):
    """A host could not be reached or did not answer in time."""

    kind = ErrorKind.UNREACHABLE


class UndecodedError(FuchsiacartError):
    """Bytes of another process cannot be decoded by this build."""

    kind = ErrorKind.BAD_REQUEST
