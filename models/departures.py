"""Model of the calls of a backend server that starts, leaves and starts again.

Its calls may be read in any order, at any time, by control hosts that have not
applied all of the log.  The leader removes it for its silence, and gateways
report that it leaves, at any time between.  Each decision is that of the
product, as is the replicated state.
"""

from minicheck import Protocol
from msgspec.msgpack import Decoder
from msgspec.msgpack import encode
from msgspec import Struct
from msgspec.structs import replace

from fuchsiacart.control.commands import ForgetServer
from fuchsiacart.control.commands import RecordServer
from fuchsiacart.control.departures import DepartureReports
from fuchsiacart.control.ended_starts import plan_departure
from fuchsiacart.control.ended_starts import plan_expiry
from fuchsiacart.control.route_states import RouteState
from fuchsiacart.servers import is_redundant
from fuchsiacart.servers import ServerRecord
from fuchsiacart.servers import ServerStart
from fuchsiacart.servers import ServerState

NAME = 's'
FIRST_START = ServerStart(NAME, 1)
AT_MS = 1
STATES = Decoder(RouteState)


def make_record(name, born_ms, sequence, address, state=ServerState.READY):
    """Return a record of a server."""
    return ServerRecord(
        name, born_ms, sequence, 'stock', address, 'cymru-a', 4, state
    )


HEARTBEATS = {
    'first heartbeat': make_record(NAME, 1, 1, 'a'),
    'second heartbeat': make_record(NAME, 1, 2, 'a'),
    'third heartbeat': make_record(NAME, 1, 3, 'a'),
    'draining heartbeat': make_record(NAME, 1, 4, 'a', ServerState.DRAINING),
    'heartbeat of a new start': make_record(NAME, 2, 1, 'b'),
    'heartbeat of another server at the address': make_record('t', 3, 1, 'a'),
}
DEPARTURES = ('departure', 'departure sent again')
EXPIRIES = ('expiry', 'second expiry')
REPORTS = ('report of a gateway',)
OTHER_DEPARTURE = 'departure of the other server'
# Calls after which the first start may be gone for another reason.
ENDING_CALLS = frozenset(HEARTBEATS) - {
    'first heartbeat',
    'second heartbeat',
    'third heartbeat',
} | {*DEPARTURES, *REPORTS}
# Calls after whose acknowledgement the first start must not be used.
FINAL_CALLS = ('draining heartbeat', *DEPARTURES, *REPORTS)


class Faults(Struct, frozen=True):
    """Faults that can be seeded, to prove that the model finds them.

    ``record_left_out``: an unknown start leaves no trace when it leaves.
    ``expires_for_good``: silence ends a start, too.
    ``keeps_address``: the record of a departure keeps its address.
    ``counts_up``: a reported departure takes the next sequence only.
    """

    record_left_out: bool = False
    expires_for_good: bool = False
    keeps_address: bool = False
    counts_up: bool = False


class Proposal(Struct, frozen=True):
    """What a call still has to commit before it is acknowledged."""

    call: str
    commands: tuple[RecordServer | ForgetServer, ...]


class DeparturesWorld(Struct, frozen=True):
    """State of the model.

    ``state`` is the replicated state, ``seen`` what the host that reads calls
    has applied of it, ``calls`` what may still arrive.
    """

    calls: frozenset[str]
    state: bytes = encode(RouteState())
    seen: bytes = encode(RouteState())
    proposals: frozenset[Proposal] = frozenset()
    has_left: bool = False
    violation: str = ''


