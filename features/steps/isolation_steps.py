"""Steps for gateways that are cut off from all backend servers."""

from asyncio import create_task
from asyncio import sleep
from collections import Counter
from itertools import cycle
from random import Random
from time import monotonic

from behave import given
from behave import then
from behave import when
from msgspec import field
from msgspec.json import encode
from msgspec import Struct
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.web import RequestHandler

from features.steps.platform_path_steps import DOMAINS
from features.steps.platform_path_steps import Instance
from features.steps.platform_path_steps import PlatformFixture
from soak.launch import Conditions
from soak.launch import CONDITIONS_VARIABLE
from soak.server_cuts import ServerCut

SERVER_ADDRESS = '127.0.3.1'
SERVER_PREFIX = '127.0.3.'
# The first two gateways are all of a failure domain.
GATEWAY_DOMAINS = (DOMAINS[0], DOMAINS[0], DOMAINS[1], DOMAINS[2])
PREFIX_KINDS = {'/stock/': 'idempotent', '/orders/': 'non_idempotent'}
# Requests per second at each gateway.
REQUEST_RATE = 15
DEADLINE_S = 2.0
OBJECTIVE_S = 0.4
WORK_S = 0.05
# Servers close some connections after a response, so that no gateway lives
# on the connections that it had when the cut began.
CLOSE_SHARE = 0.25
WARM_UP_S = 1.5
MEASURED_S = 4.0
SERVED_RATIO = 2 / 3
# Share of tries that must be served at gateways that reach the servers.
UNDISTURBED_SHARE = 0.9
REFUSED_SHARE = 0.9
# Span after the recovery in which all requests are looked at.
SETTLED_S = 1.5
MAX_CLIENTS = 500
NOT_RUN_STATUSES = (408, 421, 429, 503)


class FirstTry(Struct):
    """A request of a caller that it has not sent before.

    ``status`` is 0 without an answer.  ``sources`` holds the IP address from
    which each backend server that ran it was called.
    """

    gateway: str
    method: str
    sent_s: float
    status: int = 0
    taken_s: float = 0.0
    retry_after: str = ''
    sources: list[str] = field(default_factory=list)


class RecordingHandler(RequestHandler):
    """Answers after ``WORK_S`` and records who has sent the request."""

    async def prepare(self):
        """Answer a request of any method."""
        instance = self.application.settings['instance']
        request_id = self.request.headers['X-Attempt-Id']
        instance.record_run(request_id, self.request.remote_ip)
        await sleep(WORK_S)
        self.set_header('X-Attempt-Id', request_id)
        self.set_header('X-Server-Stamp', f'stamp-of-{instance.name}')
        if instance.random.random() < CLOSE_SHARE:
            self.set_header('Connection', 'close')
        self.finish(request_id)


class RecordingInstance(Instance):
    """A backend server whose runs are recorded with their requests."""

    address = SERVER_ADDRESS
    handler = RecordingHandler

    def __init__(self, name, fixture):
        super().__init__(name, fixture)
        self.random = Random(name)
        self._tries = fixture.tries

    def record_run(self, request_id, source):
        """Record that a request starts to run."""
        if request_id in self._tries:
            self._tries[request_id].sources.append(source)


