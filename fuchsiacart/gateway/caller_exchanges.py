"""Requests of callers as they are read, and their responses."""

from asyncio import Event
from asyncio import shield
from time import monotonic

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import ResponseStartLine

from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import RequestError
from fuchsiacart.gateway.budgets.bodies import BodyBuffer
from fuchsiacart.gateway.budgets.bodies import make_body
from fuchsiacart.gateway.budgets.bodies import pieces_of
from fuchsiacart.gateway.budgets.heads import compute_head_bytes
from fuchsiacart.gateway.budgets.heads import keep_framing
from fuchsiacart.gateway.budgets.memory_budgets import MemoryHolder
from fuchsiacart.gateway.hop_headers import RELAYED_FOR
from fuchsiacart.gateway.message_streams import MessageStream
from fuchsiacart.problems import problem_document
from fuchsiacart.problems import PROBLEM_TYPE

NO_CONTENT = 204
NOT_MODIFIED = 304
BODILESS_STATUSES = (NO_CONTENT, NOT_MODIFIED)
CONTINUE = '100-continue'
# Time after which a caller returns whose body was given up.
RETRY_AFTER_MS = 1000
# Bodies up to this size are copied, to be sent in one piece with the head.
COPIED_BYTES = 65_536


class Exchange(HTTPMessageDelegate, MemoryHolder):
    """One request of a connection and the place of its response.

    Its head and its bodies are charged to the budget of the process until the
    response is written.

    :param connection: the :class:`CallerConnection`.
    :param stream: tornado's stream.
    :param parameters: function that returns the
        :class:`HTTP1ConnectionParameters` in force.
    """

    given_up_event = 'request_given_up'

    def __init__(self, connection, stream, parameters):
        self.connection = connection
        self.message = MessageStream(stream, parameters)
        self._parameters = parameters
        self._parser = HTTP1Connection(self.message, False, parameters())
        self.start_line = None
        self.headers = None
        self.body = b''
        self._buffer = BodyBuffer()
        self._head_bytes = 0
        self.received_s = monotonic()
        self.progress_s = self.received_s
        # True once it is refused although it has not arrived yet.
        self.is_given_up = False
        self._is_received = False
        self._is_answering = False
        self.turn = Event()
        self.task = None
        # Requests of the connection that were unanswered at its arrival, and
        # the time at which its own answer was there.
        self.ahead = 0
        self.answered_s = self.received_s

    @property
    def owner(self):
        """See :class:`MemoryHolder`."""
        return self.connection.find_owner(self)

    @property
    def is_writing(self):
        """True while its response is written."""
        return self._is_answering and self.message.is_open

    @property
    def relayed_for(self):
        """Address that another gateway names as that of the caller, or ''."""
        if self.headers is None:
            return ''
        return self.headers.get(RELAYED_FOR, '')

    @property
    def held_bytes(self):
        """Bytes that the request takes."""
        return self._head_bytes + len(self.body)

    @property
    def peer_name(self):
        """See :class:`MemoryHolder`."""
        return self.connection.remote_ip

    @property
    def is_abortable(self):
        """True unless the request may run."""
        return self._is_answering or not self._is_received

    def abort(self):
        """Refuse the request, or close a connection that reads too slowly."""
        if self._is_answering:
            self.connection.close()
            return
        self.give_up(
            RequestError(
                'all requests hold too much memory together',
                ErrorKind.NO_MEMORY,
                retry_after_ms=RETRY_AFTER_MS,
            )
        )

    def give_up(self, error):
        """Refuse the request although it has not arrived yet.

        :param error: the :class:`RequestError`.
        """
        self.is_given_up = True
        self._buffer.clear()
        if self.headers is not None:
            keep_framing(self.headers)
        self.connection.release(self)
        self.message.refusal = error
        self.connection.refuse(self)

    @property
    def refusal(self):
        """The :class:`RequestError` that tells why it cannot be read."""
        return self.message.refusal

    @property
    def is_last(self):
        """True if the caller sends nothing after this request."""
        if self.start_line.version != 'HTTP/1.1':
            return True
        return 'close' in self.headers.get('Connection', '').lower()

    def headers_received(self, start_line, headers):
        """See :class:`HTTPMessageDelegate`."""
        self.received_s = self.progress_s = monotonic()
        # The parser checks the length of the body after this call.
        limit_bytes = self._parameters().max_body_size
        self._parser.set_max_body_size(limit_bytes)
        self.start_line = start_line
        self.headers = headers
        self.connection.on_head()
        size = _content_length(headers)
        self.message.expect_body(size, limit_bytes)
        if size > limit_bytes:
            return None
        self._head_bytes = compute_head_bytes(self.message.take_head())
        self.connection.charge(self, self._head_bytes)
        if self.is_given_up:
            return None
        if headers.get('Expect') == CONTINUE:
            return self._wait_until_first()
        return None

    def data_received(self, chunk):
        """See :class:`HTTPMessageDelegate`."""
        self.progress_s = monotonic()
        if self.is_given_up:
            self.connection.record_discarded()
            return
        self.connection.charge(self, self._buffer.add(chunk))

    def finish(self):
        """Release the parser and start to serve the request."""
        self._parser.finish()
        if self.is_given_up:
            return
        self._is_received = True
        self.body = make_body(self._buffer.take())
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
        :param body: the body, a :class:`Body` or bytes.
        """
        self._is_answering = True
        self.connection.charge(self, len(body))
        await self.turn.wait()
        self.message.is_open = True
        has_body = status not in BODILESS_STATUSES
        if has_body:
            headers['Content-Length'] = str(len(body))
        if self.start_line.method == 'HEAD' or not has_body:
            body = b''
        is_closing = self.connection.must_close_after(self)
        if is_closing:
            headers['Connection'] = 'close'
        line = ResponseStartLine('HTTP/1.1', status, reason)
        if len(body) <= COPIED_BYTES:
            self._parser.write_headers(line, headers, body)
        else:
            self._parser.write_headers(line, headers)
            for piece in pieces_of(body):
                self._parser.write(piece)
        # The futures of the parser may be done before all is written.
        # Cancellation by a caller that disconnects must not stop the write.
        await shield(self.message.write(b''))

    async def send_refusal(self):
        """Tell in its turn why the request was not read."""
        await self.turn.wait()
        answer = self.refusal.answer
        body = problem_document(self.refusal)
        head = (
            f'HTTP/1.1 {answer.status} {answer.title}\r\n'
            f'Content-Type: {PROBLEM_TYPE}\r\n'
            f'Content-Length: {len(body)}\r\n'
            f'{_retry_after_line(self.refusal)}'
            'Connection: close\r\n\r\n'
        )
        if self.start_line is not None and self.start_line.method == 'HEAD':
            body = b''
        self.message.is_open = True
        await shield(self.message.write(head.encode() + body))
        # The parser may still read the request, and answer what is malformed.
        self.message.is_open = False

    def clear(self):
        """Keep nothing of the request once it is answered.

        Its connection may live on, and is part of cycles.
        """
        self._buffer.clear()
        self.body = b''
        self.headers = None
        if self._is_received:
            self._parser = None

    async def _wait_until_first(self):
        """Wait until an interim response can belong to no other request."""
        await self.connection.wait_until_idle()
        self.message.is_interim = True


def _retry_after_line(error):
    """Return the header line with the time to return, '' for none."""
    if not error.retry_after_ms:
        return ''
    return f'Retry-After: {error.retry_after_ms / MILLISECONDS:g}\r\n'


def _content_length(headers):
    """Return the length that a head states, or 0 if the parser refuses it."""
    try:
        return int(headers.get('Content-Length', '0'))
    except ValueError:
        return 0
