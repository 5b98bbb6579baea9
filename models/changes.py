"""Model of changes, claims and their spread: it steps State and View.

Commands wait in a pool from which any may be committed next, and again, as
a resend after a lost reply is.  A snapshot may replace the state at any
time.  Relays answer pulls from whatever revision they have reached; answers
may come late.  Replicas and views are rebuilt from their inputs, so the
product's own classes are stepped.
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

NOW_MS = 1_796_000_000_000
KEY = '01a229f1-2800-7000-8000-000000000001'
CUSTOMER = CustomerId('shop')
SNAPSHOT = -1


class Faults(Struct, frozen=True):
    """Faults that the model can be given, to prove that it finds them."""

    resend_applied_twice: bool = False
    stale_relay_accepted: bool = False
    forgets_on_snapshot: bool = False
    closed_key_runs_again: bool = False
    close_not_kept: bool = False


def contract(rate_per_s):
    """Return a contract that differs by its rate."""
    terms = RankTerms(RankName.URGENT, rate_per_s, 1, 10)
    return Contract(CUSTOMER, (), (), (terms,))


def put(change_id, version, rate_per_s):
    """Return a change of the contract."""
    change = Change(change_id, change_id, NOW_MS)
    return PutContract(change, version, contract(rate_per_s))


def claim(token, attempt):
    """Return a claim of the one key."""
    return Claim(
        CUSTOMER, KEY, attempt, 'digest', HostId(token), token, NOW_MS
    )


def close(token, attempt):
    """Return a refusal of the one key."""
    return Close(
        CUSTOMER, KEY, attempt, 'digest', HostId(token), token, NOW_MS
    )


def settle(token, ran):
    """Return a settlement of the one key."""
    return Settle(CUSTOMER, KEY, token, ran, 200, '', b'', NOW_MS)


CHANGES = (
    put('ann', 0, 1),
    put('bob', 0, 2),
    put('cat', 1, 3),
)
CLAIMS = (
    claim('early', 1),
    claim('resend', 1),
    claim('next', 2),
    close('refuser', 1),
)


class FaultyState(ReplicatedState):
    """The product's state machine with faults put in."""

    def __init__(self, faults):
        super().__init__()
        self._faults = faults

    def apply(self, command):
        """Apply a command; a fault may forget that it is a resend."""
        if self._faults.resend_applied_twice:
            self._change_outcomes.clear()
        return super().apply(command)

    def restore(self, body):
        """Restore a snapshot; a fault may forget the changes in it."""
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
    """Return the product's state machine, with faults put in if any."""
    if faults == Faults():
        return ReplicatedState()
    return FaultyState(faults)


class FaultyView(View):
    """A view that takes any snapshot, however old."""

    def restore(self, snapshot):
        """Take a snapshot over, older ones too."""
        self._revision = min(self._revision, snapshot.revision - 1)
        return super().restore(snapshot)


class ChangesWorld(Struct, frozen=True):
    """State of the model of changes.

    ``log`` holds indices of committed commands, ``SNAPSHOT`` where the
    state went through a snapshot; ``relays`` and ``seen`` hold, for the
    view, what it took in and the highest revision it has enforced.
    """

    log: tuple[int, ...] = ()
    taken: tuple[int, ...] = ()
    broken: str = ''


