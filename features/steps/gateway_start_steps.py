"""Steps for the first view of a gateway, without a network."""

from asyncio import create_task
from asyncio import new_event_loop
from asyncio import run
from asyncio import sleep
from time import monotonic

from behave import given
from behave import then
from behave import when
from tornado.httputil import HTTPHeaders

from features.steps.forwarding_steps import PlainDialect
from fuchsiacart.adapters import Method
from fuchsiacart.adapters import PeerAdapter
from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.clocks import steady_ms
from fuchsiacart.configurations import Configuration
from fuchsiacart.configurations import ConfigurationOrder
from fuchsiacart.configurations import Item
from fuchsiacart.configurations import ItemId
from fuchsiacart.configurations import PathRoute
from fuchsiacart.configurations import RequestKind
from fuchsiacart.configurations import RouteTarget
from fuchsiacart.configurations import ServiceTerms
from fuchsiacart.control.pulls import pack_view
from fuchsiacart.control.route_states import ConfigurationChanged
from fuchsiacart.control.route_states import RouteSnapshot
from fuchsiacart.control.route_states import ServerGone
from fuchsiacart.control.states import Delta
from fuchsiacart.control.states import ViewSnapshot
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import RequestError
from fuchsiacart.exceptions import Run
from fuchsiacart.exceptions import TransportError
from fuchsiacart.gateway.attempts import InboundRequest
from fuchsiacart.gateway.dialects import RequestMetadata
from fuchsiacart.gateway.hosts import GatewayHost
from fuchsiacart.host_tasks import ViewReplicator
from fuchsiacart.messages import KeepAliveReply
from fuchsiacart.messages import PullReply
from fuchsiacart.servers import ServerRecord
from fuchsiacart.settings import Settings

LEASE_MS = 3000
LEFT = 'server-0'
KEPT = 'server-1'


class ScriptedAdapter(PeerAdapter):
    """Answers each call with the reply set for its method, or not at all."""

    def __init__(self):
        self.replies = {}

    async def call(self, address, method, message, timeout_s):
        """See :meth:`PeerAdapter.call`."""
        reply = self.replies.get(method)
        if reply is None:
            raise TransportError(address, run=Run.NO)
        return reply

    async def close(self):
        """Nothing to close."""


class GatewayStartFixture:
    """A gateway host and the answers of its control hosts."""

    def __init__(self):
        self.loop = new_event_loop()
        self.adapter = ScriptedAdapter()
        settings = Settings.model_validate(
            {
                'role': 'gateway',
                'host': {
                    'name': 'gateway',
                    'region': 'cymru',
                    'failure_domain': 'cymru-a',
                },
                'tokens': {
                    'operator_sha256': '0' * 64,
                    'backend_sha256': '0' * 64,
                    'peer': 'x' * 16,
                },
                'control_hosts': [
                    {'name': 'control', 'peer_address': '127.0.0.1:1'}
                ],
                'routes': {'regions': {'cymru-a': 'cymru'}},
            }
        )
        self.gateway = self.run(self._make_gateway(settings))
        self.gateway.start('127.0.0.1:2', '127.0.0.1:3')

    async def _make_gateway(self, settings):
        return GatewayHost(settings, self.adapter, PlainDialect())

    def run(self, coroutine):
        """Run a coroutine to completion."""
        return self.loop.run_until_complete(coroutine)

    def pull(self, reply):
        """Let the gateway pull a reply."""
        self.adapter.replies[Method.PULL] = reply
        self.run(self.gateway._views._pull('127.0.0.1:1'))

    def renew(self):
        """Let the gateway renew its lease once."""
        self.run(self.gateway._lease.renew())

    def used(self):
        """Return the names of the servers that the gateway may use."""
        return set(self.gateway.forwarder.selector.servers)


@given('a gateway that starts while its first control host is behind')
def step_gateway(context):
    context.start = GatewayStartFixture()
    context.resources.callback(context.start.loop.close)


@when(
    'it has pulled a view of revision {revision:d} '
    'with a server that left at revision 9'
)
def step_old_view(context, revision):
    terms = ServiceTerms('stock', '/', 100, 0.0, 0.0)
    item = Item(ItemId('services', 'stock'), terms, b'')
    servers = tuple(
        ServerRecord(name, 1, 1, 'stock', name, 'cymru-a', 4)
        for name in (LEFT, KEPT)
    )
    routes = RouteSnapshot(Configuration(1, (item,)), (), servers)
    snapshot = ViewSnapshot(revision, (), (), (), (), routes)
    context.start.pull(PullReply(packed_view=pack_view(snapshot)))


@when('the leader grants its lease at revision {revision:d}')
def step_lease(context, revision):
    context.start.adapter.replies[Method.KEEP_ALIVE] = KeepAliveReply(
        LEASE_MS, revision
    )
    context.start.renew()


@when('the leader grants a lease of {lease_ms:d} ms at revision {revision:d}')
def step_short_lease(context, lease_ms, revision):
    reply = KeepAliveReply(lease_ms, revision)
    context.start.adapter.replies[Method.KEEP_ALIVE] = reply
    context.start.renew()


