"""HTTP handlers of an entry host for callers."""

from asyncio import CancelledError
from asyncio import create_task
from time import monotonic

from msgspec.json import encode
from tornado.web import RequestHandler

from fuchsiacart.bounds import check_target
from fuchsiacart.entry.admissions import CallerRequest
from fuchsiacart.entry.backends import DEADLINE_HEADER
from fuchsiacart.entry.backends import select_forwarded_headers
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import Run
from fuchsiacart.logs import log_error
from fuchsiacart.metrics import LATENCY
from fuchsiacart.metrics import LOOKUPS
from fuchsiacart.metrics import REQUESTS
from fuchsiacart.problems import problem_document
from fuchsiacart.problems import PROBLEM_TYPE

KEY_HEADER = 'Idempotency-Key'
ATTEMPT_HEADER = 'Fuchsiacart-Attempt'
STATUS_CLIENT_CLOSED_REQUEST = 499


class CallerHandler(RequestHandler):
    """Base handler that sends errors as problem documents.

    :param entry: the :class:`EntryHost`.
    """

    def initialize(self, entry):
        """Set the entry host that the application passes."""
        self.entry = entry

    def send_problem(self, error):
        """Send an error as a problem document.

        :param error: the :class:`FuchsiacartError`.
        """
        self.set_status(error.answer.status)
        self.set_header('Content-Type', PROBLEM_TYPE)
        if error.retry_after_ms:
            seconds = -(-error.retry_after_ms // 1000)
            self.set_header('Retry-After', str(seconds))
        hosts = ()
        if error.kind in (ErrorKind.STALE, ErrorKind.DRAINING):
            hosts = self.entry.other_hosts()
        self.finish(problem_document(error, hosts))

    def log_exception(self, typ, value, tb):
        """Log unexpected errors as events."""
        log_error('handler_failed', error=repr(value))


class LookupHandler(CallerHandler):
    """Look-ups of entry hosts: ``/v1/lookup?service=S&client=IP``."""

    def get(self):
        """Send the answer to a look-up, with a max-age for caches."""
        service = self.get_query_argument('service', '')
        client = self.get_query_argument('client', self.request.remote_ip)
        try:
            answer = self.entry.look_up(service, client)
        except FuchsiacartError as error:
            self.send_problem(error)
            return
        LOOKUPS.inc()
        self.set_header('Content-Type', 'application/json')
        seconds = answer.ttl_ms // 1000
        self.set_header('Cache-Control', f'private, max-age={seconds}')
        self.finish(encode(answer))


class RequestsHandler(CallerHandler):
    """Requests of callers with any method: ``/s/SERVICE/PATH``."""

    _task = None
    _caller_request = None

    async def _serve(self, service, path):
        started_s = monotonic()
        self._caller_request = self._make_request(service)
        try:
            # An earlier send of work that has a key may have run.
            run = Run.UNKNOWN if self._caller_request.key else Run.NO
            check_target(self.request.uri, run)
            self._task = create_task(self.entry.handle(self._caller_request))
            reply = await self._task
        except FuchsiacartError as error:
            self._record_outcome(error.kind.value, started_s)
            if error.run is Run.NO and self._caller_request.key:
                self.set_header(
                    ATTEMPT_HEADER, str(self._attempt_number() + 1)
                )
            self.send_problem(error)
            return
        except CancelledError:
            self._record_outcome('given_up', started_s)
            self.set_status(STATUS_CLIENT_CLOSED_REQUEST)
            return
        self._record_outcome('answered', started_s)
        self.set_status(reply.status)
        self.clear_header('Content-Type')
        self.clear_header('Server')
        for header in reply.headers:
            self.add_header(header.name, header.value)
        if reply.status not in (204, 304):
            self.write(reply.body)
        self.finish()

    get = post = put = patch = delete = head = options = _serve

    def on_connection_close(self):
        """Cancel the request of a caller that has disconnected."""
        if self._task is not None:
            self._task.cancel()

    def _make_request(self, service):
        headers = self.request.headers
        scheme, _, token = headers.get('Authorization', '').partition(' ')
        prefix = f'/s/{service}'
        return CallerRequest(
            token if scheme == 'Bearer' else '',
            service,
            self.request.method,
            self.request.uri[len(prefix) :],
            select_forwarded_headers(headers),
            self.request.body,
            self._read_number(DEADLINE_HEADER, 0),
            headers.get(KEY_HEADER, ''),
            self._attempt_number(),
        )

    def _attempt_number(self):
        return max(1, self._read_number(ATTEMPT_HEADER, 1))

    def _read_number(self, name, default):
        text = self.request.headers.get(name, '')
        return int(text) if text.isdigit() and len(text) < 12 else default

    def _record_outcome(self, outcome, started_s):
        rank = self.entry.rank_label(self._caller_request)
        REQUESTS.labels(rank, outcome).inc()
        LATENCY.labels(rank).observe(monotonic() - started_s)
