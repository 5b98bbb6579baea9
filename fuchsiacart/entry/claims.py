"""Claims: work that may not be repeated runs at most once."""

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
SHORTEST_S = 0.01
HOME_SEPARATOR = ':'


class IdempotencyKey(Struct, frozen=True):
    """A key: ``UUID`` or ``HOME:UUID``.

    The home is part of the key, so all sends of a key meet in one group.
    """

    home: str
    uuid: str


class ClaimRequest(Struct, frozen=True):
    """Which request is to be claimed."""

    customer: CustomerId
    key: IdempotencyKey
    attempt: int
    digest: str


@unique
class ClaimResult(Enum):
    """What a claim gave."""

    GRANTED = 'granted'
    ANSWERED = 'answered'


class Claimed(Struct, frozen=True):
    """Result of a claim; ``token`` settles it, ``record`` has the answer."""

    result: ClaimResult
    token: str = ''
    record: ClaimRecord | None = None


class ClaimStore(ABC):
    """Gives the right to run a request."""

    @abstractmethod
    async def claim(self, request, is_host_live, timeout_s):
        """Claim a request, or get the outcome of an earlier attempt.

        :param request: the :class:`ClaimRequest`.
        :param is_host_live: tells whether an entry host is known.
        :param timeout_s: seconds until the request's deadline.
        :return: the :class:`Claimed`.
        :raises RequestError: when the request may not run now.
        """

    @abstractmethod
    async def close(self, request, timeout_s):
        """Make the refusal of a request final.

        :param request: the :class:`ClaimRequest`.
        :param timeout_s: seconds to wait.
        :return: the answer of an earlier attempt as :class:`Claimed`, or
            None where the key is closed and was surely not run.
        :raises RequestError: when an earlier attempt may have run.
        """

    @abstractmethod
    def settle(self, request, token, reply, ran):
        """Record how a claimed request ended, in the background.

        :param request: the :class:`ClaimRequest`.
        :param token: token of the claim.
        :param reply: the :class:`ForwardReply`.
        :param ran: False only when it surely was not run.
        """

    @abstractmethod
    async def drain(self):
        """Wait for the settlements under way."""


class NoClaims(ClaimStore):
    """Baseline: everything may run at once."""

    async def claim(self, request, is_host_live, timeout_s):
        """See :meth:`ClaimStore.claim`."""
        return Claimed(ClaimResult.GRANTED)

    async def close(self, request, timeout_s):
        """See :meth:`ClaimStore.close`."""

    def settle(self, request, token, reply, ran):
        """See :meth:`ClaimStore.settle`."""

    async def drain(self):
        """See :meth:`ClaimStore.drain`."""


class ReplicatedClaimStore(ClaimStore):
    """Claims agreed through the replicated log.

    The state machine puts the claims of a key in order, so one at most is
    granted; a settled key never runs again.

    :param groups: the :class:`ControlClient` of each home, and that of keys
        without a home under the empty name.
    :param owner: name of this host.
    """

    def __init__(self, groups, owner):
        self._groups = groups
        self._owner = owner
        self._settling = set()

    async def claim(self, request, is_host_live, timeout_s):
        """See :meth:`ClaimStore.claim`."""
        deadline_s = monotonic() + timeout_s
        command = self._command(Claim, request)
        while True:
            left_s = max(SHORTEST_S, deadline_s - monotonic())
            outcome = await self._commit(request, command, left_s)
            if outcome.granted:
                return Claimed(ClaimResult.GRANTED, command.token)
            record = outcome.record
            while record.state is ClaimState.RUNNING:
                self._check_owner(record, is_host_live, deadline_s)
                await sleep(POLL_INTERVAL_S)
                record = await self._look(request, deadline_s) or record
            if not _may_follow(request, record):
                return self._earlier(record)

    async def close(self, request, timeout_s):
        """See :meth:`ClaimStore.close`."""
        command = self._command(Close, request)
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
        return self._earlier(record)

    def _command(self, kind, request):
        return kind(
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

    async def drain(self):
        """See :meth:`ClaimStore.drain`."""
        await gather(*self._settling, return_exceptions=True)

    def _group(self, request):
        """Return the group that agrees a key's claims.

        :raises RequestError: when the home is not known here; the key may
            have been used where it is.
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

    async def _look(self, request, deadline_s):
        query = ClaimQuery(request.customer, request.key.uuid)
        left_s = max(0.01, deadline_s - monotonic())
        try:
            outcome = await self._group(request).ask(query, left_s)
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

    def _earlier(self, record):
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
        return Claimed(ClaimResult.ANSWERED, record=record)


def _may_follow(request, record):
    """Tell whether an attempt comes after a closed one."""
    is_closed = record.state is ClaimState.CLOSED
    return is_closed and request.attempt > record.attempt


def parse_key(text):
    """Read an idempotency key.

    :param text: the header's value.
    :return: the :class:`IdempotencyKey` in its usual form.
    :raises RequestError: when it holds no UUIDv7.
    """
    home, _, uuid = text.strip().rpartition(HOME_SEPARATOR)
    if key_time_ms(uuid) is None:
        raise RequestError(
            'a UUIDv7 (RFC 9562) is wanted', ErrorKind.BAD_KEY, Run.NO
        )
    return IdempotencyKey(home, str(UUID(uuid)))
