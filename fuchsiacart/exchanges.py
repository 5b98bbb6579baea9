"""One request and its answer on a connection to a backend server."""

from asyncio import create_task
from asyncio import wait_for
from enum import Enum
from enum import unique
from socket import AF_INET
from socket import IPPROTO_TCP
from socket import SOCK_STREAM
from socket import socket
from socket import TCP_NODELAY

from msgspec import Struct
from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPInputError
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError

HEADER_LIMIT_BYTES = 65_536
BODY_LIMIT_BYTES = 64 * 1024 * 1024
PARAMETERS = HTTP1ConnectionParameters(
    no_keep_alive=True,
    max_header_size=HEADER_LIMIT_BYTES,
    max_body_size=BODY_LIMIT_BYTES,
    decompress=False,
)


@unique
class Loss(Enum):
    """How an exchange without an answer ended."""

    NOT_CONNECTED = 'not_connected'
    TIMED_OUT = 'timed_out'
    BROKEN = 'broken'


class ServerAnswer(Struct, frozen=True):
    """A whole answer of a backend server."""

    status: int
    reason: str
    headers: HTTPHeaders
    body: bytes


class Outcome(Struct, frozen=True):
    """The answer, or how it was lost."""

    answer: ServerAnswer | None = None
    loss: Loss | None = None
    detail: str = ''


class _AnswerReader(HTTPMessageDelegate):
    """Collects an answer; it is whole once ``finished`` is set."""

    def __init__(self):
        self.start_line = None
        self.headers = None
        self.chunks = []
        self.finished = False

    def headers_received(self, start_line, headers):
        self.start_line = start_line
        self.headers = headers

    def data_received(self, chunk):
        self.chunks.append(chunk)

    def finish(self):
        self.finished = True


async def exchange(address, start_line, headers, body, limits):
    """Send a request over a new connection and read the whole answer.

    The connection is closed in the end, also when this is cancelled, so
    that the server can stop its work.

    :param address: IP:port of the server.
    :param start_line: tornado's :class:`RequestStartLine`.
    :param headers: tornado's headers.
    :param body: the request's body.
    :param limits: :class:`ExchangeLimits`.
    :return: the :class:`Outcome`.
    """
    stream = IOStream(socket(AF_INET, SOCK_STREAM))
    try:
        host, _, port = address.rpartition(':')
        try:
            await wait_for(stream.connect((host, int(port))), limits.connect_s)
            stream.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        except (OSError, TimeoutError, ValueError) as error:
            return Outcome(loss=Loss.NOT_CONNECTED, detail=repr(error))
        try:
            return await wait_for(
                _converse(stream, start_line, headers, body), limits.answer_s
            )
        except TimeoutError:
            return Outcome(loss=Loss.TIMED_OUT)
    finally:
        stream.close()


class ExchangeLimits(Struct, frozen=True):
    """How long the parts of an exchange may take, in seconds."""

    connect_s: float
    answer_s: float


async def _converse(stream, start_line, headers, body):
    connection = HTTP1Connection(stream, True, PARAMETERS)
    reader = _AnswerReader()
    sending = create_task(_send(connection, start_line, headers, body))
    try:
        await connection.read_response(reader)
    except (StreamClosedError, HTTPInputError, ValueError) as error:
        return Outcome(loss=Loss.BROKEN, detail=repr(error))
    finally:
        sending.cancel()
    if not reader.finished:
        return Outcome(loss=Loss.BROKEN, detail=repr(stream.error))
    if not _is_delimited(reader) and stream.error is not None:
        return Outcome(loss=Loss.BROKEN, detail=repr(stream.error))
    return Outcome(
        ServerAnswer(
            reader.start_line.code,
            reader.start_line.reason,
            reader.headers,
            b''.join(reader.chunks),
        )
    )


async def _send(connection, start_line, headers, body):
    """Write the request; an answer may come before all of it is sent."""
    try:
        await connection.write_headers(start_line, headers, body)
        connection.finish()
    except StreamClosedError:
        return


def _is_delimited(reader):
    """Tell whether the answer's own headers say where it ends."""
    return (
        'Content-Length' in reader.headers
        or 'Transfer-Encoding' in reader.headers
    )


def request_line(method, target):
    """Return the start line of a request.

    :param method: HTTP method.
    :param target: path and query, as the caller sent them.
    """
    return RequestStartLine(method, target, 'HTTP/1.1')
