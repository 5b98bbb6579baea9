"""Stand-ins for callers, which keep connections open while they can."""

from asyncio import sleep
from asyncio import wait_for
from time import monotonic

from msgspec.json import decode
from tornado.httputil import HTTPHeaders

from fuchsiacart.failure_kinds import FailureKind
from fuchsiacart.gateway.exchanges import OutboundRequest
from fuchsiacart.gateway.exchanges import request_line
from fuchsiacart.gateway.exchanges import ServerConnection
from soak.calls import fetch
from soak.ledger import Sent

CONNECT_S = 1.0
WAIT_S = 2.0
PAUSE_S = (0.0, 0.06)
# A caller that waits longer than this for an answer gives the link up.
PATIENCE_S = 4.0
OBJECTS = 40
PATHS = ('/stock/', '/orders/', '/move/')


class Caller:
    """Sends requests one after the other.

    :param soak: the run that it belongs to.
    :param number: tells callers apart.
    """

    def __init__(self, soak, number):
        self._soak = soak
        self._number = number
        self._sequence = 0
        self._connection = None
        self._is_fresh = False
        self._gateway = ''
        self._named_until_s = 0.0
        self._named = ()

    async def run(self):
        """Send requests until the run is over."""
        while not self._soak.is_over:
            await self._send_one()
            await sleep(self._soak.random.uniform(*PAUSE_S))
        self._drop()

    async def _send_one(self):
        if not await self._connect():
            return
        random = self._soak.random
        self._sequence += 1
        request_id = f'r{self._number}-{self._sequence}'
        prefix = random.choice(PATHS)
        sent = Sent(
            request_id,
            'GET' if prefix == '/stock/' else 'POST',
            f'{prefix}{random.randrange(OBJECTS)}',
            self._gateway,
            monotonic(),
            WAIT_S,
            prefix == '/stock/',
        )
        self._soak.ledger.note_sent(sent)
        self._is_fresh = False
        try:
            result = await wait_for(
                self._connection.send_request(
                    self._message(sent), sent.sent_s + PATIENCE_S
                ),
                PATIENCE_S,
            )
        except TimeoutError:
            self._soak.ledger.note_answer(sent, 0, FailureKind.TOO_LATE.value)
            self._drop()
            return
        self._take(sent, result)

    def _take(self, sent, result):
        answer = result.response
        if answer is None:
            self._soak.ledger.note_answer(sent, 0, result.detail)
            self._drop()
            return
        if answer.status == 200:
            self._check_body(sent, answer)
        self._soak.ledger.note_answer(sent, answer.status)
        if not self._connection.is_reusable:
            self._drop()

    def _check_body(self, sent, answer):
        stamp = answer.headers.get('X-Server-Stamp', '')
        wanted = f'{sent.request_id} by {stamp}'.encode()
        if answer.body != wanted:
            self._soak.ledger.violate(
                'MIXED', f'{sent.request_id} got {answer.body!r}'
            )

    def _message(self, sent):
        def headers(left_ms):
            return HTTPHeaders(
                {
                    'Host': 'shop.example',
                    'X-Attempt-Id': sent.request_id,
                    'X-Deadline-Ms': str(int(WAIT_S * 1000)),
                    'Cookie': f'X-Affinity-Key={sent.path}',
                    'Content-Length': '0',
                }
            )

        line = request_line(sent.method, sent.path)
        return OutboundRequest(line, headers, None, lambda _: True)

    async def _connect(self):
        """Have a connection, to a gateway that a directory names."""
        await self._ask_directory()
        if self._connection is not None and self._gateway not in self._named:
            self._drop()
        if self._connection is not None:
            if self._is_fresh or self._connection.is_reusable:
                return True
            self._drop()
        if not self._named:
            await sleep(PAUSE_S[1])
            return False
        address = self._soak.random.choice(self._named)
        connection = ServerConnection()
        try:
            await connection.connect(address, CONNECT_S)
        except (OSError, TimeoutError):
            connection.close()
            return False
        self._connection, self._gateway = connection, address
        self._is_fresh = True
        return True

    async def _ask_directory(self):
        now_s = monotonic()
        if now_s < self._named_until_s:
            return
        query = '/api/resolve?name=shop.example&region=north&zone=north-a'
        for process in self._soak.shuffled_control():
            url = f'http://{process.address("directory")}{query}'
            reply = await fetch('GET', url)
            if reply is not None and reply.code == 200:
                document = decode(reply.body)
                self._named = tuple(document['addresses'])
                self._named_until_s = monotonic() + document['ttl_s']
                return

    def _drop(self):
        if self._connection is not None:
            self._connection.close()
        self._connection = None
