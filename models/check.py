"""Explores the models exhaustively and proves that they find seeded faults.

Prints a line for each case: the model, its bounds, the number of states and
the violated invariants.  Without a fault all invariants must hold; with a
seeded fault one of them must not.
"""

from concurrent.futures import ProcessPoolExecutor
from sys import exit as sys_exit
from time import monotonic

from minicheck import check_safety
from msgspec import Struct
from msgspec.structs import replace

from models import changes
from models.changes import ChangesModel
from models.changes import ClaimsModel
from models import departures
from models.departures import DEPARTURES
from models.departures import DeparturesModel
from models.departures import EXPIRIES
from models.departures import OTHER_DEPARTURE
from models.departures import REPORTS
from models import orders
from models.orders import OrdersModel
from models import replication
from models.replication import Bounds
from models.replication import COMPLETE_LEADERS
from models.replication import MAJORITY_ELECTS
from models.replication import ONE_LEADER
from models.replication import replacement_of
from models.replication import ReplicationModel

STATE_LIMIT = 400_000
WORKERS = 6
CUT_OFF_PAIRS = (frozenset(('r1', 'r2')),)

CRASHES = Bounds(
    'two candidates, a restart', ('r1', 'r2'), crashes=1, duplicates=0
)
COMMANDS = Bounds(
    'two candidates cut off from each other, two commands',
    ('r1', 'r2'),
    commands=2,
    cut=CUT_OFF_PAIRS,
    duplicates=0,
)
ONE_DUPLICATE = Bounds('one candidate, a command, a message twice', ('r1',), 1)
DUPLICATES = Bounds('two candidates, a message twice', ('r1', 'r2'))
PRE_VOTES = Bounds(
    'two candidates, pre-votes', ('r1', 'r2'), pre_vote=True, duplicates=0
)
EARLIER_TERMS = Bounds(
    'five elections, two replicas cut off from each other',
    ('r1', 'r2', 'r2', 'r1', 'r2'),
    cut=CUT_OFF_PAIRS,
    duplicates=0,
)
REPLACEMENT = Bounds(
    'a lost disk and its replacement, which starts an election',
    ('r1', replacement_of('r3')),
    lost_disks=('r3',),
    duplicates=0,
)
BLANK = Bounds(
    'two candidates, a lost disk',
    ('r1', 'r2'),
    lost_disks=('r3',),
    duplicates=0,
)
SECOND_LOSS = Bounds(
    'a second disk lost right after the replacement',
    ('r1', replacement_of('r3')),
    lost_disks=('r3', 'r1'),
    duplicates=0,
    cut=(frozenset(('r1', replacement_of('r1'))),),
)

PLANNED = replace(
    REPLACEMENT,
    name='a lost disk, members planned by the group itself',
    planned=True,
)
PLANNED_SECOND_LOSS = replace(
    SECOND_LOSS,
    name='a second disk lost, members planned by the group itself',
    planned=True,
)
BEHIND = replace(
    REPLACEMENT,
    name='a lost disk, a learner is promoted that lacks an entry',
    batch_entries=2,
)

LEADER_EXCHANGE = Bounds(
    'an operator replaces the leader, which is cut off from one voter',
    ('r1', 'r2'),
    exchanged=('r1',),
    cut=CUT_OFF_PAIRS,
    duplicates=0,
)


HEARTBEAT_CALLS = ('first heartbeat', 'second heartbeat', 'third heartbeat')
SILENCE_CALLS = (*HEARTBEAT_CALLS, *EXPIRIES, *DEPARTURES)
ADDRESS_CALLS = (
    *HEARTBEAT_CALLS[:2],
    'heartbeat of another server at the address',
    OTHER_DEPARTURE,
    'expiry',
    *DEPARTURES,
)
REPORT_CALLS = (*HEARTBEAT_CALLS, *REPORTS, 'expiry', 'departure')
DEPARTURES_CASES = {
    'silence': SILENCE_CALLS,
    'a new start': (
        *HEARTBEAT_CALLS[:2],
        'heartbeat of a new start',
        *EXPIRIES,
        'departure',
    ),
    'another server at the address': ADDRESS_CALLS,
    'draining': (
        *HEARTBEAT_CALLS[:2],
        'draining heartbeat',
        *EXPIRIES,
        'departure',
    ),
    'reported by a gateway': REPORT_CALLS,
}


class Case(Struct, frozen=True):
    """One exploration.

    ``model`` is the class of the model and its arguments; ``must_hold`` is
    True if all invariants must hold.  ``broken`` names the invariant that a
    fault must break; any one if empty.
    """

    title: str
    model: object
    must_hold: bool
    broken: str = ''


class CaseResult(Struct, frozen=True):
    """The result of an exploration."""

    title: str
    states: int
    exhaustive: bool
    violations: tuple[str, ...]
    seconds: float
    passed: bool


def replication_case(bounds, broken='', **faults):
    """Return a case of the replicated log.

    :param bounds: the :class:`Bounds`.
    :param broken: name of the invariant that the faults must break.
    :param faults: the :class:`replication.Faults` to seed.
    """
    title = f'log: {bounds.name}'
    if faults:
        title += f', fault {" ".join(faults)}'
    model = (ReplicationModel, bounds, replication.Faults(**faults))
    return Case(title, model, not faults, broken)


