"""The platform's calls to control hosts, directories and gateways."""

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

BAD_REQUEST = 400
VERSION_CONFLICT = 412
HTTP_UNAVAILABLE = 503
# Any other kind tells the caller to try another node.
STATUSES = {
    ErrorKind.BAD_REQUEST: BAD_REQUEST,
    ErrorKind.CONFLICT: VERSION_CONFLICT,
}


class Refused(Struct):
    """Why a call was refused."""

    error: str


class Resolved(Struct):
    """Where a client may connect, and how long it may keep that."""

    addresses: tuple[str, ...]
    ttl_s: float


class Acknowledged(Struct):
    """An order or a heartbeat that has been taken in."""


class CallHandler(RequestHandler):
    """Base of all handlers: JSON answers and errors."""

    def initialize(self, control):
        """Take in what the application passes."""
        self.control = control

    def answer(self, document):
        """Answer with JSON."""
        self.set_header('Content-Type', 'application/json')
        self.finish(encode(document))

    def write_error(self, status_code, **kwargs):
        """Answer an error."""
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
        """Leave expected errors out of the log."""
        if not isinstance(value, FuchsiacartError):
            super().log_exception(typ, value, tb)


class InstanceHandler(CallHandler):
    """Heartbeats and departures of instances."""

    async def put(self, name):
        """Take a heartbeat."""
        record = read_heartbeat(name, self.request.body)
        await self.control.register(record)
        self.answer(Acknowledged())

    async def delete(self, name):
        """Take an instance out."""
        born_ms = read_departure(self.request.body)
        await self.control.deregister(name, born_ms)
        self.answer(Acknowledged())


class ConfigurationHandler(CallHandler):
    """The configuration."""

    async def get(self):
        """Return the newest configuration."""
        configuration = await self.control.read_configuration()
        self.set_header('Content-Type', 'application/json')
        self.finish(write_configuration(configuration))

    async def put(self):
        """Put a whole configuration in force."""
        await self.control.change_configuration(read_put(self.request.body))
        self.answer(Acknowledged())

    async def patch(self):
        """Change named items."""
        await self.control.change_configuration(read_patch(self.request.body))
        self.answer(Acknowledged())


class EvacuationHandler(CallHandler):
    """Evacuations of zones, which the package calls failure domains."""

    async def post(self, zone):
        """Evacuate a zone."""
        await self.control.set_evacuation(zone, True)
        self.answer(Acknowledged())

    async def delete(self, zone):
        """Take an evacuation back."""
        await self.control.set_evacuation(zone, False)
        self.answer(Acknowledged())


class ResolveHandler(CallHandler):
    """Where clients may connect."""

    def get(self):
        """Name the nearest gateways."""
        addresses = self.control.find_gateways(
            self.get_query_argument('region', ''),
            self.get_query_argument('zone', ''),
        )
        if not addresses:
            self.set_status(HTTP_UNAVAILABLE)
            self.answer(Refused('no gateway is known'))
            return
        self.answer(Resolved(addresses, self.control.lookup_ttl_s))


class ReadyHandler(RequestHandler):
    """Readiness of a gateway."""

    def initialize(self, gateway):
        """Take in what the application passes."""
        self._gateway = gateway

    def get(self):
        """Answer 200 while the gateway takes new callers."""
        if not self._gateway.is_ready:
            self.set_status(HTTP_UNAVAILABLE)
        self.finish()


def _quiet(handler):
    """Write no line for an answered call; the handlers log what counts."""


def control_application(control):
    """Return the application for operators and instances."""
    context = {'control': control}
    routes = [
        ('/api/config', ConfigurationHandler, context),
        ('/api/instances/([^/]+)', InstanceHandler, context),
        ('/api/evacuate/([^/]+)', EvacuationHandler, context),
    ]
    return Application(routes, log_function=_quiet)


def directory_application(control):
    """Return the application for clients that ask where to connect."""
    context = {'control': control}
    routes = [('/api/resolve', ResolveHandler, context)]
    return Application(routes, log_function=_quiet)


def ready_application(gateway):
    """Return the application for readiness checks."""
    context = {'gateway': gateway}
    routes = [('/api/readyz', ReadyHandler, context)]
    return Application(routes, log_function=_quiet)
