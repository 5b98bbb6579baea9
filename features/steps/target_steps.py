"""Steps for the targets of requests that entry hosts read."""

from asyncio import new_event_loop
from asyncio import open_connection
from asyncio import wait_for

from behave import given
from behave import then
from behave import when
from msgspec.json import decode
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from fuchsiacart.entry.callers import RequestsHandler
from fuchsiacart.messages import ForwardReply

WAIT_TIMEOUT_S = 10.0


class RecordingEntry:
    """An entry host that answers each request and keeps its path."""

    def __init__(self):
        self.paths = []

    async def handle(self, request):
        """Answer a request."""
        self.paths.append(request.path)
        return ForwardReply(status=200)

    def rank_label(self, request):
        """Return the label of a request without a contract."""
        return 'none'


@given('an entry host that answers each request')
def given_entry(context):
    context.loop = new_event_loop()
    context.entry = RecordingEntry()
    routes = [('/s/([^/]+)(/.*)', RequestsHandler, {'entry': context.entry})]

    async def listen():
        context.server = HTTPServer(Application(routes))
        sockets = bind_sockets(0, '127.0.0.1')
        context.server.add_sockets(sockets)
        return sockets[0].getsockname()

    context.address = context.loop.run_until_complete(listen())
    context.resources.callback(context.loop.close)
    context.resources.callback(context.server.stop)


@when('a caller asks the entry host for a path with the bytes {text}')
def when_asked(context, text):
    async def ask():
        reader, writer = await open_connection(*context.address)
        path = b'/s/orders/' + bytes.fromhex(text)
        writer.write(
            b'GET %b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n' % path
        )
        answer = await reader.read()
        writer.close()
        return answer

    context.answer = context.loop.run_until_complete(
        wait_for(ask(), WAIT_TIMEOUT_S)
    )


@then('it is refused as malformed with a problem, and reaches no server')
def then_refused(context):
    head, _, body = context.answer.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 400 '), head
    assert decode(body)['kind'] == 'bad_request', body
    assert not context.entry.paths, context.entry.paths


@then('it is served with the path {path}')
def then_served(context, path):
    assert context.answer.startswith(b'HTTP/1.1 200 '), context.answer
    assert context.entry.paths == [path], context.entry.paths
