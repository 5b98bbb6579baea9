"""A small deployment of the project's programs on loopback addresses."""

from asyncio import run
from asyncio import sleep
import json
from os import environ
from os import getpid
from pathlib import Path
from random import Random
from shutil import rmtree
from signal import alarm
from signal import SIGALRM
from signal import SIGCONT
from signal import SIGKILL
from signal import signal as on_signal
from signal import SIGTERM
from socket import SO_REUSEADDR
from socket import SOL_SOCKET
from socket import socket
from subprocess import PIPE
from subprocess import Popen
from subprocess import STDOUT
import sys
from tempfile import mkdtemp
from threading import Event
from threading import Thread
from time import monotonic
import tomllib
from traceback import print_exc

from http_calls import call
from records import Record
from settings_template import render

ROOT = Path(__file__).resolve().parents[1]
# Zones, as in the site halvorsen-gslb.
REGIONS = {
    'puget-a': 'puget',
    'puget-b': 'puget',
    'willamette-a': 'willamette',
    'willamette-b': 'willamette',
    'inland-a': 'inland',
}
BOUNDS = {
    'contact_s': 3,
    'ack_s': 4,
    'catch_up_s': 4,
    'drain_s': 2.5,
    'grace_s': 6,
    'config_apply_s': 2.5,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 56,
    'evac_s': 5,
    'max_stretch_s': 5,
    'max_region_shift': 0.15,
}
HOST_NAME = 'shop.example'
# The operator gives up an order after this time.
ORDER_S = 15.0
# A case that has not ended by then could not run.
CASE_S = 110
CANNOT_RUN = 2


class CannotRun(Exception):
    """The case could not be played."""


class LogReader(Thread):
    """Reads what a process writes to its standard output, into a file.

    It reads on while ``reads`` is set.
    """

    def __init__(self, stream, path):
        super().__init__(daemon=True)
        self.reads = Event()
        self.reads.set()
        self._stream = stream
        self._path = path
        self.start()

    def run(self):
        """Read until the process has ended."""
        with open(self._path, 'ab') as file:
            while True:
                self.reads.wait()
                data = self._stream.read1(65536)
                if not data:
                    return
                file.write(data)
                file.flush()


