"""Control hosts and gateways under test, each behind its own proxies."""

from asyncio import sleep
from contextlib import suppress
from enum import Enum
from enum import unique
from os import environ
from pathlib import Path
from shutil import rmtree
from signal import SIGCONT
from signal import SIGHUP
from signal import SIGKILL
from signal import SIGSTOP
from signal import SIGTERM
from socket import socket
from subprocess import Popen
from sys import executable
from time import monotonic

from msgspec.json import encode
from msgspec import Struct
from msgspec.structs import replace

from soak.launch import Conditions
from soak.launch import CONDITIONS_VARIABLE
from soak.proxies import LinkProxy
from soak.server_cuts import ServerCut

DOMAINS = ('north-a', 'north-b', 'south-a')
REGIONS = {domain: domain[:-2] for domain in DOMAINS}
# Control hosts that the others are told to find the group by.
SEED_HOSTS = 3
STOP_TIMEOUT_S = 6.0
# A control host counts as lost until it has had this time to catch up.
CONTROL_RECOVERY_S = 4.0
RESTART_INTERVAL_S = 0.2
POLL_INTERVAL_S = 0.05
# Field of /proc/PID/stat behind the name of the program, and its bit of a
# thread that exits, as in the kernel's include/linux/sched.h.
FLAGS_FIELD = 6
PF_EXITING = 0x4
TOKEN_DIGEST = '0' * 64
SETTINGS_TEMPLATE = """
role = "{role}"
seeds = [{seeds}]
[host]
name = "{name}"
region = "{region}"
failure_domain = "{domain}"
{memory}
[listen]
address = "{private}"
advertised_address = "{public}"
peer_port = {ports.peer}
[tokens]
operator_sha256 = "{digest}"
backend_sha256 = "{digest}"
peer = "shared-by-all-processes"
[control]
data_folder = "{folder}"
bootstrap = {bootstrap}
tolerated_losses = {tolerated_losses}
catch_up_s = {catch_up_s}
[routes]
stop_s = {stop_s}
heartbeat_s = 0.5
{terms}
{listeners}
[routes.regions]
{regions}
"""


@unique
class Role(Enum):
    """Roles of processes, as in their settings."""

    CONTROL = 'control'
    GATEWAY = 'gateway'


LISTENERS = {
    Role.CONTROL: ('control', 'directory'),
    Role.GATEWAY: ('caller', 'ready'),
}


class Ports(Struct, frozen=True):
    """The port numbers that all processes of one run use."""

    peer: int
    control: int
    directory: int
    caller: int
    ready: int

    @classmethod
    def find_free(cls, address):
        """Return ports that are free now at an IP address."""
        sockets = [socket() for _ in range(5)]
        for each in sockets:
            each.bind((address, 0))
        found = [each.getsockname()[1] for each in sockets]
        for each in sockets:
            each.close()
        return cls(*found)


class Network(Struct, frozen=True):
    """The loopback addresses of one run; concurrent runs use different ones.

    ``number``, from 1 to 250, is unique among concurrent runs.
    """

    number: int

    def public_address(self, index):
        """Return the IP address at which others reach a process."""
        return f'127.{self.number}.1.{index}'

    def private_address(self, index):
        """Return the IP address at which a process itself listens."""
        return f'127.{self.number}.2.{index}'

    def server_address(self, index):
        """Return the IP address of a backend server."""
        return f'{self.server_prefix}{index}'

    @property
    def server_prefix(self):
        """What all addresses of backend servers begin with."""
        return f'127.{self.number}.3.'


def has_exited(process_id):
    """Return True if all threads of a process have left it for good.

    The kernel may still need seconds to free what they had mapped, beside
    hundreds of processes that map the same files.
    """
    flags = []
    for path in Path(f'/proc/{process_id}/task').glob('*/stat'):
        with suppress(OSError):
            # The name of the program, in brackets, may hold spaces.
            fields = path.read_text().rpartition(')')[2].split()
            flags.append(int(fields[FLAGS_FIELD]))
    return all(each & PF_EXITING for each in flags)


def read_thread_states(process_id):
    """Return what the kernel tells of each thread of a process.

    That is its state, the kernel function in which it waits, and its
    nanoseconds on a processor and in wait for one.
    """
    lines = []
    for folder in Path(f'/proc/{process_id}/task').glob('*'):
        lines.append(folder.name)
        for name in ('stat', 'wchan', 'schedstat'):
            with suppress(OSError):
                lines.append(f'{name}: {(folder / name).read_text().strip()}')
    return '\n'.join(lines)


