"""Backend servers that say of themselves that they leave or are full."""

from asyncio import gather
from asyncio import sleep

from msgspec.structs import replace
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from features.steps.forwarding_steps import ForwardingFixture
from features.steps.forwarding_steps import ID_HEADER
from features.steps.forwarding_steps import KINDS
from features.steps.forwarding_steps import NOT_RUN_HEADER
from features.steps.forwarding_steps import PlainDialect
from features.steps.forwarding_steps import PROOF_HEADER
from features.steps.forwarding_steps import REQUEST_ID
from fuchsiacart.gateway.dialects import ReportedLoad

LEAVING_HEADER = 'Leaving'
WAIT_HEADER = 'Wait-Ms'
LOAD_HEADER = 'Load'
NAME_HEADER = 'Server-Name'
MISDIRECTED = 421
KIND = KINDS['an idempotent']
# Within the time-out of the route, which is 2 s.
FOREVER_S = 5.0
POLL_S = 0.01


class StatingDialect(PlainDialect):
    """A dialect in which servers say that they leave."""

    def read_response(self, status, headers):
        """See :meth:`Dialect.read_response`."""
        metadata = super().read_response(status, headers)
        load = headers.get(LOAD_HEADER)
        return replace(
            metadata,
            is_misdirected=status == MISDIRECTED,
            load=ReportedLoad(int(load), 0, 1) if load else None,
            is_leaving=LEAVING_HEADER in headers,
            retry_after_ms=float(headers.get(WAIT_HEADER, 0.0)),
            server_name=headers.get(NAME_HEADER, ''),
        )


def make_head(status, *names, request_id=REQUEST_ID, length=0):
    """Return the head of a response as bytes.

    :param status: status code and reason.
    :param names: names of headers whose value is 1.
    :param request_id: id of the request that it names.
    :param length: length of the body; None for none.
    """
    lines = [f'HTTP/1.1 {status}', f'{ID_HEADER}: {request_id}']
    lines += [f'{name}: 1' for name in names]
    if length is not None:
        lines.append(f'Content-Length: {length}')
    return '\r\n'.join([*lines, '', '']).encode()


OK = make_head('200 OK', PROOF_HEADER)
LEAVING_OK = make_head('200 OK', PROOF_HEADER, LEAVING_HEADER)
LEAVING_START = make_head('200 OK', PROOF_HEADER, LEAVING_HEADER, length=9)


async def answer(server, stream):
    """Answer without a word on the server itself."""
    await stream.write(OK)


async def answer_leaving(server, stream):
    """Answer, and say that the server leaves."""
    await stream.write(LEAVING_OK)


async def refuse_leaving(server, stream):
    """Refuse, and say that the server leaves."""
    head = make_head('503 Full', NOT_RUN_HEADER, LEAVING_HEADER)
    await stream.write(head)


async def fail_leaving(server, stream):
    """Fail, and say that the server leaves."""
    await stream.write(make_head('500 Failed', PROOF_HEADER, LEAVING_HEADER))


async def answer_after_interim(server, stream):
    """Say that the server leaves in an interim response only."""
    hint = make_head('103 Early Hints', LEAVING_HEADER, length=None)
    await stream.write(hint + OK)


async def break_off(server, stream):
    """Say that the server leaves, and close within the body."""
    await stream.write(LEAVING_START)
    stream.close()


async def never_end(server, stream):
    """Say that the server leaves, and send no body."""
    await stream.write(LEAVING_START)
    await sleep(FOREVER_S)


async def answer_another(server, stream):
    """Say that the server leaves, in an answer to another request."""
    if server.served > 1:
        await stream.write(OK)
        return
    await stream.write(
        make_head('200 OK', PROOF_HEADER, LEAVING_HEADER, request_id='another')
    )
    stream.close()


async def answer_leaving_once(server, stream):
    """Say with the first answer only that the server leaves."""
    await stream.write(LEAVING_OK if server.served == 1 else OK)


async def answer_leaving_late(server, stream):
    """Say with the first answer that the server leaves, after 0.3 s."""
    if server.served > 1:
        await stream.write(OK)
        return
    await sleep(0.3)
    await stream.write(LEAVING_OK)


async def break_off_late(server, stream):
    """Close without an answer after 0.2 s."""
    await sleep(0.2)
    stream.close()


def _with_wait(head, wait_ms):
    """Return a head that names a time in which the server wants nothing."""
    return head[:-2] + f'{WAIT_HEADER}: {wait_ms:g}\r\n\r\n'.encode()


REFUSAL = make_head('503 Full', NOT_RUN_HEADER)


async def refuse(server, stream):
    """Refuse, without a time to return."""
    await stream.write(REFUSAL)


async def refuse_for_1_s(server, stream):
    """Refuse for 1 s."""
    await stream.write(_with_wait(REFUSAL, 1000.0))


async def refuse_once(server, stream):
    """Refuse the first request, for 0.2 s."""
    is_first = server.served == 1
    await stream.write(_with_wait(REFUSAL, 200.0) if is_first else OK)


async def fail_for_1_s(server, stream):
    """Fail with 503, and name 1 s."""
    head = make_head('503 Full', PROOF_HEADER)
    await stream.write(_with_wait(head, 1000.0))


async def refuse_and_break_off(server, stream):
    """Refuse for 1 s, and close within the body."""
    head = make_head('503 Full', NOT_RUN_HEADER, length=9)
    await stream.write(_with_wait(head, 1000.0))
    stream.close()


