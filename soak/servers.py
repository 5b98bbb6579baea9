"""Stand-in backend servers that record what they run in the ledger."""

from asyncio import sleep
from enum import Enum
from enum import unique
from time import monotonic
from time import time

from msgspec.json import encode
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

from soak.calls import fetch
from soak.records import CRASHING_OBJECT
from soak.records import RequestRun
from soak.statements import ServerArrival
from soak.statements import TimedRefusal

HEARTBEAT_INTERVAL_S = 0.5
WORK_RANGE_S = (0.01, 0.08)
SLOW_FACTOR = 8.0
HANG_DURATION_S = 5.0
SLOTS = 4
# Share of the responses after which a server closes the connection.
CLOSE_SHARE = 0.1
# Time for which a leaving server still serves after its drain is acknowledged.
LEAVE_DELAY_S = 3.5
# Time for which a server says in its answers only that it leaves.
NOTICE_RANGE_S = (0.0, 4.0)
# Share of the servers that only remove their registration which cannot reach
# the control hosts before, and for how long they cannot.
CUT_OFF_SHARE = 0.5
CUT_OFF_RANGE_S = (1.0, 6.0)
# Heartbeats that a cut has held up, and when they come after the departure.
HELD_UP_HEARTBEATS = 2
HELD_UP_RANGE_S = (0.0, 2.0)
# Time for which the server goes on serving after those.
AFTER_HELD_UP_S = 4.0
# Time for which a server that starts again is not registered.
LATE_HEARTBEAT_RANGE_S = (1.0, 6.0)
HEALTH_PATH = '/'
# Share of the refusals of a full server that say for how long.
RETRY_AFTER_SHARE = 0.5
RETRY_AFTER_RANGE_S = (0.3, 3.0)


@unique
class ServerMode(Enum):
    """How a server handles requests.

    ``DISCONNECTING`` closes the connection after a request has run, ``FULL``
    refuses requests as not run.
    """

    HEALTHY = 'healthy'
    SLOW = 'slow'
    FAILING = 'failing'
    HANGING = 'hanging'
    DISCONNECTING = 'disconnecting'
    FULL = 'full'


@unique
class LeaveForm(Enum):
    """How a server that leaves announces it, besides in all its answers.

    ``DRAINING`` says so in its heartbeats at once, ``NOTICE`` later.
    ``UNREGISTERED`` only removes its registration.
    """

    DRAINING = 'draining'
    NOTICE = 'notice'
    UNREGISTERED = 'unregistered'


class ServerHandler(RequestHandler):
    """Handles a request according to the mode of the server."""

    SUPPORTED_METHODS = ('GET', 'POST')

    async def prepare(self):
        """Handle a request of any method."""
        server = self.application.settings['server']
        headers = self.request.headers
        if server.is_leaving:
            self.set_header('Server-Leaving', '1')
        if self.request.path == HEALTH_PATH:
            self._answer_check(server)
            return
        request_id = headers.get('X-Attempt-Id', '')
        self.set_header('X-Attempt-Id', request_id)
        if headers.get('X-Expect-Instance') != server.server_id:
            self.set_status(421)
            self.set_header('X-Not-Run', '1')
            self.finish()
            return
        self.set_header('X-Server-Stamp', server.name)
        server.record_arrival(request_id, self.request)
        if server.mode is ServerMode.FULL:
            self.set_status(503)
            retry_after_s = server.choose_retry_after_s(self.request)
            if retry_after_s:
                self.set_header('Retry-After', str(retry_after_s))
            self.set_header('X-Not-Run', '1')
            self.finish()
            return
        server.record_run(request_id, self.request)
        await server.simulate_work()
        if self.request.path.endswith(CRASHING_OBJECT):
            await server.crash_under_request()
            return
        if server.mode is ServerMode.DISCONNECTING:
            self.request.connection.stream.close()
            return
        if server.closes_connection():
            self.set_header('Connection', 'close')
        if server.mode is ServerMode.FAILING:
            self.set_status(500)
        self.finish(f'{request_id} by {server.name}')

    def _answer_check(self, server):
        """Answer a health check."""
        self.set_header('X-Instance-Id', server.server_id)
        if server.is_leaving or server.mode is ServerMode.FULL:
            self.set_status(503)
        self.finish()


