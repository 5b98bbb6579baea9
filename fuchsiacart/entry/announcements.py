"""Registration of backend servers with the entry hosts that own them."""

from asyncio import sleep
from hmac import compare_digest

from msgspec import convert
from msgspec.json import decode
from msgspec.json import encode
from msgspec import MsgspecError
from msgspec import Struct

from fuchsiacart.adapters import Method
from fuchsiacart.clocks import steady_ms
from fuchsiacart.entry.callers import CallerHandler
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import RequestError
from fuchsiacart.logs import log_event
from fuchsiacart.messages import AnnounceReply
from fuchsiacart.messages import AnnounceRequest
from fuchsiacart.messages import ReleaseReply
from fuchsiacart.messages import ReleaseRequest
from fuchsiacart.models import BackendServer
from fuchsiacart.models import LoadReport
from fuchsiacart.models import token_digest

CALL_TIMEOUT_S = 1.0
# A view lags behind another by at most two long polls.
RELEASE_TIMEOUT_MS = 800
RELEASE_RETRY_S = 0.05


class Announcement(Struct, frozen=True, forbid_unknown_fields=True):
    """Body of the announcement that a backend server sends periodically."""

    server: BackendServer
    report: LoadReport = LoadReport()
    leaving: bool = False


class Registrar:
    """Registers owned backend servers and relays others to their owners.

    :param settings: the settings of the process.
    :param lease: the :class:`LeaseClient`.
    :param views: the :class:`ViewReplicator`.
    :param ownership: the :class:`Ownership`.
    :param dispatcher: the :class:`Dispatcher`.
    :param adapter: transport.
    """

    def __init__(self, settings, lease, views, ownership, dispatcher, adapter):
        self._settings = settings
        self._lease = lease
        self._views = views
        self._ownership = ownership
        self._dispatcher = dispatcher
        self._adapter = adapter

    async def announce(self, request, relayed=False):
        """Register a backend server with its owner.

        :param request: the :class:`AnnounceRequest`.
        :param relayed: True if another entry host relayed it.
        :return: the :class:`AnnounceReply`.
        :raises RequestError: if no owner can register it now.
        """
        if not self._lease.holds():
            raise RequestError('no lease is held', ErrorKind.STALE)
        owner = self._ownership.owner(request.server)
        if owner is None:
            raise RequestError('no entry host is live', ErrorKind.NO_BACKEND)
        if owner.name == self._settings.host.name:
            await self._register(request)
            lease_ms = self._settings.entry.backend_lease_ms
            return AnnounceReply(owner.name, lease_ms)
        if relayed:
            raise RequestError('another host owns it', ErrorKind.CONFLICT)
        return await self._adapter.call(
            owner.peer_address, Method.ANNOUNCE, request, CALL_TIMEOUT_S
        )

    async def on_announce(self, request):
        """Handle an announcement or release request of another entry host.

        :param request: an :class:`AnnounceRequest` or
            :class:`ReleaseRequest`.
        :return: the :class:`AnnounceReply` or :class:`ReleaseReply`.
        :raises RequestError: if this host cannot fulfil the request.
        """
        if isinstance(request, ReleaseRequest):
            return self._release(request)
        return await self.announce(request, relayed=True)

    def apply_view(self):
        """Update the ownership after a change of the view.

        Servers that other hosts own now are deregistered.
        """
        view = self._views.replicated_state
        self._ownership.observe(view.hosts, view.effective_drains, steady_ms())
        self._dispatcher.keep_owned(
            self._ownership.is_owner, view.effective_drains
        )

    async def _register(self, request):
        server = request.server
        if request.leaving:
            self._dispatcher.mark_leaving(server.name)
            return
        usable_from_ms, others_in_flight = steady_ms(), 0
        if not self._dispatcher.is_registered(server.name):
            usable_from_ms, others_in_flight = await self._take_over(server)
        self._dispatcher.register(
            server, request.report, usable_from_ms, others_in_flight
        )
        view = self._views.replicated_state
        self._dispatcher.keep_owned(
            self._ownership.is_owner, view.effective_drains
        )

    async def _take_over(self, server):
        """Ask the earlier owners of a server to release it.

        If one of them does not, its lease has to expire first.

        :return: the time from which this host may use the server, and the
            requests of earlier owners that still run on it.
        """
        view = self._views.replicated_state
        earlier_owners = self._ownership.earlier_owners(
            server, view.hosts, steady_ms()
        )
        others_in_flight = 0
        for host in earlier_owners:
            request = ReleaseRequest(server, view.revision)
            try:
                reply = await self._request_release(host, request)
            except FuchsiacartError as error:
                log_event(
                    'release_refused', host=host.name, detail=error.detail
                )
                wait_ms = self._settings.entry.lease_ms
                return steady_ms() + wait_ms, others_in_flight
            others_in_flight += reply.in_flight
        return steady_ms(), others_in_flight

    async def _request_release(self, host, request):
        """Ask an earlier owner for a release; retry while its view lags."""
        until_ms = steady_ms() + RELEASE_TIMEOUT_MS
        while True:
            try:
                return await self._adapter.call(
                    host.peer_address,
                    Method.ANNOUNCE,
                    request,
                    CALL_TIMEOUT_S,
                )
            except FuchsiacartError as error:
                is_view_behind = error.kind is ErrorKind.CONFLICT
                if not is_view_behind or steady_ms() >= until_ms:
                    raise
            await sleep(RELEASE_RETRY_S)

    def _release(self, request):
        view = self._views.replicated_state
        if view.revision < request.revision:
            raise RequestError('this view is older', ErrorKind.CONFLICT)
        if self._ownership.is_owner(request.server):
            raise RequestError('this host owns it', ErrorKind.CONFLICT)
        in_flight = self._dispatcher.deregister(request.server.name)
        return ReleaseReply(in_flight)


class AnnounceHandler(CallerHandler):
    """Handler of ``POST /v1/announce``.

    :param entry: the :class:`EntryHost`.
    """

    async def post(self):
        """Register a server, renew its registration or mark it as leaving."""
        try:
            self._check_token()
            announcement = self._read_announcement()
            reply = await self.entry.announce(
                AnnounceRequest(
                    announcement.server,
                    announcement.report,
                    announcement.leaving,
                )
            )
        except FuchsiacartError as error:
            self.send_problem(error)
            return
        self.set_header('Content-Type', 'application/json')
        self.finish(encode(reply))

    def _check_token(self):
        header = self.request.headers.get('Authorization', '')
        scheme, _, token = header.partition(' ')
        digest = token_digest(token)
        is_valid = compare_digest(digest, self.entry.backend_digest)
        if scheme != 'Bearer' or not is_valid:
            raise RequestError('backend token', ErrorKind.UNAUTHORIZED)

    def _read_announcement(self):
        try:
            return convert(decode(self.request.body), Announcement)
        except (MsgspecError, ValueError) as error:
            raise RequestError(str(error), ErrorKind.BAD_REQUEST) from error