def changes_case(length, pulls, **faults):
    """Return a case of changes and of the views that follow them."""
    title = f'changes: {length} commands, {pulls} pulls'
    if faults:
        title += f', fault {" ".join(faults)}'
    model = (ChangesModel, length, pulls, changes.Faults(**faults))
    return Case(title, model, not faults)


def claims_case(length, **faults):
    """Return a case of claims."""
    title = f'claims: {length} commands'
    if faults:
        title += f', fault {" ".join(faults)}'
    return Case(
        title, (ClaimsModel, length, changes.Faults(**faults)), not faults
    )


def orders_case(count, copies, **faults):
    """Return a case of orders that are read late."""
    title = f'orders: {count} orders, {copies} copies'
    if faults:
        title += f', fault {" ".join(faults)}'
    model = (OrdersModel, count, copies, orders.Faults(**faults))
    return Case(title, model, not faults)


def departures_case(title, calls, is_earlier_leader=False, **faults):
    """Return a case of the calls of a server that starts and leaves."""
    title = f'departures: {title}'
    if is_earlier_leader:
        title += ', a leader of the build before'
    if faults:
        title += f', fault {" ".join(faults)}'
    arguments = (calls, is_earlier_leader, departures.Faults(**faults))
    return Case(title, (DeparturesModel, *arguments), not faults)


CASES = (
    replication_case(SECOND_LOSS),
    replication_case(CRASHES),
    replication_case(COMMANDS),
    replication_case(ONE_DUPLICATE),
    replication_case(DUPLICATES),
    replication_case(PRE_VOTES),
    replication_case(EARLIER_TERMS),
    replication_case(REPLACEMENT),
    replication_case(BEHIND),
    replication_case(PLANNED),
    replication_case(PLANNED_SECOND_LOSS),
    replication_case(LEADER_EXCHANGE),
    changes_case(5, 2),
    claims_case(6),
    orders_case(3, 3),
    *(
        departures_case(title, calls, is_earlier)
        for title, calls in DEPARTURES_CASES.items()
        for is_earlier in (False, True)
    ),
    replication_case(CRASHES, ONE_LEADER, vote_not_synced=True),
    replication_case(CRASHES, COMPLETE_LEADERS, log_not_synced=True),
    replication_case(
        EARLIER_TERMS, COMPLETE_LEADERS, commits_earlier_term=True
    ),
    replication_case(BLANK, ONE_LEADER, blank_votes=True),
    replication_case(BLANK, ONE_LEADER, founds_again=True),
    replication_case(REPLACEMENT, MAJORITY_ELECTS, votes_by_own_group=True),
    replication_case(PLANNED, MAJORITY_ELECTS, votes_by_own_group=True),
    replication_case(
        LEADER_EXCHANGE, MAJORITY_ELECTS, removed_leader_gives_up=True
    ),
    changes_case(5, 2, resend_applied_twice=True),
    changes_case(5, 2, forgets_on_snapshot=True),
    changes_case(5, 2, stale_relay_accepted=True),
    claims_case(6, closed_key_runs_again=True),
    claims_case(6, forgets_on_snapshot=True),
    claims_case(6, close_not_kept=True),
    orders_case(3, 3, noted_after_check=True),
    orders_case(3, 3, caller_not_checked=True),
    orders_case(3, 3, index_not_checked=True),
    orders_case(3, 3, forgotten_on_new_term=True),
    departures_case('silence', SILENCE_CALLS, record_left_out=True),
    departures_case('silence', SILENCE_CALLS, expires_for_good=True),
    departures_case('address', ADDRESS_CALLS, keeps_address=True),
    departures_case('reported', REPORT_CALLS, True, counts_up=True),
)


def explore(case):
    """Explore one case; runs in a worker process."""
    started_s = monotonic()
    model_class, *arguments = case.model
    report = check_safety(model_class(*arguments).protocol(), STATE_LIMIT)
    verdicts = report['properties']
    violations = tuple(
        f'{name} (in {len(verdict["counterexample"]) - 1} steps)'
        for name, verdict in verdicts.items()
        if verdict['holds'] is False
    )
    is_found = bool(violations)
    if case.broken:
        is_found = verdicts[case.broken]['holds'] is False
    holds = report['exhaustive'] and not violations
    return CaseResult(
        case.title,
        report['reachable_states'],
        report['exhaustive'],
        violations,
        monotonic() - started_s,
        holds if case.must_hold else is_found,
    )


def main():
    """Explore all cases; exit with code 1 if a result is not as expected."""
    with ProcessPoolExecutor(WORKERS) as pool:
        rows = list(pool.map(explore, CASES))
    for row in rows:
        verdict = ', '.join(row.violations) or 'holds'
        extent = 'exhaustive' if row.exhaustive else 'NOT exhaustive'
        mark = 'ok  ' if row.passed else 'FAIL'
        print(
            f'{mark} {row.title}: {row.states} states, {extent},'
            f' {row.seconds:.0f} s: {verdict}'
        )
    passed = sum(row.passed for row in rows)
    print(f'models: {passed} as expected, {len(rows) - passed} not')
    sys_exit(0 if passed == len(rows) else 1)


if __name__ == '__main__':
    main()