class StandInServer:
    """A backend server, from its start to its end.

    :param soak: the :class:`Soak` run that it belongs to.
    :param name: name of this start in the ledger, never used again in the run.
    :param service: service that it offers.
    :param domain: its failure domain.
    :param address: IP address to listen on.
    :param port: port to listen on, 0 for any free one.
    :param server_id: id under which it registers, that of an earlier start if
        it starts again; ``name`` if left out.
    """

    def __init__(
        self, soak, name, service, domain, address, port=0, server_id=''
    ):
        self.name = name
        self.server_id = server_id or name
        self.service = service
        self.domain = domain
        self.mode = ServerMode.HEALTHY
        self.state = 'ready'
        self.is_leaving = False
        self.acked_s = 0.0
        self._soak = soak
        self._born_ms = int(time() * 1000)
        self._sequence = 0
        self._is_stopped = False
        self._is_registered = True
        self._has_registered = False
        application = Application(
            [('.*', ServerHandler)], server=self, log_function=lambda _: None
        )
        sockets = bind_sockets(port, address)
        self.address = address
        self.port = sockets[0].getsockname()[1]
        self._http = HTTPServer(application)
        self._http.add_sockets(sockets)

    @property
    def has_ended(self):
        """True once the server is gone."""
        return self._is_stopped

    def record_arrival(self, request_id, request):
        """Record in the ledger that a request has reached the server."""
        sent = self._soak.ledger.requests.get(request_id)
        if sent is None:
            return
        self._soak.ledger.statements.record_arrival(
            ServerArrival(
                request_id,
                self.name,
                request.remote_ip,
                sent.sent_s,
                monotonic(),
            )
        )

    def choose_retry_after_s(self, request):
        """Return for how long a refusal asks for no request, 0.0 if not."""
        if self._soak.random.random() >= RETRY_AFTER_SHARE:
            return 0.0
        retry_after_s = round(
            self._soak.random.uniform(*RETRY_AFTER_RANGE_S), 2
        )
        self._soak.ledger.statements.refusals.append(
            TimedRefusal(
                self.name, request.remote_ip, monotonic(), retry_after_s
            )
        )
        return retry_after_s

    def record_run(self, request_id, request):
        """Record in the ledger that a request starts to run."""
        run = RequestRun(
            self.name,
            self.service,
            self.domain,
            request.method,
            request.uri,
            monotonic(),
            request.headers.get('X-Tenant', ''),
            'Authorization' in request.headers,
        )
        self._soak.ledger.record_run(request_id, run)

    def closes_connection(self):
        """Return True if the server closes a connection after a response."""
        return self._soak.random.random() < CLOSE_SHARE

    async def simulate_work(self):
        """Wait for the duration of a request in the current mode."""
        work_s = self._soak.random.uniform(*WORK_RANGE_S)
        if self.mode is ServerMode.SLOW:
            work_s *= SLOW_FACTOR
        if self.mode is ServerMode.HANGING:
            work_s = HANG_DURATION_S
        await sleep(work_s)

    async def send_heartbeats(self, delay_s=0.0):
        """Send heartbeats until the server has ended or says no more.

        :param delay_s: seconds until the first one.
        """
        await sleep(delay_s)
        while self._is_registered and not self._is_stopped:
            await self._send_heartbeat()
            await sleep(HEARTBEAT_INTERVAL_S)

    async def wait_for_registration(self):
        """Wait until a heartbeat was acknowledged or the server has ended."""
        while not self._has_registered and not self._is_stopped:
            await sleep(HEARTBEAT_INTERVAL_S / 5)

    async def leave(self, form):
        """Announce a drain and leave.

        The server still serves until ``LEAVE_DELAY_S`` after the
        acknowledgement of the drain, or the removal of its registration.

        :param form: the :class:`LeaveForm`.
        """
        random = self._soak.silence_random
        is_cut_off = random.random() < CUT_OFF_SHARE
        if form is LeaveForm.UNREGISTERED and is_cut_off:
            await self._leave_behind_cut(random)
            return
        self.is_leaving = True
        if form is not LeaveForm.DRAINING:
            await sleep(self._soak.random.uniform(*NOTICE_RANGE_S))
        if form is LeaveForm.UNREGISTERED:
            await self._unregister()
            await sleep(LEAVE_DELAY_S)
            await self.crash()
            return
        self.state = 'draining'
        while not self._soak.ledger.drains_acked_s.get(self.name):
            if self._is_stopped:
                return
            await sleep(HEARTBEAT_INTERVAL_S / 5)
        await sleep(LEAVE_DELAY_S)
        self._is_stopped = True
        await self._call('DELETE', {'born': self._born_ms})
        await self.crash()

    async def _leave_behind_cut(self, random):
        """Leave without a word in answers, after and before held up calls.

        :param random: random number generator.
        """
        self._is_registered = False
        await sleep(random.uniform(*CUT_OFF_RANGE_S))
        await self._unregister()
        for _ in range(HELD_UP_HEARTBEATS):
            await sleep(random.uniform(*HELD_UP_RANGE_S))
            if not self._is_stopped:
                await self._send_heartbeat()
        await sleep(AFTER_HELD_UP_S)
        await self.crash()

    async def _unregister(self):
        """Remove the registration, unless the server has crashed."""
        if self._is_stopped:
            return
        self._is_registered = False
        if await self._call('DELETE', {'born': self._born_ms}):
            self._soak.ledger.drains_acked_s.setdefault(self.name, monotonic())

    async def crash_under_request(self):
        """Crash, and come back later as another server."""
        self._soak.ledger.crashes_s.setdefault(self.name, monotonic())
        await self._soak.injector.crash_server(self)

    async def crash(self):
        """Close all connections without announcing it."""
        self._is_stopped = True
        self._http.stop()
        await self._http.close_all_connections()

    async def _send_heartbeat(self):
        self._sequence += 1
        sent_state = self.state
        body = {
            'service': self.service,
            'address': f'{self.address}:{self.port}',
            'zone': self.domain,
            'slots': SLOTS,
            'state': sent_state,
            'cold_left_s': 0,
            'seq': self._sequence,
            'born': self._born_ms,
        }
        acked = await self._call('PUT', body)
        self._has_registered |= acked
        if acked and sent_state == 'draining':
            self._soak.ledger.drains_acked_s.setdefault(self.name, monotonic())

    async def _call(self, method, body):
        """Call the control hosts in random order until one acknowledges.

        :return: True if one of them did.
        """
        for process in self._soak.shuffled_control():
            address = process.address('control')
            url = f'http://{address}/api/instances/{self.server_id}'
            reply = await fetch(method, url, encode(body))
            if reply is not None and reply.code == 200:
                return True
        return False
