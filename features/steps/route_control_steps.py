"""Steps for calls of operators and backend servers to a control host."""

from asyncio import all_tasks
from asyncio import current_task
from asyncio import run
from asyncio import sleep
from time import monotonic
from types import SimpleNamespace

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace

from features.steps.route_steps import order
from features.steps.route_steps import ROUTE
from features.steps.route_steps import SERVER
from fuchsiacart.control.outcomes import Outcome
from fuchsiacart.control.route_control import RouteControl
from fuchsiacart.control.states import ReplicatedState
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import Run
from fuchsiacart.messages import ProposeReply

# Longer than callers of a control host wait for any answer.
NEVER_S = 4.0


class StandInReplica:
    """A replica that is in contact with a leader and has an empty state."""

    applied_index = 0

    def __init__(self):
        self.replicated_state = ReplicatedState()

    def has_contact(self):
        """Return True."""
        return True

    def was_paused(self):
        """Return False."""
        return False


class StandInService:
    """Passes requests to a leader that answers after a delay.

    :param leader_after_s: seconds until a leader is known.
    :param answer_after_s: seconds that the leader takes for an answer.
    """

    def __init__(self, leader_after_s=0.0, answer_after_s=0.0):
        self._elected_s = monotonic() + leader_after_s
        self._answer_after_s = answer_after_s

    def register_handler(self, kind, handler):
        """Ignore the handlers of a leader."""

    async def on_propose(self, request):
        """See :meth:`ControlService.on_propose`."""
        if monotonic() < self._elected_s:
            raise ChangeError('no leader is known', ErrorKind.NO_QUORUM)
        await sleep(self._answer_after_s)
        return ProposeReply(Outcome(revision=1))


def make_control(context, **delays):
    """Set the :class:`RouteControl` of a control host without processes."""
    context.make_control = lambda: RouteControl(
        SimpleNamespace(), StandInReplica(), StandInService(**delays)
    )


def call(context, make_call):
    """Make a call; keep its error, its duration and the tasks it left."""

    async def timed():
        control = context.make_control()
        context.error = None
        started_s = monotonic()
        try:
            await make_call(control)
        except ChangeError as error:
            context.error = error
        context.duration_s = monotonic() - started_s
        context.left_running = all_tasks() - {current_task()}

    run(timed())


@given('a control host whose leader never answers')
def given_silent_leader(context):
    make_control(context, answer_after_s=NEVER_S)


@given('a control host that has a leader after {delay_s:g} seconds')
def given_late_leader(context, delay_s):
    make_control(context, leader_after_s=delay_s)


@given('a control host whose leader answers after {delay_s:g} seconds')
def given_slow_leader(context, delay_s):
    make_control(context, answer_after_s=delay_s)


@when('an operator evacuates a failure domain')
def when_evacuated(context):
    call(
        context,
        lambda control: control.set_evacuation('cymru-a', True, lambda: False),
    )


@when('an operator reads the configuration')
def when_read(context):
    call(context, lambda control: control.read_configuration())


@when('an operator changes a route')
def when_changed(context):
    call(context, lambda control: control.change_configuration(order(3, 0)))


@when('an operator changes {count:d} routes')
def when_many_changed(context, count):
    routes = [replace(ROUTE, name=f'route-{index}') for index in range(count)]
    large_order = order(3, 0, routes)
    call(context, lambda control: control.change_configuration(large_order))


@when('a backend server sends a heartbeat')
def when_heartbeat(context):
    call(context, lambda control: control.register(SERVER))


@when('a backend server leaves')
def when_left(context):
    call(
        context,
        lambda control: control.deregister(
            SERVER.name, SERVER.born_ms, lambda: False
        ),
    )


@then(
    'the caller is told within {limit_s:g} second that the outcome is unknown'
)
def then_told(context, limit_s):
    assert context.error is not None
    assert context.error.kind is ErrorKind.NO_QUORUM, context.error
    assert context.error.run is Run.UNKNOWN, context.error
    assert context.duration_s <= limit_s, context.duration_s


@then('nothing of the call is left running')
def then_ended(context):
    assert not context.left_running, context.left_running


@then('the call is accepted')
def then_accepted(context):
    assert context.error is None, context.error
