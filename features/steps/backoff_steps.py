"""Steps for servers that want no request for a while, without a network."""

from random import Random

from behave import given
from behave import then
from behave import when
from tornado.httputil import HTTPHeaders

from features.steps.route_steps import SERVER
from fuchsiacart.gateway.backoffs import BackoffLedger
from fuchsiacart.gateway.backoffs import FULL_IN_FLIGHT
from fuchsiacart.platform.headers import PlatformDialect

START = SERVER.start
MANY = 10 * FULL_IN_FLIGHT
STEP_MS = 1


def _make_ledger(seed, wait_s):
    ledger = BackoffLedger(Random(seed))
    assert ledger.record(START, wait_s * 1000, 0.0)
    return ledger


def count_at_once(ledger, start, now_ms):
    """Return how many requests may be in flight at a time, or ``MANY``."""
    counted = []
    while len(counted) < MANY and ledger.accepts(start, now_ms):
        counted.append(ledger.begin(start))
    for each in counted:
        ledger.end(each)
    return len(counted)


@given('a gateway that was told by a server to wait {wait_s:d} s')
def given_told(context, wait_s):
    context.ledger = _make_ledger(1, wait_s)


@when('a request is answered {after_s:g} s later')
def when_answered(context, after_s):
    assert context.ledger.accepts(START, after_s * 1000)
    counted = context.ledger.begin(START)
    context.ledger.end(counted)
    context.ledger.record_success(START, counted)


@when('a request that was sent before is answered {after_s:g} s later')
def when_earlier_answered(context, after_s):
    assert context.ledger.accepts(START, after_s * 1000)
    context.ledger.record_success(START, None)


@when('{count:d} requests are answered {after_s:g} s later')
def when_many_answered(context, count, after_s):
    for _ in range(count):
        when_answered(context, after_s)


@when('the server says again to wait {wait_s:d} s, {after_s:g} s later')
def when_told_again(context, wait_s, after_s):
    context.ledger.record(START, wait_s * 1000, after_s * 1000)


@then('it sends {count:d} requests at once {after_s:g} s later')
def then_sends(context, count, after_s):
    sent = count_at_once(context.ledger, START, after_s * 1000)
    assert sent == count, sent


@then('it sends any number of requests {after_s:g} s later')
def then_sends_any(context, after_s):
    sent = count_at_once(context.ledger, START, after_s * 1000)
    assert sent == MANY, sent


@given('{count:d} gateways that were told by a server to wait {wait_s:d} s')
def given_all_told(context, count, wait_s):
    ledgers = [_make_ledger(seed, wait_s) for seed in range(count)]
    context.returned_ms = [_returned_ms(ledger) for ledger in ledgers]
    context.told_ms = {ledger.wait_ms(START, 0.0) for ledger in ledgers}


def _returned_ms(ledger):
    now_ms = 0
    while not ledger.accepts(START, now_ms):
        now_ms += STEP_MS
    return now_ms


@then('none returns within {wait_s:d} s')
def then_none_returns(context, wait_s):
    assert min(context.returned_ms) >= wait_s * 1000, min(context.returned_ms)


@then('all have returned after {wait_s:g} s')
def then_all_returned(context, wait_s):
    assert max(context.returned_ms) <= wait_s * 1000, max(context.returned_ms)


@then('callers are told by each to come after {wait_s:g} s')
def then_told(context, wait_s):
    assert context.told_ms == {wait_s * 1000}, context.told_ms


@then('at most {count:d} of them return within the same {span_ms:d} ms')
def then_spread(context, count, span_ms):
    most = max(
        sum(first <= each < first + span_ms for each in context.returned_ms)
        for first in context.returned_ms
    )
    assert most <= count, most


@given('an instance that answers {status:d} with Retry-After "{text}"')
def given_retry_after(context, status, text):
    headers = HTTPHeaders({'Retry-After': text})
    context.metadata = PlatformDialect().read_response(status, headers)


@then('it names {wait_ms:d} ms')
def then_names(context, wait_ms):
    assert context.metadata.retry_after_ms == wait_ms, context.metadata
