"""Steps that send requests through separate processes on the platform."""

from asyncio import create_task
from asyncio import gather
from asyncio import new_event_loop
from asyncio import open_connection
from asyncio import sleep
from asyncio import wait_for
from os import environ
from pathlib import Path
from shutil import rmtree
from signal import SIGTERM
from socket import socket
from subprocess import Popen
from sys import executable
from tempfile import mkdtemp
from time import monotonic
from time import time

from behave import given
from behave import then
from behave import when
from msgspec.json import decode
from msgspec.json import encode
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

from fuchsiacart.models import token_digest

DOMAINS = ('cymru-a', 'cymru-b', 'lloegr-a')
REGIONS = {domain: domain[:-2] for domain in DOMAINS}
WAIT_TIMEOUT_S = 30.0
POLL_S = 0.1
HEARTBEAT_S = 0.5
SLOW_S = 1.0
# Each instance that runs this path crashes.
POISON_PATH = '/stock/poison'
FIRST_CALLER_HOST = 40
HEALTH_PATH = '/'
# A suspect reaches all gateways with two lease renewals.
SUSPECT_WAIT_S = 1.5
TEMPLATE = """
role = "{role}"
seeds = [{seeds}]
[host]
name = "{name}"
region = "{region}"
failure_domain = "{domain}"
memory_mb = 200
[listen]
address = "{ip}"
peer_port = {ports[peer]}
ports_file = "{folder}.ports"
[tokens]
operator_sha256 = "{digest}"
backend_sha256 = "{digest}"
peer = "shared-by-all-processes"
[control]
data_folder = "{folder}"
bootstrap = true
[routes]
{listeners}
[routes.regions]
{regions}
"""


