"""Stand-in callers that send requests over persistent connections."""

from asyncio import sleep
from asyncio import wait_for
from time import monotonic

from msgspec.json import decode
from tornado.httputil import HTTPHeaders

from fuchsiacart.failure_kinds import FailureKind
from fuchsiacart.gateway.budgets.memory_budgets import MemoryBudget
from fuchsiacart.gateway.exchanges import OutboundRequest
from fuchsiacart.gateway.exchanges import request_line
from fuchsiacart.gateway.exchanges import ServerConnection
from soak.calls import fetch
from soak.records import HOME_PREFIX
from soak.records import SentRequest
from soak.records import STEADY_KEY

CONNECT_TIMEOUT_S = 1.0
DEADLINE_S = 2.0
PAUSE_RANGE_S = (0.0, 0.06)
# A caller closes its connection when no response has come by then.
RESPONSE_TIMEOUT_S = 4.0
OBJECT_COUNT = 40
# In the refusal of a request that crashes servers.
QUARANTINED = b'no_backend'
SERVER_LEAVING = 'Server-Leaving'
PATH_PREFIXES = ('/stock/', '/orders/', '/move/', HOME_PREFIX)
IDEMPOTENT_PREFIXES = ('/stock/', HOME_PREFIX)


class Caller:
    """Sends requests one at a time to gateways that a directory lists.

    :param soak: the :class:`Soak` run that the caller belongs to.
    :param number: number of the caller, unique within the run.
    :param fixed_addresses: gateways of a caller that asks no directory; it
        sends each request over a new connection to any of them.
    """

    body = b''
    pause_range_s = PAUSE_RANGE_S

    def __init__(self, soak, number, fixed_addresses=()):
        self._soak = soak
        self._number = number
        self._sequence = 0
        self._connection = None
        self._is_new_connection = False
        self._gateway = ''
        self._addresses_expire_s = 0.0
        self._fixed_addresses = fixed_addresses
        self._addresses = fixed_addresses

    async def run(self):
        """Send requests until the run is finished."""
        while not self._soak.is_finished:
            await self._send_one()
            await sleep(self._soak.random.uniform(*self.pause_range_s))
        self._close_connection()

    def choose_key(self):
        """Return the key of the next request, '' where there are none."""
        return STEADY_KEY if self._soak.accounts is not None else ''

    def _choose_target(self):
        """Return the path prefix and the object of the next request."""
        random = self._soak.random
        return random.choice(PATH_PREFIXES), random.randrange(OBJECT_COUNT)

    async def _send_one(self):
        if not await self._ensure_connection():
            return
        self._sequence += 1
        request_id = f'r{self._number}-{self._sequence}'
        prefix, target = self._choose_target()
        sent = SentRequest(
            request_id,
            'GET' if prefix in IDEMPOTENT_PREFIXES else 'POST',
            f'{prefix}{target}',
            self._gateway,
            monotonic(),
            DEADLINE_S,
            prefix in IDEMPOTENT_PREFIXES,
            key=self.choose_key(),
        )
        self._soak.ledger.record_request(sent)
        self._is_new_connection = False
        try:
            result = await wait_for(
                self._connection.send_request(
                    self._build_request(sent), sent.sent_s + RESPONSE_TIMEOUT_S
                ),
                RESPONSE_TIMEOUT_S,
            )
        except TimeoutError:
            self._soak.ledger.record_response(
                sent, 0, FailureKind.TOO_LATE.value
            )
            self._close_connection()
            return
        self._record_result(sent, result)

    def _record_result(self, sent, result):
        response = result.response
        if response is None:
            self._soak.ledger.record_response(sent, 0, result.detail)
            self._close_connection()
            return
        if SERVER_LEAVING in response.headers:
            self._record_departure(sent, response)
        if response.status == 200:
            self._check_body(sent, response)
        if QUARANTINED in response.body and not sent.crashes_servers:
            self._soak.ledger.proper_quarantined += 1
        self._soak.ledger.record_response(sent, response.status)
        if self._fixed_addresses or not self._connection.is_reusable:
            self._close_connection()

    def _record_departure(self, sent, response):
        """Record that the gateway passed on that a server leaves."""
        statements = self._soak.ledger.statements
        server = response.headers.get('X-Server-Stamp', '')
        arrival = statements.find_arrival(sent.request_id, server)
        if arrival is not None:
            gateway = sent.gateway.partition(':')[0]
            statements.record_departure(arrival, gateway, monotonic())

    def _check_body(self, sent, response):
        stamp = response.headers.get('X-Server-Stamp', '')
        expected = f'{sent.request_id} by {stamp}'.encode()
        if response.body != expected:
            self._soak.ledger.record_violation(
                'MIXED', f'{sent.request_id} got {response.body!r}'
            )

    def _build_request(self, sent):
        def headers(left_ms):
            fields = HTTPHeaders(
                {
                    'Host': 'shop.example',
                    'X-Attempt-Id': sent.request_id,
                    'X-Deadline-Ms': str(int(DEADLINE_S * 1000)),
                    'Cookie': f'X-Affinity-Key={sent.path}',
                    'Content-Length': str(len(self.body)),
                }
            )
            if sent.key:
                fields['Authorization'] = f'Bearer {sent.key}'
            return fields

        line = request_line(sent.method, sent.path)
        # Refusals of a gateway name no request, but come in order.
        return OutboundRequest(
            line,
            headers,
            self.body or None,
            sent.request_id,
            lambda _: sent.request_id,
        )

    async def _ensure_connection(self):
        """Open a connection to a listed gateway unless one is open.

        :return: True if a connection is ready for a request.
        """
        await self._refresh_addresses()
        if (
            self._connection is not None
            and self._gateway not in self._addresses
        ):
            self._close_connection()
        if self._connection is not None:
            if self._is_new_connection or self._connection.is_reusable:
                return True
            self._close_connection()
        if not self._addresses:
            await sleep(PAUSE_RANGE_S[1])
            return False
        address = self._soak.random.choice(self._addresses)
        connection = ServerConnection(address, MemoryBudget())
        try:
            await connection.connect(address, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError):
            connection.close()
            return False
        self._connection, self._gateway = connection, address
        self._is_new_connection = True
        return True

    async def _refresh_addresses(self):
        now_s = monotonic()
        if self._fixed_addresses or now_s < self._addresses_expire_s:
            return
        query = '/api/resolve?name=shop.example&region=north&zone=north-a'
        for process in self._soak.shuffled_control():
            url = f'http://{process.address("directory")}{query}'
            reply = await fetch('GET', url)
            if reply is not None and reply.code == 200:
                document = decode(reply.body)
                self._addresses = tuple(document['addresses'])
                self._addresses_expire_s = monotonic() + document['ttl_s']
                return

    def _close_connection(self):
        if self._connection is not None:
            self._connection.close()
        self._connection = None
