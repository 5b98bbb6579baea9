"""Bytes of one request, as the parser reads them from a connection."""

from asyncio import sleep

from tornado.concurrent import Future
from tornado.httputil import HTTPInputError

from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import RequestError
from fuchsiacart.gateway.chunk_readers import ChunkError
from fuchsiacart.gateway.chunk_readers import ChunkReader
from fuchsiacart.gateway.chunk_readers import LINE_END

# Chunks of a body after which other connections get their turn.
CHUNKS_IN_TURN = 64
# Matches a head, or one byte more than the limit if its end is not there.
END_OF_HEAD = rb'(?s)\A(?:.{0,%d}?\r?\n\r?\n|.{%d})'


class MessageStream:
    """What the parser of one request sees of the connection.

    The parser writes an answer without a reason to a request that it cannot
    read, and closes the stream.  Neither reaches the caller, who gets
    ``refusal`` in its turn.

    :param stream: tornado's stream.
    :param parameters: function that returns the
        :class:`HTTP1ConnectionParameters` in force.
    """

    def __init__(self, stream, parameters):
        self._stream = stream
        self._parameters = parameters
        self.io_loop = stream.io_loop
        self.max_buffer_size = stream.max_buffer_size
        # True while the next write is the interim response.
        self.is_interim = False
        # True once the response may be written.
        self.is_open = False
        self.refusal = RequestError(kind=ErrorKind.BAD_REQUEST)
        self._head = b''
        self._body_limit_bytes = 0
        self._chunks = None
        self._chunk_bytes = 0
        self._chunk_count = 0
        # Bytes of a chunk that were read with its line.
        self._unread = b''
        self._is_after_last_chunk = False

    async def read_until_regex(self, regex, max_bytes=None):
        """Read the head of a request.

        Its limit is the one in force when its first byte arrives, as a kept
        connection may wait for that through changes of the limits.
        """
        first = await self._stream.read_bytes(1)
        left_bytes = self._parameters().max_header_size - len(first)
        # Without a match at the limit, tornado would close the connection.
        pattern = END_OF_HEAD % (left_bytes, left_bytes + 1)
        rest = await self._stream.read_until_regex(pattern)
        if len(rest) > left_bytes:
            detail = f'over {left_bytes + len(first)} bytes'
            self.refusal = RequestError(detail, ErrorKind.HEAD_TOO_LARGE)
            raise HTTPInputError(detail)
        self._head = first + rest
        return self._head

    def take_head(self):
        """Return the bytes of the head, and keep them no longer."""
        head, self._head = self._head, b''
        return head

    async def read_until(self, delimiter, max_bytes=None):
        """Read the size of a chunk, without what may stand beside it."""
        try:
            size, self._unread = await self._chunks.read_chunk()
        except ChunkError as error:
            self.refusal = RequestError(str(error), error.kind)
            raise
        self._chunk_bytes += size
        if self._chunk_bytes > self._body_limit_bytes:
            self._refuse_body()
        self._is_after_last_chunk = not size
        if self._unread:
            self._unread += LINE_END
        self._chunk_count += 1
        if self._unread or not self._chunk_count % CHUNKS_IN_TURN:
            await sleep(0)
        return b'%x' % size + LINE_END

    def expect_body(self, size, limit_bytes):
        """Note the size of the body that the head states.

        :param size: bytes of the body, 0 if the head states none.
        :param limit_bytes: limit of the body.
        """
        self._body_limit_bytes = limit_bytes
        self._chunks = ChunkReader(
            self._stream, self._parameters().max_header_size
        )
        if size > limit_bytes:
            self._refuse_body()

    def read_bytes(self, num_bytes, partial=False):
        """See :class:`BaseIOStream`."""
        if self._unread:
            part = self._unread[:num_bytes]
            self._unread = self._unread[num_bytes:]
            return _resolve(part)
        if self._is_after_last_chunk:
            # Read with the trailers.
            return _resolve(LINE_END)
        return self._stream.read_bytes(num_bytes, partial)

    def write(self, data):
        """Write a response, or drop what the parser writes before it."""
        if self.is_open or self.is_interim:
            self.is_interim = False
            return self._stream.write(data)
        return _resolve(None)

    def closed(self):
        """See :class:`BaseIOStream`."""
        return self._stream.closed()

    def set_nodelay(self, value):
        """See :class:`BaseIOStream`."""
        self._stream.set_nodelay(value)

    def set_close_callback(self, callback):
        """Ignore the parser's callback, as the connection has its own."""

    def close(self):
        """Ignore the parser's close; the connection decides."""

    def _refuse_body(self):
        """Set the reason for which the parser gives up."""
        detail = f'over {self._body_limit_bytes} bytes'
        self.refusal = RequestError(detail, ErrorKind.BODY_TOO_LARGE)


def _resolve(value):
    """Return a future that is done."""
    future = Future()
    future.set_result(value)
    return future
