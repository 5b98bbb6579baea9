"""Problem documents (RFC 9457) for errors."""

from msgspec.json import encode
from msgspec import Struct

from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import Run

PROBLEM_TYPE = 'application/problem+json'


class Problem(Struct, frozen=True, omit_defaults=True):
    """An error as callers and operators get it."""

    type: str
    title: str
    status: int
    kind: ErrorKind
    run: Run
    detail: str = ''
    retry_after_ms: int = 0
    hosts: tuple[str, ...] = ()


def problem_document(error, hosts=()):
    """Return the JSON document for an error.

    :param error: a :class:`FuchsiacartError`.
    :param hosts: other entry hosts that may be asked instead.
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
