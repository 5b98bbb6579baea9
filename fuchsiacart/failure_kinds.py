"""Kinds of failed attempts at a backend server."""

from enum import Enum
from enum import unique


@unique
class FailureKind(Enum):
    """Why an attempt got no complete answer from the backend server.

    ``NOT_CONNECTED``: no connection, so the request has not run;
    ``NOT_SENT``: its deadline passed before it was sent, or the server has
    said meanwhile that it takes no request;
    ``TOO_LATE``: the deadline passed; ``BROKEN``: the connection failed, or
    the end of the answer cannot be determined; ``SILENT``: the server no
    longer runs the request, but the connection delivers nothing.
    """

    NOT_CONNECTED = 'not_connected'
    NOT_SENT = 'not_sent'
    TOO_LATE = 'too_late'
    BROKEN = 'broken'
    SILENT = 'silent'