class SoakProcess:
    """One process, its settings and the proxies in front of it.

    ``disturbances`` holds the spans in which faults disturbed the process, as
    pairs of start and end by the monotonic clock; the end of a span that is
    still open is infinity.

    :param soak: the :class:`Soak` run.
    :param role: the :class:`Role`.
    :param index: number that selects the addresses of the process.
    :param domain: its failure domain.
    """

    def __init__(self, soak, role, index, domain):
        self.role = role
        self.index = index
        self.domain = domain
        self.public_address = soak.network.public_address(index)
        self.name = f'{role.value}-{index}'
        self.folder = soak.folder / self.name
        self.disturbances = []
        self.unexpected_exits_s = []
        self._soak = soak
        self._process = None
        self._should_run = False
        self._server_cut = ServerCut.NONE
        names = ('peer', *LISTENERS[role])
        self.links = {
            name: LinkProxy(
                f'{self.public_address}:{getattr(soak.ports, name)}',
                f'{soak.network.private_address(index)}'
                f':{getattr(soak.ports, name)}',
            )
            for name in names
        }

    def address(self, listener):
        """Return the public IP:port of a listener."""
        return f'{self.public_address}:{getattr(self._soak.ports, listener)}'

    @property
    def is_running(self):
        """True while the process runs."""
        return self._process is not None and self._process.poll() is None

    async def open_links(self):
        """Start the proxies in front of the process."""
        for link in self.links.values():
            await link.start()

    def start(self, bootstrap=False):
        """Write the settings and start the process.

        :param bootstrap: True to let a control host found the group.
        """
        self.folder.mkdir(exist_ok=True)
        path = self.folder / 'settings.toml'
        path.write_text(self._render_settings(bootstrap))
        self.set_conditions(Conditions())
        with open(self.folder / 'log', 'ab') as log:
            self._process = Popen(
                [executable, '-m', 'soak.launch'],
                env=environ
                | {
                    'FUCHSIACART_SETTINGS': str(path),
                    CONDITIONS_VARIABLE: str(self.folder / 'conditions.json'),
                }
                | self._soak.builds.environment(self.name),
                stdout=log,
                stderr=log,
            )
        self._should_run = True
        self._record_halt()

    @property
    def process_id(self):
        """The process id, or None while the process does not run."""
        return self._process.pid if self.is_running else None

    def set_conditions(self, conditions):
        """Set the faults of the clock and the disk of the process."""
        conditions = replace(
            conditions,
            server_prefix=self._soak.network.server_prefix,
            server_cut=self._server_cut,
            source_address=self.public_address,
        )
        draft = self.folder / 'conditions.draft'
        draft.write_bytes(encode(conditions))
        draft.rename(self.folder / 'conditions.json')

    def set_server_cut(self, cut):
        """Set how the process is cut off from the backend servers.

        That lasts over a restart.  The clock and the disk become sound.
        """
        self._server_cut = cut
        self.set_conditions(Conditions())

    def send_signal(self, number):
        """Send a signal to the process if it is running."""
        if self.is_running:
            self._process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end; it is not restarted."""
        self._should_run = False
        self.send_signal(SIGKILL)
        if self._process is not None:
            self._process.wait()

    def pause(self):
        """Suspend the process with SIGSTOP."""
        self._record_halt()
        self.send_signal(SIGSTOP)

    def resume(self):
        """Resume the process with SIGCONT."""
        self._record_halt()
        self.send_signal(SIGCONT)

    def reload(self):
        """Make the process reload its settings."""
        self.send_signal(SIGHUP)

    def wipe(self):
        """Remove the data folder; the process must not be running."""
        rmtree(self.folder / 'data', ignore_errors=True)

    async def stop(self):
        """Stop the process with SIGTERM and wait for its end.

        :return: True if all of its threads exited within
            ``STOP_TIMEOUT_S``; it is killed otherwise, and the file
            ``threads`` keeps what it did.
        """
        self._should_run = False
        self.send_signal(SIGTERM)
        deadline_s = monotonic() + STOP_TIMEOUT_S
        while self.is_running and monotonic() < deadline_s:
            await sleep(POLL_INTERVAL_S)
        ended = not self.is_running or has_exited(self._process.pid)
        if not ended:
            (self.folder / 'threads').write_text(
                read_thread_states(self._process.pid)
            )
        self.kill()
        return ended

    async def restart_on_exit(self):
        """Restart the process whenever it ends unexpectedly."""
        while True:
            await sleep(RESTART_INTERVAL_S)
            if self._should_run and not self.is_running:
                self.unexpected_exits_s.append(monotonic())
                self.start()

    def set_links(self, state):
        """Set the :class:`LinkState` of all proxies."""
        for link in self.links.values():
            link.set_state(state)

    async def close(self):
        """Kill the process and close its proxies."""
        self.resume()
        self.kill()
        for link in self.links.values():
            await link.close()

    def was_disturbed(self, start_s, end_s):
        """Return True if a fault disturbed the process in a span."""
        return any(
            since < end_s and until > start_s
            for since, until in self.disturbances
        )

    def _record_halt(self):
        self._soak.ledger.statements.record_halt(self.public_address)

    def _render_settings(self, bootstrap):
        private = self._soak.network.private_address(self.index)
        listeners = '\n'.join(
            f'{name}_address = "{private}:{getattr(self._soak.ports, name)}"'
            for name in LISTENERS[self.role]
        )
        seeds = ', '.join(f'"{seed}:80"' for seed in self._soak.seeds)
        return SETTINGS_TEMPLATE.format(
            role=self.role.value,
            seeds=seeds,
            name=self.name,
            region=REGIONS[self.domain],
            domain=self.domain,
            memory=self._soak.memory_setting,
            private=private,
            public=self.public_address,
            ports=self._soak.ports,
            digest=TOKEN_DIGEST,
            folder=Path(self.folder / 'data'),
            bootstrap=str(bootstrap).lower(),
            tolerated_losses=self._soak.member_plan.tolerated_losses,
            catch_up_s=CONTROL_RECOVERY_S,
            stop_s=STOP_TIMEOUT_S,
            terms=self._soak.terms,
            listeners=listeners,
            regions='\n'.join(
                f'"{domain}" = "{region}"'
                for domain, region in REGIONS.items()
            ),
        )
