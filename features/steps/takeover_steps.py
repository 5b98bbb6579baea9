"""Steps for a backend server whose owner changes."""

from asyncio import run

from behave import given
from behave import then
from behave import when

from fuchsiacart.clocks import steady_ms
from fuchsiacart.entry.announcements import Registrar
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import RequestError
from fuchsiacart.exceptions import TransportError
from fuchsiacart.messages import AnnounceRequest
from fuchsiacart.messages import ReleaseReply
from fuchsiacart.models import BackendServer
from fuchsiacart.models import Host
from fuchsiacart.models import LoadReport
from fuchsiacart.ownership import Ownership
from fuchsiacart.settings import EntrySettings
from fuchsiacart.settings import HostSettings

LEASE_MS = EntrySettings().lease_ms
TOLERANCE_MS = 500


def make_host(name):
    """Return an entry host of cymru."""
    return Host(
        name, 1, 'cymru', 'cymru-a', '127.0.0.1:1', f'127.0.0.1:{len(name)}'
    )


class FakeSettings:
    """The settings that a registrar reads."""

    host = HostSettings(name='new', region='cymru', failure_domain='cymru-a')
    entry = EntrySettings()


class FakeLease:
    """A lease that is always valid."""

    def holds(self):
        """Return True."""
        return True


class FakeViews:
    """A view of two entry hosts."""

    def __init__(self, hosts):
        self.replicated_state = self
        self.hosts = hosts
        self.effective_drains = ()
        self.revision = 5


class FakeDispatcher:
    """Records the time from which the server may be used."""

    def __init__(self):
        self.usable_from_ms = None

    def is_registered(self, name):
        """Return False: the server is not registered yet."""
        return False

    def register(self, server, report, usable_from_ms, others_in_flight):
        """Record the time from which the server may be used."""
        self.usable_from_ms = usable_from_ms

    def keep_owned(self, is_owner, drains):
        """Nothing to drop."""


class EarlierOwner:
    """Transport to the earlier owner, which fails some calls first.

    :param error: raised for these calls.
    :param failing_calls: number of calls that fail.
    """

    def __init__(self, error, failing_calls):
        self._error = error
        self._failing_calls = failing_calls

    async def call(self, address, method, request, timeout_s):
        """Fail, or confirm the release of the server."""
        self._failing_calls -= 1
        if self._failing_calls >= 0:
            raise self._error
        return ReleaseReply(0)


class TakeoverFixture:
    """A host that has just become the owner of a server."""

    def __init__(self, error):
        self.error = error
        self.dispatcher = FakeDispatcher()
        self.started_ms = steady_ms()

    def announce(self, failing_calls):
        """Let the server announce itself to its new owner."""
        new, old = make_host('new'), make_host('earlier')
        ownership = Ownership('new', LEASE_MS)
        ownership.observe((new, old), (), steady_ms())
        ownership.observe((new,), (), steady_ms())
        registrar = Registrar(
            FakeSettings(),
            FakeLease(),
            FakeViews((new, old)),
            ownership,
            self.dispatcher,
            EarlierOwner(self.error, failing_calls),
        )
        server = self._server_owned_by_earlier((new, old))
        run(registrar.announce(AnnounceRequest(server, LoadReport())))

    def _server_owned_by_earlier(self, hosts):
        ownership = Ownership('earlier', LEASE_MS)
        ownership.observe(hosts, (), 0)
        for index in range(100):
            server = BackendServer(
                f's-{index}', 1, 'orders', 'cymru', 'cymru-a', 'a:1', 4, 4
            )
            if ownership.is_owner(server):
                return server
        raise AssertionError('the earlier host owned no server')


@given('a host that takes a server over from one with an older view')
def given_older_view(context):
    """Let the earlier owner refuse with a conflict."""
    error = RequestError('this view is older', ErrorKind.CONFLICT)
    context.takeover = TakeoverFixture(error)


@given('a host that takes a server over from one that cannot be reached')
def given_unreachable(context):
    """Let the earlier owner time out."""
    context.takeover = TakeoverFixture(TransportError('timeout'))


@when(
    'the server announces itself and the view catches up after {count:d} calls'
)
def when_catches_up(context, count):
    """Announce the server; the calls before the catch-up are refused."""
    context.takeover.announce(count)


@when('the server announces itself')
def when_announced(context):
    """Announce the server; the earlier owner never answers."""
    context.takeover.announce(1000)


@then('the server is usable within 1 second')
def then_soon(context):
    waited_ms = (
        context.takeover.dispatcher.usable_from_ms
        - context.takeover.started_ms
    )
    assert waited_ms <= 1000, waited_ms


@then('the server is usable after a full lease')
def then_after_lease(context):
    waited_ms = (
        context.takeover.dispatcher.usable_from_ms
        - context.takeover.started_ms
    )
    assert LEASE_MS <= waited_ms <= LEASE_MS + TOLERANCE_MS, waited_ms
