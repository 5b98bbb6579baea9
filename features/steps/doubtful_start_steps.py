"""Steps for starts that may have said what counts for earlier ones."""

from asyncio import sleep
from unittest.mock import patch

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace
from tornado.httputil import HTTPHeaders

from features.steps.statement_steps import check_full_lines
from features.steps.stating_servers import answer
from features.steps.stating_servers import CHECKS
from features.steps.stating_servers import StatingServer
from fuchsiacart.gateway.doubtful_starts import CheckOutcome
from fuchsiacart.gateway.doubtful_starts import DoubtfulStarts
from fuchsiacart.gateway.doubtful_starts import judge_check
from fuchsiacart.gateway import start_checks
from fuchsiacart.platform.headers import PlatformDialect
from fuchsiacart.servers import ServerRecord
from fuchsiacart.servers import ServerStart

NAME = 'server'
SAYINGS = {
    'nothing': {},
    'its name': {'X-Instance-Id': NAME},
    'another name': {'X-Instance-Id': 'another'},
    'that it leaves': {'Server-Leaving': '1'},
    'for how long it is full': {'Retry-After': '0.5', 'X-Not-Run': '1'},
}
ADDRESS = '127.0.0.1:80'


def _record(born_ms):
    return ServerRecord(NAME, born_ms, 1, 'stock', ADDRESS, 'cymru-a', 4)


@given('a health check of the first server shows {what}')
@when('a health check of the first server shows {what}')
def given_health(context, what):
    context.statements.first.health = CHECKS[what]


@when('health checks of the first server take {delay_s:g} s')
def given_slow_health(context, delay_s):
    context.statements.first.health_delay_s = delay_s


@when('its view has another start, which leaves, while that one is checked')
def when_checked_too_late(context):
    fixture = context.statements
    first = fixture.first
    fixture.run(sleep(first.health_delay_s / 2))
    assert first.checked == 1, first.checked
    first.health = CHECKS['that it leaves']
    fixture.put_record(born_ms=3)
    fixture.run(sleep(first.health_delay_s * 2))


@given('the health check of the service is at "{path}"')
def given_health_path(context, path):
    context.statements.health_path = path


@given('the health check of the service is at ""')
def given_no_health_path(context):
    context.statements.health_path = ''


@given('a health check that is answered {status:d}, which says {saying}')
def given_answer(context, status, saying):
    headers = HTTPHeaders(SAYINGS[saying])
    context.answer = status, PlatformDialect().read_response(status, headers)


@then('the check shows that it is {outcome}')
def then_shows(context, outcome):
    found = judge_check(NAME, *context.answer)
    assert found is CheckOutcome(outcome), found


@when('the server answers requests without a word on itself')
def when_silent(context):
    context.statements.first.respond = answer


@when('its view has a later start of the first server')
def when_later_start(context):
    context.statements.put_record(born_ms=2)


@when('no start is in doubt any more')
def when_settled(context):
    fixture = context.statements
    fixture.run(fixture.finish_checks())


@when('the first server starts again at another address')
def when_elsewhere(context):
    fixture = context.statements

    async def open_server():
        return StatingServer(fixture.first.name)

    context.moved = fixture.run(open_server())
    fixture.servers.append(context.moved)
    fixture.put_record(born_ms=2, address=f'127.0.0.1:{context.moved.port}')


@then('the first server was checked')
def then_checked(context):
    assert context.statements.first.checked


@then('the first server was checked 1 time')
def then_checked_once(context):
    assert context.statements.first.checked == 1


@then('neither was checked')
def then_none_checked(context):
    checked = sum(each.checked for each in context.statements.servers)
    assert not checked, checked


@then('one line of a health check tells that it is full, for {wait_ms:d} ms')
def then_full_by_check(context, wait_ms):
    check_full_lines(context.statements, '', wait_ms)


@given('one start is checked at a time')
def given_one_at_a_time(context):
    context.resources.enter_context(
        patch.object(start_checks, 'MAX_CHECKS', 1)
    )


@when('the second server says that it leaves')
def when_second_says(context):
    fixture = context.statements
    record = fixture.view.servers[fixture.servers[1].name]
    statements = fixture.forwarder.statements
    statements.record_departure(record.start, record.address)


@when('its view has later starts of both')
def when_later_starts(context):
    fixture = context.statements
    for server in fixture.servers[:2]:
        record = fixture.view.servers[server.name]
        fixture.view.servers[server.name] = replace(record, born_ms=2)
    fixture.forwarder.apply_view(fixture.view, 1)


@then('only the first server is still in doubt after {after_s:g} s')
def then_only_first(context, after_s):
    fixture = context.statements
    fixture.run(sleep(after_s))
    doubted = fixture.forwarder.selector.doubted_servers()
    names = [server.name for server in doubted]
    assert names == [fixture.first.name], names


@given('a start in doubt that is being checked')
def given_being_checked(context):
    context.doubtful = DoubtfulStarts()
    context.doubtful.add(ServerStart(NAME, 1), ADDRESS)
    context.checked = context.doubtful.find(_record(2))
    assert context.checked


@when('the earlier start says again that it leaves')
def when_says_again(context):
    context.doubtful.add(ServerStart(NAME, 1), ADDRESS)


@when('the check ends')
def when_check_ends(context):
    context.doubtful.settle(NAME, context.checked)


@then('the start is still in doubt')
def then_in_doubt(context):
    assert context.doubtful.find(_record(2))


@then('a later start is in doubt too')
def then_later_in_doubt(context):
    assert context.doubtful.find(_record(3))


@given('what 3 starts of a server have said')
def given_three(context):
    context.doubtful = DoubtfulStarts()
    for born_ms in (3, 1, 2):
        context.doubtful.add(ServerStart(NAME, born_ms), ADDRESS)


@then('none of the first two is in doubt by the third')
def then_earlier_not(context):
    assert not context.doubtful.find(_record(1))
    second = context.doubtful.find(_record(2))
    assert [each.born_ms for each in second] == [1], second


@then('a fourth is in doubt by each of them')
def then_fourth(context):
    fourth = context.doubtful.find(_record(4))
    assert sorted(each.born_ms for each in fourth) == [1, 2, 3], fourth
    elsewhere = replace(_record(4), address='127.0.0.2:80')
    assert not context.doubtful.find(elsewhere)


@given('what {starts:d} starts of each of {names:d} servers have said')
def given_many(context, starts, names):
    context.doubtful = DoubtfulStarts()
    for index in range(names):
        for born_ms in range(starts):
            start = ServerStart(f'{NAME}-{index}', born_ms)
            context.doubtful.add(start, ADDRESS)


@then('it keeps {names:d} names and at most {starts:d} starts of each')
def then_bounded(context, names, starts):
    kept = context.doubtful.names
    assert len(kept) == names, len(kept)
    for name in kept:
        record = replace(_record(100), name=name)
        found = context.doubtful.find(record)
        assert len(found) <= starts, found
