"""Steps for the comparison of backend servers with their peers."""

from random import Random

from behave import given
from behave import then
from behave import when
from msgspec import Struct

from fuchsiacart.control.comparisons import PeerComparison
from fuchsiacart.gateway.evidence import EvidenceMeter
from fuchsiacart.servers import ServerRecord

REPORT_MS = 500.0
# Requests that one gateway sends to one server between two reports.
REQUESTS = 2
SEED = 7


class Conduct(Struct):
    """How a stand-in for a server behaves."""

    taken_ms: float
    failing: float = 0.0


class ComparisonSubject:
    """Gateways that report on servers, and the leader's comparison."""

    def __init__(self, count, taken_ms):
        self.comparison = PeerComparison()
        self.taken_ms = taken_ms
        self.now_ms = 1000.0
        self.random = Random(SEED)
        self.conducts = {
            f'server-{index}': Conduct(taken_ms) for index in range(count)
        }

    def report(self, gateways, seconds):
        """Let gateways report, and judge after each round."""
        end_ms = self.now_ms + seconds * 1000
        given = []
        while self.now_ms < end_ms:
            avoided = self.avoided()
            for _ in range(gateways):
                meter = EvidenceMeter()
                for name, conduct in self.conducts.items():
                    if name not in avoided:
                        self._meet(meter, name, conduct)
                self.comparison.add_evidence(meter.flush(), self.now_ms)
            given.extend(self.comparison.detect_outliers(self.now_ms))
            self.now_ms += REPORT_MS
        return given

    def avoided(self):
        """Return the reasons by server."""
        return {
            verdict.name: verdict.reason
            for verdict in self.comparison.outliers(self.now_ms)
        }

    def _meet(self, meter, name, conduct):
        record = ServerRecord(name, 1, 1, 'stock', name, 'cymru-a', 4)
        for _ in range(REQUESTS):
            if self.random.random() < conduct.failing:
                meter.record_failure(record)
            else:
                meter.record_response(record, conduct.taken_ms, None)


@given('{count:d} servers that answer in {taken:d} ms')
def given_servers(context, count, taken):
    """Set up servers."""
    context.comparison = ComparisonSubject(count, taken)


@given('a gateway that has met {count:d} servers')
def given_meter(context, count):
    """Let a gateway gather evidence."""
    context.meter = EvidenceMeter()
    for index in range(count):
        record = ServerRecord(f's{index}', 1, 1, 'stock', 'a', 'cymru-a', 4)
        context.meter.record_response(record, 100.0, None)


@when('{gateways:d} gateways report on them for {seconds:d} seconds')
def when_report(context, gateways, seconds):
    """Let time pass."""
    context.comparison.report(gateways, seconds)


@when('one of them fails {percent:d} percent of its requests')
def when_one_fails(context, percent):
    """Let the first server fail."""
    context.comparison.conducts['server-0'].failing = percent / 100


@when('all of them fail {percent:d} percent of their requests')
def when_all_fail(context, percent):
    """Let all servers fail."""
    for conduct in context.comparison.conducts.values():
        conduct.failing = percent / 100


@when('{count:d} of them fail {percent:d} percent of their requests')
def when_some_fail(context, count, percent):
    """Let some servers fail."""
    for conduct in list(context.comparison.conducts.values())[:count]:
        conduct.failing = percent / 100


@when('one of them takes {factor:d} times as long')
def when_one_slow(context, factor):
    """Let the first server be slow."""
    context.comparison.conducts['server-0'].taken_ms *= factor


@when('all of them answer as before')
def when_well(context):
    """Let all servers be good."""
    for name in context.comparison.conducts:
        context.comparison.conducts[name] = Conduct(
            context.comparison.taken_ms
        )


@then('no server is avoided')
def then_none(context):
    """Check that there is no verdict."""
    assert not context.comparison.avoided(), context.comparison.avoided()


@then('that server is avoided as {reason}')
def then_avoided(context, reason):
    """Check the only verdict."""
    avoided = context.comparison.avoided()
    assert avoided == {'server-0': reason}, avoided


@then('at most {count:d} servers are avoided')
def then_at_most(context, count):
    """Check the number of verdicts."""
    avoided = context.comparison.avoided()
    assert 0 < len(avoided) <= count, avoided


@then('it is avoided for longer each time, up to {seconds:d} seconds')
def then_longer(context, seconds):
    """Check the time between verdicts."""
    subject = context.comparison
    times = []
    while subject.now_ms < 80_000:
        if subject.report(6, REPORT_MS / 1000):
            times.append(subject.now_ms)
    gaps = [after - before for before, after in zip(times, times[1:])]
    limit_ms = seconds * 1000
    assert gaps[0] < gaps[1] < gaps[2], gaps
    assert all(limit_ms <= gap < 2 * limit_ms for gap in gaps[2:]), gaps


@then('its reports name 64, 64, 64, 8 and 0 servers')
def then_bounded(context):
    """Check the size of the reports."""
    sizes = [len(context.meter.flush()) for _ in range(5)]
    assert sizes == [64, 64, 64, 8, 0], sizes
