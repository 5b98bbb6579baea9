"""Steps for numbers that have the largest values that are valid."""

from asyncio import IncompleteReadError
from asyncio import open_connection
from asyncio import start_server
from copy import deepcopy
from unittest.mock import Mock

from behave import given
from behave import then
from behave import when
from msgspec.inspect import FloatType
from msgspec.inspect import IntType
from msgspec.inspect import type_info
from msgspec.inspect import UnionType
from msgspec.json import encode
from msgspec.msgpack import decode as decode_packed
from msgspec.msgpack import encode as encode_packed
from msgspec.structs import replace

from features.steps.cut_answer_steps import CutFixture
from features.steps.platform_steps import configuration
from features.steps.platform_steps import heartbeat
from fuchsiacart.bounds import MAX_AMOUNT
from fuchsiacart.bounds import MAX_INTEGER
from fuchsiacart.clocks import steady_ms
from fuchsiacart.configurations import ConfigurationOrder
from fuchsiacart.control.route_states import RouteState
from fuchsiacart.gateway.hop_headers import format_start
from fuchsiacart.gateway.hop_headers import parse_start
from fuchsiacart.gateway.hop_headers import parse_version
from fuchsiacart.platform.documents import LimitsSpec
from fuchsiacart.platform.documents import read_put
from fuchsiacart.platform.documents import RouteSpec
from fuchsiacart.platform.documents import ServiceSpec
from fuchsiacart.platform.documents import Split
from fuchsiacart.platform.documents import TenantSpec
from fuchsiacart.platform.edge import PlatformEdge
from fuchsiacart.platform.headers import PlatformDialect
from fuchsiacart.platform.heartbeats import Heartbeat
from fuchsiacart.platform.heartbeats import read_heartbeat
from fuchsiacart.servers import ServerRecord
from fuchsiacart.servers import ServerStart
from standins.ports import LOOPBACK
from standins.ports import PortReservations

TENANT = {
    'type': 'tenants',
    'metadata': {'name': 'anna'},
    'spec': {'rate_per_s': 448, 'burst': 448, 'priority': 0},
}
SPECS = {
    'routes': RouteSpec,
    'services': ServiceSpec,
    'tenants': TenantSpec,
    'limits': LimitsSpec,
}
# The largest timeout that is valid, and the largest objective beside 2 s.
PAGE_LIMITS = {'timeout_s': 600, 'slo_s': 61.9}
HEAD = (
    'POST /stock/7 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a-{0}\r\n'
)
LENGTH = 'Content-Length: 4\r\n\r\nbody'
CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n'
REQUESTS = (
    HEAD + LENGTH,
    HEAD + CHUNKED + '\r\n',
    HEAD + CHUNKED.replace('4\r\n', '4;a=b\r\n') + 'x-sum: 1\r\n\r\n',
)


class StampingServer:
    """Answers each request as an instance does.

    :param status: the status.
    :param lines: further header lines of each answer.
    """

    def __init__(self, status='200 OK', lines=()):
        self._status = status
        self._lines = lines
        self._server = None

    async def start(self):
        """Listen on a free port and return the address."""
        self._server = await start_server(self._serve, '127.0.0.1', 0)
        return '127.0.0.1:%d' % self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                fields = dict(
                    line.lower().split(': ', 1)
                    for line in head.split('\r\n')[1:-2]
                )
                await reader.readexactly(int(fields['content-length']))
                lines = (
                    f'HTTP/1.1 {self._status}',
                    f'X-Attempt-Id: {fields["x-attempt-id"]}',
                    'X-Server-Stamp: 1',
                    *self._lines,
                    'Content-Length: 2',
                )
                answer = ''.join(f'{line}\r\n' for line in lines)
                writer.write(f'{answer}\r\nok'.encode())
        except (ConnectionError, IncompleteReadError):
            return
        finally:
            writer.close()


