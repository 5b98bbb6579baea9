"""Steps for configurations that hold accounts."""

from time import monotonic

from behave import given
from behave import then
from behave import when
from msgspec.json import decode
from msgspec.json import encode
from msgspec.msgpack import encode as encode_packed

from features.steps.platform_steps import configuration
from fuchsiacart.accounts import AccountTable
from fuchsiacart.accounts import digest_key
from fuchsiacart.configurations import ItemId
from fuchsiacart.configurations import RequestKind
from fuchsiacart.control.commands import ChangeConfiguration
from fuchsiacart.control.route_states import RouteState
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.platform.documents import read_patch
from fuchsiacart.platform.documents import read_put
from fuchsiacart.platform.documents import write_configuration
from tools.compatibility import lay_out_build
from tools.compatibility import run_samples

LAST_WITHOUT_ACCOUNTS = 'b2f1ab7'
KEYS = {'anna': 'a-secret', 'berta': 'b-secret'}


def tenant(name, key):
    """Return a tenant as an operator sends it."""
    return {
        'type': 'tenants',
        'metadata': {'name': name},
        'spec': {
            'api_keys': [key],
            'priority': 0,
            'rate_per_s': 448,
            'burst': 448,
            'home_regions': [],
        },
    }


def apply_to(state, order):
    """Apply an order as the control group does.

    :return: the delta.
    :raises ChangeError: if the order is invalid.
    """
    error = state.find_order_error(order)
    if error:
        raise ChangeError(error, ErrorKind.BAD_REQUEST)
    return state.change_configuration(order)


def patch(context, **changes):
    """Apply a change of the configuration."""
    document = {'version': 'r9', 'base_version': 'r7'} | changes
    order = read_patch(encode(document))
    context.delta = apply_to(context.state, order)


def accounts_of(context):
    """Return the accounts in force."""
    return AccountTable(context.state.configuration.accounts)


@given('a configuration with the tenants anna and berta and a download')
def given_tenants(context):
    context.document = configuration()
    resources = context.document['resources']
    resources[0]['spec'] |= {'kind': 'download', 'public': False}
    resources += [tenant(name, key) for name, key in KEYS.items()]
    context.state = RouteState()


@when('anna has {field} {value}')
def when_changed(context, field, value):
    anna = context.document['resources'][-2]
    part = anna['metadata'] if field == 'name' else anna['spec']
    part[field] = decode(value.encode())


@when('an operator puts it')
def when_put(context):
    context.error = None
    try:
        order = read_put(encode(context.document))
        context.delta = apply_to(context.state, order)
    except ChangeError as error:
        context.error = error


@when('an operator moves the key of berta to anna')
def when_moved(context):
    anna = tenant('anna', KEYS['berta'])
    berta = tenant('berta', 'a-new-secret')
    patch(context, upsert={'resources': [anna, berta]})


@when('an operator removes berta')
def when_removed(context):
    patch(context, delete={'tenants': ['berta']})


@then('it is accepted, and read back as it was sent')
def then_accepted(context):
    assert context.error is None, context.error
    document = decode(write_configuration(context.state.configuration))
    assert document['resources'] == context.document['resources'], document


@then('requests of the download may run again')
def then_idempotent(context):
    (route,) = context.state.configuration.routes
    assert route.kind is RequestKind.DOWNLOAD and route.is_idempotent, route


@then('it is refused as malformed, with {told} in the error and no key')
def then_malformed(context, told):
    error = context.error
    assert error is not None and error.kind is ErrorKind.BAD_REQUEST, error
    assert told in error.detail, error.detail
    for key in (*KEYS.values(), 'a-key', 'two words'):
        assert key not in error.detail.replace('tenants two words', '')


@then('the change is accepted')
def then_moved(context):
    account = accounts_of(context).find(digest_key(KEYS['berta']))
    assert account.name == 'anna', account


@then('the change is accepted, and no account holds the key of berta')
def then_removed(context):
    table = accounts_of(context)
    assert table.find(digest_key(KEYS['berta'])) is None
    assert table.find(digest_key(KEYS['anna'])).name == 'anna'


