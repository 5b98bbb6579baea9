"""Interface to the HTTP headers of a deployment.

A deployment implements :class:`Dialect` for its own header names; the rest
of the package uses the types of this module only.
"""

from abc import ABC
from abc import abstractmethod

from msgspec import Struct

STATUS_SERVICE_UNAVAILABLE = 503


class RequestMetadata(Struct, frozen=True):
    """Metadata that a caller sends with its request.

    ``deadline_ms`` is None if the caller sets no deadline.  Requests with
    the same ``object_key`` are served faster by the same backend server.
    """

    request_id: str
    deadline_ms: float | None
    object_key: str


class ReportedLoad(Struct, frozen=True):
    """Load that a backend server reports with a response.

    ``slowdown`` is how long work takes on the server's machine just now,
    relative to its usual time.  It changes within fractions of a second.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


class ResponseMetadata(Struct, frozen=True):
    """Metadata that a backend server sends with its response.

    ``not_run`` promises that the request was not run; ``is_misdirected``
    says that the address now belongs to another server.  ``is_authentic`` is
    False if the response carries no proof that the server sent it.
    ``is_leaving`` says that the server is about to end, ``retry_after_ms``
    for how long it wants no request if it refuses this one; 0 if not told.
    ``server_name`` is what the server calls itself, '' if not told.
    ``is_staying`` says that the server was not leaving when it answered.
    """

    not_run: bool
    is_misdirected: bool
    is_authentic: bool
    load: ReportedLoad | None
    is_leaving: bool = False
    retry_after_ms: float = 0.0
    server_name: str = ''
    is_staying: bool = False

    def names_wait(self, status):
        """Return True if the server says for how long it wants no request.

        :param status: HTTP status of the response.
        """
        return (
            status == STATUS_SERVICE_UNAVAILABLE
            and self.retry_after_ms > 0
            and not self.is_misdirected
        )


class Dialect(ABC):
    """Reads and writes the headers of a deployment."""

    @abstractmethod
    def read_request(self, headers):
        """Return the :class:`RequestMetadata` of a caller's request.

        :param headers: tornado's headers.
        """

    @abstractmethod
    def write_metadata(self, headers, server_name, left_ms):
        """Add the metadata of a request for a backend server.

        :param headers: headers of the forwarded request, changed in place.
        :param server_name: the server that the request is meant for.
        :param left_ms: milliseconds left until the deadline.
        """

    def write_account(self, headers, account_name):
        """Tell a backend server the account of a request.

        A deployment whose servers are told nothing of accounts leaves this.

        :param headers: headers of the forwarded request, changed in place.
        :param account_name: name of the account, '' for none.
        """

    @abstractmethod
    def write_deadline(self, headers, left_ms):
        """Set the deadline of a request for another gateway.

        :param headers: headers of the relayed request, changed in place.
        :param left_ms: milliseconds left until the deadline.
        """

    @abstractmethod
    def read_request_id(self, headers):
        """Return the id of the request that a response belongs to, or ''.

        :param headers: tornado's headers of the response.
        """

    @abstractmethod
    def read_response(self, status, headers):
        """Return the :class:`ResponseMetadata` of a backend server's response.

        :param status: HTTP status.
        :param headers: tornado's headers.
        """
