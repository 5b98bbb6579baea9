"""Steps for a backend server that changes its owner."""

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
MARGIN_MS = 500


def make_host(name):
    """Return an entry host of one region."""
    return Host(
        name, 1, 'cymru', 'cymru-a', '127.0.0.1:1', f'127.0.0.1:{len(name)}'
    )


class FakeSettings:
    """The settings that a registrar reads."""

    host = HostSettings(name='new', region='cymru', failure_domain='cymru-a')
    entry = EntrySettings()


class FakeLease:
    """A lease that holds."""

    def holds(self):
        """Tell that it holds."""
        return True


class FakeViews:
    """A view of two entry hosts."""

    def __init__(self, hosts):
        self.replicated_state = self
        self.hosts = hosts
        self.effective_drains = ()
        self.revision = 5


class FakeDispatcher:
    """Keeps from when the server may be used."""

    def __init__(self):
        self.usable_from_ms = None

    def is_registered(self, name):
        """Tell whether the server is held."""
        return False

    def register(self, server, report, usable_from_ms, foreign):
        """Take the server."""
        self.usable_from_ms = usable_from_ms

    def keep_owned(self, is_owner, drains):
        """Drop nothing."""


class EarlierOwner:
    """Transport to the earlier owner, which refuses some calls first.

    :param error: raised while it refuses.
    :param refusals: how many calls it refuses.
    """

    def __init__(self, error, refusals):
        self._error = error
        self._refusals = refusals

    async def call(self, address, method, request, timeout_s):
        """Answer a call for a release."""
        self._refusals -= 1
        if self._refusals >= 0:
            raise self._error
        return ReleaseReply(0)


class TakeoverSubject:
    """A host that has just become the owner of a server."""

    def __init__(self, error):
        self.error = error
        self.dispatcher = FakeDispatcher()
        self.started_ms = steady_ms()

    def announce(self, refusals):
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
            EarlierOwner(self.error, refusals),
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


@given('a host that takes a server over from one whose view is behind')
def given_behind(context):
    """Have the earlier owner refuse by an older view."""
    error = RequestError('this view is older', ErrorKind.CONFLICT)
    context.takeover = TakeoverSubject(error)


@given('a host that takes a server over from one that cannot be reached')
def given_unreachable(context):
    """Have the earlier owner say nothing."""
    context.takeover = TakeoverSubject(TransportError('timeout'))


@when(
    'the server announces itself and the view catches up after {count:d} calls'
)
def when_catches_up(context, count):
    """Announce the server."""
    context.takeover.announce(count)


@when('the server announces itself')
def when_announced(context):
    """Announce the server; the earlier owner never answers."""
    context.takeover.announce(1000)


@then('the server is usable within 1 second')
def then_soon(context):
    """Check from when it may be used."""
    waited_ms = (
        context.takeover.dispatcher.usable_from_ms
        - context.takeover.started_ms
    )
    assert waited_ms <= 1000, waited_ms


@then('the server is usable after a whole lease')
def then_after_lease(context):
    """Check from when it may be used."""
    waited_ms = (
        context.takeover.dispatcher.usable_from_ms
        - context.takeover.started_ms
    )
    assert LEASE_MS <= waited_ms <= LEASE_MS + MARGIN_MS, waited_ms
