"""Steps for clients of the control group."""

from asyncio import new_event_loop
from asyncio import sleep
from asyncio import wait_for
from time import monotonic

from behave import given
from behave import then
from behave import when

from fuchsiacart.adapters import Method
from fuchsiacart.adapters import PeerAdapter
from fuchsiacart.control_clients import ControlClient
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import TransportError

HOSTS = ('10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1')


class PartlyLostHosts(PeerAdapter):
    """Control hosts of which some do not answer.

    :param silent: addresses that do not answer.
    :param leaderless: True if the others know no leader.
    """

    def __init__(self, silent=(), leaderless=False):
        self._silent = silent
        self._leaderless = leaderless

    async def call(self, address, method, message, timeout_s):
        """See :class:`PeerAdapter`."""
        if address in self._silent:
            await sleep(timeout_s)
            raise TransportError(f'{address}: no answer')
        if self._leaderless:
            raise ChangeError('no leader is known', ErrorKind.NO_QUORUM)
        return address

    async def close(self):
        """See :class:`PeerAdapter`."""


@given('a client of three control hosts, the first two of which do not answer')
def given_lost(context):
    context.client = ControlClient(PartlyLostHosts(HOSTS[:2]), HOSTS)


@given('a client of three control hosts, none of which leads')
def given_leaderless(context):
    context.client = ControlClient(PartlyLostHosts(leaderless=True), HOSTS)


@when('it asks any of them')
def when_asked(context):
    loop = new_event_loop()
    context.resources.callback(loop.close)
    context.answer = context.error = None
    started_s = monotonic()
    asked = context.client.call_any(Method.PROPOSE, None, 1.0)
    try:
        context.answer = loop.run_until_complete(wait_for(asked, 5.0))
    except ChangeError as error:
        context.error = error
    context.taken_s = monotonic() - started_s


@then('it has the answer of the third one within {limit_ms:d} ms')
def then_answered(context, limit_ms):
    assert context.answer == HOSTS[2], context.answer
    assert context.taken_s * 1000 <= limit_ms, context.taken_s


@then('it has the error of one of them')
def then_error(context):
    assert context.error.kind is ErrorKind.NO_QUORUM, context.error
