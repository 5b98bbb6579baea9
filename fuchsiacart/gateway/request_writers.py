"""Writes requests to backend servers and other gateways."""

from asyncio import Future

from msgspec import Struct
from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError

from fuchsiacart.gateway.budgets.bodies import pieces_of

# Bodies up to this size are copied, to be sent in one piece with the head.
COPIED_BYTES = 65_536


class StartedRequest(Struct, frozen=True):
    """A request whose head is written.

    ``written`` is the future of what is written of it so far, None if it
    cannot be written.
    """

    connection: HTTP1Connection
    sent_s: float
    written: Future | None


def _is_large(body):
    """Return True if a body is written piece by piece, behind the head."""
    return body is not None and len(body) > COPIED_BYTES


def write_start(connection, request, headers):
    """Write the head of a request, and its body if that is small.

    :param connection: the :class:`HTTP1Connection`.
    :param request: the :class:`OutboundRequest`.
    :param headers: its headers.
    :return: the future of what is written.
    :raises ValueError: if they cannot be written.
    """
    body = request.body
    if body is None or _is_large(body):
        return connection.write_headers(request.start_line, headers)
    whole = b''.join(pieces_of(body))
    return connection.write_headers(request.start_line, headers, whole)


async def write_rest(connection, request, started):
    """Write the rest of a request.

    Runs concurrently with the read, as a server may respond before it has
    received the complete request.

    :param connection: the :class:`HTTP1Connection`.
    :param request: the :class:`OutboundRequest`.
    :param started: its :class:`StartedRequest`.
    """
    written = started.written
    if written is None:
        return
    try:
        if _is_large(request.body):
            for piece in pieces_of(request.body):
                await written
                written = connection.write(piece)
        connection.finish()
        await written
    except StreamClosedError:
        return
