"""Steps for requests that are relayed, over real sockets."""

from asyncio import run
from asyncio import start_server
from random import Random
from time import monotonic

from behave import given
from behave import then
from behave import when
from tornado.httputil import HTTPHeaders

from features.steps.forwarding_steps import PlainDialect
from fuchsiacart.configurations import PathRoute
from fuchsiacart.configurations import RequestKind
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import RequestError
from fuchsiacart.exceptions import Run
from fuchsiacart.gateway.attempts import Attempts
from fuchsiacart.gateway.attempts import InboundRequest
from fuchsiacart.gateway.dialects import RequestMetadata
from fuchsiacart.gateway.gateway_selectors import GatewaySelector
from fuchsiacart.gateway.hop_headers import RELAYED_ID
from fuchsiacart.gateway.relays import Relay
from fuchsiacart.models import Host
from fuchsiacart.problems import problem_document
from fuchsiacart.problems import PROBLEM_TYPE
from fuchsiacart.settings import HostSettings

REQUEST_ID = 'request'
TIMEOUT_MS = 2000.0


async def refuse(reader, writer):
    """Refuse one request as an overloaded gateway does."""
    await reader.readuntil(b'\r\n\r\n')
    body = problem_document(RequestError('full', ErrorKind.OVERLOADED))
    lines = [
        'HTTP/1.1 503 Service Unavailable',
        f'Content-Type: {PROBLEM_TYPE}',
        f'{RELAYED_ID}: {REQUEST_ID}',
        f'Content-Length: {len(body)}',
        '',
        '',
    ]
    writer.write('\r\n'.join(lines).encode() + body)
    await writer.drain()
    writer.close()


def make_attempts():
    """Return the attempts of a request that may have run at a server."""
    request = InboundRequest(
        'GET',
        '/orders/',
        'shop.example',
        HTTPHeaders(),
        b'',
        RequestMetadata(REQUEST_ID, TIMEOUT_MS, ''),
        monotonic(),
        '127.0.0.1',
    )
    route = PathRoute(
        'orders',
        'shop.example',
        '/orders/',
        RequestKind.IDEMPOTENT,
        TIMEOUT_MS,
        TIMEOUT_MS,
        0,
        (),
        2,
    )
    return Attempts(request, route, 'orders', sent=1, may_have_run=True)


async def relay():
    """Relay a request to a gateway that refuses it; return the outcome."""
    server = await start_server(refuse, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    settings = HostSettings(
        name='isolated', region='cymru', failure_domain='cymru-a'
    )
    tested = Relay(GatewaySelector(settings, Random(1)), PlainDialect())
    address = f'127.0.0.1:{port}'
    tested.apply_view([Host('other', 1, 'cymru', 'cymru-a', address, address)])
    try:
        return await tested.make_attempt(make_attempts()), None
    except RequestError as error:
        return None, error
    finally:
        server.close()


@given('an isolated gateway and another one that refuses as overloaded')
def given_gateways(context):
    context.response, context.error = None, None


@when('an idempotent request that may have run at a server is relayed')
def when_relayed(context):
    context.response, context.error = run(relay())


@then('its caller gets no promise that it was not run')
def then_no_promise(context):
    if context.response is not None:
        assert context.response.status != 503, context.response.body
    if context.error is not None:
        assert context.error.run is Run.UNKNOWN, context.error
