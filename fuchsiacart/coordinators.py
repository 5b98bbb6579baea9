"""The way of one request: contract, limit, claim, attempts, answer."""

from asyncio import create_task
from asyncio import shield
from asyncio import sleep
from uuid import uuid4

from msgspec import Struct

from fuchsiacart.adapters import Method
from fuchsiacart.claims import ClaimRequest
from fuchsiacart.claims import ClaimResult
from fuchsiacart.claims import parse_key
from fuchsiacart.clocks import steady_ms
from fuchsiacart.clocks import wall_ms
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import RequestError
from fuchsiacart.exceptions import Run
from fuchsiacart.links import LinkBudget
from fuchsiacart.messages import ForwardReply
from fuchsiacart.messages import ForwardRequest
from fuchsiacart.messages import Header
from fuchsiacart.messages import Refusal
from fuchsiacart.metrics import QUARANTINED
from fuchsiacart.metrics import RETRIES
from fuchsiacart.models import Contract
from fuchsiacart.models import Route
from fuchsiacart.quarantine import request_digest
from fuchsiacart.retries import Failure
from fuchsiacart.routing import Candidate
from fuchsiacart.settings import StalePolicy

FORWARD_MARGIN_S = 0.2
SHARE_PATIENCE_MS = 1000
SHARE_POLL_S = 0.05
WAITING_LIMIT = 512
OWNER_PATIENCE_MS = 1000
OWNER_POLL_S = 0.05
MOVE_LIMIT = 8
CLOSING_LIMIT = 64
CLOSING_TIMEOUT_S = 2.0
REPLAYED_HEADER = Header('Fuchsiacart-Replayed', 'true')


class CallerRequest(Struct, frozen=True):
    """A request as a caller sent it; 0 or '' where a header is missing."""

    token: str
    service: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    deadline_ms: int = 0
    key: str = ''
    attempt: int = 1


class Admitted(Struct, frozen=True):
    """A request with all that its contract says of it."""

    request: CallerRequest
    contract: Contract
    route: Route
    digest: str
    until_ms: float

    @property
    def rank(self):
        """Return the rank of the request."""
        return self.route.rank.rank

    def left_ms(self):
        """Return the milliseconds until the deadline."""
        return self.until_ms - steady_ms()


class Parts(Struct, frozen=True):
    """What a coordinator works with; see the classes of each part."""

    lease: object
    views: object
    limits: object
    claims: object
    router: object
    retries: object
    quarantine: object
    gossip: object
    dispatcher: object
    adapter: object
    tell_suspect: object


class Coordinator:
    """Takes each request from its caller to a backend server and back.

    :param settings: the settings of the process.
    :param parts: the parts of this entry host.
    """

    def __init__(self, settings, parts):
        self._settings = settings
        self._parts = parts
        self._links = {}
        self._impatient = 0
        self._closing = 0
        self.in_flight = 0

    async def handle(self, request):
        """Serve a request.

        :param request: the :class:`CallerRequest`.
        :return: the :class:`ForwardReply` with the whole answer.
        :raises RequestError: saying why there is none, and whether the
            request was run.

        When a caller gives up, work that may be repeated is cancelled; a
        claimed request goes on, so that a resend finds its answer.
        """
        self.in_flight += 1
        try:
            return await self._handle(request)
        finally:
            self.in_flight -= 1

    async def _handle(self, request):
        admitted = self._admit(request)
        if admitted.route.repeatable:
            return await self._within_limits(admitted, self._attempts)
        task = create_task(self._within_limits(admitted, self._run_once))
        task.add_done_callback(_take_result)
        return await shield(task)

    async def _within_limits(self, admitted, serve):
        customer = admitted.contract.customer
        try:
            await self._acquire(admitted)
        except RequestError as error:
            return await self._refuse_finally(admitted, error)
        try:
            return await serve(admitted)
        finally:
            self._parts.limits.release(customer, admitted.rank)

    async def _refuse_finally(self, admitted, error):
        """Refuse a request so that its caller knows it was not run.

        Work that may not be repeated needs its key closed for that, which
        is agreed like a claim; beyond ``CLOSING_LIMIT`` at a time the
        refusal stays unknown, so that a flood cannot fill the log.

        :return: the answer of an earlier attempt, if there is one.
        :raises RequestError: the refusal.
        """
        if admitted.route.repeatable or self._closing >= CLOSING_LIMIT:
            raise error
        self._closing += 1
        try:
            closed = await self._parts.claims.close(
                self._claim_request(admitted), CLOSING_TIMEOUT_S
            )
        finally:
            self._closing -= 1
        if closed is not None:
            return _replay(closed.record)
        raise RequestError(
            error.detail, error.kind, Run.NO, error.retry_after_ms
        )

    def _claim_request(self, admitted):
        return ClaimRequest(
            admitted.contract.customer,
            parse_key(admitted.request.key),
            admitted.request.attempt,
            admitted.digest,
        )

    async def _acquire(self, admitted):
        """Use the limit; wait a little for a larger share if need be."""
        customer = admitted.contract.customer
        limits = self._parts.limits
        patience_ms = min(SHARE_PATIENCE_MS, admitted.left_ms() / 4)
        until_ms = steady_ms() + patience_ms
        while True:
            wait_ms = limits.acquire(customer, admitted.rank, steady_ms())
            if not wait_ms:
                return
            if steady_ms() >= until_ms or self._impatient >= WAITING_LIMIT:
                raise RequestError(
                    'the limit of the contract is used up',
                    ErrorKind.RATE_LIMITED,
                    _run_before_claim(admitted),
                    wait_ms,
                )
            self._parts.lease.hurry()
            self._impatient += 1
            try:
                await sleep(SHARE_POLL_S)
            finally:
                self._impatient -= 1

    def _admit(self, request):
        """Find the contract and check all that needs no agreement."""
        view = self._parts.views.machine
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
            request.body,
        )
        admitted = Admitted(
            request, contract, route, digest, steady_ms() + limit_ms
        )
        self._check_lease(admitted)
        return admitted

    def _unknown_token_kind(self):
        """Return STALE where a newer contract may hold the token."""
        if self._parts.lease.holds():
            return ErrorKind.UNAUTHORIZED
        return ErrorKind.STALE

    def _check_lease(self, admitted):
        if self._parts.lease.holds():
            return
        policy = self._settings.entry.on_stale
        if policy is StalePolicy.SERVE_REPEATABLE:
            if admitted.route.repeatable:
                return
        raise RequestError(
            'the lease of this entry host has run out',
            ErrorKind.STALE,
            _run_before_claim(admitted),
        )

    async def _run_once(self, admitted):
        claim = self._claim_request(admitted)
        claimed = await self._parts.claims.claim(
            claim, self._is_host_live, max(0.01, admitted.left_ms() / 1000)
        )
        if claimed.result is ClaimResult.ANSWERED:
            return _replay(claimed.record)
        run = Run.UNKNOWN
        reply = ForwardReply()
        try:
            reply = await self._attempts(admitted)
            return reply
        except RequestError as error:
            run = error.run
            raise
        finally:
            ran = run is not Run.NO
            self._parts.claims.settle(claim, claimed.token, reply, ran)

    def _is_host_live(self, name):
        return self._parts.views.machine.host(name) is not None

    async def _attempts(self, admitted):
        self._parts.retries.note_request()
        tried_hosts = ()
        tried_servers = ()
        run = Run.NO
        attempt = 0
        while True:
            attempt += 1
            reply, host = await self._attempt(
                admitted, tried_hosts, tried_servers
            )
            if reply.refusal is None:
                self._parts.quarantine.clear(admitted.digest)
                return reply
            if reply.refusal.run is Run.UNKNOWN:
                run = Run.UNKNOWN
            if reply.broken:
                await self._note_broken(admitted, reply)
            if reply.server:
                tried_servers += (reply.server,)
            else:
                tried_hosts += (host,)
            if host and self._may_move(reply, admitted, attempt):
                continue
            failure = Failure(
                reply.refusal.run,
                admitted.route.repeatable,
                attempt,
                admitted.left_ms(),
            )
            if not host or not self._parts.retries.may_retry(failure):
                raise _request_error(reply.refusal, run)
            RETRIES.inc()

    def _may_move(self, reply, admitted, attempt):
        """Tell whether to move on, at no cost to the retry budget.

        A server that could not be reached and an owner that has none to
        use have done no work, so moving on multiplies nothing.
        """
        if reply.refusal.kind is not ErrorKind.NO_BACKEND:
            return False
        return attempt < MOVE_LIMIT and admitted.left_ms() > 0

    async def _attempt(self, admitted, tried_hosts, tried_servers):
        """Make one attempt.

        :return: the reply and the host that was asked, '' for none.
        """
        self._check_quarantine(admitted)
        if admitted.left_ms() <= 0:
            return _refused(ErrorKind.DEADLINE, 'no time is left'), ''
        chosen = await self._choose(admitted, tried_hosts)
        if chosen is None:
            return _refused(ErrorKind.NO_BACKEND, 'no owner is known'), ''
        request = self._forward_request(admitted, tried_servers)
        return await self._forward(chosen, request), chosen.host

    async def _choose(self, admitted, tried_hosts):
        """Return an owner; wait a little while none is known."""
        patience_ms = min(OWNER_PATIENCE_MS, admitted.left_ms() / 4)
        until_ms = steady_ms() + patience_ms
        while True:
            candidates = self._candidates(admitted, tried_hosts)
            chosen = self._parts.router.choose(
                candidates, self._settings.host.region
            )
            if chosen is not None or steady_ms() >= until_ms:
                return chosen
            await sleep(OWNER_POLL_S)

    def _check_quarantine(self, admitted):
        now_ms = wall_ms()
        quarantine = self._parts.quarantine
        if quarantine.is_quarantined(admitted.digest, now_ms):
            QUARANTINED.inc()
            raise RequestError(
                'it broke the backend servers that ran it',
                ErrorKind.QUARANTINED,
                Run.UNKNOWN,
            )

    def _candidates(self, admitted, tried_hosts):
        view = self._parts.views.machine
        service = admitted.request.service
        candidates = []
        for known in self._parts.gossip.fresh(steady_ms()):
            host = view.host(known.summary.host)
            if host is None or host.name in tried_hosts:
                continue
            for load in known.summary.loads:
                if load.service != service or load.slots == 0:
                    continue
                queued = sum(load.queued[: admitted.rank + 1])
                candidates.append(
                    Candidate(
                        host.name,
                        host.region,
                        host.peer_address,
                        load.slots,
                        load.in_flight,
                        queued,
                        known.sent,
                    )
                )
        return candidates

    def _forward_request(self, admitted, tried_servers):
        request = admitted.request
        now_ms = wall_ms()
        broken = self._parts.quarantine.broken_by(admitted.digest, now_ms)
        terms = admitted.contract.terms(admitted.rank)
        return ForwardRequest(
            uuid4().hex,
            admitted.contract.customer,
            request.service,
            request.method,
            request.path,
            request.headers,
            request.body,
            admitted.rank,
            terms.floor_percent,
            max(1, int(admitted.left_ms())),
            tuple({*tried_servers, *broken}),
            bool(broken),
        )

    async def _forward(self, chosen, request):
        if chosen.host == self._settings.host.name:
            return await self._parts.dispatcher.submit(request)
        if not self._may_cross(chosen, request):
            return _refused(ErrorKind.OVERLOADED, 'the link is full')
        self._parts.gossip.note_sent(chosen.host)
        timeout_s = request.deadline_ms / 1000 + FORWARD_MARGIN_S
        try:
            reply = await self._parts.adapter.call(
                chosen.address, Method.FORWARD, request, timeout_s
            )
        except FuchsiacartError as error:
            kind = ErrorKind.OUTCOME_UNKNOWN
            if error.run is Run.NO:
                kind = ErrorKind.NO_BACKEND
            return ForwardReply(refusal=Refusal(kind, error.detail, error.run))
        if chosen.region in self._links:
            self._links[chosen.region].charge(len(reply.body))
        return reply

    def _may_cross(self, chosen, request):
        if chosen.region == self._settings.host.region:
            return True
        now_ms = steady_ms()
        if chosen.region not in self._links:
            rate = self._settings.entry.link_bytes_per_s
            self._links[chosen.region] = LinkBudget(rate, now_ms)
        link = self._links[chosen.region]
        return link.may_send(request.rank, len(request.body), now_ms)

    async def _note_broken(self, admitted, reply):
        suspect = self._parts.quarantine.record_broken(
            admitted.digest, reply.server, wall_ms()
        )
        await self._parts.tell_suspect(suspect)


def _take_result(task):
    """Keep a failure that no caller waits for out of the log."""
    if not task.cancelled():
        task.exception()


def _run_before_claim(admitted):
    """Return what is known of a request that is refused unclaimed.

    An earlier attempt with the same key may have run, so `no` can be said
    of repeatable work only.
    """
    return Run.NO if admitted.route.repeatable else Run.UNKNOWN


def _replay(record):
    headers = (Header('Content-Type', record.content_type), REPLAYED_HEADER)
    return ForwardReply('', record.status, headers, record.body)


def _refused(kind, detail):
    return ForwardReply(refusal=Refusal(kind, detail, Run.NO))


def _request_error(refusal, run):
    return RequestError(
        refusal.detail, refusal.kind, run, refusal.retry_after_ms
    )
