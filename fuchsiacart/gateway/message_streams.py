"""Bytes of one request, as the parser reads them from a connection."""

from tornado.concurrent import Future


class MessageStream:
    """What the parser of one request sees of the connection.

    The parser writes an answer of its own to a malformed request and closes
    the stream.  While earlier requests are unanswered, such bytes are held
    and the connection stays open.

    :param stream: tornado's stream.
    :param parameters: function that returns the
        :class:`HTTP1ConnectionParameters` in force.
    """

    def __init__(self, stream, parameters):
        self._stream = stream
        self._parameters = parameters
        self.io_loop = stream.io_loop
        self.max_buffer_size = stream.max_buffer_size
        self.is_held = True
        self.held = b''

    async def read_until_regex(self, regex, max_bytes=None):
        """Read the head of a request.

        Its limit is the one in force when its first byte arrives, as a kept
        connection may wait for that through changes of the limits.
        """
        first = await self._stream.read_bytes(1)
        limit_bytes = self._parameters().max_header_size
        rest = await self._stream.read_until_regex(regex, limit_bytes - 1)
        return first + rest

    def read_until(self, delimiter, max_bytes=None):
        """See :class:`BaseIOStream`."""
        return self._stream.read_until(delimiter, max_bytes)

    def read_bytes(self, num_bytes, partial=False):
        """See :class:`BaseIOStream`."""
        return self._stream.read_bytes(num_bytes, partial)

    def write(self, data):
        """Write to the caller, or hold the data until it is its turn."""
        if not self.is_held:
            return self._stream.write(data)
        self.held += data
        written = Future()
        written.set_result(None)
        return written

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
