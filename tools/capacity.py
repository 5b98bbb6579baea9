"""Measures slopes and works out the capacity page's table from them.

Each slope is measured at three sizes or more, on this machine, with the
product's own classes; the page's sizes are those of the users' letter.
"""

from random import Random
from time import perf_counter

from msgspec.msgpack import encode
from uuid6 import uuid7

from fuchsiacart.client.reports import format_table
from fuchsiacart.clocks import wall_ms
from fuchsiacart.control.commands import Change
from fuchsiacart.control.commands import Claim
from fuchsiacart.control.commands import PutContract
from fuchsiacart.control.states import ContractSet
from fuchsiacart.control.states import Delta
from fuchsiacart.control.states import ReplicatedState
from fuchsiacart.control.states import VersionedContract
from fuchsiacart.control.states import ViewSnapshot
from fuchsiacart.control.steering import HeadroomWeights
from fuchsiacart.control.steering import RegionLoad
from fuchsiacart.control.steering import Weights
from fuchsiacart.entry.gossip import Gossip
from fuchsiacart.entry.lookups import BlockTable
from fuchsiacart.entry.lookups import LookupTable
from fuchsiacart.entry.slots import ServerSlots
from fuchsiacart.leases import LeaseTable
from fuchsiacart.leases import RelayTree
from fuchsiacart.messages import KeepAliveRequest
from fuchsiacart.messages import PullReply
from fuchsiacart.messages import ServiceLoad
from fuchsiacart.messages import Summary
from fuchsiacart.models import BackendServer
from fuchsiacart.models import Block
from fuchsiacart.models import Contract
from fuchsiacart.models import Host
from fuchsiacart.models import HostId
from fuchsiacart.models import RankName
from fuchsiacart.models import RankTerms
from fuchsiacart.models import RegionWeight
from fuchsiacart.ownership import Ownership
from fuchsiacart.views import View
from tools.gateway_slopes import measure_gateways
from tools.running import measure_running
from tools.slopes import memory_of
from tools.slopes import seconds_of
from tools.slopes import slope

NODES = 4_400
BLOCKS = 490_000
SITES = 1_100
LOOKUPS_PER_S = 1_900_000
REGIONS = 20
DOMAINS = 71
CHANGES_PER_DAY = 21_000
MEMBER_CHANGES_PER_DAY = 2 * 1_400 + 2 * 6
SECONDS_PER_DAY = 86_400
CONTROL_HOSTS = 7
BLOCKS_PER_CONTRACT = 100
KEEP_ALIVE_S = 0.5
GOSSIP_S = 0.2
GOSSIP_PEERS = 3
RELAY_FAN_OUT = 8
NODE_CORE_BUDGET = 0.01
NODE_MEMORY_BUDGET = 128 * 1024 * 1024
NODE_BYTES_BUDGET = 3_000
MEBIBYTE = 1024 * 1024


def host(index, regions=REGIONS):
    """Return an entry host."""
    region = f'region-{index % regions}'
    address = f'10.{index // 65536}.{index // 256 % 256}.{index % 256}:8080'
    return Host(
        HostId(f'entry-{index}'),
        1,
        region,
        f'{region}-{index % 4}',
        address,
        address,
    )


def contract(index, blocks):
    """Return a contract with client blocks."""
    terms = RankTerms(RankName.URGENT, 10, 10, 1)
    rows = tuple(
        Block(
            _prefix(number),
            f'region-{number % REGIONS}',
        )
        for number in range(index * blocks, (index + 1) * blocks)
    )
    return Contract(f'customer-{index}', ('0' * 64,), (), (terms,), rows)


def _prefix(number):
    first, second, third = number // 65536, number // 256 % 256, number % 256
    return f'{10 + first}.{second}.{third}.0/24'


def snapshot(hosts, contracts, regions=REGIONS):
    """Return a view of a deployment."""
    weights = tuple(
        RegionWeight(f'region-{home}', f'region-{home}', 1000)
        for home in range(regions)
    )
    items = tuple(VersionedContract(1, each) for each in contracts)
    return ViewSnapshot(1, items, (), tuple(hosts), weights)


