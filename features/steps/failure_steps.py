"""Steps that cause failures in a deployment of real processes."""

from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from time import monotonic
from time import sleep
from tomllib import loads

from behave import then
from behave import when
from msgspec.json import decode
from uuid6 import uuid7

from fuchsiacart.client.sessions import OperatorSession
from fuchsiacart.client.transports import TornadoAdapter
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import TransportError
from standins.caller import RequestOutcome
from standins.fleet import DEPLOY_FOLDER
from standins.invariants import check_invariants
from tools.deploy import EXAMPLE_TOKENS

WAIT_TIMEOUT_S = 30.0
LEAVE_LIMIT_S = 3.0
ORDER_TIMEOUT_S = 8.0
PROBE_DURATION_S = 4.0
# Far enough away that no request is refused as too late.
FAR_DEADLINE_MS = 30_000
CUSTOMER = 'pedal-bristol'
TOKEN = f'example-token-{CUSTOMER}'


def send_order(
    deployment, host, key, body=b'{}', url_path='/orders', method='POST'
):
    """Send one order to one entry host.

    :param deployment: the deployment; not used.
    :param host: HTTP address of the entry host.
    :param key: idempotency key, or an empty text for none.
    :return: the :class:`HttpReply`.
    :raises TransportError: if the host cannot be reached or does not answer
        within ``ORDER_TIMEOUT_S``.
    """
    headers = {'Authorization': f'Bearer {TOKEN}'}
    if key:
        headers['Idempotency-Key'] = key
    adapter = TornadoAdapter()
    try:
        return adapter.send(
            method,
            f'http://{host}/s/orders{url_path}',
            headers,
            body,
            ORDER_TIMEOUT_S,
        )
    finally:
        adapter.close()


def count_runs(fleet, key=None):
    """Count the runs of one key, or of each key if none is given."""
    lines = [line for line in fleet.records() if line[0] == 'run']
    counts = Counter(line[3] for line in lines)
    return counts[key] if key else counts


@when('callers send {count:d} {rank} requests to {url}')
def when_planned(context, count, rank, url):
    """Plan the requests; the next step sends them."""
    context.plan = (count, rank, url)


@when('callers of {region} send {count:d} {rank} requests to {url}')
def when_sent_from(context, region, count, rank, url):
    """Send from a client in the region and wait for all outcomes."""
    client = {'lloegr': 0, 'cymru': 1}[region]
    context.deployment.send(count, rank, url, client=client)


@when('{name} is killed while they run')
def when_killed(context, name):
    """Send the planned requests and kill the process meanwhile."""
    fleet = context.deployment.fleet
    if name == 'the leading control host':
        name = fleet.leader()
    _send_planned(context, lambda: fleet.kill(name))


@when('{name} is stopped gracefully while they run')
def when_stopped(context, name):
    """Send the planned requests and send the process SIGTERM meanwhile."""
    fleet = context.deployment.fleet

    def stop():
        context.lines_at_stop = len(fleet.records())
        context.exit_code = fleet.stop_process(name)

    context.stopped = name
    context.stopped_s = monotonic()
    _send_planned(context, stop, FAR_DEADLINE_MS)


def _send_planned(context, meanwhile, deadline_ms=None):
    count, rank, url = context.plan
    context.deployment.send(
        count, rank, url, meanwhile, deadline_ms=deadline_ms
    )


@when('an order is resent with its key to every other entry host')
def when_resent(context):
    context.key = str(uuid7())
    context.replies = [
        send_order(context.deployment, host, context.key)
        for host in context.deployment.fleet.entry_hosts()
    ]


@when('an order is resent with its key and another body')
def when_key_reused(context):
    key = str(uuid7())
    host = context.deployment.fleet.entry_hosts()[0]
    send_order(context.deployment, host, key)
    context.replies = [
        send_order(context.deployment, host, key, b'{"more": 1}')
    ]


@when('an order is sent with the key "{key}"')
def when_sent_with_key(context, key):
    host = context.deployment.fleet.entry_hosts()[0]
    key = '' if key == 'none' else key
    context.replies = [send_order(context.deployment, host, key)]