async def answer_and_name_1_s(server, stream):
    """Answer a request, and name 1 s."""
    await stream.write(_with_wait(OK, 1000.0))


async def misdirect(server, stream):
    """Answer as another server at the address, and tell its load."""
    head = make_head('421 Misdirected', NOT_RUN_HEADER)
    await stream.write(head[:-2] + f'{LOAD_HEADER}: 9\r\n\r\n'.encode())


def make_health(status, *headers):
    """Return an answer to a health check as bytes.

    :param status: status code and reason.
    :param headers: lines of further headers.
    """
    lines = (f'HTTP/1.1 {status}', 'Content-Length: 0', *headers, '', '')
    return '\r\n'.join(lines).encode()


HEALTHY = make_health('200 OK')
UNHEALTHY = make_health('503 Failing')
LEAVING_HEALTH = make_health('503 Draining', f'{LEAVING_HEADER}: 1')
FULL_HEALTH = make_health('503 Full', f'{WAIT_HEADER}: 1000')
HEALTH_OF_ANOTHER = make_health('200 OK', f'{NAME_HEADER}: another')
CHECKS = {
    'nothing against it': HEALTHY,
    'that it leaves': LEAVING_HEALTH,
    'that it is full for 1 s': FULL_HEALTH,
    'that it fails': UNHEALTHY,
    'another server': HEALTH_OF_ANOTHER,
    'nothing, as it does not answer': None,
    'nothing, as it breaks off': b'HTTP/1.1 200 OK\r\n',
}
# By the script for requests.
HEALTH = {answer_leaving: LEAVING_HEALTH, refuse_for_1_s: FULL_HEALTH}
SCRIPTS = {
    'is another server, with a load of 9': misdirect,
    'refuses without a time': refuse,
    'refuses for 1 s': refuse_for_1_s,
    'refuses once for 0.2 s': refuse_once,
    'fails with 503 for 1 s': fail_for_1_s,
    'refuses for 1 s and breaks its refusal off': refuse_and_break_off,
    'answers, and names 1 s': answer_and_name_1_s,
    'answers': answer,
    'says in an answer that it leaves': answer_leaving,
    'says in a refusal that it leaves': refuse_leaving,
    'says in a failure that it leaves': fail_leaving,
    'says in an interim answer that it leaves': answer_after_interim,
    'says that it leaves and breaks its answer off': break_off,
    'says that it leaves and never ends its answer': never_end,
    'says in an answer to another request that it leaves': answer_another,
    'says so once': answer_leaving_once,
    'says after 0.3 s that it leaves': answer_leaving_late,
    'breaks off after 0.2 s': break_off_late,
}


class StatingServer(TCPServer):
    """A backend server that answers each request by a script."""

    def __init__(self, name, script='answers'):
        super().__init__()
        self.name = name
        self.served = 0
        self.checked = 0
        self.respond = SCRIPTS[script]
        self.health = HEALTH.get(self.respond, HEALTHY)
        self.health_delay_s = 0.0
        self._streams = set()
        sockets = bind_sockets(0, '127.0.0.1')
        self.port = sockets[0].getsockname()[1]
        self.add_sockets(sockets)

    async def handle_stream(self, stream, address):
        """See :class:`TCPServer`."""
        self._streams.add(stream)
        try:
            while True:
                head = await stream.read_until(b'\r\n\r\n')
                if head.startswith(b'GET / '):
                    await self._answer_check(stream)
                    continue
                self.served += 1
                await self.respond(self, stream)
        except StreamClosedError:
            self._streams.discard(stream)

    async def _answer_check(self, stream):
        self.checked += 1
        if self.health is None:
            await sleep(FOREVER_S)
            return
        health = self.health
        await sleep(self.health_delay_s)
        await stream.write(health)
        if not health.endswith(b'\r\n\r\n'):
            stream.close()

    async def close(self):
        """Stop listening and close all connections."""
        self.stop()
        for stream in tuple(self._streams):
            stream.close()


class StatementFixture(ForwardingFixture):
    """A gateway before servers that say that they leave."""

    dialect = StatingDialect
    make_server = StatingServer

    def __init__(self, count, script):
        self.lines = []
        super().__init__(count, script)
        self._checks = self.loop.create_task(
            self.forwarder.start_checker.run()
        )

    @property
    def first(self):
        """The server to which requests for the first object go."""
        return self.servers[0]

    @property
    def first_record(self):
        """The record of the first server."""
        return self.view.servers[self.first.name]

    def put_record(self, **fields):
        """Change the record of the first server in the view."""
        record = replace(self.first_record, **fields)
        self.view.servers[record.name] = record
        self.forwarder.apply_view(self.view, 1)

    async def finish_checks(self):
        """Wait until no start is in doubt."""
        while self.forwarder.selector.doubted_servers():
            await sleep(POLL_S)

    def close(self):
        """See :class:`ForwardingFixture`."""
        self._checks.cancel()
        self.run(gather(self._checks, return_exceptions=True))
        super().close()

    async def serve_objects(self, count):
        """Serve requests for several objects one after the other."""
        outcomes = []
        for index in range(count):
            await self.serve(KIND, object_key=f'object-{index}')
            outcomes.append(self.outcome)
        await self.serve(KIND)
        return [*outcomes, self.outcome]
