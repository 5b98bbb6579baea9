"""Records of what the stand-ins of a soak observe."""

from msgspec import field
from msgspec import Struct

NEVER_S = float('inf')
# Each server that runs a request for this object crashes.
CRASHING_OBJECT = 'crashing'
# Of requests that have a home region.
HOME_PREFIX = '/home/'
# Key of the account that all configurations have.
STEADY_KEY = 'key-steady'


class RequestRun(Struct, frozen=True):
    """The start of a request's execution on a backend server."""

    server: str
    service: str
    domain: str
    method: str
    path: str
    at_s: float
    account: str = ''
    has_key: bool = False


class SentRequest(Struct):
    """One request of a caller; ``status`` is 0 without a complete response."""

    request_id: str
    method: str
    path: str
    gateway: str
    sent_s: float
    timeout_s: float
    idempotent: bool
    ended_s: float = NEVER_S
    status: int = 0
    detail: str = ''
    runs: list[RequestRun] = field(default_factory=list)
    key: str = ''

    @property
    def may_be_denied(self):
        """True if its key may not be held, or its quota be used up."""
        return self.key not in ('', STEADY_KEY)

    @property
    def has_home(self):
        """True if only servers of a home region may run the request."""
        return self.path.startswith(HOME_PREFIX)

    @property
    def crashes_servers(self):
        """True if each server that runs the request crashes."""
        return self.path.endswith(CRASHING_OBJECT)


class Order(Struct):
    """A configuration that an operator has sent.

    ``keys`` holds the account of each key.
    """

    version: int
    parent_version: int
    service: str
    body: bytes
    sent_s: float
    body_bytes: int = 0
    acked_s: float = NEVER_S
    refused: bool = False
    home: str = ''
    keys: dict[str, str] = field(default_factory=dict)


class Evacuation(Struct):
    """An acknowledged evacuation of a failure domain, until its end."""

    domain: str
    acked_s: float
    ended_s: float = NEVER_S


class PlannedStop(Struct, frozen=True):
    """A planned stop of a gateway, from the signal to the process's end."""

    gateway: str
    asked_s: float
    ended_s: float


class GatewayCut(Struct, frozen=True):
    """A span in which gateways were cut off from all backend servers."""

    gateways: frozenset[str]
    start_s: float
    end_s: float


class LoopStall(Struct, frozen=True):
    """A span in which the event loop of the soak was blocked."""

    start_s: float
    end_s: float


class ConfigurationRead(Struct, frozen=True):
    """A configuration version that a control host returned."""

    address: str
    version: int
    sent_s: float
