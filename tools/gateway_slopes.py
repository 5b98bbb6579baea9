"""Slopes of gateways and of what their leader does for them."""

from random import Random
from time import monotonic

from msgspec.msgpack import encode

from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.control.commands import RecordServer
from fuchsiacart.control.comparisons import PeerComparison
from fuchsiacart.control.pulls import pack_view
from fuchsiacart.control.states import ReplicatedState
from fuchsiacart.gateway.evidence import EvidenceMeter
from fuchsiacart.gateway.placements import PlacementRequest
from fuchsiacart.gateway.placements import ServerSelector
from fuchsiacart.gateway.route_tables import RouteTable
from fuchsiacart.servers import ServerRecord
from fuchsiacart.views import View
from tools.slopes import memory_of
from tools.slopes import seconds_of
from tools.slopes import slope

REGIONS = 3
SERVERS = (100, 400, 1600)
MICROSECONDS = 1_000_000
SEED = 11
# Objects that callers ask for again and again.
OBJECTS = 20


def server(index):
    """Return a backend server."""
    domain = f'domain-{index % (2 * REGIONS)}'
    name = f'i-{Random(index).getrandbits(40):010x}'
    address = f'10.{index % 9}.64.{index % 250}:8748'
    return ServerRecord(name, 1, 1, 'stock', address, domain, 4)


def state(count):
    """Return a replicated state with backend servers."""
    held = ReplicatedState()
    for index in range(count):
        held.apply(RecordServer(server(index), 1))
    return held


def board(count):
    """Return a gateway's board of servers, and the view it follows."""
    regions = {
        f'domain-{index}': f'region-{index % REGIONS}'
        for index in range(2 * REGIONS)
    }
    made = ServerSelector('region-0', regions)
    view = View()
    view.restore(state(count).view())
    made.apply_view(view.routes, RouteTable(view.routes.configuration), 0.0)
    return made, view


def choice_us(count):
    """Return the processor time of the choice of a server."""
    made, _ = board(count)
    return MICROSECONDS * seconds_of(
        lambda number: made.choose(
            PlacementRequest('stock', f'o{number}', 2.0), 1.0
        ),
        300,
    )


def choice_again_us(count):
    """Return the processor time of the choice for an object seen before."""
    made, _ = board(count)
    return MICROSECONDS * seconds_of(
        lambda number: made.choose(
            PlacementRequest('stock', f'o{number % OBJECTS}', 2.0), 1.0
        ),
        300 * OBJECTS,
    )


def new_view_ms(count):
    """Return the processor time to follow a change of the view."""
    made, view = board(count)
    table = RouteTable(view.routes.configuration)
    return MILLISECONDS * seconds_of(
        lambda number: made.apply_view(view.routes, table, 1.0), 30
    )


def board_memory(count):
    """Return the bytes of a gateway's view and board."""
    return memory_of(lambda: board(count))


def packed_view_bytes(count):
    """Return the bytes of the first view."""
    return len(pack_view(state(count).view()))


def evidence_bytes(count):
    """Return the bytes of a gateway's report on servers it has met."""
    meter = EvidenceMeter()
    for index in range(count):
        meter.record_response(server(index), 100.0, None)
    return len(encode(meter.flush()))


def judgement_ms(count):
    """Return the processor time of the leader's comparison."""
    comparison = PeerComparison()
    meter = EvidenceMeter()
    for index in range(count):
        meter.record_response(server(index), 100.0, None)
    now_ms = monotonic() * MILLISECONDS
    while evidence := meter.flush():
        comparison.add_evidence(evidence, now_ms)
    return MILLISECONDS * seconds_of(
        lambda number: comparison.detect_outliers(now_ms + number), 30
    )


def measure_gateways():
    """Return all slopes of gateways."""
    return (
        slope('choice of a server, first', 'us', SERVERS, choice_us),
        slope('choice of a server, again', 'us', SERVERS, choice_again_us),
        slope('change of the view', 'ms', SERVERS, new_view_ms),
        slope('view and board', 'B', SERVERS, board_memory),
        slope('first view, packed', 'B', SERVERS, packed_view_bytes),
        slope('evidence by servers met', 'B', (4, 16, 64), evidence_bytes),
        slope('comparison at the leader', 'ms', SERVERS, judgement_ms),
    )