def make_view(hosts, contracts):
    """Return a view that has taken a snapshot over."""
    view = View()
    view.restore(snapshot(hosts, contracts))
    return view


def block_memory(count):
    """Return the bytes of the table of blocks."""
    blocks = contract(0, count).blocks
    return memory_of(lambda: BlockTable(blocks))


def contract_memory(count):
    """Return the bytes of contracts with their blocks in a view."""
    return memory_of(
        lambda: make_view([], [contract(index, 100) for index in range(count)])
    )


def member_memory(count):
    """Return the bytes of entry hosts in a view."""
    return memory_of(
        lambda: make_view([host(index) for index in range(count)], [])
    )


def lookup_time(hosts, blocks, regions):
    """Return microseconds of a look-up in a warm table."""
    view = View()
    contracts = [contract(0, blocks)]
    members = [host(index, regions) for index in range(hosts)]
    view.restore(snapshot(members, contracts, regions))
    table = LookupTable(view, 'region-0', 2000)
    random = Random(1)
    clients = [
        f'10.{random.randrange(8)}.{random.randrange(256)}.7'
        for _ in range(2000)
    ]
    for client in clients:
        table.look_up('orders', client)
    return 1e6 * seconds_of(
        lambda number: table.look_up('orders', clients[number % 2000]), 20_000
    )


def table_time(hosts):
    """Return milliseconds to make a look-up table anew for a view."""
    view = make_view([host(index) for index in range(hosts)], [])
    return 1e3 * seconds_of(
        lambda number: LookupTable(view, 'region-0', 2000), 20
    )


def ownership_time(hosts):
    """Return microseconds to find the owner of a backend server."""
    ownership = Ownership('entry-0', 3000)
    ownership.observe([host(index) for index in range(hosts)], (), 0.0)
    server = BackendServer(
        'server', 1, 'orders', 'region-0', 'region-0-0', '10.0.0.1:1', 4, 400
    )
    return 1e6 * seconds_of(lambda number: ownership.owner(server), 200)


def change_time(contracts):
    """Return microseconds to apply a change, by contracts held."""
    state = ReplicatedState()
    for index in range(contracts):
        state.apply(put_change(index, index, 0))
    return 1e6 * seconds_of(
        lambda number: state.apply(
            put_change(0, contracts + number, 1 + number)
        ),
        200,
    )


def put_change(index, change, version):
    """Return a change of a contract."""
    details = Change(f'change-{change}', 'ann', 1000)
    return PutContract(details, version, contract(index, 100))


def claim_memory(count):
    """Return the bytes of claims held."""

    def make():
        state = ReplicatedState()
        for _ in range(count):
            key = str(uuid7())
            state.apply(
                Claim('shop', key, 1, '0' * 64, HostId('e'), key, wall_ms())
            )
        return state

    return memory_of(make)


def claim_time(count):
    """Return microseconds to apply a claim, by claims held."""
    state = ReplicatedState()
    for _ in range(count):
        key = str(uuid7())
        state.apply(Claim('shop', key, 1, '', HostId('e'), key, wall_ms()))

    def apply(number):
        key = str(uuid7())
        state.apply(Claim('shop', key, 1, '', HostId('e'), key, wall_ms()))

    return 1e6 * seconds_of(apply, 2000)


def server_memory(count):
    """Return the bytes of owned backend servers."""
    return memory_of(
        lambda: [
            ServerSlots(
                BackendServer(
                    f'server-{index}',
                    1,
                    'orders',
                    'region-0',
                    'region-0-0',
                    f'10.0.0.{index % 256}:{index}',
                    4,
                    400,
                ),
                5000,
                0.0,
                0.0,
            )
            for index in range(count)
        ]
    )


def renewal_time(hosts):
    """Return microseconds of a leader's work on a renewal, by hosts."""
    members = [host(index) for index in range(hosts)]
    table = LeaseTable(3000, members, 0.0)
    tree = RelayTree(members, ['10.0.0.1:1'], RELAY_FAN_OUT)

    def renew(number):
        each = members[number % hosts]
        table.renew(each, 1, 1.0)
        tree.parents(each.name)

    return 1e6 * seconds_of(renew, 20_000)


