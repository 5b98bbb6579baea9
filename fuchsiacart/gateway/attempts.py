"""A caller's request at a gateway and the state of its attempts."""

from asyncio import Task
from asyncio import wait
from time import monotonic

from msgspec import Struct
from tornado.httputil import HTTPHeaders

from fuchsiacart.accounts import ClientAccount
from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.clocks import steady_ms
from fuchsiacart.configurations import PathRoute
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import RequestError
from fuchsiacart.exceptions import Run
from fuchsiacart.failure_kinds import FailureKind
from fuchsiacart.gateway.admissions import choose_retry_after_ms
from fuchsiacart.gateway.admissions import longest_retry_after_ms
from fuchsiacart.gateway.admissions import MAX_RETRY_AFTER_MS
from fuchsiacart.gateway.admissions import MIN_RETRY_AFTER_MS
from fuchsiacart.gateway.admissions import ONLY_RANK_URGENCY
from fuchsiacart.gateway.admissions import retry_part
from fuchsiacart.gateway.budgets.bodies import Body
from fuchsiacart.gateway.dialects import RequestMetadata

# Failed connections after which a request that was not sent yet fails.
MAX_UNREACHABLE_SERVERS = 4
# Gateways that could not serve a relayed request, after which it fails.
MAX_FAILED_RELAYS = 4
BODILESS_METHODS = ('GET', 'HEAD')


class InboundRequest(Struct, frozen=True):
    """A complete request of a caller.

    ``target`` is the path with the query, ``received_s`` a time of the
    monotonic clock and ``caller`` the IP address of the caller.
    If another gateway relayed it, ``relayed_for`` is whom it names as caller
    and ``relayed_version`` the version of the configuration that it has.
    """

    method: str
    target: str
    host_name: str
    headers: HTTPHeaders
    body: Body | bytes
    metadata: RequestMetadata
    received_s: float
    caller: str = ''
    relayed_for: str = ''
    relayed_version: int = 0

    @property
    def path(self):
        """The path without the query."""
        return self.target.partition('?')[0]

    @property
    def is_relayed(self):
        """True if another gateway relayed the request."""
        return bool(self.relayed_for)

    @property
    def has_length(self):
        """True if the request states the length of its body."""
        return bool(self.body) or self.method not in BODILESS_METHODS

    @property
    def retry_after_ms(self):
        """Longest time in milliseconds after which the caller returns.

        A request without a deadline counts as one with a deadline of
        ``MAX_RETRY_AFTER_MS``.
        """
        left_ms = self.metadata.deadline_ms or MAX_RETRY_AFTER_MS
        left_ms -= (monotonic() - self.received_s) * MILLISECONDS
        return int(longest_retry_after_ms(left_ms))

    def make_stale_error(self):
        """Return the refusal of a request that needs a newer configuration."""
        return RequestError(
            'the newest configuration is not known',
            ErrorKind.STALE,
            retry_after_ms=self.retry_after_ms,
        )

    def make_stop_error(self):
        """Return the refusal of a request that another gateway can take."""
        return RequestError(
            'this gateway stops',
            ErrorKind.DRAINING,
            retry_after_ms=int(
                choose_retry_after_ms(MIN_RETRY_AFTER_MS, self.retry_after_ms)
            ),
        )