@when('a caller sends an order to {url}')
def when_order_sent(context, url):
    host = context.deployment.fleet.entry_hosts()[0]
    key = str(uuid7())
    context.replies = [send_order(context.deployment, host, key, b'{}', url)]


@when('an operator drains {scope} {name} and waits for its end')
def when_drained(context, scope, name):
    """Start the drain and wait until its end is reported."""
    fleet = context.deployment.fleet

    def is_drained():
        with fleet.operator_session() as session:
            rows = session.list_drains()
        return rows and rows[0]['drained_ms'] > 0

    with fleet.operator_session() as session:
        session.start_drain(scope, name)
    fleet.wait_until(is_drained)
    context.lines_before = len(fleet.records())


@when('{name} is frozen')
def when_frozen(context, name):
    context.deployment.fleet.pause(name)
    context.frozen = name


@when('an operator changes a contract')
def when_contract_changed(context):
    """Replace the token of the customer's contract."""
    file = DEPLOY_FOLDER / 'golau-beic' / 'contracts' / f'{CUSTOMER}.toml'
    contract = loads(file.read_text())
    contract['token_sha256'] = ['0' * 64]
    with context.deployment.fleet.operator_session() as session:
        outcome = session.put_contract(contract, 1)
    context.revision = outcome['revision']


@when('the change is in force everywhere')
def when_in_force(context):
    """Wait until the audit trail records when it came into force."""
    fleet = context.deployment.fleet

    def in_force():
        with fleet.operator_session() as session:
            return session.list_audit(CUSTOMER)[-1]['in_force_ms'] > 0

    fleet.wait_until(in_force)


@when('{name} is resumed')
def when_resumed(context, name):
    context.deployment.fleet.resume(name)


@when('two operators change the same version at once')
def when_changes_race(context):
    """Send two changes at once with the same expected version."""
    file = DEPLOY_FOLDER / 'golau-beic' / 'contracts' / f'{CUSTOMER}.toml'
    contract = loads(file.read_text())
    context.changes = {str(uuid7()): None, str(uuid7()): None}
    context.contract = contract
    with ThreadPoolExecutor(2) as pool:
        for change_id, outcome in zip(
            context.changes,
            pool.map(lambda each: _put(context, each), context.changes),
        ):
            context.changes[change_id] = outcome


def _put(context, change_id):
    """Put the contract; return its new version, or the conflict's detail."""
    fleet = context.deployment.fleet
    hosts = [fleet.http_address(name) for name in fleet.control_names]
    with OperatorSession(hosts, EXAMPLE_TOKENS['operator']) as session:
        try:
            outcome = session.put_contract(context.contract, 1, change_id)
            return str(outcome['version'])
        except FuchsiacartError as error:
            assert error.kind is ErrorKind.CONFLICT, error
            return error.detail


@when(
    'a caller sends a poison request {count:d} times'
    ' through different entry hosts'
)
def when_poison_sent(context, count):
    hosts = context.deployment.fleet.entry_hosts()
    context.replies = [
        send_order(
            context.deployment,
            hosts[index % len(hosts)],
            '',
            None,
            '/stock/poison',
            'GET',
        )
        for index in range(count)
    ]


@when('all hosts and backend servers of {region} are killed')
def when_region_lost(context, region):
    fleet = context.deployment.fleet
    for name in fleet.process_names_in(region):
        fleet.kill(name)


@when('the blocks of {region} have moved to the other regions')
def when_blocks_moved(context, region):
    """Wait until no weight of the region targets the region itself."""
    fleet = context.deployment.fleet

    def moved():
        with fleet.operator_session() as session:
            weights = session.get_status()['weights']
        return not any(
            row['home'] == region and row['target'] == region
            for row in weights
        )

    fleet.wait_until(moved, 60.0)


@then('every request has an answer, a refusal or an unknown outcome')
def then_ended(context):
    """Check that every request has ended and over half were answered."""
    deployment = context.deployment
    assert len(deployment.results) == deployment.started
    ending_counts = Counter(each.outcome for each in deployment.results)
    reason_counts = Counter(each.reason for each in deployment.results)
    assert (
        ending_counts[RequestOutcome.ANSWERED] > deployment.started / 2
    ), reason_counts


