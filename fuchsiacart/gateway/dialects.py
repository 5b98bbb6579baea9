"""How callers and backend servers put their terms into HTTP headers.

A deployment brings its own names; the rest of the package sees these types.
"""

from abc import ABC
from abc import abstractmethod

from msgspec import Struct


class RequestMetadata(Struct, frozen=True):
    """What a caller says of its request.

    ``deadline_ms`` is None where it sets none.  Requests with the same
    ``object_key`` are served faster by the same backend server.
    """

    request_id: str
    deadline_ms: float | None
    object_key: str


class ReportedLoad(Struct, frozen=True):
    """Load as a backend server tells it with an answer."""

    running: int
    waiting: int
    slots: int


class ResponseMetadata(Struct, frozen=True):
    """What a backend server says of its answer.

    ``not_run`` promises that the request has not run; ``is_misdirected``
    that another server has the address by now.  ``is_authentic`` is False
    where the answer carries no proof that the server gave it.
    """

    not_run: bool
    is_misdirected: bool
    is_authentic: bool
    load: ReportedLoad | None


class Dialect(ABC):
    """Reads and writes the headers of one deployment."""

    @abstractmethod
    def read_request(self, headers):
        """Return the :class:`RequestMetadata` of a caller's request.

        :param headers: tornado's headers.
        """

    @abstractmethod
    def write_metadata(self, headers, server_name, left_ms):
        """Add what a backend server is told about a request.

        :param headers: headers on their way to the server.
        :param server_name: the server that is meant.
        :param left_ms: milliseconds after which the answer is of no use.
        """

    @abstractmethod
    def read_request_id(self, headers):
        """Return the id of the request that an answer names, or ''.

        :param headers: tornado's headers of the answer.
        """

    @abstractmethod
    def read_response(self, status, headers):
        """Return the :class:`ResponseMetadata` of a backend server's answer.

        :param status: HTTP status.
        :param headers: tornado's headers.
        """
