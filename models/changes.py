"""Models of changes, of claims and of how views follow the replicated state.

The models run the product's own ``ReplicatedState`` and ``View``, which are
rebuilt from their inputs in each step.  Any command of a fixed set may be
committed next, also several times, as a resend after a lost reply is.  A
snapshot may replace the state at any time.  Relays answer pulls from any
revision that they have reached, and answers may arrive late.
"""

from functools import cache

from minicheck import Protocol
from msgspec import Struct
from msgspec.structs import replace

from fuchsiacart.control.commands import Change
from fuchsiacart.control.commands import Claim
from fuchsiacart.control.commands import Close
from fuchsiacart.control.commands import PutContract
from fuchsiacart.control.commands import Settle
from fuchsiacart.control.states import ReplicatedState
from fuchsiacart.models import Contract
from fuchsiacart.models import CustomerId
from fuchsiacart.models import HostId
from fuchsiacart.models import RankName
from fuchsiacart.models import RankTerms
from fuchsiacart.views import View

CHANGE_TIME_MS = 1_796_000_000_000
KEY = '01a229f1-2800-7000-8000-000000000001'
CUSTOMER = CustomerId('shop')
SNAPSHOT = -1


class Faults(Struct, frozen=True):
    """Faults that can be seeded, to prove that the models find them."""

    resend_applied_twice: bool = False
    stale_relay_accepted: bool = False
    forgets_on_snapshot: bool = False
    closed_key_runs_again: bool = False
    close_not_kept: bool = False


def make_contract(rate_per_s):
    """Return a contract; the rate tells contracts apart."""
    terms = RankTerms(RankName.URGENT, rate_per_s, 1, 10)
    return Contract(CUSTOMER, (), (), (terms,))


def make_put(change_id, version, rate_per_s):
    """Return a command that puts the contract."""
    change = Change(change_id, change_id, CHANGE_TIME_MS)
    return PutContract(change, version, make_contract(rate_per_s))


def make_claim(token, attempt):
    """Return a claim of ``KEY``."""
    return Claim(
        CUSTOMER, KEY, attempt, 'digest', HostId(token), token, CHANGE_TIME_MS
    )


def make_close(token, attempt):
    """Return a command that closes ``KEY`` to make its refusal final."""
    return Close(
        CUSTOMER, KEY, attempt, 'digest', HostId(token), token, CHANGE_TIME_MS
    )


def make_settle(token, ran):
    """Return a command that settles ``KEY``."""
    return Settle(CUSTOMER, KEY, token, ran, 200, '', b'', CHANGE_TIME_MS)


CHANGES = (
    make_put('ann', 0, 1),
    make_put('bob', 0, 2),
    make_put('cat', 1, 3),
)
CLAIMS = (
    make_claim('early', 1),
    make_claim('resend', 1),
    make_claim('next', 2),
    make_close('refuser', 1),
)


class FaultyState(ReplicatedState):
    """The product's state machine with seeded faults.

    :param faults: the :class:`Faults`.
    """

    def __init__(self, faults):
        super().__init__()
        self._faults = faults

    def apply(self, command):
        """Apply a command; a fault forgets the earlier changes first."""
        if self._faults.resend_applied_twice:
            self._change_outcomes.clear()
        return super().apply(command)

    def restore(self, body):
        """Restore a snapshot; a fault drops its changes and claims."""
        super().restore(body)
        if self._faults.forgets_on_snapshot:
            self._change_outcomes.clear()
            self.stored.claims.clear()

    def _close(self, command):
        before = dict(self.stored.claims)
        outcome = super()._close(command)
        if self._faults.close_not_kept:
            self.stored.claims = before
        return outcome

    def _claim(self, command):
        if self._faults.closed_key_runs_again:
            self.stored.claims.clear()
        return super()._claim(command)


def make_state(faults):
    """Return a new state machine, the product's own if there are no faults."""
    if faults == Faults():
        return ReplicatedState()
    return FaultyState(faults)


class FaultyView(View):
    """A view that also restores snapshots older than its revision."""

    def restore(self, snapshot):
        """Restore a snapshot of any revision."""
        self._revision = min(self._revision, snapshot.revision - 1)
        return super().restore(snapshot)


class ChangesWorld(Struct, frozen=True):
    """State of the model of changes.

    ``log`` holds the indices of committed commands, and ``SNAPSHOT`` where the
    state was restored from a snapshot.  ``pulled`` holds the log length behind
    each snapshot that the view has pulled.  ``violation`` names the violated
    invariant, if any.
    """

    log: tuple[int, ...] = ()
    pulled: tuple[int, ...] = ()
    violation: str = ''


