"""Steps for explanations of where a request would go."""

from contextlib import redirect_stdout
from io import StringIO
from threading import Thread

from behave import given
from behave import then
from behave import when
from msgspec.json import decode

from features.steps.platform_path_steps import DOMAINS
from fuchsiacart.cli import main
from fuchsiacart.clocks import steady_ms
from fuchsiacart.gateway.operators.explanations import explain
from fuchsiacart.gateway.operators.explanations import Question

FAR_MS = 60_000.0
TOKEN = 'an operator token of the test'


def first_server(context):
    """Return the only server of the gateway."""
    (server,) = context.account.forwarder.selector.servers.values()
    return server


@given('its server is free')
def given_free(context):
    context.path = '/1'


@given('its server is suspended')
def given_suspended(context):
    first_server(context).suspended_until_ms = steady_ms() + FAR_MS


@given('its server leaves')
def given_leaving(context):
    start = first_server(context).record.start
    context.account.forwarder.selector.departures.add(start)


@given('its server is full')
def given_full(context):
    server = first_server(context)
    server.in_flight = 10 * server.record.slots


@given('its view is too old for keys')
def given_old(context):
    context.account.forwarder.keys._limit_ms = 1000.0
    context.account.confirm(FAR_MS)


@given('no route matches')
def given_no_route(context):
    context.host_name = 'other.example'


@when('it is explained for {account}')
def when_explained(context, account):
    host_name = getattr(context, 'host_name', 'shop.example')
    question = Question(host_name, '/1', account, 'object')
    context.explanation = explain(context.account.forwarder, question)


@then('the explanation says {what}')
def then_said(context, what):
    explanation = context.explanation
    if 'verdict' not in what:
        assert explanation.refusal == what, explanation
        assert not explanation.server, explanation
        return
    (candidate,) = explanation.candidates
    server, _, verdict = what.partition(', verdict ')
    assert candidate.verdict == verdict, explanation
    if server == 'no server':
        assert explanation.refusal and not explanation.server, explanation
    else:
        assert explanation.server == candidate.server, explanation


@then('no server got a request')
def then_unsent(context):
    fixture = context.account
    assert not fixture.cutting.heads, fixture.cutting.heads
    assert not fixture.forwarder.selector._object_rates._counts


@then('it tells the rank {rank:d} and the quota that is left')
def then_terms(context, rank):
    terms = context.explanation.terms
    assert (terms.rank, terms.account) == (rank, 'anna'), terms
    assert terms.quota_left is not None, terms


@then('its server is the one that was explained')
def then_same(context):
    assert context.account.statuses == [200], context.account.answers
    assert context.explanation.server == first_server(context).name


def run_command(fixture, arguments):
    """Run the command while the fixture's loop goes on.

    :return: its exit code and its output.
    """
    output = StringIO()
    codes = []

    def run():
        with redirect_stdout(output):
            try:
                main(arguments)
                codes.append(0)
            except SystemExit as error:
                codes.append(error.code)

    thread = Thread(target=run)
    thread.start()
    while thread.is_alive():
        fixture.run(fixture.pause())
    return codes[0], output.getvalue()


def explain_at(context, token, *options):
    """Run the command for a request at the first gateway."""
    fixture = context.platform
    ip = fixture.gateways[0]
    port = fixture.http_port(ip)
    return run_command(
        fixture,
        [
            f'--token={token}',
            *options,
            'explain',
            f'{ip}:{port}',
            'shop.example',
            '/stock/1',
        ],
    )


@then('the command explains a request at a gateway, as text and as JSON')
def then_command(context):
    fixture = context.platform

    async def is_served():
        reply = await fixture.send_request(fixture.gateways[0])
        return reply is not None and reply.code == 200

    fixture.run(fixture.wait_until(is_served))
    code, text = explain_at(context, fixture.operator_token)
    assert code == 0, text
    assert 'verdict' in text and 'chosen' in text, text
    code, text = explain_at(context, fixture.operator_token, '--json')
    assert code == 0, text
    document = decode(text)
    names = {instance.name for instance in fixture.instances}
    assert document['server'] in names, document
    assert document['candidates'][0]['failure_domain'] in DOMAINS, document


@then('without the token it is refused')
def then_refused(context):
    code, text = explain_at(context, 'another token')
    assert code == 4 and not text, (code, text)
