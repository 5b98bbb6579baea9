"""Steps that bring failures about in a deployment of real processes."""

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

PATIENCE_S = 30.0
LEAVE_LIMIT_S = 3.0
ORDER_TIMEOUT_S = 8.0
PROBE_S = 4.0
# So far away that no request is refused because it would be late.
FAR_DEADLINE_MS = 30_000
CUSTOMER = 'pedal-bristol'
TOKEN = f'example-token-{CUSTOMER}'


def send_order(path, host, key, body=b'{}', url_path='/orders', method='POST'):
    """Send one order to one entry host.

    :return: the :class:`HttpReply`.
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


def runs_of(fleet, key=None):
    """Return how often requests were run, by key."""
    lines = [line for line in fleet.records() if line[0] == 'run']
    counts = Counter(line[3] for line in lines)
    return counts[key] if key else counts


@when('callers send {count:d} {rank} requests to {url}')
def when_plan(context, count, rank, url):
    """Plan the requests; they are sent with the next step."""
    context.plan = (count, rank, url)


@when('callers of {region} send {count:d} {rank} requests to {url}')
def when_send_from(context, region, count, rank, url):
    """Send from a client whose home is a region, and wait for all."""
    client = {'lloegr': 0, 'cymru': 1}[region]
    context.path.send(count, rank, url, client=client)


@when('{name} is killed while they run')
def when_killed(context, name):
    """Send the requests and kill a process meanwhile."""
    fleet = context.path.fleet
    if name == 'the leading control host':
        name = fleet.leader()
    _send_planned(context, lambda: fleet.kill(name))


@when('{name} is stopped as planned while they run')
def when_stopped(context, name):
    """Send the requests and stop a process meanwhile."""
    fleet = context.path.fleet

    def stop():
        context.left_lines = len(fleet.records())
        context.exit_code = fleet.stop_process(name)

    context.stopped = name
    context.stopped_s = monotonic()
    _send_planned(context, stop, FAR_DEADLINE_MS)


def _send_planned(context, meanwhile, deadline_ms=None):
    count, rank, url = context.plan
    context.path.send(count, rank, url, meanwhile, deadline_ms=deadline_ms)


@when('an order is sent again with its key to every other entry host')
def when_resent(context):
    """Send one order to each entry host in turn."""
    context.key = str(uuid7())
    context.replies = [
        send_order(context.path, host, context.key)
        for host in context.path.fleet.entry_hosts()
    ]


@when('an order is sent again with its key and another body')
def when_reused(context):
    """Use a key for two different orders."""
    key = str(uuid7())
    host = context.path.fleet.entry_hosts()[0]
    send_order(context.path, host, key)
    context.replies = [send_order(context.path, host, key, b'{"more": 1}')]


@when('an order is sent with the key "{key}"')
def when_key(context, key):
    """Send an order with a key that is of no use."""
    host = context.path.fleet.entry_hosts()[0]
    key = '' if key == 'none' else key
    context.replies = [send_order(context.path, host, key)]


@when('a caller sends an order to {url}')
def when_order(context, url):
    """Send an order to a path."""
    host = context.path.fleet.entry_hosts()[0]
    key = str(uuid7())
    context.replies = [send_order(context.path, host, key, b'{}', url)]


@when('an operator drains {scope} {name} and waits for its end')
def when_drained(context, scope, name):
    """Drain and wait until it is reported as done."""
    fleet = context.path.fleet

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
    """Freeze a process."""
    context.path.fleet.pause(name)
    context.frozen = name


@when('an operator changes a contract')
def when_changed(context):
    """Take the routes of a customer away."""
    path = DEPLOY_FOLDER / 'golau-beic' / 'contracts' / f'{CUSTOMER}.toml'
    contract = loads(path.read_text())
    contract['token_sha256'] = ['0' * 64]
    with context.path.fleet.operator_session() as session:
        outcome = session.put_contract(contract, 1)
    context.revision = outcome['revision']


@when('the change is in force everywhere')
def when_in_force(context):
    """Wait until the audit trail says so."""
    fleet = context.path.fleet

    def in_force():
        with fleet.operator_session() as session:
            return session.list_audit(CUSTOMER)[-1]['in_force_ms'] > 0

    fleet.wait_until(in_force)


@when('{name} goes on')
def when_resumed(context, name):
    """Let a frozen process go on."""
    context.path.fleet.resume(name)


@when('two operators change the same version at once')
def when_race(context):
    """Send two changes with the same expected version."""
    path = DEPLOY_FOLDER / 'golau-beic' / 'contracts' / f'{CUSTOMER}.toml'
    contract = loads(path.read_text())
    context.changes = {str(uuid7()): None, str(uuid7()): None}
    context.contract = contract
    with ThreadPoolExecutor(2) as pool:
        for change_id, outcome in zip(
            context.changes,
            pool.map(lambda each: _put(context, each), context.changes),
        ):
            context.changes[change_id] = outcome


def _put(context, change_id):
    """Put the contract; return its version or the conflict's text."""
    fleet = context.path.fleet
    hosts = [fleet.http_address(name) for name in fleet.control_names]
    with OperatorSession(hosts, EXAMPLE_TOKENS['operator']) as session:
        try:
            outcome = session.put_contract(context.contract, 1, change_id)
            return str(outcome['version'])
        except FuchsiacartError as error:
            assert error.kind is ErrorKind.CONFLICT, error
            return error.detail


