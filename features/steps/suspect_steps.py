"""Steps for requests that crash the servers that run them."""

from asyncio import run
from math import inf
from random import Random

from behave import given
from behave import then
from behave import when
from msgspec import Struct
from tornado.httputil import HTTPHeaders

from fuchsiacart.control.gateway_reports import GatewayReports
from fuchsiacart.gateway.attempts import InboundRequest
from fuchsiacart.gateway.dialects import RequestMetadata
from fuchsiacart.gateway.suspect_reports import SuspectReports
from fuchsiacart.gateway.suspects import SuspectTracker
from fuchsiacart.gateway.trials import TrialSchedule
from fuchsiacart.messages import KeepAliveRequest
from fuchsiacart.messages import Suspect
from fuchsiacart.messages import SuspectReport
from fuchsiacart.models import Host
from fuchsiacart.quarantine import Quarantine
from fuchsiacart.servers import ServerRecord
from fuchsiacart.settings import EntrySettings
from fuchsiacart.settings import RouteSettings

QUARANTINE_MS = 60_000
NOW_MS = 1_000
LEASE_MS = 3_000
DRAWS = 50
TRIALS_END_MS = 70_000.0
REQUEST_INTERVAL_MS = 50.0
DIGEST = 'digest'
REQUEST = InboundRequest(
    'POST',
    '/orders/1',
    'shop.example',
    HTTPHeaders(),
    b'',
    RequestMetadata('request', None, 'object'),
    0.0,
)


class LeaderSettings(Struct):
    """The settings that a leader reads for reports of gateways."""

    entry: EntrySettings = EntrySettings(quarantine_ms=QUARANTINE_MS)
    routes: RouteSettings | None = None


SETTINGS = LeaderSettings()


class SuspectFixture:
    """A request, and the servers that run it with the losses then known."""

    def __init__(self):
        self.quarantine = Quarantine(QUARANTINE_MS)
        self.running = {}

    @property
    def is_refused(self):
        """True if the request is refused."""
        return self.quarantine.is_quarantined(DIGEST, NOW_MS)

    def send(self, server):
        """Send the request to a server."""
        self.running[server] = self.quarantine.losses_in_row(DIGEST, NOW_MS)

    def lose(self, server):
        """Lose a server that runs the request."""
        known_losses = self.running.pop(server)
        return self.quarantine.record_broken(
            DIGEST, server, known_losses, NOW_MS
        )


class ReportFixture:
    """Reports of a gateway, and losses under one request."""

    def __init__(self):
        self.reports = SuspectReports()
        self.losses = 0

    def lose(self):
        """Lose one more server."""
        self.losses += 1
        broken = tuple(f'server-{index}' for index in range(self.losses))
        self.reports.add_loss(
            Suspect(DIGEST, broken, QUARANTINE_MS, self.losses)
        )

    def reported(self):
        """Return the losses that the next renewal reports."""
        report = self.reports.make_report()
        return [each.losses_in_row for each in report.lost]


class LostServerPool:
    """A pool that finds each server lost that is checked."""

    async def can_connect(self, record, timeout_s):
        """See :meth:`ConnectionPool.can_connect`."""
        return False


class Trials:
    """Allows trials while ``are_due`` is set."""

    def __init__(self):
        self.are_due = False
        self.tried = 0

    def take_trial(self, digest, gateway_count, now_ms):
        """See :meth:`TrialSchedule.take_trial`."""
        self.tried += self.are_due
        return self.are_due

    def forget(self, digest):
        """See :meth:`TrialSchedule.forget`."""


class FleetFixture:
    """Gateways that renew their leases with one leader."""

    def __init__(self, count):
        self.leader = GatewayReports(SETTINGS)
        self.trials = Trials()
        self.gateways = [self._make_gateway() for _ in range(count)]
        self.lost = 0

    def _make_gateway(self):
        return SuspectTracker(
            QUARANTINE_MS, LEASE_MS, LostServerPool(), self.trials
        )

    def add_gateway(self):
        """Start a gateway, which renews its lease once."""
        self.gateways.append(self._make_gateway())
        self.renew(self.gateways[-1])

    def renew(self, gateway):
        """Renew the lease of a gateway."""
        host = Host('gateway', 1, 'cymru', 'cymru-a', '', '')
        request = KeepAliveRequest(host, 1, suspects=gateway.make_report())
        self.leader.add_report(request, 0.0)
        gateway.merge(self.leader.suspect_report())

    def send(self, gateway):
        """Send the request through a gateway, unless that refuses it.

        The server that runs it is lost.
        """
        if not gateway.admit(REQUEST, len(self.gateways)):
            return
        self.lost += 1
        record = ServerRecord(
            f'server-{self.lost}', 1, 1, 'stock', '', 'cymru-a', 4
        )
        known_losses = gateway.losses_in_row(REQUEST)

        async def check():
            await gateway.check_server(REQUEST, record, known_losses, None)

        run(check())

    def renew_all(self):
        """Renew the leases of all gateways, twice."""
        for gateway in self.gateways * 2:
            self.renew(gateway)


@given('a request that is sent to {count:d} servers')
def given_sent(context, count):
    context.suspects = SuspectFixture()
    for index in range(count):
        context.suspects.send(f'server-{index}')


@when('all of them are lost')
@when('that server is lost')
def when_lost(context):
    for server in tuple(context.suspects.running):
        context.suspects.lose(server)


@when('it is sent to another server')
def when_sent_again(context):
    context.suspects.send('another server')


