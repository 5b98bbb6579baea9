"""Problem documents (RFC 9457) for errors."""

from msgspec.json import encode
from msgspec import Struct

from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import Run

PROBLEM_TYPE = 'application/problem+json'


class Problem(Struct, frozen=True, omit_defaults=True):
    """A problem document.

    ``hosts`` holds the addresses of entry hosts to try instead.
    """

    type: str
    title: str
    status: int
    kind: ErrorKind
    run: Run
    detail: str = ''
    retry_after_ms: int = 0
    hosts: tuple[str, ...] = ()


def problem_document(error, hosts=()):
    """Return the problem document for an error as JSON bytes.

    :param error: the :class:`FuchsiacartError`.
    :param hosts: addresses of other entry hosts that may be tried.
    """
    problem = Problem(
        f'urn:fuchsiacart:error:{error.kind.value}',
        error.answer.title,
        error.answer.status,
        error.kind,
        error.run,
        error.detail,
        error.retry_after_ms,
        tuple(hosts),
    )
    return encode(problem)
