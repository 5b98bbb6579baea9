"""Steps for answers whose head breaks the grammar of HTTP."""

from behave import given
from behave import then
from behave import when

from features.steps.cut_answer_steps import BODY
from features.steps.cut_answer_steps import CutFixture
from features.steps.cut_answer_steps import CuttingServer
from features.steps.cut_answer_steps import LENGTH
from fuchsiacart.clocks import steady_ms
from fuchsiacart.configurations import RequestKind

STATUS_LINE, _, FIELDS = LENGTH.partition('\r\n')
VERSION = 'HTTP'


class OddHeadServer(CuttingServer):
    """Answers the path ``/cut`` with an odd line in the head.

    :param line: the line; a status line takes the place of the proper one.
    """

    def __init__(self, line):
        super().__init__('a length')
        status_line, fields = STATUS_LINE, f'{line}\r\n{FIELDS}'
        if line.upper().startswith(VERSION):
            status_line, fields = line, FIELDS
        self.head = f'{status_line}\r\n{fields}'
        self.cut = 0

    async def _cut(self, writer):
        writer.write(f'{self.head}{self.body}'.encode('latin-1'))
        await writer.drain()


class OddHeadFixture(CutFixture):
    """A gateway before a server with odd heads, to which callers connect."""

    def __init__(self, line):
        super().__init__('a length')
        self.cutting.stop()
        self.cutting = OddHeadServer(line)
        self.run(self._replace_server())

    async def _replace_server(self):
        self.addresses['cutting'] = await self.cutting.start()

    async def ask_in_both_ways(self, kind):
        """Return the answers over a new connection and over a kept one."""
        answers = []
        paths = ('/before', '/cut', '/behind')
        self.apply(kind)
        answers.append(await self.ask(paths))
        self.apply(kind)
        await self.ask(['/warm'] * len(paths))
        answers.append(await self.ask(paths))
        return answers


@given(
    'a gateway before a server that sends the line "{line}" with its answer'
)
def given_line(context, line):
    """Backslashes in the line escape bytes that a table cannot hold."""
    text = line.encode().decode('unicode_escape')
    context.odd = OddHeadFixture(text)
    context.resources.callback(context.odd.close)


@when('a non-idempotent request has got such an answer')
def when_answered(context):
    fixture = context.odd
    fixture.apply(RequestKind.NON_IDEMPOTENT)
    fixture.run(fixture.ask(('/cut',)))


@then(
    'each caller of a non-idempotent request gets {status:d},'
    ' over new connections and kept ones'
)
def then_refused(context, status):
    fixture = context.odd
    context.answers = dict(
        enumerate(
            fixture.run(fixture.ask_in_both_ways(RequestKind.NON_IDEMPOTENT))
        )
    )
    statuses = [answers[1][0] for answers in context.answers.values()]
    assert statuses == [status] * 2, context.answers


@then('no caller of an idempotent request gets it, as a second server answers')
def then_second(context):
    fixture = context.odd
    fixture.run(fixture.add_second())
    answers = fixture.run(fixture.ask_in_both_ways(RequestKind.IDEMPOTENT))
    assert all(
        answer == (200, BODY) for group in answers for answer in group
    ), answers


@then('the gateway avoids the server, and has evidence of its failure')
def then_avoided(context):
    forwarder = context.odd.forwarder
    (server,) = forwarder.selector.servers.values()
    assert server.suspended_until_ms > steady_ms(), server
    (evidence,) = forwarder.evidence.flush()
    assert (evidence.failures, evidence.answers) == (1, 0), evidence
