"""HTTP transport of the client sessions."""

from abc import ABC
from abc import abstractmethod

from msgspec import Struct
from tornado.httpclient import HTTPClient
from tornado.httpclient import HTTPRequest

from fuchsiacart.exceptions import TransportError


class HttpReply(Struct, frozen=True):
    """An HTTP response with its whole body."""

    status: int
    headers: dict[str, str]
    body: bytes


class HttpAdapter(ABC):
    """Interface of the HTTP transport."""

    @abstractmethod
    def send(self, method, url, headers, body, timeout_s):
        """Send a request and read the whole response.

        :param method: HTTP method.
        :param url: full URL.
        :param headers: dictionary of headers.
        :param body: bytes, or None.
        :param timeout_s: seconds for the whole exchange.
        :return: the :class:`HttpReply`, whatever its status.
        :raises TransportError: if no complete response was received.
        """

    @abstractmethod
    def close(self):
        """Close all connections."""


class TornadoAdapter(HttpAdapter):
    """Sends requests with the blocking client of Tornado.

    :param certificate_file: CA certificates to trust; None for the default
        ones.
    """

    def __init__(self, certificate_file=None):
        self._client = HTTPClient(force_instance=True)
        self._certificate_file = certificate_file

    def send(self, method, url, headers, body, timeout_s):
        """See :meth:`HttpAdapter.send`."""
        request = HTTPRequest(
            url,
            method=method,
            headers=headers,
            body=body,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            ca_certs=self._certificate_file,
        )
        try:
            response = self._client.fetch(request, raise_error=False)
        except Exception as error:
            raise TransportError(f'{url}: {error}') from error
        return HttpReply(
            response.code, dict(response.headers), response.body or b''
        )

    def close(self):
        """See :meth:`HttpAdapter.close`."""
        self._client.close()