@when(
    'a caller sends a poison request {count:d} times by different entry hosts'
)
def when_poison(context, count):
    """Send the same poison request again and again."""
    hosts = context.path.fleet.entry_hosts()
    context.replies = [
        send_order(
            context.path,
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
    """Kill every process of a region."""
    fleet = context.path.fleet
    for name in fleet.process_names_in(region):
        fleet.kill(name)


@when('the blocks of {region} have moved to the other regions')
def when_moved(context, region):
    """Wait until the weights have moved."""
    fleet = context.path.fleet

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
    """Check that nothing was dropped in silence."""
    path = context.path
    assert len(path.results) == path.started
    endings = Counter(each.outcome for each in path.results)
    reasons = Counter(each.reason for each in path.results)
    assert endings[RequestOutcome.ANSWERED] > path.started / 2, reasons


@then('every answer is the first one')
def then_first(context):
    """Compare the answers."""
    bodies = {reply.body for reply in context.replies}
    assert len(bodies) == 1, context.replies
    assert all(reply.status == 200 for reply in context.replies)


@then('the order has run once')
def then_once(context):
    """Count the runs."""
    assert runs_of(context.path.fleet, context.key) == 1


@then('no order has run')
def then_none(context):
    """Count the runs."""
    assert not runs_of(context.path.fleet)


@then('it is refused as {kind} with run {run}')
def then_refused(context, kind, run):
    """Check the problem document."""
    problem = decode(context.replies[-1].body)
    assert (problem['kind'], problem['run']) == (kind, run), problem


@then('{name} has run nothing {seconds:d} seconds after it left')
def then_left(context, name, seconds):
    """Check what the server ran after it had been told to stop."""
    assert seconds == LEAVE_LIMIT_S
    lines = context.path.fleet.records()
    late = [
        line
        for line in lines[context.left_lines :]
        if line[0] == 'run' and line[1] == name
    ]
    assert not late or monotonic() - context.stopped_s < seconds, late


@then('it ended with exit code {code:d}')
def then_exit(context, code):
    """Check the exit code."""
    assert context.exit_code == code, context.exit_code


@then('no backend server of {domain} has run any of them')
def then_drained(context, domain):
    """Check which servers ran the requests."""
    region, _, letter = domain.rpartition('-')
    index = 'ab'.index(letter) + 1
    lines = context.path.fleet.records()
    names = {line[1] for line in lines if line[0] == 'run'}
    assert f'orders-{region}-{index}' not in names, names


@then('{name} never answers by the old contract')
def then_fenced(context, name):
    """Ask the host that was frozen for a while."""
    host = context.path.fleet.http_address(name)
    deadline_s = monotonic() + PROBE_S
    kinds = Counter()
    while monotonic() < deadline_s:
        try:
            reply = send_order(context.path, host, '', None, '/stock/1', 'GET')
        except TransportError:
            kinds['unreachable'] += 1
            continue
        assert reply.status in (401, 503), reply
        kinds[decode(reply.body)['kind']] += 1
        sleep(0.02)
    assert kinds['unauthorized'], kinds


@then('one change is accepted and the other names the winner')
def then_winner(context):
    """Check both outcomes."""
    outcomes = sorted(context.changes.values())
    assert outcomes[0] == '2', outcomes
    winner = next(
        change_id
        for change_id, outcome in context.changes.items()
        if outcome == '2'
    )
    assert winner in outcomes[1], outcomes


@then('each resend gets its first outcome after the leader is killed')
def then_resend(context):
    """Kill the leader and send both changes again."""
    fleet = context.path.fleet
    fleet.kill(fleet.leader())
    for change_id, outcome in context.changes.items():
        again = _put(context, change_id)
        assert again == outcome, (again, outcome)


@then('at most {most:d} backend servers were broken')
def then_broken(context, most):
    """Count the servers that have crashed."""
    processes = context.path.fleet.processes
    crashed = [
        name
        for name, process in processes.items()
        if name.startswith('orders') and not process.is_running
    ]
    assert 0 < len(crashed) <= most, crashed


@then('the last of them are refused as {kind}')
def then_last(context, kind):
    """Check the last refusals."""
    kinds = [decode(reply.body)['kind'] for reply in context.replies]
    assert kinds[-3:] == [kind] * 3, kinds


@then('{count:d} neighbouring requests have whole answers')
def then_neighbours(context, count):
    """Send good requests."""
    context.path.send(count, 'interactive')
    path = context.path
    endings = Counter(each.reason for each in path.results)
    assert all(
        each.outcome is RequestOutcome.ANSWERED for each in path.results
    ), endings
    assert check_invariants(
        path.results, path.started, path.fleet.records()
    ).is_clean
