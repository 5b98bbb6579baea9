"""Small deployment on loopback for the scripts of the second review.

Starts the project's programs with the command of the deploy file, as separate
processes, and holds small stand-ins for clients, operators and instances.
"""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import IncompleteReadError
from asyncio import open_connection
from asyncio import run
from asyncio import sleep
from asyncio import start_server
from asyncio import wait
from asyncio import wait_for
from json import dumps
from json import loads
from os import environ
from pathlib import Path
from random import Random
from random import randrange
from shutil import rmtree
from signal import SIGCONT
from socket import socket
from subprocess import Popen
from sys import executable
from sys import exit as sys_exit
from tempfile import mkdtemp
from time import monotonic
from time import time

# A case ends by then, without a result if it has none.
LIMIT_S = 100.0
ROOT = Path(__file__).resolve().parent.parent
# Bounds of the small site golau-lb.
BOUNDS = {
    'contact_s': 4.0,
    'drain_s': 2.5,
    'config_apply_s': 2.5,
    'evac_s': 5.0,
    'grace_s': 6.0,
    'cold_over': 1.5,
    'cold_slack': 5.0,
}
ZONES = {
    'cymru-a': 'cymru',
    'lloegr-a': 'lloegr',
    'iwerddon-a': 'iwerddon',
    'cymru-b': 'cymru',
    'lloegr-b': 'lloegr',
    'iwerddon-b': 'iwerddon',
}
HOST = 'shop.example'
SETTINGS = """
role = "{role}"
seeds = [{seeds}]
[host]
name = "{name}"
region = "{region}"
failure_domain = "{zone}"
memory_mb = 300
[listen]
address = "{ip}"
peer_port = {ports[peer]}
http_port = {ports[http]}
[tokens]
operator_sha256 = "{zeros}"
backend_sha256 = "{zeros}"
peer = "internal-ports-only"
[control]
data_folder = "{data}"
bootstrap = {bootstrap}
tolerated_losses = 2
election_timeout_ms = 800
catch_up_s = 4
[routes]
{listeners}
heartbeat_s = 1.5
stop_s = 6
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 64
shift_cap = 0.15
drain_s = 2.5
apply_s = 2.5
evacuate_s = 5
[routes.regions]
{regions}
"""


class Unavailable(Exception):
    """The case could not run."""