class Attempts(Struct):
    """Attempts made for one request.

    ``urgency`` is that of its rank; see :class:`RankedAdmission`.  ``sent``
    counts the attempts that reached a server, ``unreachable`` those that
    failed to connect, ``failed_relays`` those at other gateways that did not
    reach a server.  ``may_have_run`` is set once an attempt failed without
    the server's promise that the request was not run.  ``excluded`` names the
    servers already tried; ``last_failure`` says how the last attempt failed.
    ``server_check`` checks whether the server that broke off last is lost.
    ``room``, ``believed_load`` and ``load_age_ms`` are the requests per slot
    that were allowed for the last placement, the load on which it was based
    and the age of that load, -1 if none was known.  ``route`` is the one on
    arrival, with the home regions of the configuration ``version``.
    ``has_retry`` is True while a retry that the budget allowed has not been
    made.  ``account`` is the one whose key the request carries, None without;
    ``has_accounts`` is True if the configuration has any.  ``is_refunded`` is
    True if the last attempt was surely not run.  ``revision`` and
    ``view_age_ms`` are the revision of the view by which it was sent last and
    the age of that view.
    """

    request: InboundRequest
    route: PathRoute
    service: str
    urgency: float | None = ONLY_RANK_URGENCY
    sent: int = 0
    unreachable: int = 0
    failed_relays: int = 0
    may_have_run: bool = False
    excluded: frozenset[str] = frozenset()
    last_failure: str = ''
    server_check: Task | None = None
    room: float = 0.0
    believed_load: float = 0.0
    load_age_ms: float = -1.0
    version: int = 0
    has_retry: bool = False
    account: ClientAccount | None = None
    has_accounts: bool = False
    is_refunded: bool = False
    revision: int = 0
    view_age_ms: float = -1.0

    @property
    def rank(self):
        """The rank of its account, if that has one, or of its route."""
        if self.account is None or self.account.rank is None:
            return self.route.rank
        return self.account.rank

    @property
    def account_name(self):
        """Name of its account, '' without one."""
        return self.account.name if self.account is not None else ''

    @property
    def deadline_s(self):
        """The deadline, a time of the monotonic clock.

        The earlier of the route's timeout and the caller's deadline.
        """
        wait_ms = self.route.timeout_ms
        if self.request.metadata.deadline_ms is not None:
            wait_ms = min(wait_ms, self.request.metadata.deadline_ms)
        return self.request.received_s + wait_ms / MILLISECONDS

    @property
    def left_s(self):
        """Seconds until the deadline; negative once it has passed."""
        return self.deadline_s - monotonic()

    @property
    def objective_s(self):
        """The response time objective of the route in seconds."""
        return self.route.objective_ms / MILLISECONDS

    @property
    def objective_left_s(self):
        """Seconds left to meet the response time objective."""
        return self.request.received_s + self.objective_s - monotonic()

    @property
    def may_run_again(self):
        """True if it has not run, or may run more than once."""
        return self.route.is_idempotent or not self.may_have_run

    async def wait_for_server_check(self):
        """Wait for ``server_check``, until the deadline at most."""
        if self.server_check is not None:
            await wait((self.server_check,), timeout=max(0.0, self.left_s))

    def may_try_again(self, budget):
        """Return True if another attempt may be made.

        A request that has not been sent yet may try further servers without
        using the retry budget.

        :param budget: the :class:`SharedRetryBudget` of the service; a
            retry that is allowed takes one token from it, unless the one
            before was allowed and not made.
        """
        if self.sent == 0:
            return (
                self.unreachable < MAX_UNREACHABLE_SERVERS
                and self.failed_relays < MAX_FAILED_RELAYS
            )
        if not self.may_run_again or self.sent >= self.route.max_attempts:
            return False
        if not self.has_retry:
            self.has_retry = budget.try_spend(
                steady_ms(), retry_part(self.urgency)
            )
        return self.has_retry

    def record_result(self, result):
        """Record that an attempt was made, if its request was sent.

        :param result: its :class:`ExchangeResult`.
        """
        if result.failure is not FailureKind.NOT_SENT:
            self.has_retry = False

    def make_error(self, room_ms, reason=''):
        """Return the error of a request that fails before its deadline.

        :param room_ms: time until a server probably has room; None if
            unknown.
        :param reason: detail of the error if no attempt was made.
        :return: the :class:`RequestError`.
        """
        if self.may_have_run:
            return RequestError(
                self.last_failure, ErrorKind.OUTCOME_UNKNOWN, Run.UNKNOWN
            )
        return RequestError(
            self.last_failure or reason,
            ErrorKind.OVERLOADED,
            retry_after_ms=int(
                choose_retry_after_ms(room_ms, self.request.retry_after_ms)
            ),
        )

    def make_isolated_error(self):
        """Return the error of a request for which no server is reached.

        :return: the :class:`RequestError`.
        """
        if self.may_have_run:
            return self.make_error(None)
        return RequestError(
            self.last_failure or 'no backend server is reached',
            ErrorKind.ISOLATED,
            retry_after_ms=self.request.retry_after_ms,
        )

    def make_deadline_error(self):
        """Return the error of a request whose deadline has passed.

        :return: the :class:`RequestError`.
        """
        if self.may_have_run:
            return RequestError(
                self.last_failure, ErrorKind.DEADLINE, Run.UNKNOWN
            )
        return RequestError(
            self.last_failure or 'its time is over', ErrorKind.OVERLOADED
        )
