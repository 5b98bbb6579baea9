"""Steps for orders that are read after their sender has given them up."""

from asyncio import gather
from asyncio import open_connection
from asyncio import sleep
from asyncio import wait_for
from signal import SIGCONT
from signal import SIGSTOP
from time import monotonic

from behave import given
from behave import then
from behave import when
from msgspec.json import encode
from msgspec.structs import replace
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from features.steps.control_group_steps import ControlGroupFixture
from features.steps.route_steps import SERVER
from fuchsiacart.control.commands import CancelDrain
from fuchsiacart.control.commands import Change
from fuchsiacart.control.commands import ForgetServer
from fuchsiacart.control.commands import RecordServer
from fuchsiacart.control.commands import SetEvacuation
from fuchsiacart.control.commands import StartDrain
from fuchsiacart.control.order_positions import OrderPositions
from fuchsiacart.control.outcomes import Outcome
from fuchsiacart.control.route_control import RouteControl
from fuchsiacart.control.states import ReplicatedState
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import Run
from fuchsiacart.messages import ProposeReply
from fuchsiacart.messages import ProposeRequest
from fuchsiacart.models import Drain
from fuchsiacart.models import DrainScope
from fuchsiacart.pauses import PauseWatch
from fuchsiacart.platform.calls import make_control_application

APPLIED_INDEX = 17
TICK_MS = 20
# How long callers of a control host wait.
CALL_TIMEOUT_S = 1.0
FREEZE_S = 4.0
SETTLE_S = 0.5


class StandInReplica:
    """A replica that follows a leader and has applied some entries."""

    applied_index = APPLIED_INDEX

    def __init__(self):
        self.replicated_state = ReplicatedState()
        self.is_after_pause = False

    def was_paused(self):
        """Return True if a scenario says so."""
        return self.is_after_pause


class StandInService:
    """Keeps the requests to the leader and accepts all but the first ones.

    :param replica: the :class:`StandInReplica`, which goes on with each.
    """

    def __init__(self, replica):
        self.requests = []
        self.refused_count = 0
        self._replica = replica

    def register_handler(self, kind, handler):
        """Ignore the handlers of a leader."""

    async def on_propose(self, request):
        """See :meth:`ControlService.on_propose`."""
        self.requests.append(request)
        self._replica.applied_index += 1
        if len(self.requests) <= self.refused_count:
            # As the adapter raises the refusal of another host.
            raise FuchsiacartError('later order', ErrorKind.OUTDATED)
        return ProposeReply(Outcome(revision=1))


class ControlInterface:
    """The HTTP interface of a control host, without a control group."""

    def __init__(self, group):
        self.run = group.run
        self.replica = StandInReplica()
        self.service = StandInService(self.replica)
        control = RouteControl(None, self.replica, self.service)
        self._server = HTTPServer(make_control_application(control))
        sockets = bind_sockets(0, '127.0.0.1')
        self._address = sockets[0].getsockname()
        self.run(self._listen(sockets))

    async def _listen(self, sockets):
        self._server.add_sockets(sockets)

    async def send(self, call, body=b''):
        """Send a call over a new connection.

        :return: the reader and the writer of the connection.
        """
        reader, writer = await open_connection(*self._address)
        head = f'{call} HTTP/1.1\r\nHost: c\r\nContent-Length: {len(body)}'
        writer.write(head.encode() + b'\r\n\r\n' + body)
        await writer.drain()
        return reader, writer

    def close(self):
        """Stop listening."""
        self._server.stop()


@given('a leader whose log had {count:d} entries when its term began')
def given_positions(context, count):
    context.positions = OrderPositions()
    context.positions.start_term(3, count)


@when('it appends an order for {subject} at {index:d}')
def when_noted(context, subject, index):
    context.positions.note(subject, index)
    context.last_index = index


@when('it appends orders for {count:d} other subjects after it')
def when_many_noted(context, count):
    for offset in range(1, count + 1):
        context.positions.note(f'other-{offset}', context.last_index + offset)
    context.noted_count = count


@when('it leads again in a later term, with {count:d} entries')
def when_next_term(context, count):
    context.positions.start_term(5, count)


@then('an order for {subject} that was read at {index:d} is outdated')
def then_outdated(context, subject, index):
    assert context.positions.is_outdated(subject, index)


@then('an order for {subject} that was read at {index:d} is not')
def then_current(context, subject, index):
    assert not context.positions.is_outdated(subject, index)