def gossip_bytes(hosts):
    """Return the bytes of a round of gossip, by hosts known."""
    gossip = Gossip(HostId('entry-0'), 'region-0', Random(1))
    load = ServiceLoad('orders', 8, 4, (1, 1, 1), (1.0, 1.0, 1.0))
    gossip.merge(
        [
            Summary(HostId(f'entry-{index}'), 1, 1, (load, load))
            for index in range(1, hosts)
        ],
        0.0,
    )
    return float(len(encode(gossip.summaries())))


def steer_time(regions):
    """Return microseconds to work out the weights, by regions."""
    loads = [
        RegionLoad(f'region-{index}', 100, 70.0 + index, True, index != 3)
        for index in range(regions)
    ]
    policy = HeadroomWeights()
    current = Weights()
    return 1e6 * seconds_of(lambda number: policy.target(loads, current), 50)


def measure():
    """Measure all slopes."""
    return {
        each.name: each
        for each in (
            slope('blocks', 'B', (2000, 8000, 32000), block_memory),
            slope('contracts', 'B', (20, 80, 320), contract_memory),
            slope('members', 'B', (100, 400, 1600, 4400), member_memory),
            slope(
                'look-up by members',
                'us',
                (100, 1000, 4400),
                lambda count: lookup_time(count, 1000, REGIONS),
            ),
            slope(
                'look-up by blocks',
                'us',
                (1000, 10_000, 65_000),
                lambda count: lookup_time(400, count, REGIONS),
            ),
            slope(
                'look-up by regions',
                'us',
                (3, 10, 20),
                lambda count: lookup_time(400, 1000, count),
            ),
            slope('new look-up table', 'ms', (100, 1000, 4400), table_time),
            slope('owner', 'us', (100, 1000, 4400), ownership_time),
            slope('change applied', 'us', (10, 100, 400), change_time),
            slope('claims', 'B', (1000, 4000, 16_000), claim_memory),
            slope('claim applied', 'us', (1000, 4000, 16_000), claim_time),
            slope('backend servers', 'B', (100, 400, 1600), server_memory),
            slope('renewal', 'us', (100, 1000, 4400), renewal_time),
            slope('gossip round', 'B', (8, 32, 200, 4400), gossip_bytes),
            slope('weights', 'us', (3, 10, 20), steer_time),
        )
    }


def running_rows(running, slopes):
    """Return the rows that follow from real processes."""
    contracts = BLOCKS // BLOCKS_PER_CONTRACT
    memory = (
        running.entry_memory
        + slopes['blocks'].at(BLOCKS)
        + slopes['contracts'].at(contracts)
        + slopes['members'].at(NODES)
    )
    cores = LOOKUPS_PER_S * running.lookup_s
    return [
        [
            'node: look-ups over HTTP',
            f'{1 / running.lookup_s:.0f} a second and core,'
            f' {running.lookup_s * 1e6:.0f} us each',
            f'{cores / NODES:.1%} of a core each, {cores:.0f} cores in all',
            'not control',
        ],
        [
            'node: memory of the process',
            f'{running.entry_memory / MEBIBYTE:.0f} MiB when empty',
            f'{memory / MEBIBYTE:.0f} MiB with the view',
            verdict(memory, NODE_MEMORY_BUDGET),
        ],
        [
            'node: control when idle',
            '3 entry hosts',
            f'{running.entry_idle:.1%} of a core',
            verdict(running.entry_idle, NODE_CORE_BUDGET),
        ],
        [
            'leader when idle',
            f'3 entry hosts, {running.control_memory / MEBIBYTE:.0f} MiB',
            f'{running.leader_idle:.1%} of a core',
            verdict(running.leader_idle, 1.0),
        ],
    ]


def change_bytes():
    """Return the bytes of a change of a contract as relays send it."""
    item = VersionedContract(2, contract(0, BLOCKS_PER_CONTRACT))
    return len(encode(PullReply((Delta(1, ContractSet(item)),))))


def renewal_bytes():
    """Return the bytes of a renewal's request."""
    load = ServiceLoad('orders', 8, 4, (1, 1, 1), (1.0, 1.0, 1.0))
    return len(encode(KeepAliveRequest(host(1), 1, (), (), (load, load))))