class DeparturesModel:
    """Calls of one server, the hosts that read them, and the leader.

    :param calls: names of the calls that arrive.
    :param is_earlier_leader: True if the leader removes silent servers as the
        build before did.
    :param faults: the :class:`Faults` to seed.
    """

    def __init__(self, calls, is_earlier_leader=False, faults=Faults()):
        self._calls = frozenset(calls)
        self._is_earlier_leader = is_earlier_leader
        self._faults = faults

    def protocol(self):
        """Return the protocol, with its steps and invariant."""
        return Protocol(
            name='departures',
            candidate=False,
            fields=('world',),
            initial=(DeparturesWorld(self._calls),),
            transitions=self._transitions,
            invariants={
                'a start that has left is not used, a later one is': (
                    lambda s: not s['world'].violation
                ),
            },
        )

    def _transitions(self, fields):
        world = fields[0]
        if world.violation:
            return []
        steps = [*self._arrivals(world), *self._commits(world)]
        if world.seen != world.state:
            steps.append(('apply', replace(world, seen=world.state)))
        return [(name, (next_world,)) for name, next_world in steps]

    def _arrivals(self, world):
        for call in sorted(world.calls):
            commands = self._plan(call, world)
            if call in REPORTS and not commands:
                # It is reported again until the view has the change.
                continue
            others = replace(world, calls=world.calls - {call})
            yield call, _advance(others, Proposal(call, commands))

    def _plan(self, call, world):
        """Return the commands that a call leads to."""
        if call in HEARTBEATS:
            record, seen = HEARTBEATS[call], STATES.decode(world.seen)
            if is_redundant(seen.servers.get(record.name), record, 0.0):
                return ()
            return (RecordServer(record, AT_MS),)
        if call in DEPARTURES:
            return self._plan_departure(STATES.decode(world.seen))
        if call == OTHER_DEPARTURE:
            return (ForgetServer('t', 3, True, AT_MS),)
        # The leader acts by what it has applied.
        state = STATES.decode(world.state)
        record = state.servers.get(NAME)
        if call in EXPIRIES:
            return () if record is None else (self._plan_expiry(record),)
        reports = DepartureReports()
        reports.add((FIRST_START,))
        records = reports.take_records(state.servers)
        if self._faults.counts_up:
            records = [
                replace(each, sequence=record.sequence + 1) for each in records
            ]
        return tuple(RecordServer(each, AT_MS) for each in records)

    def _plan_departure(self, seen):
        if seen.has_ended(FIRST_START):
            return ()
        commands = plan_departure(seen, FIRST_START, AT_MS)
        if self._faults.record_left_out:
            return commands[-1:]
        if self._faults.keeps_address and len(commands) > 1:
            record = replace(commands[0].record, address='a')
            return (RecordServer(record, AT_MS), commands[-1])
        return commands

    def _plan_expiry(self, record):
        if self._faults.expires_for_good:
            return ForgetServer(record.name, record.born_ms, True, AT_MS)
        if self._is_earlier_leader:
            return ForgetServer(record.name, record.born_ms, False, AT_MS)
        return plan_expiry(record, AT_MS)

    def _commits(self, world):
        for proposal in sorted(world.proposals, key=str):
            command, *rest = proposal.commands
            state = STATES.decode(world.state)
            if isinstance(command, RecordServer):
                state.record_server(command.record)
            else:
                state.forget_server(
                    command.name, command.born_ms, command.has_left
                )
            next_world = replace(
                world,
                state=encode(state),
                proposals=world.proposals - {proposal},
                violation=self._find_refusal(world, state, command),
            )
            yield f'commit for the {proposal.call}', _advance(
                next_world, Proposal(proposal.call, tuple(rest))
            )

    def _find_refusal(self, world, state, command):
        """Return the violation if the first call of a start has no effect.

        So that no start ends for its silence, that holds for further calls of
        the first one, too, while nothing else has been heard.
        """
        if not isinstance(command, RecordServer):
            return ''
        record = command.record
        if record not in HEARTBEATS.values():
            return ''
        if record.start == FIRST_START and (
            (self._calls - world.calls) & ENDING_CALLS
        ):
            return ''
        latest = state.servers.get(record.name) or state.tombstones.get(
            record.name
        )
        is_heard = latest is not None and (
            record.name in state.servers
            or (record.born_ms, record.sequence)
            <= (latest.born_ms, latest.sequence)
        )
        return '' if is_heard else 'a start is refused'


def _advance(world, proposal):
    """Propose what is left of a call, or acknowledge it."""
    if proposal.commands:
        world = replace(world, proposals=world.proposals | {proposal})
    elif proposal.call in FINAL_CALLS:
        world = replace(world, has_left=True)
    record = STATES.decode(world.state).servers.get(NAME)
    is_used = (
        record is not None
        and record.start == FIRST_START
        and record.state is ServerState.READY
    )
    if world.has_left and is_used:
        return replace(world, violation='used after it left')
    return world