@then('an order of a host that does not say when it was read is not')
def then_unconditional(context):
    assert not context.positions.is_outdated('cymru-a', None)


@then('{count:d} orders are remembered')
def then_remembered(context, count):
    """Count the other subjects for which an early index is outdated alone.

    All that are not remembered share one index, that of the newest of them.
    """
    first = context.last_index + context.noted_count - count + 1
    newest_forgotten = first - 1
    for offset in range(1, context.noted_count + 1):
        index = max(context.last_index + offset, newest_forgotten)
        subject = f'other-{offset}'
        assert not context.positions.is_outdated(subject, index), subject
        assert context.positions.is_outdated(subject, index - 1), subject


@given('an event loop that runs until {now_ms:d} ms')
def given_loop(context, now_ms):
    context.pauses = PauseWatch(0.0)
    run_loop(context, 0, now_ms)
    assert not context.pauses.was_paused(float(now_ms))


def run_loop(context, start_ms, end_ms):
    """Let an event loop that works tick in a span."""
    for tick_ms in range(start_ms, end_ms + 1, TICK_MS):
        context.pauses.tick(float(tick_ms))


@when('it stands still until {woken_ms:d} ms and runs on until {end_ms:d} ms')
def when_stands_still(context, woken_ms, end_ms):
    run_loop(context, woken_ms, end_ms)


@then('what is read at {now_ms:d} ms may have waited')
def then_may_have_waited(context, now_ms):
    assert context.pauses.was_paused(float(now_ms))


@then('what is read at {now_ms:d} ms is taken as current')
def then_taken_as_current(context, now_ms):
    assert not context.pauses.was_paused(float(now_ms))


@given('a control host whose HTTP interface is open')
def given_interface(context):
    group = ControlGroupFixture()
    context.resources.callback(group.close)
    context.interface = ControlInterface(group)
    context.resources.callback(context.interface.close)


@given('it was paused a moment ago')
def given_paused(context):
    context.interface.replica.is_after_pause = True


@given('the leader takes the first order for outdated')
def given_first_outdated(context):
    context.interface.service.refused_count = 1


@given('the leader takes all orders for outdated')
def given_all_outdated(context):
    context.interface.service.refused_count = 1000


@then('the leader got it twice, the second time with a later index')
def then_got_twice(context):
    first, second = context.interface.service.requests
    assert first.seen_index < second.seen_index, (first, second)


@when('a caller sends {call} and closes its connection at once')
def when_sent_and_closed(context, call):
    interface = context.interface

    async def send():
        _, writer = await interface.send(call)
        writer.close()
        await sleep(CALL_TIMEOUT_S)

    interface.run(send())


@when('a caller sends {call} and waits')
def when_sent(context, call):
    interface = context.interface

    async def send():
        reader, writer = await interface.send(call)
        line = await wait_for(reader.readline(), CALL_TIMEOUT_S)
        writer.close()
        return int(line.split()[1])

    context.status = interface.run(send())


@when('an instance leaves by a call that names its start')
def when_left_with_start(context):
    interface = context.interface
    body = encode({'born': SERVER.born_ms})

    async def send():
        reader, writer = await interface.send(
            f'DELETE /api/instances/{SERVER.name}', body
        )
        line = await wait_for(reader.readline(), CALL_TIMEOUT_S)
        writer.close()
        return int(line.split()[1])

    context.status = interface.run(send())


@when('a departure of a server is read, and the server starts again first')
def when_restarted(context):
    restarted = replace(SERVER, born_ms=SERVER.born_ms + 1000)
    propose_in_turn(
        context,
        RecordServer(restarted, 2),
        ForgetServer(SERVER.name, 0, True, 1),
    )


@then('the server is registered')
def then_registered(context):
    control = context.control
    replica = control.network.replicas[control.first_leader]
    assert SERVER.name in replica.replicated_state.stored.routes.servers


@when('the cancellation of a drain {trouble}, and the drain was started again')
def when_drain_restarted(context, trouble):
    drain = Drain(DrainScope.FAILURE_DOMAIN, 'cymru-a')
    start = StartDrain(Change('start-again', 'ann', 2), drain)
    cancel = CancelDrain(Change('cancel', 'ann', 1), drain)
    if trouble == 'waits on its way to the log':
        propose_in_turn(context, start, cancel)
        return
    control = context.control
    service = control.services[control.first_leader]
    context.error = None

    async def commit():
        await service.commit(start, lambda: False)
        await service.commit(cancel, lambda: True)

    try:
        control.run(commit())
    except ChangeError as error:
        context.error = error


