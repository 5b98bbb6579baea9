"""Bounds what the HTTP servers of a process hold together for requests.

Answers crowds of clients at the listeners of control hosts and of the own
interface, which collect each body before they act on it.
"""

from asyncio import sleep

from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.httputil import ResponseStartLine

from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import RequestError
from fuchsiacart.gateway.budgets.bodies import BodyBuffer
from fuchsiacart.gateway.budgets.heads import compute_fields_bytes
from fuchsiacart.gateway.budgets.heads import keep_framing
from fuchsiacart.gateway.budgets.memory_budgets import MemoryHolder
from fuchsiacart.gateway.budgets.memory_limits import compute_document_bytes
from fuchsiacart.problems import problem_document
from fuchsiacart.problems import PROBLEM_TYPE

# Longest time in which the body of a call arrives.
BODY_TIMEOUT_S = 60.0
RETRY_AFTER_S = '1'
# Parts of a body after which other connections get their turn.
PARTS_IN_TURN = 64


class BoundedApplication(HTTPServerConnectionDelegate):
    """Passes requests to an application within a budget.

    :param application: tornado's application.
    :param budget: the :class:`MemoryBudget`.
    :param find_connection: function that returns the
        :class:`ClientConnection` of a stream.
    :param reads_documents: True if the application decodes bodies as JSON.
    """

    def __init__(
        self, application, budget, find_connection, reads_documents=False
    ):
        self._application = application
        self._budget = budget
        self._find_connection = find_connection
        self._reads_documents = reads_documents

    def start_request(self, server_conn, request_conn):
        """See :class:`HTTPServerConnectionDelegate`."""
        message = _BoundedMessage(
            request_conn,
            self._budget,
            self._find_connection(server_conn.stream),
            self._reads_documents,
        )
        message.delegate = self._application.start_request(
            server_conn, _ChargingConnection(request_conn, message)
        )
        return message

    def on_close(self, server_conn):
        """See :class:`HTTPServerConnectionDelegate`."""
        self._application.on_close(server_conn)


class _ChargingConnection:
    """What the application sees of a connection.

    Charges the response until it is written.

    :param connection: tornado's connection, to which all else is passed on.
    :param message: the :class:`_BoundedMessage` of the request.
    """

    def __init__(self, connection, message):
        self._connection = connection
        self._message = message
        self._written = None

    def __getattr__(self, name):
        return getattr(self._connection, name)

    def write_headers(self, start_line, headers, chunk=None):
        """See :class:`HTTPConnection`."""
        self._message.charge_response(len(chunk or b''))
        self._written = self._connection.write_headers(
            start_line, headers, chunk
        )
        return self._written

    def write(self, chunk):
        """See :class:`HTTPConnection`."""
        self._message.charge_response(len(chunk))
        self._written = self._connection.write(chunk)
        return self._written

    def finish(self):
        """See :class:`HTTPConnection`."""
        written = self._written
        self._connection.finish()
        if written is None or written.done():
            self._message.release()
            return
        written.add_done_callback(lambda _: self._message.release())


class _BoundedMessage(HTTPMessageDelegate, MemoryHolder):
    """One request, as the server passes it to the application.

    ``delegate`` is that of the application.

    :param connection: tornado's connection.
    :param budget: the :class:`MemoryBudget`.
    :param client: the :class:`ClientConnection`.
    :param reads_documents: True if the application decodes bodies.
    """

    given_up_event = 'call_given_up'

    def __init__(self, connection, budget, client, reads_documents):
        self._connection = connection
        self._budget = budget
        self._client = client
        self._reads_documents = reads_documents
        self._body = BodyBuffer()
        self._parts = 0
        self._is_received = False
        self._is_answering = False
        self._is_given_up = False
        self._headers = None
        self.delegate = None

    @property
    def owner(self):
        """See :class:`MemoryHolder`."""
        return self._client.remote_ip

    @property
    def peer_name(self):
        """See :class:`MemoryHolder`."""
        return self._client.remote_ip

    @property
    def is_abortable(self):
        """True unless the application acts on the request."""
        return self._is_answering or not self._is_received

    def charge_response(self, size):
        """Charge bytes of the response, which wait for the client."""
        self._is_answering = True
        self._budget.add(self, size)

    def release(self):
        """Release what the request and its response hold."""
        self._body.clear()
        self._budget.release(self)
        self._client.is_receiving = False
        self._client.has_requests = False
        if self._is_received:
            # Both hold the request, and are part of cycles.
            self.delegate = self._headers = None

    def abort(self):
        """Refuse the request, or close a connection that reads too slowly."""
        if self._is_answering:
            self._client.close()
            return
        self._refuse(
            RequestError(
                'all requests hold too much memory together',
                ErrorKind.NO_MEMORY,
            )
        )

    def headers_received(self, start_line, headers):
        """See :class:`HTTPMessageDelegate`."""
        self._headers = headers
        self._client.is_receiving = True
        self._client.measure()
        self._budget.add(self, compute_fields_bytes(headers))
        if self._is_given_up:
            return None
        return self.delegate.headers_received(start_line, headers)

    def data_received(self, chunk):
        """See :class:`HTTPMessageDelegate`."""
        if self._is_given_up:
            return None
        self._client.measure()
        self._budget.add(self, self._body.add(chunk))
        self._parts += 1
        return None if self._parts % PARTS_IN_TURN else sleep(0)

    def finish(self):
        """See :class:`HTTPMessageDelegate`."""
        if self._is_given_up:
            return
        pieces = self._body.take()
        if self._reads_documents:
            self._charge_document(pieces)
        if self._is_given_up:
            return
        self._is_received = True
        self._client.is_receiving = False
        self._client.has_requests = True
        delegate = self.delegate
        for piece in pieces:
            delegate.data_received(piece)
        delegate.finish()

    def on_connection_close(self):
        """See :class:`HTTPMessageDelegate`."""
        delegate = self.delegate
        self.release()
        if delegate is not None and not self._is_given_up:
            delegate.on_connection_close()

    def _charge_document(self, pieces):
        """Charge a document, or refuse one that never has room."""
        size = compute_document_bytes(pieces)
        if size > self._budget.limit_bytes:
            self._refuse(
                RequestError(
                    'the document takes too much memory',
                    ErrorKind.BODY_TOO_LARGE,
                )
            )
            return
        self._budget.add(self, size)

    def _refuse(self, error):
        """Refuse the request, on which the application has not acted."""
        self._is_given_up = True
        self.release()
        self.delegate.on_connection_close()
        keep_framing(self._headers)
        body = problem_document(error)
        headers = HTTPHeaders(
            {
                'Content-Type': PROBLEM_TYPE,
                'Content-Length': str(len(body)),
                'Connection': 'close',
            }
        )
        if error.kind is ErrorKind.NO_MEMORY:
            headers['Retry-After'] = RETRY_AFTER_S
        answer = error.answer
        line = ResponseStartLine('HTTP/1.1', answer.status, answer.title)
        self._connection.write_headers(line, headers, body)
        self._connection.finish()