def free_ports(count):
    """Return ports that are free on 127.0.1.1."""
    sockets = [socket() for _ in range(count)]
    for each in sockets:
        each.bind(('127.0.1.1', 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class InstanceHandler(RequestHandler):
    """Answers as an instance of the platform does."""

    async def get(self):
        """Answer; a path with /slow takes ``SLOW_S``."""
        instance = self.application.settings['instance']
        if self.request.path == HEALTH_PATH:
            self.answer_check(instance)
            return
        instance.served.append(monotonic())
        instance.headers.append(self.request.headers)
        if self.request.path == POISON_PATH:
            instance.crash()
            self.request.connection.stream.close()
            return
        if '/slow' in self.request.path:
            await sleep(SLOW_S)
        self.set_header('X-Attempt-Id', self.request.headers['X-Attempt-Id'])
        self.set_header('X-Server-Stamp', f'stamp-of-{instance.name}')
        self.finish(f'{self.request.headers["X-Expect-Instance"]}')

    def answer_check(self, instance):
        """Answer a health check."""
        self.set_header('X-Instance-Id', instance.name)


class Instance:
    """An instance that answers requests and sends heartbeats."""

    address = '127.0.0.1'
    zone = 'cymru-a'
    slots = 4
    handler = InstanceHandler

    def __init__(self, name, fixture):
        self.name = name
        self.served = []
        self.headers = []
        self.state = 'ready'
        self.acknowledged_s = 0.0
        self.is_down = False
        self._fixture = fixture
        self.born_ms = int(time() * 1000)
        self._sequence = 0
        application = Application([('.*', self.handler)], instance=self)
        self._server = HTTPServer(application)
        sockets = bind_sockets(0, self.address)
        self._server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]

    def crash(self):
        """Stop listening and send no more heartbeats."""
        self.is_down = True
        self._server.stop()

    def restart(self):
        """Start again under the same name and address."""
        self.born_ms = int(time() * 1000)
        self._sequence = 0

    async def end_connections(self):
        """Close all connections of callers."""
        await self._server.close_all_connections()

    async def send_heartbeats(self):
        """Send heartbeats until the instance is down."""
        while not self.is_down:
            await self.send_heartbeat()
            await sleep(HEARTBEAT_S)

    async def send_heartbeat(self):
        """Send one heartbeat to any control host."""
        self._sequence += 1
        body = {
            'service': 'stock',
            'address': f'{self.address}:{self.port}',
            'zone': self.zone,
            'slots': self.slots,
            'state': self.state,
            'cold_left_s': 0,
            'seq': self._sequence,
            'born': self.born_ms,
        }
        reply = await self._fixture.control(
            'PUT', f'/api/instances/{self.name}', body
        )
        if reply is not None and reply.code == 200:
            self.acknowledged_s = monotonic()


class PlatformFixture:
    """Control hosts and gateways in processes of their own."""

    program = 'fuchsiacart.platform'
    operator_token = 'a token that operators know'

    def __init__(self):
        self.loop = new_event_loop()
        self.folder = Path(mkdtemp(prefix='fuchsiacart-platform-'))
        names = ('peer', 'caller', 'ready', 'control', 'directory')
        self.ports = dict(zip(names, free_ports(len(names))))
        self.processes = {}
        self.instances = []
        self.tasks = []
        self.seeds = [f'127.0.1.{at}' for at in (1, 2, 3)]
        self.gateways = [f'127.0.2.{at}' for at in (1, 2)]
        self.version = 0
        self.body = None

    def run(self, coroutine):
        """Run a coroutine to completion."""
        return self.loop.run_until_complete(
            wait_for(coroutine, 3 * WAIT_TIMEOUT_S)
        )

    def start(self, role, ip, domain):
        """Write the settings of a process and start it."""
        path = self.folder / f'{ip}.toml'
        listeners = ('control', 'directory')
        if role == 'gateway':
            listeners = ('caller', 'ready')
        text = TEMPLATE.format(
            role=role,
            seeds=', '.join(f'"{seed}:80"' for seed in self.seeds),
            name=f'{role}-{ip}',
            region=REGIONS[domain],
            domain=domain,
            ip=ip,
            ports=self.ports,
            digest=token_digest(self.operator_token),
            folder=self.folder / ip,
            listeners='\n'.join(
                f'{name}_address = "{ip}:{self.ports[name]}"'
                for name in listeners
            ),
            regions='\n'.join(
                f'"{name}" = "{region}"' for name, region in REGIONS.items()
            ),
        )
        path.write_text(text)
        with open(self.folder / f'{ip}.log', 'ab') as log:
            self.processes[ip] = Popen(
                [executable, '-m', self.program],
                env=environ | self.environment(ip, path),
                stdout=log,
                stderr=log,
            )

    def http_port(self, ip):
        """Return the port at which a process serves its metrics."""
        ports = decode((self.folder / f'{ip}.ports').read_bytes())
        return ports['http_address'].rpartition(':')[2]

    async def pause(self):
        """Let the instances and their heartbeats go on for a moment."""
        await sleep(POLL_S)

    def environment(self, ip, path):
        """Return the environment variables of a process.

        :param ip: its IP address.
        :param path: path of its settings.
        """
        return {'FUCHSIACART_SETTINGS': str(path)}

    def close(self):
        """Kill all processes and remove the folder."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        for task in self.tasks:
            task.cancel()
        self.run(self._finish_tasks())
        self.loop.close()
        rmtree(self.folder)

    async def _finish_tasks(self):
        await gather(*self.tasks, return_exceptions=True)

    async def fetch(self, method, url, body=None, headers=None):
        """Return the reply to a request, or None if there was none."""
        request = HTTPRequest(
            url,
            method=method,
            body=None if body is None else encode(body),
            headers=headers,
            allow_nonstandard_methods=True,
            request_timeout=5.0,
        )
        try:
            return await AsyncHTTPClient().fetch(request, raise_error=False)
        except OSError:
            return None

    async def control(self, method, path, body=None):
        """Call the control hosts in turn until one accepts or refuses.

        :return: the reply, or None after ``WAIT_TIMEOUT_S``.
        """
        deadline_s = monotonic() + WAIT_TIMEOUT_S
        while monotonic() < deadline_s:
            for ip in self.seeds:
                url = f'http://{ip}:{self.ports["control"]}{path}'
                reply = await self.fetch(method, url, body)
                if reply is not None and reply.code in range(200, 500):
                    return reply
            await sleep(POLL_S)
        return None

    async def send_request(self, ip, path='/stock/1'):
        """Send a request to a gateway."""
        return await self.fetch(
            'GET',
            f'http://{ip}:{self.ports["caller"]}{path}',
            headers={
                'Host': 'shop.example',
                'X-Attempt-Id': f'request-{monotonic()}-{ip}',
                'X-Deadline-Ms': '3000',
            },
        )

    async def send_request_from(self, address, ip, path):
        """Send a request to a gateway from a local address."""
        reader, writer = await open_connection(
            ip, self.ports['caller'], local_addr=(address, 0)
        )
        head = (
            f'GET {path} HTTP/1.1\r\nHost: shop.example\r\n'
            f'X-Attempt-Id: request-{monotonic()}\r\n'
            'X-Deadline-Ms: 3000\r\nConnection: close\r\n\r\n'
        )
        writer.write(head.encode())
        await reader.read()
        writer.close()

    async def named_gateways(self):
        """Return the addresses of the gateways that a directory names.

        The set is empty if no directory answers.
        """
        query = '/api/resolve?name=shop.example&region=cymru&zone=cymru-a'
        for ip in self.seeds:
            url = f'http://{ip}:{self.ports["directory"]}{query}'
            reply = await self.fetch('GET', url)
            if reply is not None and reply.code == 200:
                addresses = decode(reply.body)['addresses']
                return {each.rpartition(':')[0] for each in addresses}
        return set()

    async def wait_until(self, condition, timeout_s=WAIT_TIMEOUT_S):
        """Wait until a coroutine function returns a true value.

        :raises AssertionError: if it has not after ``timeout_s``.
        """
        deadline_s = monotonic() + timeout_s
        while not await condition():
            assert monotonic() < deadline_s, 'condition not met in time'
            await sleep(POLL_S)

    def configuration(self, prefixes):
        """Return the next configuration, with one route for each prefix.

        Its version is 3 above the last, and it is kept in ``body``.
        """
        base, self.version = self.version, self.version + 3
        routes = [
            {
                'type': 'routes',
                'metadata': {'name': f'r{prefix}'},
                'spec': {
                    'host': 'shop.example',
                    'path_prefix': prefix,
                    'kind': 'idempotent',
                    'timeout_s': 3,
                    'slo_s': 0.4,
                    'service': 'stock',
                    'max_attempts': 2,
                },
            }
            for prefix in prefixes
        ]
        service = {
            'type': 'services',
            'metadata': {'name': 'stock'},
            'spec': {'health_path': HEALTH_PATH, 'cold_per_s': 5},
        }
        self.body = {
            'version': f'r{self.version}',
            'base_version': f'r{base}',
            'resources': routes + [service],
        }
        return self.body


@given('3 control hosts and 2 gateways started for the first time')
def given_processes(context):
    fixture = PlatformFixture()
    context.resources.callback(fixture.close)
    for ip, domain in zip(fixture.seeds, DOMAINS):
        fixture.start('control', ip, domain)
    for ip, domain in zip(fixture.gateways, DOMAINS):
        fixture.start('gateway', ip, domain)
    context.platform = fixture


@given('{count:d} instances of a service that send heartbeats')
def given_instances(context, count):
    """Start instances in this process."""
    fixture = context.platform

    async def start():
        for index in range(count):
            instance = Instance(f'i-{index}', fixture)
            fixture.instances.append(instance)
            fixture.tasks.append(create_task(instance.send_heartbeats()))

    fixture.run(start())


@when('the operator puts a configuration')
def when_configured(context):
    """Put the first configuration; retry until it is acknowledged."""
    fixture = context.platform
    body = fixture.configuration(['/stock/'])
    reply = fixture.run(fixture.control('PUT', '/api/config', body))
    assert reply is not None and reply.code == 200, reply


@when('an instance reports that it drains')
def when_drain_reported(context):
    """Let the instance report a drain; wait until that is acknowledged."""
    fixture = context.platform
    instance = fixture.instances[0]
    instance.state = 'draining'
    instance.acknowledged_s = 0.0

    async def is_acknowledged():
        return instance.acknowledged_s

    fixture.run(fixture.wait_until(is_acknowledged))


@when('a control host is killed')
def when_killed(context):
    """Kill the first seed."""
    context.platform.processes[context.platform.seeds[0]].kill()


@when('a gateway is stopped while it serves a slow request')
def when_stopped(context):
    """Send a slow request and send its gateway SIGTERM meanwhile."""
    fixture = context.platform
    ip = fixture.gateways[0]

    async def stop():
        task = create_task(fixture.send_request(ip, '/stock/slow'))
        await sleep(SLOW_S / 3)
        fixture.processes[ip].send_signal(SIGTERM)
        return await task

    context.reply = fixture.run(stop())


@when(
    'a request that crashes instances is sent to each gateway {count:d} times'
)
def when_poison_sent(context, count):
    """Send the request to the gateways in turn, with a pause after each."""
    fixture = context.platform

    async def send():
        for _ in range(count):
            for ip in fixture.gateways:
                await fixture.send_request(ip, POISON_PATH)
                await sleep(SUSPECT_WAIT_S)

    fixture.run(send())


@when('a request that crashes instances is sent from {count:d} addresses')
def when_poison_sent_around(context, count):
    """Send the request to the gateways in turn, with a pause after each."""
    fixture = context.platform

    async def send():
        for host in range(count):
            ip = fixture.gateways[host % len(fixture.gateways)]
            address = f'127.0.0.{FIRST_CALLER_HOST + host}'
            await fixture.send_request_from(address, ip, POISON_PATH)
            await sleep(SUSPECT_WAIT_S)

    fixture.run(send())


@then('at most {most:d} instances are down')
def then_few_down(context, most):
    down = [each for each in context.platform.instances if each.is_down]
    assert 0 < len(down) <= most, len(down)


@then('the directory names both gateways')
def then_both_named(context):
    fixture = context.platform

    async def names_both():
        return await fixture.named_gateways() == set(fixture.gateways)

    fixture.run(fixture.wait_until(names_both))


@then('a request through each gateway gets a whole answer with its stamp')
def then_served(context):
    """Wait until the gateways know the instances, then check an answer."""
    fixture = context.platform

    async def served(ip):
        reply = await fixture.send_request(ip)
        if reply is None:
            return False
        return reply.code == 200 and reply.body and reply.headers

    for ip in fixture.gateways:
        fixture.run(fixture.wait_until(lambda: served(ip)))
        reply = fixture.run(fixture.send_request(ip))
        name = reply.body.decode()
        stamp = reply.headers['X-Server-Stamp']
        assert stamp == f'stamp-of-{name}', stamp


@then('a path without a route is answered 404 by each gateway')
def then_not_found(context):
    fixture = context.platform
    for ip in fixture.gateways:
        reply = fixture.run(fixture.send_request(ip, '/other/1'))
        assert reply.code == 404, reply.code


@then('the configuration is read back as it was put at each control host')
def then_read_back(context):
    fixture = context.platform
    for ip in fixture.seeds:
        url = f'http://{ip}:{fixture.ports["control"]}/api/config'

        async def listens(url=url):
            return await fixture.fetch('GET', url) is not None

        # Two control hosts may serve before the third has started.
        fixture.run(fixture.wait_until(listens))
        reply = fixture.run(fixture.fetch('GET', url))
        document = decode(reply.body)
        assert document['version'] == fixture.body['version'], document
        assert document['resources'] == fixture.body['resources'], document


@then('after a while it gets no request')
def then_drained(context):
    """Send rounds of requests until none of a round reaches the instance."""
    fixture = context.platform
    instance = fixture.instances[0]

    async def gets_no_request():
        before = len(instance.served)
        for index in range(20):
            for ip in fixture.gateways:
                reply = await fixture.send_request(ip, f'/stock/{index}')
                assert reply.code == 200, reply.code
        return len(instance.served) == before

    fixture.run(fixture.wait_until(gets_no_request))


@then('an evacuation is accepted and a change of the configuration too')
def then_accepted(context):
    """Send three orders while one control host is down."""
    fixture = context.platform
    for method in ('POST', 'DELETE'):
        path = '/api/evacuate/lloegr-a'
        reply = fixture.run(fixture.control(method, path))
        assert reply is not None and reply.code == 200, reply
    body = fixture.configuration(['/stock/', '/added/'])
    reply = fixture.run(fixture.control('PUT', '/api/config', body))
    assert reply is not None and reply.code == 200, reply


@then('the change comes into force at both gateways')
def then_in_force(context):
    """Wait until each gateway serves the new route."""
    fixture = context.platform

    async def served(ip):
        reply = await fixture.send_request(ip, '/added/1')
        return reply is not None and reply.code == 200

    for ip in fixture.gateways:
        fixture.run(fixture.wait_until(lambda: served(ip)))


@then('the request gets its whole answer and the gateway exits by itself')
def then_stopped(context):
    """Check the answer and the exit code."""
    fixture = context.platform
    assert context.reply.code == 200 and context.reply.body, context.reply
    process = fixture.processes[fixture.gateways[0]]
    assert process.wait(WAIT_TIMEOUT_S) == 0


@then('the directory names the other gateway only')
def then_other_named(context):
    fixture = context.platform

    async def names_other_only():
        return await fixture.named_gateways() == {fixture.gateways[1]}

    fixture.run(fixture.wait_until(names_other_only))
