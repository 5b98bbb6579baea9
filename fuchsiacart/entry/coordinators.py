"""Serves one request: admission, claim, attempts and response."""

from asyncio import create_task
from asyncio import shield

from msgspec import Struct

from fuchsiacart.clocks import wall_ms
from fuchsiacart.entry.admissions import AdmissionController
from fuchsiacart.entry.admissions import make_claim_request
from fuchsiacart.entry.claims import ClaimResult
from fuchsiacart.entry.forwarding import Forwarder
from fuchsiacart.entry.forwarding import make_refused_reply
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import RequestError
from fuchsiacart.exceptions import Run
from fuchsiacart.messages import ForwardReply
from fuchsiacart.messages import Header
from fuchsiacart.metrics import QUARANTINED
from fuchsiacart.metrics import RETRIES
from fuchsiacart.retries import FailedAttempt

# Attempts up to which a request may move to another host without a charge to
# the retry budget.
MAX_MOVE_ATTEMPTS = 8
REPLAYED_HEADER = Header('Fuchsiacart-Replayed', 'true')


class Components(Struct, frozen=True):
    """Components of an entry host that a coordinator uses."""

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
    notify_suspect: object


class Coordinator:
    """Serves the requests of callers at an entry host.

    :param settings: the settings of the process.
    :param components: the :class:`Components` of this entry host.
    """

    def __init__(self, settings, components):
        self._settings = settings
        self._components = components
        self._forwarder = Forwarder(settings, components)
        self._admissions = AdmissionController(
            settings.entry.on_stale,
            components.lease,
            components.views,
            components.limits,
            components.claims,
        )
        self.in_flight = 0

    async def handle(self, request):
        """Serve a request.

        Cancellation, when the caller disconnects, stops a repeatable
        request.  Any other request continues, so that the caller finds its
        response when it sends the request again.

        :param request: the :class:`CallerRequest`.
        :return: the :class:`ForwardReply` with the complete response.
        :raises RequestError: if there is no response, with the reason and
            whether the request was run.
        """
        admitted = self._admissions.admit(request)
        if admitted.route.repeatable:
            return await self._count_in_flight(admitted, self._run)
        task = create_task(self._count_in_flight(admitted, self._run_once))
        task.add_done_callback(_retrieve_exception)
        return await shield(task)

    async def _count_in_flight(self, admitted, serve):
        self.in_flight += 1
        try:
            return await self._serve_within_rate(admitted, serve)
        finally:
            self.in_flight -= 1

    async def _serve_within_rate(self, admitted, serve):
        try:
            await self._admissions.acquire_rate(admitted)
        except RequestError as error:
            record = await self._admissions.refuse_as_not_run(admitted, error)
            return _make_replayed_reply(record)
        return await serve(admitted)

    async def _run(self, admitted):
        """Run an admitted request within its concurrency limit."""
        await self._admissions.acquire_concurrency(admitted)
        try:
            return await self._run_attempts(admitted)
        finally:
            self._admissions.release_concurrency(admitted)

    async def _run_once(self, admitted):
        claim = make_claim_request(admitted)
        claimed = await self._components.claims.claim(
            claim, self._is_host_live, max(0.01, admitted.left_ms() / 1000)
        )
        if claimed.result is ClaimResult.ANSWERED:
            return _make_replayed_reply(claimed.record)
        run = Run.UNKNOWN
        reply = ForwardReply()
        try:
            reply = await self._run(admitted)
            return reply
        except RequestError as error:
            run = error.run
            raise
        finally:
            ran = run is not Run.NO
            self._components.claims.settle(claim, claimed.token, reply, ran)

    def _is_host_live(self, name):
        return self._components.views.replicated_state.host(name) is not None

    async def _run_attempts(self, admitted):
        self._components.retries.record_request()
        tried_hosts = ()
        tried_servers = ()
        run = Run.NO
        attempt = 0
        while True:
            attempt += 1
            known_losses = self._known_losses(admitted)
            reply, host = await self._make_attempt(
                admitted, tried_hosts, tried_servers
            )
            if reply.refusal is None:
                self._components.quarantine.clear(admitted.digest)
                return reply
            if reply.refusal.run is Run.UNKNOWN:
                run = Run.UNKNOWN
            if reply.broken:
                await self._record_broken(admitted, reply, known_losses)
            if reply.server:
                tried_servers += (reply.server,)
            else:
                tried_hosts += (host,)
            if host and self._may_move(reply, admitted, attempt):
                continue
            failure = FailedAttempt(
                reply.refusal.run,
                admitted.route.repeatable,
                attempt,
                admitted.left_ms(),
            )
            if not host or not self._components.retries.may_retry(failure):
                raise _make_request_error(reply.refusal, run)
            RETRIES.inc()

    def _may_move(self, reply, admitted, attempt):
        """Return True if a further attempt is allowed outside the budget.

        A server that could not be reached and an owner without a usable
        server have done no work, so such attempts do not amplify the load.
        """
        if reply.refusal.kind is not ErrorKind.NO_BACKEND:
            return False
        return attempt < MAX_MOVE_ATTEMPTS and admitted.left_ms() > 0

    async def _make_attempt(self, admitted, tried_hosts, tried_servers):
        """Make one attempt.

        :return: the reply and the name of the owner that was chosen, or ''
            if none was.
        :raises RequestError: if the request is quarantined.
        """
        self._check_quarantine(admitted)
        if admitted.left_ms() <= 0:
            return (
                make_refused_reply(ErrorKind.DEADLINE, 'no time is left'),
                '',
            )
        chosen = await self._forwarder.choose(admitted, tried_hosts)
        if chosen is None:
            return (
                make_refused_reply(ErrorKind.NO_BACKEND, 'no owner is known'),
                '',
            )
        reply = await self._forwarder.forward(chosen, admitted, tried_servers)
        return reply, chosen.host

    def _check_quarantine(self, admitted):
        now_ms = wall_ms()
        quarantine = self._components.quarantine
        if quarantine.is_quarantined(admitted.digest, now_ms):
            QUARANTINED.inc()
            raise RequestError(
                'it broke the backend servers that ran it',
                ErrorKind.QUARANTINED,
                Run.UNKNOWN,
            )

    def _known_losses(self, admitted):
        return self._components.quarantine.losses_in_row(
            admitted.digest, wall_ms()
        )

    async def _record_broken(self, admitted, reply, known_losses):
        suspect = self._components.quarantine.record_broken(
            admitted.digest, reply.server, known_losses, wall_ms()
        )
        await self._components.notify_suspect(suspect)


def _retrieve_exception(task):
    """Retrieve the exception, so that asyncio does not log it as unhandled.

    Nobody awaits the task once its caller has disconnected.
    """
    if not task.cancelled():
        task.exception()


def _make_replayed_reply(record):
    headers = (Header('Content-Type', record.content_type), REPLAYED_HEADER)
    return ForwardReply('', record.status, headers, record.body)


def _make_request_error(refusal, run):
    return RequestError(
        refusal.detail, refusal.kind, run, refusal.retry_after_ms
    )