@then('neither the view of a gateway nor the change holds a key')
def then_no_keys(context):
    context.view = encode_packed(context.state.snapshot())
    for part in (context.view, encode_packed(context.delta)):
        assert not any(key.encode() in part for key in KEYS.values()), part


@then('the view has a digest of each key')
def then_digests(context):
    for key in KEYS.values():
        assert digest_key(key).encode() in context.view


@given('b2f1ab7 and an order with an account or a download')
def given_production(context):
    given_tenants(context)
    order = read_put(encode(context.document))
    context.commands = {}
    for item in order.items:
        if item.id in (ItemId('tenants', 'anna'), ItemId('routes', 'r-1')):
            own = type(order)(7, 5, '', True, (item,))
            body = encode_packed(ChangeConfiguration(own, 1))
            context.commands[item.id.kind] = body.hex()


@then('b2f1ab7 refuses each, and this build reads it')
def then_refused(context):
    assert set(context.commands) == {'tenants', 'routes'}
    written = {'command': context.commands}
    for commit, count in ((LAST_WITHOUT_ACCOUNTS, 2), ('', 0)):
        errors = run_samples(lay_out_build(commit), 'read', written)
        assert len(errors) == count, (commit, errors)


@when('the operator puts a configuration with tenants')
def when_configured(context):
    fixture = context.platform
    body = fixture.configuration(['/stock/'])
    body['resources'] += [tenant(name, key) for name, key in KEYS.items()]
    reply = fixture.run(fixture.control('PUT', '/api/config', body))
    assert reply is not None and reply.code == 200, reply


@when('the operator takes the key away')
def when_revoked(context):
    fixture = context.platform
    fixture.body['resources'][-2]['spec']['api_keys'] = []
    base, fixture.version = fixture.version, fixture.version + 3
    fixture.body |= {
        'version': f'r{fixture.version}',
        'base_version': f'r{base}',
    }
    reply = fixture.run(fixture.control('PUT', '/api/config', fixture.body))
    assert reply is not None and reply.code == 200, reply


def send(fixture, ip, key=''):
    """Send a request with a key and the name of another tenant."""
    headers = {
        'Host': 'shop.example',
        'X-Attempt-Id': f'request-{ip}-{monotonic()}',
        'X-Deadline-Ms': '3000',
        'X-Tenant': 'berta',
    }
    if key:
        headers['Authorization'] = f'Bearer {key}'
    url = f'http://{ip}:{fixture.ports["caller"]}/stock/1'
    return fixture.fetch('GET', url, headers=headers)


def wait_for_status(fixture, key, status):
    """Wait until each gateway answers a key with a status.

    :return: the bodies of the answers.
    """
    bodies = []

    async def is_answered(ip):
        reply = await send(fixture, ip, key)
        if reply is None or reply.code != status:
            return False
        bodies.append(reply.body.decode())
        return True

    for ip in fixture.gateways:
        fixture.run(fixture.wait_until(lambda ip=ip: is_answered(ip)))
    return bodies


@then(
    'a request with a key is served by each gateway under the name of'
    ' its tenant'
)
def then_served(context):
    fixture = context.platform
    wait_for_status(fixture, KEYS['anna'], 200)
    heads = [headers for each in fixture.instances for headers in each.headers]
    assert len(heads) >= 2, heads
    for headers in heads:
        assert headers.get_list('X-Tenant') == ['anna'], headers
        assert 'Authorization' not in headers, headers


@then(
    'a request without a key or with another one is answered 401'
    ' by each gateway'
)
def then_unknown(context):
    for key in ('', 'another'):
        wait_for_status(context.platform, key, 401)


@then('a request with that key is answered 401 by each gateway')
def then_revoked(context):
    wait_for_status(context.platform, KEYS['anna'], 401)


@then('no process has logged a key')
def then_not_logged(context):
    logs = list(context.platform.folder.glob('*.log'))
    assert len(logs) == 5, logs
    for log in logs:
        text = log.read_text()
        assert text and not any(key in text for key in KEYS.values()), log