class Deployment:
    """Control nodes and gateways, each a process of its own.

    :param case: folder of the case.
    :param controls: zones of the control nodes.
    :param gateways: zones of the gateways.
    """

    def __init__(self, case, controls, gateways, seed=1):
        self.record = Record(Path(case) / 'record.txt')
        self.random = Random(seed)
        self.folder = Path(mkdtemp(prefix='review-'))
        self.processes = {}
        self.logs = {}
        self.net = 20 + getpid() % 200
        self.controls = {
            f'127.{self.net}.1.{at}': zone
            for at, zone in enumerate(controls, 1)
        }
        self.gateways = {
            f'127.{self.net}.2.{at}': zone
            for at, zone in enumerate(gateways, 1)
        }
        names = ('front', 'ready', 'control', 'directory', 'peer', 'metrics')
        self.ports = dict(zip(names, self._free_ports(len(names))))
        with open(ROOT / 'deploy/system.toml', 'rb') as file:
            self._roles = tomllib.load(file)['roles']

    def _free_ports(self, number):
        sockets = []
        for _ in range(number):
            each = socket()
            each.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
            each.bind((f'127.{self.net}.1.1', 0))
            sockets.append(each)
        ports = [each.getsockname()[1] for each in sockets]
        for each in sockets:
            each.close()
        return ports

    def address(self, ip, name):
        """Return the address of a listener of a node."""
        return f'{ip}:{self.ports[name]}'

    def shuffled_controls(self):
        """Return the addresses of all control nodes in random order."""
        addresses = [self.address(ip, 'control') for ip in self.controls]
        self.random.shuffle(addresses)
        return addresses

    def start_all(self):
        """Start all nodes for the first time."""
        for ip in self.controls:
            self.start(ip, bootstrap=True)
        for ip in self.gateways:
            self.start(ip, bootstrap=True)

    def start(self, ip, bootstrap=False):
        """Start a node with settings rendered from its template."""
        is_core = ip in self.controls
        role = self._roles['control' if is_core else 'gateway']
        zone = (self.controls if is_core else self.gateways)[ip]
        listeners = role['serves'] + ([] if is_core else ['ready'])
        seeds = list(self.controls)[:3]
        fields = {
            'node_name': f'node-{ip}',
            'ip': ip,
            'zone': zone,
            'region': REGIONS[zone],
            'bootstrap': bootstrap,
            'listen': {
                name: self.address(ip, name) for name in listeners
            },
            'internal_port_range': [
                self.ports['peer'],
                self.ports['metrics'],
            ],
            'seeds': [self.address(each, 'control') for each in seeds],
            'zones': REGIONS,
            'tolerate': {'machines': (len(self.controls) - 1) // 2},
            'heartbeat_s': 1.5,
            'bounds': BOUNDS,
        }
        if is_core:
            fields['data_dir'] = str(self.folder / ip)
        path = self.folder / f'{ip}.toml'
        path.write_text(render((ROOT / role['template']).read_text(), fields))
        program, *arguments = role['run'].split()
        assert program == 'python3'
        self.processes[ip] = Popen(
            [sys.executable, *arguments],
            cwd=ROOT,
            env=environ
            | {
                'FUCHSIACART_SETTINGS': str(path),
                'PYTHONPATH': str(ROOT / 'target/deps'),
            },
            stdout=PIPE,
            stderr=STDOUT,
        )
        self.logs[ip] = LogReader(
            self.processes[ip].stdout, self.folder / f'{ip}.log'
        )
        self.record.write('started', node=ip, role=role['run'])

    def signal(self, ip, number):
        """Send a signal to a node."""
        self.record.write('signal', node=ip, number=int(number))
        self.processes[ip].send_signal(number)

    def log(self, ip):
        """Return what a node has logged so far."""
        return (self.folder / f'{ip}.log').read_text(errors='replace')

    def leader(self):
        """Return the control node that was elected last, by its log."""
        best = (0, None)
        for ip in self.controls:
            for line in self.log(ip).splitlines():
                if 'leader_elected' in line:
                    term = int(line.split('term=')[1].split()[0])
                    best = max(best, (term, ip))
        return best[1]

    async def order(
        self, method, path, document=None, first=None, quiet=False
    ):
        """Give an order as the operator does, until it is acknowledged.

        :param first: node to which it is sent first.
        :param quiet: True to record only what is not acknowledged at once.
        :return: the status of the acknowledgement or refusal.
        """
        body = b'' if document is None else json.dumps(document).encode()
        deadline_s = monotonic() + ORDER_S
        addresses = self.shuffled_controls()
        if first is not None:
            address = self.address(first, 'control')
            addresses.remove(address)
            addresses.insert(0, address)
        pause_s = 0.05
        while monotonic() < deadline_s:
            for address in addresses:
                if not quiet:
                    self.record.write(
                        'order', call=f'{method} {path}', to=address
                    )
                answer = await call(address, method, path, body)
                status = 'none' if answer is None else answer.status
                if not quiet or status != 200:
                    self.record.write(
                        'order_answered',
                        call=f'{method} {path}',
                        by=address,
                        status=status,
                    )
                if answer is not None and answer.status < 500:
                    return answer.status
                await sleep(pause_s)
                pause_s = min(0.5, 2 * pause_s)
        raise CannotRun(f'{method} {path} got no answer')

    async def configure(
        self,
        routes,
        services,
        version=1,
        base=0,
        first=None,
        body_bytes=67_108_864,
    ):
        """Put a configuration.

        :param routes: tuples of prefix, kind, service and timeout.
        """
        resources = [
            {
                'type': 'routes',
                'metadata': {'name': f'r-{prefix.strip("/")}'},
                'spec': {
                    'host': HOST_NAME,
                    'path_prefix': prefix,
                    'kind': kind,
                    'timeout_s': timeout_s,
                    'slo_s': 0.4,
                    'priority': 0,
                    'service': service,
                    'max_attempts': 2,
                    'sticky': True,
                    'home_regions': [],
                },
            }
            for prefix, kind, service, timeout_s in routes
        ]
        resources += [
            {
                'type': 'services',
                'metadata': {'name': service},
                'spec': {
                    'health_path': '/healthz',
                    'max_conns': 330,
                    'protocol': 'h1',
                    'tls': False,
                    'cold_start_s': 3.0,
                    'cold_per_s': 5.0,
                },
            }
            for service in services
        ]
        resources.append(
            {
                'type': 'limits',
                'metadata': {},
                'spec': {
                    'max_header_bytes': 16384,
                    'max_body_bytes': body_bytes,
                    'header_timeout_s': 3,
                    'idle_timeout_s': 15,
                },
            }
        )
        document = {
            'version': f'r{version}',
            'base_version': f'r{base}' if base else 0,
            'resources': resources,
        }
        status = await self.order('PUT', '/api/config', document, first)
        if status != 200:
            raise CannotRun(f'the configuration was refused: {status}')

    async def wait_until_ready(self, timeout_s=25.0):
        """Wait until all gateways are ready and named by a directory."""
        deadline_s = monotonic() + timeout_s
        waiting = set(self.gateways)
        while waiting:
            if monotonic() > deadline_s:
                raise CannotRun(f'not ready: {waiting}')
            for ip in tuple(waiting):
                answer = await call(
                    self.address(ip, 'ready'), 'GET', '/api/readyz'
                )
                if answer is not None and answer.status == 200:
                    waiting.discard(ip)
            await sleep(0.1)

    def close(self):
        """End all processes and remove the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(SIGCONT)
                process.send_signal(SIGKILL)
            process.wait()
        rmtree(self.folder, ignore_errors=True)
        self.record.close()


def _give_up(*_):
    raise SystemExit(CANNOT_RUN)


def run_case(play, case, controls, gateways):
    """Play a case and return its exit code.

    It is 1 if the rule was broken and 0 if it held, as ``play`` returns it,
    and 2 if the case could not run, whatever the reason.  All processes are
    ended in any case.

    :param play: coroutine function that takes the :class:`Deployment`.
    :param case: folder of the case.
    :param controls: zones of the control nodes.
    :param gateways: zones of the gateways.
    """
    on_signal(SIGTERM, _give_up)
    on_signal(SIGALRM, _give_up)
    alarm(CASE_S)
    deployment = None
    try:
        deployment = Deployment(case, controls, gateways)
        return run(play(deployment))
    except CannotRun as error:
        print(f'cannot run: {error}')
        return CANNOT_RUN
    except (Exception, SystemExit):
        print_exc()
        return CANNOT_RUN
    finally:
        alarm(0)
        if deployment is not None:
            deployment.close()