@then('every answer equals the first')
def then_same_answer(context):
    bodies = {reply.body for reply in context.replies}
    assert len(bodies) == 1, context.replies
    assert all(reply.status == 200 for reply in context.replies)


@then('the order ran once')
def then_ran_once(context):
    assert count_runs(context.deployment.fleet, context.key) == 1


@then('no order ran')
def then_none_ran(context):
    assert not count_runs(context.deployment.fleet)


@then('it is refused as {kind} with run {run}')
def then_refused(context, kind, run):
    problem = decode(context.replies[-1].body)
    assert (problem['kind'], problem['run']) == (kind, run), problem


@then('{name} has run nothing {seconds:d} seconds after its stop')
def then_nothing_run_after_stop(context, name, seconds):
    """Check that the server ran nothing after the stop signal.

    Requests that it did run are accepted only if the check itself comes
    within the limit, counted from before the requests were sent.
    """
    assert seconds == LEAVE_LIMIT_S
    lines = context.deployment.fleet.records()
    late = [
        line
        for line in lines[context.lines_at_stop :]
        if line[0] == 'run' and line[1] == name
    ]
    assert not late or monotonic() - context.stopped_s < seconds, late


@then('it ended with exit code {code:d}')
def then_exit_code(context, code):
    assert context.exit_code == code, context.exit_code


@then('no backend server of {domain} has run any of them')
def then_domain_unused(context, domain):
    """Check that the server of the domain for orders ran nothing.

    Each region has two such servers: 1 in its domain a, 2 in its domain b.
    """
    region, _, letter = domain.rpartition('-')
    index = 'ab'.index(letter) + 1
    lines = context.deployment.fleet.records()
    names = {line[1] for line in lines if line[0] == 'run'}
    assert f'orders-{region}-{index}' not in names, names


@then('{name} never answers under the old contract')
def then_fenced(context, name):
    """Send requests with the old token after the host is resumed.

    For ``PROBE_DURATION_S`` each reply must be 401 or 503, and at least one
    must say that the old token is unauthorized.
    """
    host = context.deployment.fleet.http_address(name)
    deadline_s = monotonic() + PROBE_DURATION_S
    kinds = Counter()
    while monotonic() < deadline_s:
        try:
            reply = send_order(
                context.deployment, host, '', None, '/stock/1', 'GET'
            )
        except TransportError:
            kinds['unreachable'] += 1
            continue
        assert reply.status in (401, 503), reply
        kinds[decode(reply.body)['kind']] += 1
        sleep(0.02)
    assert kinds['unauthorized'], kinds


@then('one change is accepted and the conflict of the other names it')
def then_one_accepted(context):
    outcomes = sorted(context.changes.values())
    assert outcomes[0] == '2', outcomes
    winner = next(
        change_id
        for change_id, outcome in context.changes.items()
        if outcome == '2'
    )
    assert winner in outcomes[1], outcomes


@then('after the leader is killed each resend gets its first outcome')
def then_resends_agree(context):
    """Kill the leader and send both changes again."""
    fleet = context.deployment.fleet
    fleet.kill(fleet.leader())
    for change_id, outcome in context.changes.items():
        repeated = _put(context, change_id)
        assert repeated == outcome, (repeated, outcome)


@then('at most {most:d} backend servers have crashed')
def then_crashed(context, most):
    processes = context.deployment.fleet.processes
    crashed = [
        name
        for name, process in processes.items()
        if name.startswith('orders') and not process.is_running
    ]
    assert 0 < len(crashed) <= most, crashed


@then('the last of them are refused as {kind}')
def then_last_refused(context, kind):
    kinds = [decode(reply.body)['kind'] for reply in context.replies]
    assert kinds[-3:] == [kind] * 3, kinds


@then('{count:d} other requests have whole answers')
def then_others_answered(context, count):
    """Send requests that harm no server and check the invariants."""
    context.deployment.send(count, 'interactive')
    deployment = context.deployment
    reason_counts = Counter(each.reason for each in deployment.results)
    assert all(
        each.outcome is RequestOutcome.ANSWERED for each in deployment.results
    ), reason_counts
    assert check_invariants(
        deployment.results, deployment.started, deployment.fleet.records()
    ).is_clean
