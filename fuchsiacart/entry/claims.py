"""Claims: a request that is not repeatable runs at most once."""

from abc import ABC
from abc import abstractmethod
from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from enum import Enum
from enum import unique
from time import monotonic
from uuid import UUID
from uuid import uuid4

from msgspec import Struct

from fuchsiacart.clocks import wall_ms
from fuchsiacart.control.claim_records import ClaimRecord
from fuchsiacart.control.claim_records import ClaimState
from fuchsiacart.control.claim_states import key_time_ms
from fuchsiacart.control.commands import Claim
from fuchsiacart.control.commands import Close
from fuchsiacart.control.commands import Settle
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import RequestError
from fuchsiacart.exceptions import Run
from fuchsiacart.logs import log_warning
from fuchsiacart.messages import ClaimQuery
from fuchsiacart.models import CustomerId

SETTLE_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
MIN_TIMEOUT_S = 0.01
HOME_SEPARATOR = ':'


class IdempotencyKey(Struct, frozen=True):
    """An idempotency key: ``UUID`` or ``HOME:UUID``.

    The home is part of the key, so all attempts with the same key are
    claimed in the same control group.
    """

    home: str
    uuid: str


class ClaimRequest(Struct, frozen=True):
    """The request to claim, identified by customer, key and attempt."""

    customer: CustomerId
    key: IdempotencyKey
    attempt: int
    digest: str


@unique
class ClaimResult(Enum):
    """Whether a claim is granted or an earlier attempt has a response."""

    GRANTED = 'granted'
    ANSWERED = 'answered'


class ClaimReply(Struct, frozen=True):
    """Outcome of a claim.

    ``token`` is needed to settle a granted claim; ``record`` has the
    response of an earlier attempt.
    """

    result: ClaimResult
    token: str = ''
    record: ClaimRecord | None = None


class ClaimStore(ABC):
    """Grants the right to run a request."""

    @abstractmethod
    async def claim(self, request, is_host_live, timeout_s):
        """Claim a request, or get the outcome of an earlier attempt.

        Waits while an earlier attempt is running.

        :param request: the :class:`ClaimRequest`.
        :param is_host_live: takes the name of an entry host and returns
            True if the host is in the view.
        :param timeout_s: seconds until the request's deadline.
        :return: the :class:`ClaimReply`.
        :raises RequestError: if the request may not run now.
        """

    @abstractmethod
    async def close(self, request, timeout_s):
        """Close the key of a request, so that this attempt never runs.

        :param request: the :class:`ClaimRequest`.
        :param timeout_s: seconds to wait.
        :return: the response of an earlier attempt as :class:`ClaimReply`, or
            None if the key is closed and the request was certainly not run.
        :raises RequestError: if an earlier attempt may have run.
        """

    @abstractmethod
    def settle(self, request, token, reply, ran):
        """Record the outcome of a claimed request in the background.

        :param request: the :class:`ClaimRequest`.
        :param token: token of the claim.
        :param reply: the :class:`ForwardReply`.
        :param ran: False only if the request was certainly not run.
        """

    @abstractmethod
    async def wait_settled(self):
        """Wait until all pending outcomes are recorded."""


class NullClaimStore(ClaimStore):
    """Baseline that grants every claim."""

    async def claim(self, request, is_host_live, timeout_s):
        """See :meth:`ClaimStore.claim`."""
        return ClaimReply(ClaimResult.GRANTED)

    async def close(self, request, timeout_s):
        """See :meth:`ClaimStore.close`."""

    def settle(self, request, token, reply, ran):
        """See :meth:`ClaimStore.settle`."""

    async def wait_settled(self):
        """See :meth:`ClaimStore.wait_settled`."""


