"""Steps for the adapter to the users' platform."""

from collections import Counter

from behave import given
from behave import then
from behave import when
from msgspec.json import decode
from msgspec.json import encode
from tornado.httputil import HTTPHeaders

from fuchsiacart.configurations import apply_order
from fuchsiacart.configurations import Configuration
from fuchsiacart.configurations import find_validation_error
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.gateway.route_tables import TargetSplitter
from fuchsiacart.platform.calls import HTTP_UNAVAILABLE
from fuchsiacart.platform.calls import STATUSES
from fuchsiacart.platform.documents import read_put
from fuchsiacart.platform.documents import write_configuration
from fuchsiacart.platform.headers import PlatformDialect
from fuchsiacart.platform.heartbeats import read_heartbeat
from fuchsiacart.servers import ServerState


def configuration():
    """Return the document of a configuration as an operator sends it."""
    route = {
        'host': 'shop.example',
        'path_prefix': '/stock/',
        'kind': 'idempotent',
        'timeout_s': 0.8,
        'slo_s': 0.4,
        'priority': 0,
        'split': [
            {'service': 'stock', 'weight': 90},
            {'service': 'new', 'weight': 10},
        ],
        'max_attempts': 2,
        'sticky': True,
        'home_regions': [],
    }
    service = {
        'health_path': '/healthz',
        'max_conns': 330,
        'protocol': 'h1',
        'tls': False,
        'cold_start_s': 3.0,
        'cold_per_s': 5.0,
    }
    resources = [
        {'type': 'routes', 'metadata': {'name': 'r-1'}, 'spec': route},
        {'type': 'services', 'metadata': {'name': 'stock'}, 'spec': service},
        {'type': 'services', 'metadata': {'name': 'new'}, 'spec': service},
        {
            'type': 'limits',
            'metadata': {},
            'spec': {
                'max_header_bytes': 16384,
                'max_body_bytes': 1024,
                'header_timeout_s': 3,
                'idle_timeout_s': 15,
            },
        },
    ]
    return {'version': 'r7', 'base_version': 'r5', 'resources': resources}


def heartbeat():
    """Return the document of a heartbeat as an instance sends it."""
    return {
        'service': 'stock',
        'address': '10.0.0.1:80',
        'zone': 'cymru-a',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'cold_left_s': 1.5,
        'seq': 3,
        'born': 1_796_000_000_000,
    }


@given('a configuration as an operator puts it')
def given_configuration(context):
    context.document = configuration()
    context.body = None


@given('a heartbeat as an instance sends it')
def given_heartbeat(context):
    context.heartbeat_document = heartbeat()


@when('it is decoded, applied and encoded')
def when_written(context):
    """Decode the document, apply it and encode the result."""
    order = read_put(encode(context.document))
    context.configuration = apply_order(Configuration(), order)
    context.written = decode(write_configuration(context.configuration))


@when('it is cut short')
def when_truncated(context):
    """Cut the last 20 bytes off the document."""
    context.body = encode(context.document)[:-20]


@when('its version is no number')
def when_version(context):
    context.document['version'] = 'rx'


@when('a timeout is text')
def when_timeout(context):
    context.document['resources'][0]['spec']['timeout_s'] = 'soon'


@when("a route's kind is not known")
def when_kind(context):
    context.document['resources'][0]['spec']['kind'] = 'sometimes'


@when('a route has no host')
def when_host(context):
    del context.document['resources'][0]['spec']['host']


@when('a route names the service {service} beside its split')
def when_service_beside(context, service):
    resources = context.document['resources']
    resources[0]['spec']['service'] = service
    spare = {'type': 'services', 'metadata': {'name': 'spare'}}
    resources.append(spare | {'spec': resources[1]['spec']})
    order = read_put(encode(context.document))
    context.configuration = apply_order(Configuration(), order)
    context.error = find_validation_error(context.configuration)


@then("the configuration is valid")
def then_accepted(context):
    assert context.error is None, context.error


@then('the configuration is refused for its service')
def then_unknown(context):
    assert context.error == 'route r-1: service missing is not known'


@then('the service gets none of the requests of the route beside its share')
def then_shares_kept(context):
    splitter = TargetSplitter()
    route = context.configuration.routes[0]
    chosen = Counter(splitter.choose(route) for _ in range(100))
    assert chosen == {'stock': 90, 'new': 10}, chosen


@when('a route has an unknown field')
def when_field_added(context):
    context.document['resources'][0]['spec']['colour'] = 'red'


