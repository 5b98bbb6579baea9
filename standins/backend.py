"""Stand-in backend server that can lie about its load and inject faults.

Usage:
  backend --name=NAME --service=NAME --region=NAME --failure-domain=NAME
          --entry=HOSTS --token=TOKEN [--address=IP] [--port=N] [--slots=N]
          [--connections=N] [--service-ms=MS] [--seed=N] [--record=FILE]
          [--report=KIND]

Options:
  --address=IP      Address to listen on [default: 127.0.0.1].
  --port=N          Port, 0 for any [default: 0].
  --slots=N         Requests served at a time [default: 4].
  --connections=N   Connections accepted [default: 400].
  --service-ms=MS   Mean time of a request [default: 20].
  --seed=N          Seed of the times [default: 1].
  --record=FILE     File that gets a line for each request run.
  --report=KIND     honest, idle (a lie) or full (a lie) [default: honest].

The path of a request selects a fault: /poison crashes the process, /slow takes
ten times as long, /freeze never answers, /cut closes the connection after half
of the answer, /silent frees its slot but leaves the connection open without an
answer.
"""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import Event
from asyncio import get_running_loop
from asyncio import run
from asyncio import sleep
from os import _exit
from random import Random
from signal import SIGTERM
from time import time

from docopt import docopt
from msgspec.json import encode
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

ANNOUNCE_INTERVAL_S = 0.5
CRASH_EXIT_CODE = 70
SLOW_FACTOR = 10
REQUEST_ID_HEADER = 'Fuchsiacart-Request-Id'


class Backend:
    """State of the server, shared by its handlers.

    :param options: the options of the command line.
    """

    def __init__(self, options):
        self.options = options
        self.name = options['--name']
        self.slots = int(options['--slots'])
        self.service_s = float(options['--service-ms']) / 1000
        self.random = Random(f'{options["--seed"]}/{self.name}')
        self.running = {}
        self.max_running = 0
        self.is_leaving = False
        self.incarnation = int(time() * 1000)
        self.address = ''
        record = options['--record']
        self.record_file = open(record, 'a', buffering=1) if record else None

    def write_record(self, event, request_id, key):
        """Append an event of a request to the record file, if there is one."""
        if self.record_file is not None:
            self.record_file.write(f'{event} {self.name} {request_id} {key}\n')

    def build_announcement(self):
        """Return the announcement for the current state."""
        busy = {'honest': len(self.running), 'idle': 0, 'full': self.slots}
        return {
            'server': {
                'name': self.name,
                'incarnation': self.incarnation,
                'service': self.options['--service'],
                'region': self.options['--region'],
                'failure_domain': self.options['--failure-domain'],
                'address': self.address,
                'slots': self.slots,
                'connections': int(self.options['--connections']),
            },
            'report': {
                'busy_slots': busy[self.options['--report']],
                'draining': self.is_leaving,
            },
            'leaving': self.is_leaving,
        }

    async def announce(self):
        """Announce this server to the first entry host that accepts it.

        :return: True if one did.
        """
        hosts = self.options['--entry'].split(',')
        self.random.shuffle(hosts)
        client = AsyncHTTPClient()
        for host in hosts:
            request = HTTPRequest(
                f'http://{host}/v1/announce',
                method='POST',
                headers={'Authorization': f'Bearer {self.options["--token"]}'},
                body=encode(self.build_announcement()),
                connect_timeout=0.5,
                request_timeout=2.0,
            )
            try:
                await client.fetch(request)
                return True
            except Exception:
                continue
        return False

    async def announce_periodically(self):
        """Announce this server every ``ANNOUNCE_INTERVAL_S`` seconds."""
        while True:
            await self.announce()
            await sleep(ANNOUNCE_INTERVAL_S)


class WorkHandler(RequestHandler):
    """Runs requests; refuses them as not run while all slots are busy."""

    def initialize(self, backend):
        """Keep the state that all handlers share."""
        self.backend = backend

    async def _handle(self):
        backend = self.backend
        if len(backend.running) >= backend.slots:
            backend.write_record(
                'over', self._request_id(), self._idempotency_key()
            )
            self.set_status(503)
            self.set_header('Fuchsiacart-Run', 'no')
            self.finish(b'full')
            return
        task = create_task(self._run_request())
        backend.running[self._request_id()] = task
        backend.max_running = max(backend.max_running, len(backend.running))
        try:
            await task
        except CancelledError:
            backend.write_record(
                'cancelled', self._request_id(), self._idempotency_key()
            )
        finally:
            backend.running.pop(self._request_id(), None)

    get = post = put = patch = delete = _handle

    async def _run_request(self):
        backend = self.backend
        path = self.request.path
        backend.write_record(
            'run', self._request_id(), self._idempotency_key()
        )
        mean_s = backend.service_s
        if '/slow' in path:
            mean_s *= SLOW_FACTOR
        await sleep(backend.random.uniform(0.5, 1.5) * mean_s)
        if '/poison' in path:
            _exit(CRASH_EXIT_CODE)
        if '/silent' in path:
            backend.running.pop(self._request_id(), None)
            await Event().wait()
        if '/freeze' in path:
            await Event().wait()
        body = encode(
            {
                'server': backend.name,
                'path': path,
                'key': self._idempotency_key(),
            }
        )
        self.set_header('Content-Type', 'application/json')
        if '/cut' in path:
            self.set_header('Content-Length', str(len(body)))
            self.write(body[: len(body) // 2])
            await self.flush()
            self.request.connection.stream.close()
            return
        backend.write_record(
            'done', self._request_id(), self._idempotency_key()
        )
        self.finish(body)

    def _request_id(self):
        return self.request.headers.get(REQUEST_ID_HEADER, '-')

    def _idempotency_key(self):
        return self.request.headers.get('Idempotency-Key', '-')


class RunningHandler(RequestHandler):
    """Answers probes for requests that may still be running."""

    def initialize(self, backend):
        """Keep the state that all handlers share."""
        self.backend = backend

    def get(self, request_id):
        """Answer whether a request is running."""
        self.finish(encode({'running': request_id in self.backend.running}))


class CancelHandler(RequestHandler):
    """Cancels requests whose caller has left."""

    def initialize(self, backend):
        """Keep the state that all handlers share."""
        self.backend = backend

    def post(self, request_id):
        """Cancel a request if it is still running."""
        task = self.backend.running.get(request_id)
        if task is not None:
            task.cancel()
        self.finish(b'')


async def serve(options):
    """Serve until SIGTERM, then announce the leave and finish requests."""
    backend = Backend(options)
    context = {'backend': backend}
    server = HTTPServer(
        Application(
            [
                ('/fuchsiacart/cancel/([^/]+)', CancelHandler, context),
                ('/fuchsiacart/running/([^/]+)', RunningHandler, context),
                ('/.*', WorkHandler, context),
            ],
            log_function=lambda handler: None,
        )
    )
    sockets = bind_sockets(int(options['--port']), options['--address'])
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    backend.address = f'{options["--address"]}:{port}'
    stop = Event()
    get_running_loop().add_signal_handler(SIGTERM, stop.set)
    announce_task = create_task(backend.announce_periodically())
    await stop.wait()
    backend.is_leaving = True
    announce_task.cancel()
    await backend.announce()
    while backend.running:
        await sleep(0.02)
    server.stop()


if __name__ == '__main__':
    run(serve(docopt(__doc__)))