class ChangesModel:
    """Operators change a contract concurrently and resend; relays answer late.

    :param length: maximum length of the log, including resends.
    :param pulls: maximum number of pulls by the view.
    :param faults: the :class:`Faults` to seed.
    """

    def __init__(self, length, pulls, faults=Faults()):
        self._length = length
        self._pulls = pulls
        self._faults = faults
        self._replay = cache(self._replay_log)

    def protocol(self):
        """Return the protocol, with its steps and invariants."""
        return Protocol(
            name='changes',
            candidate=False,
            fields=('world',),
            initial=(ChangesWorld(),),
            transitions=self._transitions,
            invariants={
                'one winner a version': (
                    lambda s: s['world'].violation != 'winner'
                ),
                'a resend gets the first outcome': (
                    lambda s: s['world'].violation != 'resend'
                ),
                'a revision never goes back': (
                    lambda s: s['world'].violation != 'revert'
                ),
            },
        )

    def _transitions(self, fields):
        world = fields[0]
        if world.violation:
            return []
        transitions = []
        if len(world.log) < self._length:
            for index in range(len(CHANGES)):
                transitions.append(
                    (f'commit {index}', (self._commit(world, index),))
                )
            if world.log and world.log[-1] != SNAPSHOT:
                log = world.log + (SNAPSHOT,)
                transitions.append(('snapshot', (replace(world, log=log),)))
        if len(world.pulled) < self._pulls:
            for length in range(1, len(world.log) + 1):
                transitions.append(
                    (f'pull {length}', (self._pull(world, length),))
                )
        return transitions

    def _commit(self, world, index):
        log = world.log + (index,)
        outcomes = self._replay(log).outcomes
        violation = ''
        winners_by_version = {}
        first_outcomes = {}
        for position, outcome in outcomes:
            if first_outcomes.setdefault(position, outcome) != outcome:
                violation = 'resend'
            if outcome.error is None:
                winner = winners_by_version.setdefault(
                    outcome.version, position
                )
                if winner != position:
                    violation = 'winner'
        return replace(world, log=log, violation=violation)

    def _pull(self, world, length):
        pulled = world.pulled + (length,)
        view = View()
        if self._faults.stale_relay_accepted:
            view = FaultyView()
        highest = 0
        violation = ''
        for each in pulled:
            view.restore(self._replay(world.log[:each]).view)
            if view.revision < highest:
                violation = 'revert'
            highest = max(highest, view.revision)
        return replace(world, pulled=pulled, violation=violation)

    def _replay_log(self, log):
        state = make_state(self._faults)
        outcomes = []
        for index in log:
            if index == SNAPSHOT:
                state.restore(state.snapshot())
                continue
            outcomes.append((index, state.apply(CHANGES[index])))
        return ReplayResult(tuple(outcomes), state.view())


class ReplayResult(Struct, frozen=True):
    """The outcomes of the commands in a log, and the resulting view."""

    outcomes: tuple
    view: object


class ClaimsWorld(Struct, frozen=True):
    """State of the model of claims.

    ``log`` holds the committed commands, and None where the state was restored
    from a snapshot.  ``ran`` and ``reported_not_run`` hold the tokens of
    attempts that have run and of those reported as `not run` to their callers.
    ``acted`` holds the tokens whose owner has acted on its outcome.
    """

    log: tuple = ()
    ran: tuple[str, ...] = ()
    reported_not_run: tuple[str, ...] = ()
    acted: frozenset = frozenset()
    violation: str = ''


class ClaimsModel:
    """Attempts with one key claim it concurrently, resend and settle.

    An attempt that is granted the claim either runs and settles it as run, or
    does not run, settles it as not run and reports `not run` to its caller.
    It may also crash before it settles the claim.

    :param length: maximum length of the log.
    :param faults: the :class:`Faults` to seed.
    """

    def __init__(self, length, faults=Faults()):
        self._length = length
        self._faults = faults

    def protocol(self):
        """Return the protocol, with its steps and invariants."""
        return Protocol(
            name='claims',
            candidate=False,
            fields=('world',),
            initial=(ClaimsWorld(),),
            transitions=self._transitions,
            invariants={
                'a key runs at most once': (
                    lambda s: s['world'].violation != 'double'
                ),
                'a request reported as not run does not run': (
                    lambda s: s['world'].violation != 'not run'
                ),
            },
        )

    def _transitions(self, fields):
        world = fields[0]
        if world.violation:
            return []
        transitions = []
        if len(world.log) < self._length:
            for command in self._commands(world):
                log = world.log + (command,)
                next_world = replace(world, log=log)
                transitions.append((str(command), (next_world,)))
        transitions += self._owner_actions(world)
        return transitions

    def _commands(self, world):
        yield from CLAIMS
        for token in world.ran:
            yield make_settle(token, True)
        for token in world.reported_not_run:
            yield make_settle(token, False)
        if world.log and world.log[-1] is not None:
            yield None

    def _owner_actions(self, world):
        """Yield the possible next steps of the owners of claims."""
        for position, outcome in enumerate(self._outcomes(world.log)):
            if outcome is None or outcome.record is None:
                continue
            token = world.log[position].token
            if token in world.acted or outcome.record.token != token:
                continue
            acted = world.acted | {token}
            if isinstance(world.log[position], Close):
                reported_not_run = world.reported_not_run + (token,)
                next_world = replace(
                    world, acted=acted, reported_not_run=reported_not_run
                )
                yield f'{token} refuses', (
                    _check_reported_not_run(next_world),
                )
                continue
            if not outcome.granted:
                continue
            yield f'{token} runs', (self._run_request(world, token, acted),)
            reported_not_run = world.reported_not_run + (token,)
            next_world = replace(
                world, acted=acted, reported_not_run=reported_not_run
            )
            yield f'{token} does not run', (
                _check_reported_not_run(next_world),
            )

    def _run_request(self, world, token, acted):
        violation = 'double' if world.ran else ''
        attempt = _attempt_of(token)
        if any(
            _attempt_of(each) >= attempt for each in world.reported_not_run
        ):
            violation = 'not run'
        return replace(
            world, acted=acted, ran=world.ran + (token,), violation=violation
        )

    def _outcomes(self, log):
        state = make_state(self._faults)
        outcomes = []
        for command in log:
            if command is None:
                state.restore(state.snapshot())
                outcomes.append(None)
                continue
            outcomes.append(state.apply(command))
        return outcomes


def _check_reported_not_run(world):
    """Check that the attempt just reported as not run has not run."""
    attempt = _attempt_of(world.reported_not_run[-1])
    if any(_attempt_of(each) <= attempt for each in world.ran):
        return replace(world, violation='not run')
    return world


def _attempt_of(token):
    return next(each.attempt for each in CLAIMS if each.token == token)