class LargestFixture(CutFixture):
    """A gateway with the platform's edge, and an instance behind it."""

    dialect = PlatformDialect

    @staticmethod
    def make_server(form):
        """Return a server that answers each request."""
        return StampingServer()

    def __init__(self):
        super().__init__('')
        self.asked = 0
        self.records = []
        self.document = configuration()
        self.route = self.document['resources'][0]['spec']
        self.route['timeout_s'] = 2.0
        # Both parts of the split lead to the same instance.
        self.route['split'][1]['service'] = 'stock'
        self.apply_limits = None
        self.run(self._open_edge())
        for name, address in self.addresses.items():
            self.add(name, address)

    async def _open_edge(self):
        """Let the edge of the platform apply the limits."""
        ports = PortReservations()
        addresses = [f'{LOOPBACK}:{ports.reserve()}' for _ in range(2)]
        settings = Mock()
        settings.routes.caller_address = addresses[0]
        settings.routes.ready_address = addresses[1]
        gateway = Mock(
            caller_server=self.callers, connections=self.callers.connections
        )
        self.edge = PlatformEdge(settings)
        await self.edge.open_gateway(gateway)
        (self.apply_limits,) = gateway.on_limits.call_args.args
        ports.release()

    def close(self):
        """Close the edge, too."""
        self.run(self.edge.close())
        super().close()

    def add(self, name, address, service='stock'):
        """Register a server."""
        self.records.append(
            ServerRecord(name, 1, 1, service, address, 'cymru-a', 64)
        )

    def put(self, document):
        """Apply a configuration, as the control group and a gateway do.

        :return: why it is invalid, or None.
        """
        order = read_put(encode(document))
        if order.version != MAX_INTEGER:
            # A gateway acts on a version once.
            self.version += 1
            order = replace(order, version=self.version)
        state = RouteState()
        error = state.find_order_error(order)
        if error:
            return error
        packed = decode_packed(encode_packed(order), type=ConfigurationOrder)
        assert packed == order, (packed, order)
        state.change_configuration(packed)
        stored = decode_packed(encode_packed(state), type=RouteState)
        assert stored == state, (stored, state)
        for record in self.records:
            stored.record_server(record)
        self.forwarder.apply_view(_make_view(stored), 1)
        self.apply_limits(stored.configuration.limits)
        return None

    async def send(self, text):
        """Send a request and return the status of its answer."""
        reader, writer = await open_connection(*self.address)
        writer.write(text.encode())
        try:
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
        except IncompleteReadError:
            return None
        finally:
            writer.close()
        return int(head.split()[1])

    def ask_all(self):
        """Send each kind of request and return the statuses."""
        statuses = []
        for text in REQUESTS:
            self.asked += 1
            statuses.append(self.run(self.send(text.format(self.asked))))
        return statuses


def _make_view(state):
    """Return the view that a gateway has of a state."""
    view = RouteState()
    view.configuration = state.configuration
    view.servers = state.servers
    return view


def largest_of(kind):
    """Return the largest valid value of each number of a type.

    :param kind: the class that decodes it.
    """
    found = {}
    for field in type_info(kind).fields:
        options = (field.type,)
        if isinstance(field.type, UnionType):
            options = field.type.types
        for option in options:
            if isinstance(option, IntType | FloatType):
                found[field.encode_name] = option.le
    assert None not in found.values(), found
    return found


def make_changes(document):
    """Return the documents in each of which one number is the largest."""
    documents, everything = {}, deepcopy(document)
    for position, resource in enumerate(document['resources']):
        spec_type = SPECS[resource['type']]
        largest = largest_of(spec_type) | {
            name: limit
            for name, limit in PAGE_LIMITS.items()
            if name in largest_of(spec_type)
        }
        for name, value in largest.items():
            changed = deepcopy(document)
            for each in (changed, everything):
                each['resources'][position]['spec'][name] = value
            documents[f'{resource["type"]} {position} {name}'] = changed
    for position in range(2):
        changed = deepcopy(document)
        for each in (changed, everything):
            split = each['resources'][0]['spec']['split']
            split[position]['weight'] = largest_of(Split)['weight']
        documents[f'weight {position}'] = changed
    changed = deepcopy(document)
    for each in (changed, everything):
        each['version'] = f'r{MAX_INTEGER}'
    documents['version'] = changed
    documents['all'] = everything
    return documents


@given('a gateway of the platform before a backend server')
def given_gateway(context):
    context.largest = LargestFixture()
    context.resources.callback(context.largest.close)
    assert context.largest.put(context.largest.document) is None


