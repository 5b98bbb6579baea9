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
REQUESTS_PER_REPORT = 2
SEED = 7


class SimulatedServer(Struct):
    """Response time and failure rate of a simulated server."""

    taken_ms: float
    failure_rate: float = 0.0


class ComparisonFixture:
    """Gateways that report evidence, and the leader's comparison."""

    def __init__(self, count, taken_ms):
        self.comparison = PeerComparison()
        self.taken_ms = taken_ms
        self.now_ms = 1000.0
        self.random = Random(SEED)
        self.simulated_servers = {
            f'server-{index}': SimulatedServer(taken_ms)
            for index in range(count)
        }

    def report(self, gateways, seconds):
        """Let gateways report for some time and compare after each round.

        :return: the outliers detected meanwhile.
        """
        end_ms = self.now_ms + seconds * 1000
        new_outliers = []
        while self.now_ms < end_ms:
            avoided = self.avoided()
            for _ in range(gateways):
                meter = EvidenceMeter()
                for name, simulated in self.simulated_servers.items():
                    if name not in avoided:
                        self._send_requests(meter, name, simulated)
                self.comparison.add_evidence(meter.flush(), self.now_ms)
            new_outliers.extend(self.comparison.detect_outliers(self.now_ms))
            self.now_ms += REPORT_MS
        return new_outliers

    def avoided(self):
        """Return the reasons by the name of the avoided server."""
        return {
            outlier.name: outlier.reason
            for outlier in self.comparison.outliers(self.now_ms)
        }

    def _send_requests(self, meter, name, simulated):
        record = ServerRecord(name, 1, 1, 'stock', name, 'cymru-a', 4)
        for _ in range(REQUESTS_PER_REPORT):
            if self.random.random() < simulated.failure_rate:
                meter.record_failure(record)
            else:
                meter.record_response(record, simulated.taken_ms, None)


@given('{count:d} servers that answer in {taken:d} ms')
def given_servers(context, count, taken):
    context.comparison = ComparisonFixture(count, taken)


@given('a gateway that has used {count:d} servers')
def given_meter(context, count):
    """Record one answer of each server."""
    context.meter = EvidenceMeter()
    for index in range(count):
        record = ServerRecord(f's{index}', 1, 1, 'stock', 'a', 'cymru-a', 4)
        context.meter.record_response(record, 100.0, None)


@when('{gateways:d} gateways report on them for {seconds:d} seconds')
def when_report(context, gateways, seconds):
    context.comparison.report(gateways, seconds)


@when('one of them fails {percent:d} percent of its requests')
def when_one_fails(context, percent):
    """Let server-0 fail."""
    context.comparison.simulated_servers['server-0'].failure_rate = (
        percent / 100
    )


@when('all of them fail {percent:d} percent of their requests')
def when_all_fail(context, percent):
    for simulated in context.comparison.simulated_servers.values():
        simulated.failure_rate = percent / 100


@when('{count:d} of them fail {percent:d} percent of their requests')
def when_some_fail(context, count, percent):
    for simulated in list(context.comparison.simulated_servers.values())[
        :count
    ]:
        simulated.failure_rate = percent / 100


@when('one of them takes {factor:d} times as long')
def when_one_slow(context, factor):
    """Let server-0 be slow."""
    context.comparison.simulated_servers['server-0'].taken_ms *= factor


@when('all of them answer as before')
def when_all_recover(context):
    for name in context.comparison.simulated_servers:
        context.comparison.simulated_servers[name] = SimulatedServer(
            context.comparison.taken_ms
        )


@then('no server is avoided')
def then_none(context):
    assert not context.comparison.avoided(), context.comparison.avoided()


@then('that server is avoided as {reason}')
def then_avoided(context, reason):
    """Check that server-0 alone is avoided."""
    avoided = context.comparison.avoided()
    assert avoided == {'server-0': reason}, avoided


@then('at most {count:d} servers are avoided')
def then_at_most(context, count):
    avoided = context.comparison.avoided()
    assert 0 < len(avoided) <= count, avoided


@then('it is avoided for longer each time, up to {seconds:d} seconds')
def then_avoided_longer(context, seconds):
    """Check the time between the detections of the failing server."""
    fixture = context.comparison
    times = []
    while fixture.now_ms < 80_000:
        if fixture.report(6, REPORT_MS / 1000):
            times.append(fixture.now_ms)
    gaps = [after - before for before, after in zip(times, times[1:])]
    limit_ms = seconds * 1000
    assert gaps[0] < gaps[1] < gaps[2], gaps
    assert all(limit_ms <= gap < 2 * limit_ms for gap in gaps[2:]), gaps


@then('its reports name 64, 64, 64, 8 and 0 servers')
def then_bounded(context):
    sizes = [len(context.meter.flush()) for _ in range(5)]
    assert sizes == [64, 64, 64, 8, 0], sizes
