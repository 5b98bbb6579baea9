"""Admission control of requests: contract, lease and limits."""

from asyncio import sleep

from msgspec import Struct

from fuchsiacart.clocks import steady_ms
from fuchsiacart.entry.claims import ClaimRequest
from fuchsiacart.entry.claims import parse_key
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import RequestError
from fuchsiacart.exceptions import Run
from fuchsiacart.messages import Header
from fuchsiacart.models import Contract
from fuchsiacart.models import Route
from fuchsiacart.quarantine import request_digest
from fuchsiacart.settings import StalePolicy

SHARE_WAIT_MS = 1000
SHARE_POLL_S = 0.05
MAX_WAITING_REQUESTS = 512
MAX_CLOSING_KEYS = 64
CLOSING_TIMEOUT_S = 2.0


class CallerRequest(Struct, frozen=True):
    """A request as its caller sent it.

    ``deadline_ms`` is 0, and ``token`` and ``key`` are '', if the header is
    missing.
    """

    token: str
    service: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    deadline_ms: int = 0
    key: str = ''
    attempt: int = 1


class AdmittedRequest(Struct, frozen=True):
    """A request with its contract and route.

    ``until_ms`` is the deadline, a time of the monotonic clock.
    """

    request: CallerRequest
    contract: Contract
    route: Route
    digest: str
    until_ms: float

    @property
    def rank(self):
        """Rank of the request."""
        return self.route.rank.rank

    def left_ms(self):
        """Return the milliseconds left; negative after the deadline."""
        return self.until_ms - steady_ms()