class Answer:
    """Status, headers and body of a complete answer."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def read_answer(reader):
    """Read an answer with a length, in chunks or up to the end."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin1').split('\r\n')
    status = int(lines[0].split(' ', 2)[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    else:
        body = await reader.read()
    return Answer(status, headers, body)


async def call(address, method, path, headers=(), body=b'', timeout_s=5.0):
    """Send one request on a new connection.

    :return: the :class:`Answer`, or None without a complete one.
    """
    ip, _, port = address.partition(':')
    writer = None
    try:
        reader, writer = await wait_for(open_connection(ip, int(port)), 1.0)
        lines = [f'{method} {path} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in headers]
        if body or method in ('PUT', 'POST', 'PATCH'):
            lines.append(f'Content-Length: {len(body)}')
        lines += ['Connection: close', '', '']
        writer.write('\r\n'.join(lines).encode() + body)
        return await wait_for(read_answer(reader), timeout_s)
    except (OSError, TimeoutError, IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Deployment:
    """Three control hosts and some gateways.

    :param record: file for what was sent, answered and run.
    :param gateways: the zone of each gateway.
    """

    def __init__(self, record, gateways=('cymru-a', 'lloegr-a')):
        self._record = open(record, 'w')
        self._started_s = monotonic()
        self.folder = Path(mkdtemp(prefix='review-2-'))
        net = f'127.{randrange(20, 120)}'
        names = ('peer', 'http', 'front', 'ready', 'control', 'directory')
        self.ports = dict(zip(names, _free_ports(len(names), f'{net}.1.1')))
        zones = list(ZONES)
        self.control = {f'{net}.1.{at + 1}': zones[at] for at in range(3)}
        self.gateways = {
            f'{net}.2.{at + 1}': zone for at, zone in enumerate(gateways)
        }
        self.instance_net = f'{net}.3'
        self.processes = {}
        self.tasks = []
        self.version = 0
        self._is_first = {}

    def note(self, event, **fields):
        """Write a line to the record."""
        at_s = monotonic() - self._started_s
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._record.write(f'{at_s:8.3f} {event} {text}\n')
        self._record.flush()

    def start_all(self):
        """Start all processes for the first time."""
        for ip, zone in self.control.items():
            self.start('control', ip, zone)
        for ip, zone in self.gateways.items():
            self.start('gateway', ip, zone)

    def start(self, role, ip, zone):
        """Start a process."""
        listeners = ('control', 'directory')
        if role == 'gateway':
            listeners = ('front', 'ready')
        keys = {'front': 'caller'}
        bootstrap = self._is_first.setdefault(ip, True)
        self._is_first[ip] = False
        text = SETTINGS.format(
            role=role,
            seeds=', '.join(
                f'"{each}:{self.ports["control"]}"' for each in self.control
            ),
            name=f'{role}-{ip}',
            region=ZONES[zone],
            zone=zone,
            ip=ip,
            ports=self.ports,
            zeros='0' * 64,
            data=self.folder / ip if role == 'control' else '',
            bootstrap=str(bootstrap).lower(),
            listeners='\n'.join(
                f'{keys.get(name, name)}_address = "{ip}:{self.ports[name]}"'
                for name in listeners
            ),
            regions='\n'.join(
                f'"{name}" = "{region}"' for name, region in ZONES.items()
            ),
        )
        path = self.folder / f'{ip}.toml'
        path.write_text(text)
        with open(self.folder / f'{ip}.log', 'ab') as log:
            self.processes[ip] = Popen(
                [executable, '-m', 'fuchsiacart.platform'],
                cwd=ROOT,
                env={
                    'PATH': environ['PATH'],
                    'HOME': environ.get('HOME', '/'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'FUCHSIACART_SETTINGS': str(path),
                },
                stdout=log,
                stderr=log,
            )
        self.note('process_started', role=role, ip=ip)

    def log_text(self, ip):
        """Return what a process has logged."""
        return (self.folder / f'{ip}.log').read_text(errors='replace')

    def find_leader(self):
        """Return the address of the control host that was elected last."""
        elected = []
        for ip in self.control:
            for line in self.log_text(ip).splitlines():
                if 'event=leader_elected' in line:
                    time_s = line.partition('time=')[2].partition(' ')[0]
                    elected.append((float(time_s), ip))
        return max(elected)[1]

    async def close(self):
        """End all tasks and processes that were started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(SIGCONT)
                process.kill()
            process.wait()
        # A single cancellation may be lost in `wait_for`.
        for _ in range(10):
            if not self.tasks:
                break
            for task in self.tasks:
                task.cancel()
            _, pending = await wait(self.tasks, timeout=0.5)
            self.tasks = list(pending)
        self._record.close()
        rmtree(self.folder, ignore_errors=True)

    async def order(self, method, path, body=None, limit_s=30.0):
        """Send an order to the control hosts until one answers it.

        :return: the :class:`Answer`.
        """
        data = dumps(body).encode() if body is not None else b''
        until_s = monotonic() + limit_s
        while monotonic() < until_s:
            for ip in self.control:
                address = f'{ip}:{self.ports["control"]}'
                answer = await call(
                    address, method, path, [('Host', address)], data, 1.0
                )
                if answer is not None and answer.status in range(200, 500):
                    self.note(
                        'order', method=method, path=path, status=answer.status
                    )
                    return answer
            await sleep(0.1)
        raise Unavailable(f'{method} {path} was not answered')

    async def put_configuration(self, routes, services, limits=None):
        """Put a whole configuration."""
        base, self.version = self.version, self.version + 3
        resources = [
            {'type': 'routes', 'metadata': {'name': name}, 'spec': spec}
            for name, spec in routes.items()
        ]
        resources += [
            {'type': 'services', 'metadata': {'name': name}, 'spec': spec}
            for name, spec in services.items()
        ]
        if limits:
            resources.append(
                {'type': 'limits', 'metadata': {}, 'spec': limits}
            )
        body = {
            'version': f'r{self.version}',
            'base_version': f'r{base}',
            'resources': resources,
        }
        return await self.order('PUT', '/api/config', body)

    async def wait_until_ready(self, limit_s=30.0):
        """Wait until all gateways say that they are ready."""
        until_s = monotonic() + limit_s
        waiting = set(self.gateways)
        while waiting:
            if monotonic() > until_s:
                raise Unavailable('the gateways are not ready')
            for ip in tuple(waiting):
                address = f'{ip}:{self.ports["ready"]}'
                answer = await call(
                    address, 'GET', '/api/readyz', [('Host', address)]
                )
                if answer is not None and answer.status == 200:
                    waiting.discard(ip)
            await sleep(0.1)

    def front(self, ip):
        """Return the address at which a gateway takes requests."""
        return f'{ip}:{self.ports["front"]}'


class Instance:
    """An instance that answers each request after some work.

    :param deployment: the :class:`Deployment`.
    :param name: its id.
    :param service: its service.
    :param zone: its zone.
    """

    slots = 8
    heartbeat_s = 1.5

    def __init__(self, deployment, name, service, zone, work_s=0.01):
        self.deployment = deployment
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.state = 'ready'
        self.ip = f'{deployment.instance_net}.{randrange(2, 250)}'
        self.address = ''
        self.born_ms = int(time() * 1000)
        self.sequence = 0
        # Times at which requests arrived that it ran.
        self.arrivals = []
        self.beats = []
        self.is_silent = False
        self._server = None
        self._writers = set()

    async def open(self):
        """Begin to listen and to send heartbeats."""
        await self.listen(0)
        self.deployment.tasks.append(create_task(self._beat()))

    async def listen(self, port):
        """Begin to listen at a port, 0 for any."""
        self._server = await start_server(
            self._serve, self.ip, port, reuse_address=True
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{self.ip}:{port}'

    async def stop(self):
        """End at once: reset all connections and listen no more."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def cold_left_s(self):
        """Return for how long it is cold."""
        return 0.0

    async def _beat(self):
        next_s = monotonic()
        while True:
            if not self.is_silent:
                await self.send_heartbeat()
            next_s += self.heartbeat_s
            await sleep(max(0.0, next_s - monotonic()))

    async def send_heartbeat(self):
        """Send a heartbeat to the control hosts until one acknowledges it."""
        self.sequence += 1
        cold_left_s = round(self.cold_left_s(), 3)
        state = self.state
        body = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'cold_left_s': cold_left_s,
            'seq': self.sequence,
            'born': self.born_ms,
        }
        for ip in self.deployment.control:
            address = f'{ip}:{self.deployment.ports["control"]}'
            answer = await call(
                address,
                'PUT',
                f'/api/instances/{self.name}',
                [('Host', address)],
                dumps(body).encode(),
                1.0,
            )
            if answer is not None and 200 <= answer.status < 300:
                self.beats.append((monotonic(), state, cold_left_s))
                self.deployment.note(
                    'heartbeat_acknowledged',
                    instance=self.name,
                    seq=self.sequence,
                    state=state,
                    cold_left_s=cold_left_s,
                )
                return True
        return False

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode('latin1').split('\r\n')
                method, target, _ = lines[0].split(' ', 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(':')
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get('content-length', 0))
                body = await reader.readexactly(length) if length else b''
                await self.answer(method, target, headers, body, writer)
                await writer.drain()
        except (IncompleteReadError, OSError, CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, method, target, headers, body, writer):
        """Answer a request, as the users' pages say."""
        if target == '/healthz':
            self.write(writer, 200, [('X-Instance-Id', self.name)], b'')
            return
        request_id = headers.get('x-attempt-id', '')
        expected = headers.get('x-expect-instance', self.name)
        if expected != self.name:
            self.write(
                writer,
                421,
                [('X-Attempt-Id', request_id), ('X-Not-Run', '1')],
                b'',
            )
            return
        self.arrivals.append((monotonic(), request_id, method, target, body))
        self.deployment.note('run', instance=self.name, request=request_id)
        await self.run(request_id, writer)

    async def run(self, request_id, writer):
        """Run a request and answer it."""
        await sleep(self.work_s)
        text = f'{request_id} by {self.name}'.encode()
        self.write(
            writer,
            200,
            [
                ('X-Attempt-Id', request_id),
                ('X-Server-Stamp', f'stamp.{self.name}'),
            ],
            text,
        )

    def write(self, writer, status, headers, body):
        """Write a complete answer."""
        lines = [f'HTTP/1.1 {status} -']
        lines += [f'{name}: {value}' for name, value in headers]
        lines += [f'Content-Length: {len(body)}', '', '']
        writer.write('\r\n'.join(lines).encode() + body)


class Client:
    """Sends requests to the gateways and records their answers.

    :param deployment: the :class:`Deployment`.
    """

    def __init__(self, deployment, seed=1):
        self.deployment = deployment
        self.random = Random(seed)
        self.sent = {}
        self.answers = {}
        self._count = 0

    async def send(
        self, path, method='GET', gateway=None, deadline_ms=2000, headers=()
    ):
        """Send one request.

        :return: its id.
        """
        self._count += 1
        request_id = f'{randrange(16**8):08x}{self._count:08x}'
        gateway = gateway or self.random.choice(list(self.deployment.gateways))
        self.sent[request_id] = monotonic()
        self.deployment.note('sent', request=request_id, gateway=gateway)
        answer = await call(
            self.deployment.front(gateway),
            method,
            path,
            [
                ('Host', HOST),
                ('X-Attempt-Id', request_id),
                ('X-Deadline-Ms', deadline_ms),
                *headers,
            ],
            b'',
            deadline_ms / 1000 + 0.5,
        )
        self.answers[request_id] = answer
        status = answer.status if answer is not None else 'none'
        self.deployment.note('answered', request=request_id, status=status)
        return request_id

    async def send_evenly(self, rate_per_s, make_path, until_s):
        """Send requests at an even rate until a time."""
        tasks = []
        next_s = monotonic()
        while monotonic() < until_s:
            tasks.append(create_task(self.send(make_path(self.random))))
            next_s += 1 / rate_per_s
            await sleep(max(0.0, next_s - monotonic()))
        await gather(*tasks)


def count_worst(instance, sent, start_s, end_s):
    """Return the most requests sent and arrived within one second."""
    times = [
        (sent[request_id], arrived_s)
        for arrived_s, request_id, *_ in instance.arrivals
        if request_id in sent and sent[request_id] >= start_s
    ]
    worst = 0
    for first_s, _ in times:
        last_s = first_s + 1.0
        if last_s > end_s:
            break
        worst = max(
            worst,
            sum(
                first_s <= sent_s and arrived_s <= last_s
                for sent_s, arrived_s in times
            ),
        )
    return worst


def run_case(play, folder):
    """Play a case and exit as its caller expects.

    :param play: coroutine function that takes the :class:`Deployment` and
        returns True if the rule was broken.
    :param folder: folder of the case.
    """
    sys_exit(run(_run_case(play, folder)))


async def _run_case(play, folder):
    # Cancelled streams would report their end.
    get_running_loop().set_exception_handler(lambda loop, context: None)
    deployment = None
    try:
        deployment = Deployment(folder / 'record.txt')
        return int(await wait_for(play(deployment), LIMIT_S))
    except Exception as error:
        if deployment is not None:
            deployment.note('could_not_run', detail=repr(error))
        print(repr(error))
        return 2
    finally:
        if deployment is not None:
            await deployment.close()


def parse(answer):
    """Return the JSON document of an answer."""
    return loads(answer.body)


def _free_ports(count, ip):
    sockets = [socket() for _ in range(count)]
    for each in sockets:
        each.bind((ip, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports
