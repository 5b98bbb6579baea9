"""Steps for reports of servers that are cold, in simulated time."""

from heapq import heappop
from heapq import heappush
from itertools import count
from random import Random

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace

from features.steps.route_steps import SERVER
from fuchsiacart.configurations import Configuration
from fuchsiacart.control.cold_reports import ColdReports
from fuchsiacart.control.route_states import RouteState
from fuchsiacart.control.route_states import RouteView
from fuchsiacart.gateway.placing.placements import ServerSelector
from fuchsiacart.gateway.route_tables import RouteTable
from fuchsiacart.servers import is_redundant

HEARTBEAT_MS = 1500
SPAN_MS = 60_000
GATEWAYS = 2
# Longest time from the acknowledgement of a report until gateways have it.
DELIVERY_MS = 600
TOO_LONG_MS = 2000
STEP_MS = 20
TABLE = RouteTable(Configuration())


def name_once(random, now_ms, end_ms):
    """Be cold for some seconds after the start."""
    return 8000 if now_ms == 0 else end_ms


def name_again(random, now_ms, end_ms):
    """Be cold again soon after a cold time."""
    if now_ms < end_ms + random.choice((10, 200, 1000)):
        return end_ms
    return now_ms + random.randint(200, 4000)


def name_more(random, now_ms, end_ms):
    """Be cold a little longer, again and again."""
    return end_ms + random.randint(0, 2 * STEP_MS) if end_ms else 3000


def name_creeping(random, now_ms, end_ms):
    """Be cold longer by less than each report may differ."""
    if now_ms > end_ms + 500:
        return now_ms + 3000
    return end_ms + random.randint(0, 2)


def name_less(random, now_ms, end_ms):
    """Be cold a little shorter, again and again."""
    return end_ms - random.randint(0, STEP_MS) if end_ms else 20_000


def name_any(random, now_ms, end_ms):
    """Change at any time to any time."""
    if random.random() < 0.98:
        return end_ms
    return now_ms + random.choice((0, random.randint(1, 9000)))


PATTERNS = {
    'name a cold time once': name_once,
    'name short times soon again': name_again,
    'name a little more each time': name_more,
    'creep up in small steps': name_creeping,
    'name a little less each time': name_less,
    'name any times': name_any,
}


class ControlHost:
    """What one control host has applied, and what it has proposed."""

    def __init__(self):
        self.state = RouteState()
        self.reports = ColdReports()


class ColdSimulation:
    """A server, the control hosts that it reports to, and gateways.

    :param pattern: function that changes the end of the cold time.
    :param hosts: number of control hosts.
    :param seed: seed of all random choices.
    """

    def __init__(self, pattern, hosts, seed):
        self._random = Random(seed)
        self._pattern = pattern
        self._hosts = [ControlHost() for _ in range(hosts)]
        self._group = RouteState()
        self._gateways = []
        for _ in range(GATEWAYS):
            self._gateways.append((RouteView(), ServerSelector('', {})))
        self._events = []
        self._order = count()
        self._sequence = 0
        self._end_ms = 0
        # The last report: when it was sent, acknowledged, and its cold end.
        self._last = None
        self.reported = self.stored = 0
        self.early = []
        self.late = []

    def run(self):
        """Play ``SPAN_MS`` of time."""
        self._at(0, self._send, 0)
        for now_ms in range(0, SPAN_MS, STEP_MS):
            self._end_ms = self._pattern(self._random, now_ms, self._end_ms)
            while self._events and self._events[0][0] <= now_ms:
                at_ms, _, action, arguments = heappop(self._events)
                action(at_ms, *arguments)
            self._judge(now_ms)

    def _at(self, at_ms, action, *arguments):
        heappush(self._events, (at_ms, next(self._order), action, arguments))

    def _send(self, now_ms, _):
        self._sequence += 1
        record = replace(
            SERVER,
            sequence=self._sequence,
            cold_ms=float(max(0, self._end_ms - now_ms)),
        )
        self._last = None
        self.reported += 1
        delay_ms = self._random.choice((1, 5, 60, 300))
        self._at(now_ms + delay_ms, self._receive, record, now_ms)
        self._at(now_ms + HEARTBEAT_MS, self._send, 0)

    def _receive(self, now_ms, record, sent_ms):
        host = self._random.choice(self._hosts)
        current = host.state.servers.get(record.name)
        left_ms = host.reports.left_ms(current, now_ms)
        if is_redundant(current, record, left_ms):
            self._acknowledge(now_ms, record, sent_ms)
            return
        self.stored += 1
        commit_ms = now_ms + self._random.randint(2, 50)
        self._at(commit_ms, self._commit, host, record, now_ms, sent_ms)

    def _commit(self, now_ms, host, record, proposed_ms, sent_ms):
        deltas = self._group.record_server(record)
        host.reports.record(record, proposed_ms)
        for each in self._hosts:
            lag_ms = self._random.choice((0, 100, 400))
            self._at(now_ms + lag_ms, self._apply, each, record)
        for view, selector in self._gateways:
            delay_ms = self._random.randint(5, DELIVERY_MS - 100)
            self._at(now_ms + delay_ms, self._pull, view, selector, deltas)
        self._acknowledge(now_ms, record, sent_ms)

    def _apply(self, now_ms, host, record):
        host.state.record_server(record)

    def _pull(self, now_ms, view, selector, deltas):
        for delta in deltas:
            view.apply(delta)
        selector.apply_view(view, TABLE, now_ms)

    def _acknowledge(self, now_ms, record, sent_ms):
        self._last = (now_ms, sent_ms + record.cold_ms)

    def _judge(self, now_ms):
        """Compare what gateways count with the last report, once they can."""
        if self._last is None or now_ms < self._last[0] + DELIVERY_MS:
            return
        end_ms = self._last[1]
        for _, selector in self._gateways:
            server = selector.find(SERVER.name)
            if now_ms < end_ms and not server.is_cold(now_ms):
                self.early.append((now_ms, end_ms))
            if now_ms > end_ms + TOO_LONG_MS and server.is_cold(now_ms):
                self.late.append((now_ms, end_ms))


@given('a server of which {stored} was stored {ago:d} ms ago by {host}')
def given_stored(context, stored, ago, host):
    cold_ms = 0.0 if stored == 'no cold' else float(stored.split()[0])
    context.current = replace(SERVER, cold_ms=cold_ms)
    context.reports = ColdReports()
    context.now_ms = 1_000_000.0
    if host == 'this host':
        context.reports.record(context.current, context.now_ms - ago)


@when('it reports that it is warm')
def when_warm(context):
    when_cold(context, 0)


@when('it reports that it is cold for {cold_ms:d} ms')
def when_cold(context, cold_ms):
    context.record = replace(
        context.current,
        sequence=context.current.sequence + 1,
        cold_ms=float(cold_ms),
    )


@then('the report is {outcome}')
def then_outcome(context, outcome):
    left_ms = context.reports.left_ms(context.current, context.now_ms)
    found = is_redundant(context.current, context.record, left_ms)
    assert found is (outcome == 'left out'), left_ms


@given('servers whose reports {how}, by {hosts:d} control hosts that lag')
def given_servers(context, how, hosts):
    context.pattern, context.hosts = PATTERNS[how], hosts


@when('each sends its heartbeats for 60 s, with {seeds:d} seeds')
def when_sent(context, seeds):
    context.played = []
    for seed in range(seeds):
        played = ColdSimulation(context.pattern, context.hosts, seed)
        played.run()
        context.played.append(played)


@then('no gateway takes one for warm before its last report says so')
def then_not_early(context):
    early = [each.early for each in context.played if each.early]
    assert not early, (len(early), early[0][:3])


@then('none takes one for cold 2 s longer than that')
def then_not_late(context):
    late = [each.late for each in context.played if each.late]
    assert not late, (len(late), late[0][:3])


@then('at most {part:g} of the reports are stored')
def then_stored(context, part):
    stored = sum(each.stored for each in context.played)
    reported = sum(each.reported for each in context.played)
    assert stored <= part * reported, (stored, reported)