def verdict(value, budget):
    """Return whether a figure keeps its budget."""
    return 'within' if value <= budget else 'OVER'


def capacity_rows(slopes):
    """Return the rows of the capacity table."""
    contracts = BLOCKS // BLOCKS_PER_CONTRACT
    lookup_us = slopes['look-up by members'].at(NODES)
    table_ms = slopes['new look-up table'].at(NODES)
    view_changes = CHANGES_PER_DAY + MEMBER_CHANGES_PER_DAY
    rebuild = table_ms / 1000 * view_changes / SECONDS_PER_DAY
    memory = (
        slopes['blocks'].at(BLOCKS)
        + slopes['contracts'].at(contracts)
        + slopes['members'].at(NODES)
    )
    spread = change_bytes() * CHANGES_PER_DAY / SECONDS_PER_DAY
    renewals = renewal_bytes() / KEEP_ALIVE_S
    gossip = 2 * GOSSIP_PEERS * slopes['gossip round'].at(32) / GOSSIP_S
    renewal_cores = slopes['renewal'].at(NODES) / 1e6 * NODES / KEEP_ALIVE_S
    cores = LOOKUPS_PER_S * lookup_us / 1e6
    return [
        [
            'node: look-ups',
            f'{LOOKUPS_PER_S / NODES:.0f} a second each',
            f'{cores / NODES:.2%} of a core each, {cores:.0f} cores in all',
            'warm table by bucket; not control',
        ],
        [
            'node: memory of the view',
            f'{BLOCKS} blocks, {contracts} contracts, {NODES} members',
            f'{memory / MEBIBYTE:.0f} MiB',
            verdict(memory, NODE_MEMORY_BUDGET),
        ],
        [
            'node: new tables',
            f'{view_changes} changes of the view a day',
            f'{rebuild:.3%} of a core',
            verdict(rebuild, NODE_CORE_BUDGET),
        ],
        [
            'node: bytes of changes',
            f'{change_bytes()} B a change, times its children for a relay',
            f'{spread:.0f} B/s, {spread * RELAY_FAN_OUT:.0f} B/s as a relay',
            verdict(spread * RELAY_FAN_OUT, NODE_BYTES_BUDGET),
        ],
        [
            'node: bytes of renewals',
            f'{renewal_bytes()} B each {KEEP_ALIVE_S} s',
            f'{renewals:.0f} B/s',
            verdict(renewals, NODE_BYTES_BUDGET),
        ],
        [
            'node: bytes of gossip',
            f'{GOSSIP_PEERS} peers each {GOSSIP_S} s, both ways',
            f'{gossip:.0f} B/s',
            verdict(gossip, NODE_BYTES_BUDGET),
        ],
        [
            'leader: renewals',
            f'{NODES / KEEP_ALIVE_S:.0f} a second',
            f'{renewal_cores:.1f} cores without the transport',
            verdict(renewal_cores, 1.0),
        ],
        [
            'leader: changes',
            f'{CHANGES_PER_DAY} a day',
            f'{slopes["change applied"].at(contracts) / 1000:.1f} ms each',
            verdict(slopes['change applied'].at(contracts) / 1e6, 1.0),
        ],
        [
            'leader: weights',
            f'{REGIONS} regions',
            f'{slopes["weights"].at(REGIONS) / 1000:.1f} ms a second',
            verdict(slopes['weights'].at(REGIONS) / 1e6, 0.1),
        ],
    ]


def main():
    """Measure and print both tables."""
    started_s = perf_counter()
    slopes = measure()
    heads = ('slope', 'unit', 'cost at size', 'per item')
    print(format_table(heads, [each.row() for each in slopes.values()]))
    print()
    print(format_table(heads, [each.row() for each in measure_gateways()]))
    print()
    heads = ('role and cost', 'at size', 'worked out', 'budget')
    rows = capacity_rows(slopes) + running_rows(measure_running(), slopes)
    print(format_table(heads, rows))
    print(f'\nmeasured in {perf_counter() - started_s:.0f} s')


if __name__ == '__main__':
    main()