@when('the request is answered')
def when_answered(context):
    context.suspects.quarantine.clear(DIGEST)


@when('the loss is seen again by a request that was sent after it was known')
def when_seen_again(context):
    context.suspects.send('server-0')
    context.suspects.lose('server-0')


@when('another gateway reports that it lost a server of its own meanwhile')
def when_reported(context):
    other = SuspectFixture()
    other.send('server of another gateway')
    suspect = other.lose('server of another gateway')
    context.suspects.quarantine.merge((suspect,), NOW_MS)


@then('the request is refused')
def then_refused(context):
    assert context.suspects.is_refused


@then('the request is not refused')
def then_not_refused(context):
    assert not context.suspects.is_refused


@given('a gateway that has lost a server under a request')
def given_loss(context):
    context.reports = ReportFixture()
    context.reports.lose()


@when('a renewal of its lease fails')
def when_renewal_fails(context):
    assert context.reports.reported() == [1]


@when('it loses another one while a renewal is answered')
def when_lost_meanwhile(context):
    context.reports.reported()
    context.reports.lose()
    context.reports.reports.confirm()


@then('the next renewal reports the suspect')
def then_reported(context):
    assert context.reports.reported() == [context.reports.losses]


@then('once a renewal is answered, the next one does not')
def then_not_reported(context):
    context.reports.reports.confirm()
    assert context.reports.reported() == []


@given('{count:d} gateways that know of no suspect')
def given_gateways(context, count):
    context.fleet = FleetFixture(count)


@when('a request that crashes servers comes to each of them in turn')
def when_sent_in_turn(context):
    """Renew all leases after each."""
    for gateway in tuple(context.fleet.gateways):
        context.fleet.send(gateway)
        context.fleet.renew_all()


@when('a server is lost under a request at the first gateway')
def when_first_loses(context):
    context.fleet.send(context.fleet.gateways[0])
    context.fleet.renew_all()


@when('the same request is answered at the second gateway')
def when_second_answers(context):
    context.fleet.gateways[1].record_response(REQUEST)
    context.fleet.renew_all()


@when('the first gateway tries the request and it is answered')
def when_tried_and_answered(context):
    first = context.fleet.gateways[0]
    assert not first.admit(REQUEST, len(context.fleet.gateways))
    context.fleet.trials.are_due = True
    assert first.admit(REQUEST, len(context.fleet.gateways))
    context.fleet.trials.are_due = False
    first.record_response(REQUEST)
    context.fleet.renew_all()


@when('trials are due')
def when_due(context):
    context.fleet.trials.are_due = True


@when('another control host leads')
def when_leader_changes(context):
    context.fleet.leader = GatewayReports(SETTINGS)
    context.fleet.renew_all()


@when('a gateway starts')
def when_gateway_starts(context):
    context.fleet.add_gateway()


@then('{count:d} servers are lost')
def then_servers_lost(context, count):
    assert context.fleet.lost == count, context.fleet.lost


@then('all gateways send the request')
def then_all_send(context):
    for gateway in context.fleet.gateways:
        assert gateway.admit(REQUEST, len(context.fleet.gateways))


@then('{count:d} trial was made')
def then_tried(context, count):
    assert context.fleet.trials.tried == count, context.fleet.trials.tried


@then('no gateway has anything to report')
def then_nothing_reported(context):
    for gateway in context.fleet.gateways:
        assert gateway.make_report() == SuspectReport()


@then('its request is suspected after {count:d} losses')
def then_suspected(context, count):
    losses = context.fleet.gateways[-1].losses_in_row(REQUEST)
    assert losses == count, losses


@given(
    '{count:d} gateways that refuse a request which comes to each all along'
)
def given_refusing(context, count):
    context.draws_ms = []
    for draw in range(DRAWS):
        schedules = [
            TrialSchedule(Random(f'{draw} {index}')) for index in range(count)
        ]
        context.draws_ms.append(
            sorted(_first_trial_ms(each, count) for each in schedules)
        )


def _first_trial_ms(schedule, gateway_count):
    now_ms = 0.0
    while not schedule.take_trial(DIGEST, gateway_count, now_ms):
        if now_ms > TRIALS_END_MS:
            return inf
        now_ms += REQUEST_INTERVAL_MS
    return now_ms


@then('the first trial is {first_s:d} s to {last_s:d} s after the refusal')
def then_first_trial(context, first_s, last_s):
    for trials_ms in context.draws_ms:
        assert first_s * 1000 <= trials_ms[0] <= last_s * 1000, trials_ms[0]


@then('within {span_s:g} s of it at most {count:d} trials are made')
def then_few_trials(context, span_s, count):
    for trials_ms in context.draws_ms:
        until_ms = trials_ms[0] + span_s * 1000
        early = [trial_ms for trial_ms in trials_ms if trial_ms <= until_ms]
        assert len(early) <= count, early


@given('a gateway whose leader last told of a suspect {age_ms:d} ms ago')
def given_age(context, age_ms):
    context.suspects = SuspectFixture()
    context.suspects.quarantine = Quarantine(QUARANTINE_MS, LEASE_MS)
    suspect = Suspect(DIGEST, ('server',), QUARANTINE_MS, 1)
    context.suspects.quarantine.merge((suspect,), NOW_MS - age_ms)


@then('a server that is lost under the request is its loss {count:d} in a row')
def then_loss_in_row(context, count):
    context.suspects.send('another server')
    suspect = context.suspects.lose('another server')
    assert suspect.losses_in_row == count, suspect
