"""Steps for deployments that scenarios start on loopback."""

from asyncio import run
from socket import socket
from time import monotonic

from behave import given
from behave import then
from behave import when

from fuchsiacart.adapters import PeerServer
from fuchsiacart.settings import TlsSettings
from standins.fleet import Fleet
from standins.fleet_specs import FleetSpec
from standins.ports import LOOPBACK
from standins.ports import PortReservations


class TakenPorts(PortReservations):
    """Reservations whose first port is taken by a listening socket."""

    def __init__(self):
        super().__init__()
        self.listener = socket()
        self.listener.bind((LOOPBACK, 0))
        self.listener.listen()
        self._next_port = self.listener.getsockname()[1]

    def reserve(self):
        """Return the taken port first, then reserved ones."""
        port, self._next_port = self._next_port, None
        return port or super().reserve()


@given('a port reserved for a host')
def given_port(context):
    reservations = PortReservations()
    context.resources.callback(reservations.release)
    context.port = reservations.reserve()


@when('another socket asks for the port before the host listens')
@when('another socket asks for the port before the host restarts')
def when_port_requested(context):
    with socket() as other:
        try:
            other.bind((LOOPBACK, context.port))
        except OSError:
            context.is_taken = False
            return
    context.is_taken = True


@then('it does not get it')
def then_not_taken(context):
    assert not context.is_taken


@when('the host listens there, and ends')
def when_listens(context):
    async def listen():
        server = PeerServer('token', {}, TlsSettings())
        assert await server.start(LOOPBACK, context.port) == context.port
        await server.stop(0)

    run(listen())


@given('a deployment whose first control host cannot have its port')
def given_taken_port(context):
    ports = TakenPorts()
    context.resources.callback(ports.listener.close)
    context.fleet = Fleet(FleetSpec('golau-beic'), ports)
    context.resources.callback(context.fleet.stop)


@when('it is started')
def when_started(context):
    started_s = monotonic()
    context.failure = ''
    try:
        context.fleet.start()
    except ChildProcessError as error:
        context.failure = str(error)
    context.start_s = monotonic() - started_s


@then('the start fails within {limit_s:d} seconds')
def then_failed(context, limit_s):
    assert context.failure
    assert context.start_s <= limit_s, context.start_s


@then('the failure names control-1 and says that it cannot listen')
def then_named(context):
    assert 'control-1' in context.failure, context.failure
    assert 'cannot listen' in context.failure, context.failure
