"""Steps for requests that crash the servers that run them."""

from behave import given
from behave import then
from behave import when

from fuchsiacart.gateway.suspect_reports import SuspectReports
from fuchsiacart.messages import Suspect
from fuchsiacart.quarantine import Quarantine

QUARANTINE_MS = 60_000
NOW_MS = 1_000
DIGEST = 'digest'


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
        self.reports.add(Suspect(DIGEST, broken, QUARANTINE_MS, self.losses))

    def reported(self):
        """Return the losses that the next renewal reports."""
        return [each.losses_in_row for each in self.reports.make_report()]


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