class AdmissionController:
    """Admits or refuses the requests of callers.

    :param on_stale: the :class:`StalePolicy` while no lease is held.
    :param lease: the :class:`LeaseClient`.
    :param views: the :class:`ViewReplicator`.
    :param limits: the :class:`ContractLimiter`.
    :param claims: the :class:`ClaimStore`.
    """

    def __init__(self, on_stale, lease, views, limits, claims):
        self._on_stale = on_stale
        self._lease = lease
        self._views = views
        self._limits = limits
        self._claims = claims
        self._waiting = 0
        self._closing = 0

    async def refuse_as_not_run(self, admitted, error):
        """Refuse a request so that its caller knows it was not run.

        A request that is not repeatable is certain not to run only after
        its key is closed in the replicated log.  If ``MAX_CLOSING_KEYS`` keys
        are being closed already, the outcome is left unknown, so that a
        flood of refusals cannot fill the log.

        :param admitted: the :class:`AdmittedRequest`.
        :param error: the :class:`RequestError` of the refusal.
        :return: the record with the response of an earlier attempt.
        :raises RequestError: if there is no such response.
        """
        if admitted.route.repeatable or self._closing >= MAX_CLOSING_KEYS:
            raise error
        self._closing += 1
        try:
            closed = await self._claims.close(
                make_claim_request(admitted), CLOSING_TIMEOUT_S
            )
        finally:
            self._closing -= 1
        if closed is not None:
            return closed.record
        raise RequestError(
            error.detail, error.kind, Run.NO, error.retry_after_ms
        )

    async def acquire_rate(self, admitted):
        """Acquire the rate of one request.

        Waits up to ``SHARE_WAIT_MS`` for a larger share of the limit.

        :param admitted: the :class:`AdmittedRequest`.
        :raises RequestError: if the rate is still used up.
        """
        wait_ms = await self._acquire(self._limits.acquire_rate, admitted)
        if wait_ms:
            raise _make_limit_error(_run_before_claim(admitted), wait_ms)

    async def acquire_concurrency(self, admitted):
        """Acquire the concurrency of one request.

        Waits up to ``SHARE_WAIT_MS`` for a larger share of the limit.
        A request that is not repeatable has been claimed before, so a
        request refused here was certainly not run.

        :param admitted: the :class:`AdmittedRequest`; the caller of this
            method has to release its concurrency.
        :raises RequestError: if the concurrency is still used up.
        """
        wait_ms = await self._acquire(
            self._limits.acquire_concurrency, admitted
        )
        if wait_ms:
            raise _make_limit_error(Run.NO, wait_ms)

    async def _acquire(self, acquire, admitted):
        """Try to acquire a limit until it succeeds or the wait times out.

        Waits for ``SHARE_WAIT_MS`` or a quarter of the time left until the
        deadline, whichever is shorter.  At most ``MAX_WAITING_REQUESTS``
        wait at the same time.  Each asks for an early renewal of the lease,
        which may bring a larger share.

        :param acquire: method of the :class:`ContractLimiter` to call.
        :param admitted: the :class:`AdmittedRequest`.
        :return: 0 on success, else the milliseconds to wait before a retry.
        """
        customer = admitted.contract.customer
        timeout_ms = min(SHARE_WAIT_MS, admitted.left_ms() / 4)
        until_ms = steady_ms() + timeout_ms
        while True:
            wait_ms = acquire(customer, admitted.rank, steady_ms())
            if not wait_ms:
                return 0
            if (
                steady_ms() >= until_ms
                or self._waiting >= MAX_WAITING_REQUESTS
            ):
                return wait_ms
            self._lease.renew_soon()
            self._waiting += 1
            try:
                await sleep(SHARE_POLL_S)
            finally:
                self._waiting -= 1

    def release_concurrency(self, admitted):
        """Release the concurrency of a finished request."""
        self._limits.release_concurrency(
            admitted.contract.customer, admitted.rank
        )

    def admit(self, request):
        """Check the contract, route and lease of a request.

        :param request: the :class:`CallerRequest`.
        :return: the :class:`AdmittedRequest`.
        :raises RequestError: if the request is refused.
        """
        view = self._views.replicated_state
        contract = view.contract_for_token(request.token)
        if contract is None:
            raise RequestError(
                'unknown token',
                self._unknown_token_kind(),
                Run.NO,
            )
        route = contract.find_route(
            request.service, request.method, request.path.partition('?')[0]
        )
        if route is None:
            raise RequestError('no route', ErrorKind.NO_CONTRACT, Run.NO)
        limit_ms = route.deadline_ms
        if request.deadline_ms:
            limit_ms = min(limit_ms, request.deadline_ms)
        digest = request_digest(
            contract.customer,
            request.service,
            request.method,
            request.path,
            (request.body,),
        )
        admitted = AdmittedRequest(
            request, contract, route, digest, steady_ms() + limit_ms
        )
        self._check_lease(admitted)
        return admitted

    def _unknown_token_kind(self):
        """Return STALE if a newer view may contain the token."""
        if self._lease.holds():
            return ErrorKind.UNAUTHORIZED
        return ErrorKind.STALE

    def _check_lease(self, admitted):
        if self._lease.holds():
            return
        policy = self._on_stale
        if policy is StalePolicy.SERVE_REPEATABLE:
            if admitted.route.repeatable:
                return
        raise RequestError(
            'the lease of this entry host has run out',
            ErrorKind.STALE,
            _run_before_claim(admitted),
        )


def make_claim_request(admitted):
    """Return the :class:`ClaimRequest` of an admitted request.

    :raises RequestError: if its idempotency key is invalid.
    """
    return ClaimRequest(
        admitted.contract.customer,
        parse_key(admitted.request.key),
        admitted.request.attempt,
        admitted.digest,
    )


def _make_limit_error(run, wait_ms):
    """Return the error for an exhausted limit."""
    return RequestError(
        'the limit of the contract is used up',
        ErrorKind.RATE_LIMITED,
        run,
        wait_ms,
    )


def _run_before_claim(admitted):
    """Return the :class:`Run` state of a request refused before its claim.

    An earlier attempt with the same key may have run, so only a repeatable
    request is reported as not run.
    """
    return Run.NO if admitted.route.repeatable else Run.UNKNOWN
