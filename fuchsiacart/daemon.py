"""fuchsiacartd: the daemon, in the role that its settings name.

Usage:
  fuchsiacartd [--check] SETTINGS
  fuchsiacartd --help | --version

Options:
  --check    Only check the settings.
  --help     Show this text.
  --version  Show the version.
"""

from asyncio import create_task
from asyncio import Event
from asyncio import FIRST_COMPLETED
from asyncio import get_running_loop
from asyncio import run
from asyncio import wait
from atexit import register
from faulthandler import dump_traceback_later
import gc
from os import _exit
from pathlib import Path
from signal import SIGINT
from signal import SIGTERM
from ssl import create_default_context
from ssl import Purpose
from sys import exit as sys_exit
from sys import stderr
from sys import stdout

from docopt import docopt
from msgspec.json import encode
from msgspec import Struct
from tornado.web import Application

from fuchsiacart.adapters import GrpcAdapter
from fuchsiacart.adapters import PeerServer
from fuchsiacart.builds import build_name
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import SettingsError
from fuchsiacart.gateway.budgets.bounded_servers import BoundedServer
from fuchsiacart.gateway.budgets.bounded_servers import watch_connections
from fuchsiacart.gateway.budgets.client_connections import ClientConnections
from fuchsiacart.gateway.budgets.client_connections import listen
from fuchsiacart.gateway.budgets.connection_limits import CLIENT_PART
from fuchsiacart.gateway.budgets.connection_limits import connection_limit
from fuchsiacart.gateway.budgets.connection_limits import CONTROL_CLIENT_PART
from fuchsiacart.gateway.budgets.connection_limits import CONTROL_PEER_PART
from fuchsiacart.gateway.budgets.connection_limits import PEER_PART
from fuchsiacart.gateway.budgets.memory_budgets import MemoryBudget
from fuchsiacart.gateway.budgets.memory_limits import CLIENT_SOCKET_BYTES
from fuchsiacart.gateway.budgets.memory_limits import compute_limit_bytes
from fuchsiacart.logs import log_error
from fuchsiacart.logs import log_event
from fuchsiacart.logs import start_logging
from fuchsiacart.logs import stop_logging
from fuchsiacart.metrics import MetricsHandler
from fuchsiacart.reload_signals import hold_reloads
from fuchsiacart.settings import DaemonRole
from fuchsiacart.settings import load_settings
from fuchsiacart.settings_watchers import SettingsWatcher
from fuchsiacart.supervisors import Supervisor

HTTP_BODY_LIMIT_BYTES = 64 * 1024 * 1024
PEER_GRACE_S = 1.0
# Time in which a stopped process ends.  One that hangs then would be killed
# by its platform, without a word on the cause.
EXIT_TIMEOUT_S = 0.5
LISTEN_BACKLOG = 1024


class Ports(Struct, frozen=True):
    """Addresses of the listening ports, as written to the ports file."""

    http_address: str
    peer_address: str