class IsolationFixture(PlatformFixture):
    """Processes whose connections to the backend servers can be cut."""

    program = 'soak.launch'

    def __init__(self):
        super().__init__()
        self.gateways = [
            f'127.0.2.{1 + at}' for at in range(len(GATEWAY_DOMAINS))
        ]
        self.cut_gateways = []
        self.tries = {}
        self._is_over = False
        self._client = AsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    def environment(self, ip, path):
        """Add the file with the conditions to the environment."""
        self.set_cut(ip, ServerCut.NONE)
        conditions = str(self._conditions_path(ip))
        return super().environment(ip, path) | {
            CONDITIONS_VARIABLE: conditions
        }

    def set_cut(self, ip, cut):
        """Cut a process off from the backend servers or end that."""
        conditions = Conditions(
            server_prefix=SERVER_PREFIX, server_cut=cut, source_address=ip
        )
        draft = self.folder / f'{ip}.draft'
        draft.write_bytes(encode(conditions))
        draft.rename(self._conditions_path(ip))

    def _conditions_path(self, ip):
        return self.folder / f'{ip}.conditions'

    def configuration(self, prefixes):
        """Return the configuration, with unsafe requests on one route."""
        body = super().configuration(prefixes)
        for resource in body['resources']:
            prefix = resource['spec'].get('path_prefix')
            if prefix is not None:
                resource['spec']['kind'] = PREFIX_KINDS[prefix]
                resource['spec']['timeout_s'] = DEADLINE_S
                resource['spec']['slo_s'] = OBJECTIVE_S
        return body

    async def start_servers(self, count):
        """Start backend servers in this process."""
        for index in range(count):
            instance = RecordingInstance(f'i-{index}', self)
            self.instances.append(instance)
            self.tasks.append(create_task(instance.send_heartbeats()))

    async def start_callers(self):
        """Wait until each gateway serves, then let callers send steadily."""
        for ip in self.gateways:

            async def is_served(ip=ip):
                return (await self._send(ip, 'GET')).status == 200

            await self.wait_until(is_served)
        for ip in self.gateways:
            self.tasks.append(create_task(self._send_steadily(ip)))
        await sleep(WARM_UP_S)

    async def _send_steadily(self, ip):
        methods = cycle(('GET', 'POST'))
        while not self._is_over:
            self.tasks.append(create_task(self._send(ip, next(methods))))
            await sleep(1 / REQUEST_RATE)

    async def _send(self, ip, method):
        """Send a request over a new connection and record its end."""
        request_id = f't{len(self.tries)}'
        sent = FirstTry(ip, method, monotonic())
        self.tries[request_id] = sent
        prefix = {'GET': '/stock/', 'POST': '/orders/'}[method]
        request = HTTPRequest(
            f'http://{ip}:{self.ports["caller"]}{prefix}{len(self.tries)}',
            method=method,
            body=b'' if method == 'POST' else None,
            headers={
                'Host': 'shop.example',
                'X-Attempt-Id': request_id,
                'X-Deadline-Ms': str(int(DEADLINE_S * 1000)),
            },
            request_timeout=DEADLINE_S,
        )
        try:
            reply = await self._client.fetch(request, raise_error=False)
        except OSError:
            return sent
        # The client has its own status for a time-out or a closed connection.
        sent.status = 0 if reply.code == 599 else reply.code
        sent.retry_after = reply.headers.get('Retry-After', '')
        sent.taken_s = monotonic() - sent.sent_s
        return sent

    def close(self):
        """Let all tries end, then kill the processes."""
        self._is_over = True
        self.run(sleep(DEADLINE_S))
        super().close()

    async def measure(self, after_s):
        """Let callers send during the cut, and end it.

        :param after_s: seconds after which the tries count.
        :return: the tries that count.
        """
        await sleep(after_s)
        start_s = monotonic()
        await sleep(MEASURED_S)
        end_s = monotonic()
        # All tries end while the cut lasts.
        await sleep(DEADLINE_S)
        for ip in self.cut_gateways:
            self.set_cut(ip, ServerCut.NONE)
        return self.tries_between(start_s, end_s)

    def tries_between(self, start_s, end_s):
        """Return the tries that were sent in a span."""
        return [
            each
            for each in self.tries.values()
            if start_s <= each.sent_s < end_s
        ]


def served_share(tries):
    """Return the share of tries that were served."""
    return sum(each.status == 200 for each in tries) / len(tries)


def count_statuses(tries):
    """Return how the tries ended, as text."""
    return str(Counter(each.status for each in tries))