@given('another instance refuses each request that may run once with "{line}"')
def given_refusing(context, line):
    fixture = context.largest
    refusing = StampingServer('503 Full', ('X-Not-Run: 1', line))
    fixture.route['kind'] = 'non_idempotent'
    fixture.add('refusing', fixture.run(refusing.start()))
    context.resources.callback(refusing.stop)
    assert fixture.put(fixture.document) is None


@when(
    'each number of a configuration in turn, and then all, have their largest'
    ' valid value'
)
def when_largest(context):
    fixture = context.largest
    document = fixture.document
    document['resources'].append(deepcopy(TENANT))
    fixture.route['public'] = True
    fixture.route['split'][1]['service'] = 'new'
    second = StampingServer()
    context.resources.callback(second.stop)
    fixture.add('new', fixture.run(second.start()), 'new')
    context.outcomes = {}
    for name, changed in make_changes(document).items():
        error = fixture.put(changed)
        context.outcomes[name] = error, fixture.ask_all()


@when('the limit of heads is {limit:d} bytes')
def when_limit(context, limit):
    fixture = context.largest
    limits = fixture.document['resources'][-1]['spec']
    limits['max_header_bytes'] = limit
    assert fixture.put(fixture.document) is None


@when(
    'its server sends a heartbeat in which all numbers have their largest'
    ' valid value'
)
def when_heartbeat(context):
    fixture = context.largest
    document = heartbeat() | largest_of(Heartbeat)
    document['address'] = fixture.addresses['cutting']
    context.record = read_heartbeat('i-1', encode(document))
    fixture.records = [context.record]
    assert fixture.put(fixture.document) is None


@then(
    'the configuration is valid each time, and the same after it is written'
    ' and read'
)
def then_valid(context):
    errors = {name: each[0] for name, each in context.outcomes.items()}
    assert len(errors) > 20 and not any(errors.values()), errors


@then(
    'each time requests with a length, with chunks and with trailers are'
    ' served'
)
def then_served(context):
    failed = {
        name: statuses
        for name, (_, statuses) in context.outcomes.items()
        if statuses != [200] * len(REQUESTS)
    }
    assert not failed, failed


@then('a head of {size:d} bytes gets {status:d}')
def then_head(context, size, status):
    head = HEAD.format(1) + 'Content-Length: 0\r\nX-Rest: {}\r\n\r\n'
    text = head.format('x' * (size - len(head.format(''))))
    assert len(text) == size
    fixture = context.largest
    found = fixture.run(fixture.send(text))
    assert found == status, found


@then('each of {count:d} such requests is served')
def then_each_served(context, count):
    fixture = context.largest
    statuses = []
    for _ in range(count):
        statuses += fixture.ask_all()
    assert set(statuses) == {200}, statuses


@then('a request with "{line}" gets {status:d}')
def then_request(context, line, status):
    fixture = context.largest
    rest = '' if line.startswith('Content-Length') else LENGTH
    text = f'{HEAD.format(1)}{line}\r\n{rest or chr(13) + chr(10)}'
    found = fixture.run(fixture.send(text))
    assert found == status, found


@then('each start and version up to the largest is read as it was written')
def then_hop_headers(context):
    for digits in range(64):
        number = 2**digits - 1
        start = ServerStart('i-1', number)
        assert parse_start(format_start(start)) == start, number
        assert parse_version(str(number)) == number, number
    assert parse_start(f'{MAX_INTEGER + 1} i-1') is None
    assert parse_version(str(MAX_INTEGER + 1)) == 0


@then('the heartbeat is the same after it is written and read')
def then_same(context):
    record = context.record
    packed = encode_packed(record)
    assert decode_packed(packed, type=ServerRecord) == record, record
    assert record.born_ms == MAX_INTEGER, record


@then(
    'requests with a length, with chunks and with trailers are served once it'
    ' is warm'
)
def then_served_warm(context):
    fixture = context.largest
    (server,) = fixture.forwarder.selector.servers.values()
    assert server.cold_until_ms >= steady_ms() + MAX_AMOUNT, server
    server.cold_until_ms = 0.0
    assert fixture.ask_all() == [200] * len(REQUESTS)
