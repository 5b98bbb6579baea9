"""Costs of gateways, and of the leader for them, by backend servers."""

from random import Random
from time import monotonic

from msgspec.msgpack import encode

from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.control.commands import RecordServer
from fuchsiacart.control.comparisons import PeerComparison
from fuchsiacart.control.pulls import pack_view
from fuchsiacart.control.states import ReplicatedState
from fuchsiacart.gateway.evidence import EvidenceMeter
from fuchsiacart.gateway.placing.placement_requests import PlacementRequest
from fuchsiacart.gateway.placing.placements import ServerSelector
from fuchsiacart.gateway.route_tables import RouteTable
from fuchsiacart.load_boards import LoadBoard
from fuchsiacart.load_boards import ServerCount
from fuchsiacart.load_boards import ServerIndex
from fuchsiacart.models import HostId
from fuchsiacart.servers import ServerRecord
from fuchsiacart.views import View
from tools.slopes import measure_bytes
from tools.slopes import measure_processor_s
from tools.slopes import measure_slope

REGIONS = 3
SERVER_COUNTS = (100, 400, 1600)
GATEWAY_COUNTS = (100, 400, 4400)
GATEWAYS = 200
# Servers of one region, and those that one gateway uses at a time.
SERVERS_IN_REGION = 500
SERVERS_IN_USE = 5
RENEWAL_MS = 500.0
MICROSECONDS_PER_S = 1_000_000
SEED = 11
DOMAINS = {
    f'domain-{index}': f'region-{index % REGIONS}'
    for index in range(2 * REGIONS)
}
# Objects that callers request repeatedly.
OBJECT_COUNT = 20


def make_server(index):
    """Return the record of a backend server."""
    domain = f'domain-{index % (2 * REGIONS)}'
    name = f'i-{Random(index).getrandbits(40):010x}'
    address = f'10.{index % 9}.64.{index % 250}:8748'
    return ServerRecord(name, 1, 1, 'stock', address, domain, 4)


def make_state(count):
    """Return a replicated state with a number of backend servers."""
    replicated_state = ReplicatedState()
    for index in range(count):
        replicated_state.apply(RecordServer(make_server(index), 1))
    return replicated_state


def make_selector(count):
    """Return a gateway's server selector and the view applied to it."""
    selector = ServerSelector('region-0', DOMAINS)
    view = View()
    view.restore(make_state(count).view())
    selector.apply_view(
        view.routes, RouteTable(view.routes.configuration), 0.0
    )
    return selector, view


def measure_first_choice_us(count):
    """Return the microseconds to choose a server for a new object."""
    selector, _ = make_selector(count)
    return MICROSECONDS_PER_S * measure_processor_s(
        lambda number: selector.choose(
            PlacementRequest('stock', f'o{number}', 2.0), 1.0
        ),
        300,
    )


def measure_repeated_choice_us(count):
    """Return the microseconds to choose a server for a repeated object."""
    selector, _ = make_selector(count)
    return MICROSECONDS_PER_S * measure_processor_s(
        lambda number: selector.choose(
            PlacementRequest('stock', f'o{number % OBJECT_COUNT}', 2.0), 1.0
        ),
        300 * OBJECT_COUNT,
    )


def measure_view_change_ms(count):
    """Return the milliseconds to apply a changed view."""
    selector, view = make_selector(count)
    table = RouteTable(view.routes.configuration)
    return MILLISECONDS * measure_processor_s(
        lambda number: selector.apply_view(view.routes, table, 1.0), 30
    )


def measure_selector_bytes(count):
    """Return the bytes of a gateway's view and server selector."""
    return measure_bytes(lambda: make_selector(count))


def measure_packed_view_bytes(count):
    """Return the bytes of the packed view that a new gateway pulls."""
    return len(pack_view(make_state(count).view()))


def measure_evidence_bytes(count):
    """Return the bytes of a gateway's report on servers it has used."""
    meter = EvidenceMeter()
    for index in range(count):
        meter.record_response(make_server(index), 100.0, None)
    return len(encode(meter.flush()))


def measure_comparison_ms(count):
    """Return the milliseconds of the leader's comparison of servers."""
    comparison = PeerComparison()
    meter = EvidenceMeter()
    for index in range(count):
        meter.record_response(make_server(index), 100.0, None)
    now_ms = monotonic() * MILLISECONDS
    while evidence := meter.flush():
        comparison.add_evidence(evidence, now_ms)
    return MILLISECONDS * measure_processor_s(
        lambda number: comparison.detect_outliers(now_ms + number), 30
    )


def _make_board(gateway_count, server_count):
    """Return a load board and an index, with all gateways recorded."""
    index = ServerIndex(
        [make_server(each) for each in range(server_count)],
        DOMAINS,
        'region-0',
    )
    board = LoadBoard()
    for gateway in range(gateway_count):
        _record_counts(board, index, gateway)
    return board, index


def _record_counts(board, index, gateway):
    """Record what one gateway has in flight."""
    picked = Random(gateway).sample(index.names, SERVERS_IN_USE)
    counts = tuple(ServerCount(name, 4) for name in picked)
    board.record(HostId(f'gateway-{gateway}'), counts, 0.0)
    return counts


def measure_load_map_bytes(count):
    """Return the bytes of loads in a reply to a renewal, by servers."""
    board, index = _make_board(GATEWAYS, count)
    return len(encode(board.load_map(HostId('gateway-1'), index, 1.0)))


def measure_load_map_us(count):
    """Return the leader's microseconds for one renewal, by gateways."""
    board, index = _make_board(count, SERVERS_IN_REGION)

    def renew(number):
        # Renewals arrive evenly over the interval of each gateway.
        now_ms = number * RENEWAL_MS / count
        _record_counts(board, index, number % count)
        board.load_map(HostId(f'gateway-{number % count}'), index, now_ms)

    return MICROSECONDS_PER_S * measure_processor_s(renew, 2 * count)


def measure_gateways():
    """Return all slopes of gateways."""
    return (
        measure_slope(
            'choice of a server, first',
            'us',
            SERVER_COUNTS,
            measure_first_choice_us,
        ),
        measure_slope(
            'choice of a server, again',
            'us',
            SERVER_COUNTS,
            measure_repeated_choice_us,
        ),
        measure_slope(
            'change of the view', 'ms', SERVER_COUNTS, measure_view_change_ms
        ),
        measure_slope(
            'view and selector', 'B', SERVER_COUNTS, measure_selector_bytes
        ),
        measure_slope(
            'first view, packed', 'B', SERVER_COUNTS, measure_packed_view_bytes
        ),
        measure_slope(
            'evidence by servers used',
            'B',
            (4, 16, 64),
            measure_evidence_bytes,
        ),
        measure_slope(
            'loads in a reply, by servers',
            'B',
            SERVER_COUNTS,
            measure_load_map_bytes,
        ),
        measure_slope(
            'loads at the leader, by gateways',
            'us',
            GATEWAY_COUNTS,
            measure_load_map_us,
        ),
        measure_slope(
            'comparison at the leader',
            'ms',
            SERVER_COUNTS,
            measure_comparison_ms,
        ),
    )