@when('the instance sends {value} as its {field}')
def when_field(context, field, value):
    context.heartbeat_document[field] = decode(value)


@when('a server answers {status:d} with {headers}')
def when_answer(context, status, headers):
    name, _, value = headers.partition(': ')
    context.metadata = PlatformDialect().read_response(
        status, HTTPHeaders({name: value})
    )


@when('a request arrives with a deadline of 2000 ms and the affinity 17')
def when_request(context):
    """Read a request's headers and write those for the server."""
    headers = HTTPHeaders(
        {
            'X-Attempt-Id': '9c41d07be2a35f68',
            'X-Deadline-Ms': '2000',
            'Cookie': 'other=1; X-Affinity-Key=17',
        }
    )
    dialect = PlatformDialect()
    context.metadata = dialect.read_request(headers)
    dialect.write_metadata(headers, 'i-1', 1234.5)
    context.headers = headers


@then('the resources are those that were put')
def then_same(context):
    assert context.written['version'] == 'r7'
    assert context.written['resources'] == context.document['resources']


@then('its times are in milliseconds and its split has two targets')
def then_decoded(context):
    """Check the first route."""
    route = context.configuration.routes[0]
    assert (route.timeout_ms, route.objective_ms) == (800.0, 400.0), route
    assert [target.weight for target in route.targets] == [90, 10], route


@then('it is refused as malformed before it reaches the state')
def then_malformed(context):
    """Check that the document is refused as a bad request."""
    try:
        read_put(context.body or encode(context.document))
    except ChangeError as error:
        assert error.kind is ErrorKind.BAD_REQUEST, error
        return
    raise AssertionError('a malformed document was decoded')


@then('it is decoded')
def then_is_decoded(context):
    assert read_put(encode(context.document)).version == 7


@then('it names a ready server that is cold for {cold_ms:d} ms')
def then_server(context, cold_ms):
    record = read_heartbeat('i-1', encode(context.heartbeat_document))
    assert record.state is ServerState.READY, record
    assert record.cold_ms == cold_ms, record
    assert record.failure_domain == 'cymru-a', record


@then('it is refused as malformed')
def then_refused(context):
    """Check the last outcome, if the scenario has one, or the heartbeat."""
    if hasattr(context, 'outcomes'):
        assert context.outcomes[-1].error is ErrorKind.BAD_REQUEST
        return
    try:
        read_heartbeat('i-1', encode(context.heartbeat_document))
    except ChangeError as error:
        assert error.kind is ErrorKind.BAD_REQUEST, error
        return
    raise AssertionError('a malformed document was decoded')


CHECKS_BY_MEANING = {
    'its own': lambda metadata: metadata.is_authentic and not metadata.not_run,
    'not its own': lambda metadata: not metadata.is_authentic,
    'not run': lambda metadata: metadata.not_run
    and not metadata.is_misdirected,
    'misdirected': lambda metadata: metadata.not_run
    and metadata.is_misdirected,
    'run': lambda metadata: not metadata.not_run,
    '3 running of 4': lambda metadata: metadata.load.running == 3
    and metadata.load.slots == 4
    and metadata.load.slowdown == 1.0,
    '3 running of 4, half as long again': lambda metadata: (
        metadata.load.running == 3
        and metadata.load.slots == 4
        and metadata.load.slowdown == 1.5
    ),
    'no load': lambda metadata: metadata.load is None,
}


@then('its answer is read as {meaning}')
def then_meaning(context, meaning):
    assert CHECKS_BY_MEANING[meaning](context.metadata), context.metadata


@then('its metadata is read')
def then_metadata(context):
    metadata = context.metadata
    assert metadata.request_id == '9c41d07be2a35f68', metadata
    assert metadata.deadline_ms == 2000.0, metadata
    assert metadata.object_key == '17', metadata


@then('the server gets its own name and the remaining time')
def then_headers_written(context):
    assert context.headers['X-Expect-Instance'] == 'i-1'
    assert context.headers['X-Deadline-Ms'] == '1234'


@then('a conflict is answered 412, a malformed call 400 and all others 503')
def then_statuses(context):
    """Check the status of each error kind."""
    answered = {
        kind: STATUSES.get(kind, HTTP_UNAVAILABLE) for kind in ErrorKind
    }
    assert answered.pop(ErrorKind.CONFLICT) == 412
    assert answered.pop(ErrorKind.BAD_REQUEST) == 400
    assert set(answered.values()) == {503}