class ChangesModel:
    """Operators race and resend; relays answer late.

    :param length: commands committed at most, resends among them.
    :param pulls: answers that the view takes in at most.
    :param faults: faults to put in.
    """

    def __init__(self, length, pulls, faults=Faults()):
        self._length = length
        self._pulls = pulls
        self._faults = faults
        self._replay = cache(self._replay_log)

    def protocol(self):
        """Return the protocol."""
        return Protocol(
            name='changes',
            candidate=False,
            fields=('world',),
            initial=(ChangesWorld(),),
            transitions=self._transitions,
            invariants={
                'one winner a version': (
                    lambda s: s['world'].broken != 'winner'
                ),
                'a resend gets the first outcome': (
                    lambda s: s['world'].broken != 'resend'
                ),
                'a revision never goes back': (
                    lambda s: s['world'].broken != 'revert'
                ),
            },
        )

    def _transitions(self, fields):
        world = fields[0]
        if world.broken:
            return []
        found = []
        if len(world.log) < self._length:
            for index in range(len(CHANGES)):
                found.append(
                    (f'commit {index}', (self._commit(world, index),))
                )
            if world.log and world.log[-1] != SNAPSHOT:
                log = world.log + (SNAPSHOT,)
                found.append(('snapshot', (replace(world, log=log),)))
        if len(world.taken) < self._pulls:
            for length in range(1, len(world.log) + 1):
                found.append((f'pull {length}', (self._pull(world, length),)))
        return found

    def _commit(self, world, index):
        log = world.log + (index,)
        outcomes = self._replay(log).outcomes
        broken = ''
        winners = {}
        first = {}
        for position, outcome in outcomes:
            if first.setdefault(position, outcome) != outcome:
                broken = 'resend'
            if outcome.error is None:
                winner = winners.setdefault(outcome.version, position)
                if winner != position:
                    broken = 'winner'
        return replace(world, log=log, broken=broken)

    def _pull(self, world, length):
        taken = world.taken + (length,)
        view = View()
        if self._faults.stale_relay_accepted:
            view = FaultyView()
        highest = 0
        broken = ''
        for each in taken:
            view.restore(self._replay(world.log[:each]).view)
            if view.revision < highest:
                broken = 'revert'
            highest = max(highest, view.revision)
        return replace(world, taken=taken, broken=broken)

    def _replay_log(self, log):
        state = make_state(self._faults)
        outcomes = []
        for index in log:
            if index == SNAPSHOT:
                state.restore(state.snapshot())
                continue
            outcomes.append((index, state.apply(CHANGES[index])))
        return Replayed(tuple(outcomes), state.view())


class Replayed(Struct, frozen=True):
    """What a log gives: the outcome of each command, and the view."""

    outcomes: tuple
    view: object


class ClaimsWorld(Struct, frozen=True):
    """State of the model of claims.

    ``sent`` holds, for each claim, whether its reply has been used to run;
    ``told`` holds the attempts whose callers were told `not run`.
    """

    log: tuple = ()
    ran: tuple[str, ...] = ()
    told: tuple[str, ...] = ()
    acted: frozenset = frozenset()
    broken: str = ''


class ClaimsModel:
    """Attempts with one key race, resend and settle.

    An attempt that gets the claim either runs and settles, or surely does
    not run, settles so and tells its caller `not run`; it may also die
    before it settles.

    :param length: commands committed at most.
    :param faults: faults to put in.
    """

    def __init__(self, length, faults=Faults()):
        self._length = length
        self._faults = faults

    def protocol(self):
        """Return the protocol."""
        return Protocol(
            name='claims',
            candidate=False,
            fields=('world',),
            initial=(ClaimsWorld(),),
            transitions=self._transitions,
            invariants={
                'a key runs at most once': (
                    lambda s: s['world'].broken != 'double'
                ),
                'what was told as not run does not run': (
                    lambda s: s['world'].broken != 'not run'
                ),
            },
        )

    def _transitions(self, fields):
        world = fields[0]
        if world.broken:
            return []
        found = []
        if len(world.log) < self._length:
            for command in self._commands(world):
                log = world.log + (command,)
                following = replace(world, log=log)
                found.append((str(command), (following,)))
        found += self._actions(world)
        return found

    def _commands(self, world):
        yield from CLAIMS
        for token in world.ran:
            yield settle(token, True)
        for token in world.told:
            yield settle(token, False)
        if world.log and world.log[-1] is not None:
            yield None

    def _actions(self, world):
        """Yield what the owners of granted claims do next."""
        for position, outcome in enumerate(self._outcomes(world.log)):
            if outcome is None or outcome.record is None:
                continue
            token = world.log[position].token
            if token in world.acted or outcome.record.token != token:
                continue
            acted = world.acted | {token}
            if isinstance(world.log[position], Close):
                told = world.told + (token,)
                following = replace(world, acted=acted, told=told)
                yield f'{token} refuses', (_check_told(following),)
                continue
            if not outcome.granted:
                continue
            yield f'{token} runs', (self._run(world, token, acted),)
            told = world.told + (token,)
            following = replace(world, acted=acted, told=told)
            yield f'{token} does not run', (_check_told(following),)

    def _run(self, world, token, acted):
        broken = 'double' if world.ran else ''
        attempt = _attempt_of(token)
        if any(_attempt_of(each) >= attempt for each in world.told):
            broken = 'not run'
        return replace(
            world, acted=acted, ran=world.ran + (token,), broken=broken
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


def _check_told(world):
    """Check that nothing has run that is now told as not run."""
    attempt = _attempt_of(world.told[-1])
    if any(_attempt_of(each) <= attempt for each in world.ran):
        return replace(world, broken='not run')
    return world


def _attempt_of(token):
    return next(each.attempt for each in CLAIMS if each.token == token)
