"""One caller's request at a gateway, and what has been tried for it."""

from time import monotonic

from msgspec import Struct
from tornado.httputil import HTTPHeaders

from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.configurations import PathRoute
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import RequestError
from fuchsiacart.exceptions import Run
from fuchsiacart.gateway.dialects import RequestMetadata

# Callers wait for up to this part of the time that they have left.
RETRY_AFTER_PART = 0.33
LONGEST_RETRY_AFTER_MS = 1000
# Unreachable servers that one request moves on from.
UNREACHABLE_LIMIT = 4


class InboundRequest(Struct, frozen=True):
    """A caller's request, whole; ``caller`` is the caller's IP."""

    method: str
    target: str
    host_name: str
    headers: HTTPHeaders
    body: bytes
    terms: RequestMetadata
    received_s: float
    caller: str = ''

    @property
    def path(self):
        """Return the path without its query."""
        return self.target.partition('?')[0]

    @property
    def retry_after_ms(self):
        """Return when the request is worth sending again once refused."""
        left_ms = self.terms.deadline_ms or LONGEST_RETRY_AFTER_MS
        left_ms -= (monotonic() - self.received_s) * MILLISECONDS
        waited_ms = min(LONGEST_RETRY_AFTER_MS, left_ms * RETRY_AFTER_PART)
        return max(1, int(waited_ms))


class Attempts(Struct):
    """What has been tried for one request.

    ``may_have_run`` is set once an attempt ended without a promise.
    """

    request: InboundRequest
    route: PathRoute
    service: str
    sent: int = 0
    unreachable: int = 0
    may_have_run: bool = False
    excluded: frozenset[str] = frozenset()
    last: str = ''

    @property
    def deadline_s(self):
        """Return when the request is given up, by the steady clock."""
        wait_ms = self.route.timeout_ms
        if self.request.terms.deadline_ms is not None:
            wait_ms = min(wait_ms, self.request.terms.deadline_ms)
        return self.request.received_s + wait_ms / MILLISECONDS

    @property
    def left_s(self):
        """Return the seconds until the request is given up."""
        return self.deadline_s - monotonic()

    @property
    def objective_s(self):
        """Return the seconds in which an answer is worth most."""
        return self.route.objective_ms / MILLISECONDS

    @property
    def objective_left_s(self):
        """Return the seconds left in which an answer is worth most."""
        return self.request.received_s + self.objective_s - monotonic()

    def may_go_on(self, budget):
        """Tell whether another attempt may be made.

        :param budget: the :class:`SharedRetryBudget` of the service; a
            repeat uses it up.
        """
        if self.sent == 0:
            return self.unreachable < UNREACHABLE_LIMIT
        if self.may_have_run and not self.route.is_idempotent:
            return False
        return self.sent < self.route.max_attempts and budget.try_spend()

    def end(self, reason=''):
        """Return the error of a request that is given up before its time.

        :param reason: why, where no attempt tells.
        """
        if self.may_have_run:
            return RequestError(
                self.last, ErrorKind.OUTCOME_UNKNOWN, Run.UNKNOWN
            )
        return RequestError(
            self.last or reason,
            ErrorKind.OVERLOADED,
            retry_after_ms=self.request.retry_after_ms,
        )

    def end_late(self):
        """Return the error of a request whose time is over."""
        if self.may_have_run:
            return RequestError(self.last, ErrorKind.DEADLINE, Run.UNKNOWN)
        return RequestError(
            self.last or 'its time is over', ErrorKind.OVERLOADED
        )