class ReplicatedClaimStore(ClaimStore):
    """Claims that are committed to the replicated log.

    The state machine orders the claims of a key, so at most one is granted;
    a request with a settled key never runs again.

    :param groups: maps each home to its :class:`ControlClient`; '' is the
        home of keys that name none.
    :param owner: name of this host.
    """

    def __init__(self, groups, owner):
        self._groups = groups
        self._owner = owner
        self._settling = set()

    async def claim(self, request, is_host_live, timeout_s):
        """See :meth:`ClaimStore.claim`."""
        deadline_s = monotonic() + timeout_s
        command = self._make_command(Claim, request)
        while True:
            left_s = max(MIN_TIMEOUT_S, deadline_s - monotonic())
            outcome = await self._commit(request, command, left_s)
            if outcome.granted:
                return ClaimReply(ClaimResult.GRANTED, command.token)
            record = outcome.record
            while record.state is ClaimState.RUNNING:
                self._check_owner(record, is_host_live, deadline_s)
                await sleep(POLL_INTERVAL_S)
                record = (
                    await self._query_record(request, deadline_s) or record
                )
            if not _follows_closed(request, record):
                return self._reply_from_record(record)

    async def close(self, request, timeout_s):
        """See :meth:`ClaimStore.close`."""
        command = self._make_command(Close, request)
        outcome = await self._commit(request, command, timeout_s)
        record = outcome.record
        if record.state is ClaimState.RUNNING:
            raise RequestError(
                'an earlier attempt is running',
                ErrorKind.OUTCOME_UNKNOWN,
                Run.UNKNOWN,
            )
        if record.state is ClaimState.CLOSED:
            return None
        return self._reply_from_record(record)

    def _make_command(self, command_type, request):
        return command_type(
            request.customer,
            request.key.uuid,
            request.attempt,
            request.digest,
            self._owner,
            uuid4().hex,
            wall_ms(),
        )

    def settle(self, request, token, reply, ran):
        """See :meth:`ClaimStore.settle`."""
        content_type = ''
        for header in reply.headers:
            if header.name.lower() == 'content-type':
                content_type = header.value
        command = Settle(
            request.customer,
            request.key.uuid,
            token,
            ran,
            reply.status,
            content_type,
            reply.body if ran else b'',
            wall_ms(),
        )
        task = create_task(self._settle(self._group(request), command))
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    async def wait_settled(self):
        """See :meth:`ClaimStore.wait_settled`."""
        await gather(*self._settling, return_exceptions=True)

    def _group(self, request):
        """Return the :class:`ControlClient` of a key.

        :raises RequestError: if its home is unknown here; the key may have
            been used at an entry host that knows the home.
        """
        if request.key.home not in self._groups:
            raise RequestError(
                f'home {request.key.home} is not known here',
                ErrorKind.BAD_KEY,
                Run.UNKNOWN,
            )
        return self._groups[request.key.home]

    async def _commit(self, request, command, timeout_s):
        group = self._group(request)
        try:
            outcome = await group.commit(command, timeout_s)
        except FuchsiacartError as error:
            raise RequestError(
                'the claim was not agreed in time',
                ErrorKind.NO_QUORUM,
                Run.UNKNOWN,
                retry_after_ms=error.retry_after_ms,
            ) from error
        if outcome.error is not None:
            raise RequestError(outcome.detail, outcome.error, Run.UNKNOWN)
        return outcome

    async def _settle(self, group, command):
        try:
            await group.commit(command, SETTLE_TIMEOUT_S)
        except FuchsiacartError as error:
            log_warning(
                'claim_not_settled', key=command.key, detail=error.detail
            )

    async def _query_record(self, request, deadline_s):
        query = ClaimQuery(request.customer, request.key.uuid)
        left_s = max(0.01, deadline_s - monotonic())
        try:
            outcome = await self._group(request).call_leader(query, left_s)
        except FuchsiacartError as error:
            raise RequestError(
                'the earlier attempt cannot be looked up',
                ErrorKind.NO_QUORUM,
                Run.UNKNOWN,
            ) from error
        return outcome.record

    def _check_owner(self, record, is_host_live, deadline_s):
        if not is_host_live(record.owner):
            raise RequestError(
                'the host that ran an earlier attempt is gone',
                ErrorKind.OUTCOME_UNKNOWN,
                Run.UNKNOWN,
            )
        if monotonic() >= deadline_s:
            raise RequestError(
                'an earlier attempt is still running',
                ErrorKind.DEADLINE,
                Run.UNKNOWN,
            )

    def _reply_from_record(self, record):
        if record.state is ClaimState.CLOSED:
            raise RequestError(
                f'attempt {record.attempt} was closed as not run',
                ErrorKind.KEY_CLOSED,
                Run.NO,
            )
        if not record.kept:
            raise RequestError(
                'it has run; its answer was too large to keep',
                ErrorKind.OUTCOME_UNKNOWN,
                Run.UNKNOWN,
            )
        if record.status == 0:
            raise RequestError(
                'an earlier attempt ended with an unknown outcome',
                ErrorKind.OUTCOME_UNKNOWN,
                Run.UNKNOWN,
            )
        return ClaimReply(ClaimResult.ANSWERED, record=record)


def _follows_closed(request, record):
    """Return True if an attempt follows a closed one."""
    is_closed = record.state is ClaimState.CLOSED
    return is_closed and request.attempt > record.attempt


def parse_key(text):
    """Parse an idempotency key.

    :param text: value of the header.
    :return: the :class:`IdempotencyKey` with its UUID in canonical form.
    :raises RequestError: if it contains no UUIDv7.
    """
    home, _, uuid = text.strip().rpartition(HOME_SEPARATOR)
    if key_time_ms(uuid) is None:
        raise RequestError(
            'a UUIDv7 (RFC 9562) is wanted', ErrorKind.BAD_KEY, Run.NO
        )
    return IdempotencyKey(home, str(UUID(uuid)))