class Program:
    """A daemon process: its servers and its supervisor.

    Each role imports its own modules: with those of all roles a start takes a
    fifth more processor time, and many hosts start at the same moment.

    :param settings: the :class:`Settings`.
    :param adapter: the :class:`PeerAdapter` to other processes.
    :param edge: the :class:`Edge`, or None for a deployment without routes.
    :param settings_path: settings file to watch for changes, or None.
    """

    def __init__(self, settings, adapter, edge=None, settings_path=None):
        self._settings = settings
        self._adapter = adapter
        self._edge = edge
        self._settings_path = settings_path
        self._stop_requested = Event()
        is_control = settings.role is DaemonRole.CONTROL
        client_part = CONTROL_CLIENT_PART if is_control else CLIENT_PART
        peer_part = CONTROL_PEER_PART if is_control else PEER_PART
        self._peer_limit = connection_limit(peer_part)
        self._connections = ClientConnections(
            MemoryBudget(compute_limit_bytes(settings.host.machine_bytes)),
            connection_limit(client_part),
        )

    async def run(self):
        """Run until SIGTERM or SIGINT, or until the supervisor fails.

        :return: the exit code.
        """
        loop = get_running_loop()
        for signal in (SIGTERM, SIGINT):
            loop.add_signal_handler(signal, self._stop_requested.set)
        if self._settings.role is DaemonRole.CONTROL:
            return await self._run_control()
        if self._settings.role is DaemonRole.GATEWAY:
            return await self._run_gateway()
        return await self._run_entry()

    async def _run_control(self):
        from fuchsiacart.control.leaders import ControlService
        from fuchsiacart.control.member_tasks import MemberTask
        from fuchsiacart.control.operators import make_operator_application
        from fuchsiacart.control.replicas import ReplicaTask

        replica = ReplicaTask(self._settings, self._adapter)
        service = ControlService(self._settings, replica, self._adapter)
        application = make_operator_application(
            service, self._settings.tokens.operator_sha256
        )
        http, peer, _ = await self._listen(application, service.handlers())
        supervisor = Supervisor('control', restart_limit=0)
        supervisor.add('replica', replica.run)
        watch = Supervisor('control_watch')
        watch.add('watch', service.watch)
        watch.add('connections', self._watch_connections)
        supervisor.add('watch', watch.run)
        leave = None
        if self._edge is not None:
            members = MemberTask(
                self._settings, replica, service, self._adapter
            )
            leave = members.leave
            await self._add_route_tasks(supervisor, replica, service, members)
        code = await self._run_supervisor(supervisor, leave)
        await self._close(http, peer)
        return code

    async def _add_route_tasks(self, supervisor, replica, service, members):
        """Add the tasks for routes and for the membership of the group."""
        from fuchsiacart.control.group_reports import GroupReporter
        from fuchsiacart.control.region_share_tasks import RegionShareTask
        from fuchsiacart.control.route_control import RouteControl

        control = RouteControl(self._settings, replica, service)
        shares = RegionShareTask(self._settings, replica, service)
        tasks = Supervisor('routes')
        tasks.add('join', members.join)
        tasks.add('members', members.maintain_group)
        tasks.add('reports', GroupReporter(replica).run)
        tasks.add('servers', control.run)
        tasks.add('shares', shares.run)
        self._add_settings_watch(tasks, members.add_seeds)
        supervisor.add('routes', tasks.run)
        await self._edge.open_control(control, self._connections)

    def _add_settings_watch(self, supervisor, on_seeds):
        if self._settings_path is not None:
            watcher = SettingsWatcher(self._settings_path, on_seeds)
            supervisor.add('settings', watcher.run)

    async def _run_gateway(self):
        from fuchsiacart.gateway.hosts import GatewayHost
        from fuchsiacart.gateway.operators.handlers import ExplainHandler

        gateway = GatewayHost(
            self._settings,
            self._adapter,
            self._edge.dialect(),
            self._connections,
        )
        operators = {
            'service': gateway,
            'operator_digest': self._settings.tokens.operator_sha256,
        }
        application = Application(
            [
                ('/metrics', MetricsHandler),
                ('/v1/explain', ExplainHandler, operators),
            ]
        )
        http, peer, ports = await self._listen(application, gateway.handlers())
        callers = self._settings.routes.caller_address
        gateway.start(
            self._settings.listen.advertise(callers), ports.peer_address
        )
        await self._edge.open_gateway(gateway)
        supervisor = gateway.supervisor()
        supervisor.add('connections', self._watch_connections)
        self._add_settings_watch(supervisor, gateway.add_seeds)
        code = await self._run_supervisor(
            supervisor, lambda: gateway.stop(self._edge)
        )
        await self._close(http, peer)
        return code

    async def _run_entry(self):
        from fuchsiacart.entry.hosts import EntryHost

        entry = EntryHost(self._settings, self._adapter)
        http, peer, ports = await self._listen(
            entry.application(), entry.handlers()
        )
        entry.start(ports.http_address, ports.peer_address)
        supervisor = entry.supervisor()
        supervisor.add('connections', self._watch_connections)
        code = await self._run_supervisor(supervisor, entry.stop)
        entry.close()
        await self._close(http, peer)
        return code

    async def _watch_connections(self):
        await watch_connections(self._connections)

    async def _run_supervisor(self, supervisor, stop=None):
        running = create_task(supervisor.run())
        stopping = create_task(self._stop_requested.wait())
        await wait((running, stopping), return_when=FIRST_COMPLETED)
        if running.done():
            stopping.cancel()
            log_error('supervisor_failed', error=repr(running.exception()))
            return 1
        log_event('stop_requested', host=self._settings.host.name)
        if stop is not None:
            await stop()
        running.cancel()
        await wait((running,))
        return 0

    async def _listen(self, application, handlers):
        _end_imports()
        addresses = self._settings.listen
        peer = PeerServer(
            self._settings.tokens.peer,
            handlers,
            self._settings.tls,
            self._peer_limit,
        )
        peer_port = await peer.start(addresses.address, addresses.peer_port)
        http = BoundedServer(
            application,
            self._connections,
            HTTP_BODY_LIMIT_BYTES,
            reads_documents=self._settings.role is DaemonRole.CONTROL,
            ssl_options=self._ssl_context(),
        )
        http_port = listen(
            http,
            addresses.http_port,
            addresses.address,
            LISTEN_BACKLOG,
            CLIENT_SOCKET_BYTES,
        )
        ports = Ports(
            addresses.advertise(f':{http_port}'),
            addresses.advertise(f':{peer_port}'),
        )
        log_event(
            'listening',
            host=self._settings.host.name,
            role=self._settings.role.value,
            build=build_name(),
            http=ports.http_address,
            peer=ports.peer_address,
        )
        if addresses.ports_file:
            draft = Path(f'{addresses.ports_file}.draft')
            draft.write_bytes(encode(ports))
            draft.rename(addresses.ports_file)
        return http, peer, ports

    def _ssl_context(self):
        tls = self._settings.tls
        if not tls.certificate_file:
            return None
        context = create_default_context(Purpose.CLIENT_AUTH)
        context.load_cert_chain(tls.certificate_file, tls.key_file)
        return context

    async def _close(self, http, peer):
        http.stop()
        if self._edge is not None:
            await self._edge.close()
        await peer.stop(PEER_GRACE_S)
        await http.close_all_connections()
        await self._adapter.close()
        log_event('stopped', host=self._settings.host.name)
        dump_traceback_later(EXIT_TIMEOUT_S, exit=True)