@when('a request with {left_ms:d} ms left arrives')
def step_request(context, left_ms):
    fixture = context.start
    metadata = RequestMetadata('request', left_ms, 'object')
    request = InboundRequest(
        'GET',
        '/none/',
        'none.example',
        HTTPHeaders(),
        b'',
        metadata,
        monotonic(),
    )
    context.left_s = left_ms / 1000
    context.sent_s = monotonic()
    serving = fixture.gateway.forwarder.serve(request)
    context.request = fixture.loop.create_task(serving)
    fixture.run(sleep(0.01))


@then('the request is handled by the view')
def step_handled(context):
    error = _request_error(context)
    assert error.kind is ErrorKind.NOT_FOUND, error


@then('it is refused within {limit_ms:d} ms')
def step_refused_soon(context, limit_ms):
    error = _request_error(context)
    assert error.run is Run.NO, error
    taken_s = monotonic() - context.sent_s
    assert taken_s < limit_ms / MILLISECONDS, taken_s


@then(
    'it is refused as not run after a third of that, and told when to return'
)
def step_refused(context):
    error = _request_error(context)
    assert error.kind is ErrorKind.STALE and error.run is Run.NO, error
    assert error.retry_after_ms > 0
    taken_s = monotonic() - context.sent_s
    assert context.left_s * 0.3 < taken_s < context.left_s, taken_s


def _request_error(context):
    try:
        context.start.run(context.request)
    except RequestError as error:
        return error
    raise AssertionError('the request was answered')


@when('the leader no longer answers')
def step_no_leader(context):
    context.start.adapter.replies[Method.KEEP_ALIVE] = None
    context.start.renew()


@when('it has pulled the changes up to revision 9')
def step_changes(context):
    deltas = tuple(
        Delta(revision, ServerGone(LEFT)) for revision in range(6, 10)
    )
    context.start.pull(PullReply(deltas))


@when('its lease runs out')
def step_lease_over(context):
    until_ms = context.start.gateway._lease.until_ms
    context.start.run(sleep((until_ms - steady_ms()) / MILLISECONDS))


@when(
    'it has pulled the changes up to revision 9, '
    'the last of which adds its route'
)
def step_changes_with_route(context):
    route = PathRoute(
        'new',
        'none.example',
        '/none/',
        RequestKind.IDEMPOTENT,
        5000.0,
        1000.0,
        0,
        (RouteTarget('stock'),),
        1,
    )
    item = Item(ItemId('routes', 'new'), route, b'')
    order = ConfigurationOrder(2, 1, '', False, (item,))
    bodies = [ServerGone(LEFT)] * 3 + [ConfigurationChanged(order)]
    deltas = tuple(map(Delta, range(6, 10), bodies))
    context.start.pull(PullReply(deltas))


@then('the request is not denied')
def step_not_denied(context):
    error = _request_error(context)
    assert error.kind is ErrorKind.OVERLOADED, error


@then('it is refused as not run and told when to return')
def step_refused_with_time(context):
    error = _request_error(context)
    assert error.kind is ErrorKind.STALE and error.run is Run.NO, error
    assert error.retry_after_ms > 0


@then('it is not ready and uses no server')
def step_not_ready(context):
    assert not context.start.gateway.is_ready
    assert not context.start.used(), context.start.used()


@then('it is ready and uses the other server only')
def step_ready(context):
    assert context.start.gateway.is_ready
    assert context.start.used() == {KEPT}, context.start.used()


@then('it is ready and uses both servers')
def step_ready_both(context):
    assert context.start.gateway.is_ready
    assert context.start.used() == {KEPT, LEFT}, context.start.used()


class SlowAdapter(PeerAdapter):
    """Answers pulls after a given time, unless the caller waits less."""

    def __init__(self):
        self.reply_s = 0.0
        self.pulls = 0

    async def call(self, address, method, message, timeout_s):
        """See :meth:`PeerAdapter.call`."""
        self.pulls += 1
        await sleep(0.01)
        if timeout_s < self.reply_s:
            raise TransportError(address)
        return PullReply(
            packed_view=pack_view(ViewSnapshot(5, (), (), (), ()))
        )

    async def close(self):
        """Nothing to close."""


@given('a host that follows {count:d} parents')
def step_follower(context, count):
    context.slow = SlowAdapter()
    context.parents = [f'parent-{index}' for index in range(count)]


@when('each reply takes {reply_ms:d} ms')
def step_slow_replies(context, reply_ms):
    context.slow.reply_s = reply_ms / 1000


@then('it has its first view after {most:d} pulls at most')
def step_first_view(context, most):
    async def pull_until_view():
        views = ViewReplicator(context.slow, context.parents)
        task = create_task(views.run(lambda: 0))
        while not views.replicated_state.revision:
            assert context.slow.pulls <= most, context.slow.pulls
            assert not task.done(), task
            await sleep(0.01)
        task.cancel()

    run(pull_until_view())
    assert context.slow.pulls <= most, context.slow.pulls