@then('the drain holds')
def then_drain_holds(context):
    control = context.control
    replica = control.network.replicas[control.first_leader]
    assert len(replica.replicated_state.stored.drains) == 1


@then('nothing is proposed to the leader')
def then_not_proposed(context):
    assert not context.interface.service.requests


@then('it is refused with {status:d}')
@then('it is answered with {status:d}')
def then_status(context, status):
    assert context.status == status, context.status


@then('the leader is told the index that was applied when it was read')
def then_index_told(context):
    (request,) = context.interface.service.requests
    assert request.seen_index == APPLIED_INDEX, request


@when('an order to evacuate {domain} is read, and its end is ordered first')
def when_overtaken(context, domain):
    propose_in_turn(
        context,
        SetEvacuation(domain, False, 2),
        SetEvacuation(domain, True, 1),
    )


def propose_in_turn(context, *commands):
    """Propose commands that were all read before the first is appended."""
    control = context.control
    service = control.services[control.first_leader]
    replica = control.network.replicas[control.first_leader]
    context.error = None

    async def propose():
        seen_index = replica.applied_index
        for command in commands:
            await service.on_propose(
                ProposeRequest(command, seen_index=seen_index)
            )

    try:
        control.run(propose())
    except ChangeError as error:
        context.error = error


@then('the first is refused as outdated and not run')
def then_first_refused(context):
    assert context.error is not None
    assert context.error.kind is ErrorKind.OUTDATED, context.error
    assert context.error.run is Run.NO


@then('{domain} is not evacuated')
def then_not_evacuated(context, domain):
    control = context.control
    replica = control.network.replicas[control.first_leader]
    assert domain not in replica.replicated_state.stored.routes.evacuated


@when('the operator evacuates {domain}')
def when_evacuated(context, domain):
    fixture = context.platform
    context.domain_path = f'/api/evacuate/{domain}'
    reply = fixture.run(fixture.control('POST', context.domain_path))
    assert reply is not None and reply.code == 200, reply


def find_leader(fixture):
    """Return the control host that was elected last, by its log."""
    terms = {}
    for ip in fixture.seeds:
        log = (fixture.folder / f'{ip}.log').read_text()
        for line in log.splitlines():
            if 'leader_elected' in line:
                terms[int(line.split('term=')[1].split()[0])] = ip
    return terms[max(terms)]


@when('{host} is frozen and holds the order to end that')
def when_frozen(context, host):
    """Freeze a host, send it the order and give that up after a second."""
    fixture = context.platform
    leader = find_leader(fixture)
    followers = [ip for ip in fixture.seeds if ip != leader]
    context.frozen = leader if host == 'the leader' else followers[0]
    process = fixture.processes[context.frozen]
    process.send_signal(SIGSTOP)
    context.frozen_s = monotonic()
    # The seeds are asked in this order.
    others = [ip for ip in fixture.seeds if ip != context.frozen]
    fixture.seeds = others

    async def send():
        _, writer = await open_connection(
            context.frozen, fixture.ports['control']
        )
        head = f'DELETE {context.domain_path} HTTP/1.1\r\nHost: c\r\n\r\n'
        writer.write(head.encode())
        await sleep(CALL_TIMEOUT_S)
        writer.close()

    fixture.run(send())


@when('the operator ends it elsewhere and evacuates {domain} again')
def when_evacuated_again(context, domain):
    fixture = context.platform
    for method in ('DELETE', 'POST'):
        reply = fixture.run(fixture.control(method, context.domain_path))
        assert reply is not None and reply.code == 200, reply


@when('the host wakes')
def when_woken(context):
    fixture = context.platform
    left_s = context.frozen_s + FREEZE_S - monotonic()
    fixture.run(sleep(max(0.0, left_s)))
    fixture.processes[context.frozen].send_signal(SIGCONT)
    fixture.run(sleep(SETTLE_S))


@then('for {duration_s:d} seconds no request reaches an instance')
def then_unreached(context, duration_s):
    """Send requests through all gateways all the time."""
    fixture = context.platform
    before = [len(each.served) for each in fixture.instances]

    async def send():
        end_s = monotonic() + duration_s
        while monotonic() < end_s:
            await gather(
                *(fixture.send_request(ip) for ip in fixture.gateways)
            )
            await sleep(SETTLE_S)

    fixture.run(send())
    after = [len(each.served) for each in fixture.instances]
    assert after == before, (before, after)