def _end_imports():
    """Leave what the imports have made out of later collections.

    It lives until the end of the process.
    """
    gc.freeze()
    gc.enable()


def serve(
    settings, make_adapter=GrpcAdapter, make_edge=None, settings_path=None
):
    """Run the daemon until it is stopped.

    :param settings: the :class:`Settings`.
    :param make_adapter: returns the :class:`PeerAdapter` for a token and a
        certificate file.
    :param make_edge: returns the :class:`Edge` for the settings; None for a
        deployment without routes.
    :param settings_path: settings file to watch for changes, or None.
    :return: the exit code.
    """

    async def program():
        adapter = make_adapter(
            settings.tokens.peer, settings.tls.certificate_file
        )
        edge = make_edge(settings) if make_edge is not None else None
        return await Program(settings, adapter, edge, settings_path).run()

    code = run(program())
    register(_end_process, code)
    return code


def _end_process(code):
    """End the process without the interpreter's own cleanup.

    All is closed by now, and on a busy machine the cleanup takes longer than
    is left of a planned stop.
    """
    stop_logging()
    stdout.flush()
    stderr.flush()
    _exit(code)


def main(argv=None):
    """Run the daemon from the command line and exit with its code."""
    hold_reloads()
    options = docopt(__doc__, argv, version=build_name())
    start_logging()
    try:
        settings = load_settings(options['SETTINGS'])
        if options['--check']:
            print('the settings are valid')
            sys_exit(0)
        sys_exit(serve(settings))
    except SettingsError as error:
        print(error.detail, file=stderr)
        sys_exit(error.answer.exit_code)
    except (FuchsiacartError, OSError) as error:
        log_error('cannot_run', error=str(error))
        code = getattr(error, 'answer', None)
        sys_exit(code.exit_code if code else 1)


if __name__ == '__main__':
    main()