@given(
    '3 control hosts, 4 gateways and {count:d} backend servers that callers'
    ' use'
)
def given_deployment(context, count):
    fixture = IsolationFixture()
    context.resources.callback(fixture.close)
    for ip, domain in zip(fixture.seeds, DOMAINS):
        fixture.start('control', ip, domain)
    for ip, domain in zip(fixture.gateways, GATEWAY_DOMAINS):
        fixture.start('gateway', ip, domain)
    fixture.run(fixture.start_servers(count))
    body = fixture.configuration(list(PREFIX_KINDS))
    reply = fixture.run(fixture.control('PUT', '/api/config', body))
    assert reply is not None and reply.code == 200, reply
    fixture.run(fixture.start_callers())
    context.isolation = fixture


@when(
    '{count:d} gateway is cut off from all backend servers in the form {form}'
)
@when(
    '{count:d} gateways are cut off from all backend servers in the form'
    ' {form}'
)
def when_cut(context, count, form):
    fixture = context.isolation
    fixture.cut_gateways = fixture.gateways[:count]
    for ip in fixture.cut_gateways:
        fixture.set_cut(ip, ServerCut(form))


@then(
    'after {bound_s:d} seconds callers at it are served like those at the'
    ' others'
)
@then(
    'after {bound_s:d} seconds callers at them are served like those at the'
    ' others'
)
def then_served(context, bound_s):
    fixture = context.isolation
    tries = fixture.run(fixture.measure(bound_s))
    cut_off = [each for each in tries if each.gateway in fixture.cut_gateways]
    others = [
        each for each in tries if each.gateway not in fixture.cut_gateways
    ]
    endings = f'{count_statuses(cut_off)}, others {count_statuses(others)}'
    assert served_share(others) >= UNDISTURBED_SHARE, endings
    ratio = served_share(cut_off) / served_share(others)
    assert ratio >= SERVED_RATIO, endings


@then(
    'after {bound_s:d} seconds callers are refused at once, with a time to'
    ' return'
)
def then_refused(context, bound_s):
    """Check that the refusals take up to half of the objective."""
    fixture = context.isolation
    tries = fixture.run(fixture.measure(bound_s))
    refused = [
        each
        for each in tries
        if each.status == 503
        and each.retry_after
        and each.taken_s <= OBJECTIVE_S / 2
    ]
    share = len(refused) / len(tries)
    slowest_s = max(each.taken_s for each in tries)
    endings = f'{share:.2f}, {count_statuses(tries)}, {slowest_s:.2f} s'
    assert share >= REFUSED_SHARE, endings


@then('no unsafe request runs twice and no refused request runs')
def then_truthful(context):
    tries = context.isolation.tries.items()
    repeated = [
        request_id
        for request_id, each in tries
        if each.method == 'POST' and len(each.sources) > 1
    ]
    assert not repeated, repeated
    false_refusals = [
        request_id
        for request_id, each in tries
        if each.status in NOT_RUN_STATUSES and each.sources
    ]
    assert not false_refusals, false_refusals


@then(
    'within {limit_s:d} seconds after the cut it reaches the servers by itself'
)
@then(
    'within {limit_s:d} seconds after the cut they reach the servers by'
    ' themselves'
)
def then_recovered(context, limit_s):
    """Check who calls the servers for requests sent after the limit."""
    fixture = context.isolation

    async def settle():
        await sleep(limit_s)
        start_s = monotonic()
        await sleep(SETTLED_S)
        end_s = monotonic()
        await sleep(OBJECTIVE_S)
        return fixture.tries_between(start_s, end_s)

    tries = fixture.run(settle())
    for ip in fixture.cut_gateways:
        sent = [each for each in tries if each.gateway == ip]
        assert served_share(sent) >= UNDISTURBED_SHARE, count_statuses(sent)
        own = [each for each in sent if each.sources == [ip]]
        assert len(own) >= UNDISTURBED_SHARE * len(sent), sent
