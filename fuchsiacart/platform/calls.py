"""HTTP handlers for the platform's calls to control hosts and gateways."""

from msgspec.json import encode
from msgspec import Struct
from tornado.web import Application
from tornado.web import RequestHandler

from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.logs import log_event
from fuchsiacart.platform.documents import read_patch
from fuchsiacart.platform.documents import read_put
from fuchsiacart.platform.documents import write_configuration
from fuchsiacart.platform.heartbeats import read_departure
from fuchsiacart.platform.heartbeats import read_heartbeat

HTTP_BAD_REQUEST = 400
HTTP_PRECONDITION_FAILED = 412
HTTP_UNAVAILABLE = 503
# All other kinds are answered with 503, on which callers try another node.
STATUSES = {
    ErrorKind.BAD_REQUEST: HTTP_BAD_REQUEST,
    ErrorKind.CONFLICT: HTTP_PRECONDITION_FAILED,
}


class Refused(Struct):
    """Body of a response that refuses a call."""

    error: str


class Resolved(Struct):
    """Addresses of gateways, and seconds for which a client may cache them."""

    addresses: tuple[str, ...]
    ttl_s: float


class Acknowledged(Struct):
    """Empty body that confirms an order or a heartbeat."""


class CallHandler(RequestHandler):
    """Base class of the handlers; responses and errors are sent as JSON."""

    def initialize(self, control):
        """Store the :class:`RouteControl` that the application passes."""
        self.control = control

    def has_left(self):
        """Return True once the caller has closed its connection."""
        return self.request.connection.stream.closed()

    def answer(self, document):
        """Answer with a document as JSON."""
        self.set_header('Content-Type', 'application/json')
        self.finish(encode(document))

    def write_error(self, status_code, **kwargs):
        """Answer an error with its status and message, and log it."""
        error = kwargs['exc_info'][1] if 'exc_info' in kwargs else None
        detail = str(error)
        if isinstance(error, FuchsiacartError):
            status_code = STATUSES.get(error.kind, HTTP_UNAVAILABLE)
        log_event(
            'call_refused',
            method=self.request.method,
            path=self.request.path,
            status=status_code,
            detail=detail,
        )
        self.set_status(status_code)
        self.answer(Refused(detail))

    def log_exception(self, typ, value, tb):
        """Log the traceback of unexpected errors only."""
        if not isinstance(value, FuchsiacartError):
            super().log_exception(typ, value, tb)


class InstanceHandler(CallHandler):
    """Heartbeats and departures of instances, called backend servers here."""

    async def put(self, name):
        """Record a heartbeat."""
        record = read_heartbeat(name, self.request.body)
        await self.control.register(record)
        self.answer(Acknowledged())

    async def delete(self, name):
        """Record the departure of an instance."""
        born_ms = read_departure(self.request.body)
        await self.control.deregister(name, born_ms, self.has_left)
        self.answer(Acknowledged())


class ConfigurationHandler(CallHandler):
    """Reads and changes of the configuration."""

    async def get(self):
        """Return the newest configuration."""
        configuration = await self.control.read_configuration()
        self.set_header('Content-Type', 'application/json')
        self.finish(write_configuration(configuration))

    async def put(self):
        """Replace the whole configuration."""
        await self.control.change_configuration(read_put(self.request.body))
        self.answer(Acknowledged())

    async def patch(self):
        """Add, replace and remove named items."""
        await self.control.change_configuration(read_patch(self.request.body))
        self.answer(Acknowledged())


class EvacuationHandler(CallHandler):
    """Evacuations of zones, called failure domains in other modules."""

    async def post(self, zone):
        """Start the evacuation of a zone."""
        await self.control.set_evacuation(zone, True, self.has_left)
        self.answer(Acknowledged())

    async def delete(self, zone):
        """Cancel the evacuation of a zone."""
        await self.control.set_evacuation(zone, False, self.has_left)
        self.answer(Acknowledged())


class ResolveHandler(CallHandler):
    """Look-up of gateways by clients."""

    def get(self):
        """Return the addresses of the nearest gateways."""
        addresses = self.control.find_gateways(
            self.get_query_argument('region', ''),
            self.get_query_argument('zone', ''),
            self.request.remote_ip,
        )
        if not addresses:
            self.set_status(HTTP_UNAVAILABLE)
            self.answer(Refused('no gateway is known'))
            return
        self.answer(Resolved(addresses, self.control.lookup_ttl_s))


class ReadyHandler(RequestHandler):
    """Readiness check of a gateway."""

    def initialize(self, gateway):
        """Store the :class:`GatewayHost` that the application passes."""
        self._gateway = gateway

    def get(self):
        """Answer 200 if the gateway accepts new callers, and 503 otherwise."""
        if not self._gateway.is_ready:
            self.set_status(HTTP_UNAVAILABLE)
        self.finish()


def _log_nothing(handler):
    """Suppress the access log; the handlers log refused calls."""


def make_control_application(control):
    """Return the application that serves operators and instances."""
    context = {'control': control}
    routes = [
        ('/api/config', ConfigurationHandler, context),
        ('/api/instances/([^/]+)', InstanceHandler, context),
        ('/api/evacuate/([^/]+)', EvacuationHandler, context),
    ]
    return Application(routes, log_function=_log_nothing)


def make_directory_application(control):
    """Return the application in which clients look up gateways."""
    context = {'control': control}
    routes = [('/api/resolve', ResolveHandler, context)]
    return Application(routes, log_function=_log_nothing)


def make_ready_application(gateway):
    """Return the application that answers readiness checks."""
    context = {'gateway': gateway}
    routes = [('/api/readyz', ReadyHandler, context)]
    return Application(routes, log_function=_log_nothing)
