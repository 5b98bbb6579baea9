"""Requests of callers as they are read, and their responses."""

from asyncio import Event
from asyncio import shield
from time import monotonic

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import ResponseStartLine

from fuchsiacart.gateway.message_streams import MessageStream

NO_CONTENT = 204
NOT_MODIFIED = 304
BODILESS_STATUSES = (NO_CONTENT, NOT_MODIFIED)


class Exchange(HTTPMessageDelegate):
    """One request of a connection and the place of its response.

    :param connection: the :class:`CallerConnection`.
    :param stream: tornado's stream.
    :param parameters: function that returns the
        :class:`HTTP1ConnectionParameters` in force.
    """

    def __init__(self, connection, stream, parameters):
        self.connection = connection
        self.message = MessageStream(stream, parameters)
        self._parameters = parameters
        self._parser = HTTP1Connection(self.message, False, parameters())
        self.start_line = None
        self.headers = None
        self.body = b''
        self._chunks = []
        self.received_s = monotonic()
        self.turn = Event()
        self.task = None
        # Requests of the connection that were unanswered at its arrival, and
        # the time at which its own answer was there.
        self.ahead = 0
        self.answered_s = self.received_s

    @property
    def is_last(self):
        """True if the caller sends nothing after this request."""
        if self.start_line.version != 'HTTP/1.1':
            return True
        return 'close' in self.headers.get('Connection', '').lower()

    def headers_received(self, start_line, headers):
        """See :class:`HTTPMessageDelegate`."""
        self.received_s = monotonic()
        # The parser checks the length of the body after this call.
        self._parser.set_max_body_size(self._parameters().max_body_size)
        self.start_line = start_line
        self.headers = headers
        self.connection.on_head()
        if 'Expect' in headers:
            return self._wait_until_first()
        return None

    def data_received(self, chunk):
        """See :class:`HTTPMessageDelegate`."""
        self._chunks.append(chunk)

    def finish(self):
        """Release the parser and start to serve the request."""
        self.body = b''.join(self._chunks)
        self._chunks = []
        self._parser.finish()
        self.connection.start(self)

    async def read(self):
        """Read the request.

        :return: False if it is malformed.
        :raises StreamClosedError: if the caller has closed the connection.
        """
        return await self._parser.read_response(self)

    async def send(self, status, reason, headers, body):
        """Send the response in its turn; return once it is written.

        :param status: HTTP status.
        :param reason: its text.
        :param headers: headers, to which those of the connection are added.
        :param body: bytes of the body.
        """
        await self.turn.wait()
        self.message.is_held = False
        has_body = status not in BODILESS_STATUSES
        if has_body:
            headers['Content-Length'] = str(len(body))
        if self.start_line.method == 'HEAD' or not has_body:
            body = b''
        is_closing = self.connection.must_close_after(self)
        if is_closing:
            headers['Connection'] = 'close'
        line = ResponseStartLine('HTTP/1.1', status, reason)
        written = self._parser.write_headers(line, headers, body)
        # Cancellation by a caller that disconnects must not stop the write.
        await shield(written)

    async def _wait_until_first(self):
        """Wait until an interim response can belong to no other request."""
        await self.connection.wait_until_idle()
        self.message.is_held = False
