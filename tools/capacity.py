"""Measures costs by size and extrapolates them to the users' deployments.

Each cost is measured at three sizes or more, on this machine, with the
product's own classes.  The result is the table of the capacity page; its sizes
are those that the users have stated.
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
from tools.process_costs import measure_process_costs
from tools.slopes import measure_bytes
from tools.slopes import measure_processor_s
from tools.slopes import measure_slope

ENTRY_HOSTS = 4_400
BLOCKS = 490_000
SITES = 1_100
LOOKUPS_PER_S = 1_900_000
REGIONS = 20
FAILURE_DOMAINS = 71
CHANGES_PER_DAY = 21_000
MEMBER_CHANGES_PER_DAY = 2 * 1_400 + 2 * 6
SECONDS_PER_DAY = 86_400
CONTROL_HOSTS = 7
BLOCKS_PER_CONTRACT = 100
KEEP_ALIVE_INTERVAL_S = 0.5
GOSSIP_INTERVAL_S = 0.2
GOSSIP_PEERS = 3
RELAY_FAN_OUT = 8
HOST_CORE_BUDGET = 0.01
HOST_MEMORY_BUDGET_BYTES = 128 * 1024 * 1024
HOST_TRAFFIC_BUDGET_BYTES_PER_S = 3_000
MIB_BYTES = 1024 * 1024


def make_host(index, regions=REGIONS):
    """Return an entry host; the index selects its name, region and address."""
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


def make_contract(index, blocks):
    """Return a contract with a number of client blocks."""
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


def make_snapshot(hosts, contracts, regions=REGIONS):
    """Return the snapshot of a deployment with all blocks served at home."""
    weights = tuple(
        RegionWeight(f'region-{home}', f'region-{home}', 1000)
        for home in range(regions)
    )
    items = tuple(VersionedContract(1, each) for each in contracts)
    return ViewSnapshot(1, items, (), tuple(hosts), weights)


def make_view(hosts, contracts):
    """Return a view that has restored a snapshot."""
    view = View()
    view.restore(make_snapshot(hosts, contracts))
    return view


def measure_block_bytes(count):
    """Return the bytes of a table of client blocks."""
    blocks = make_contract(0, count).blocks
    return measure_bytes(lambda: BlockTable(blocks))


def measure_contract_bytes(count):
    """Return the bytes of contracts and their blocks in a view."""
    return measure_bytes(
        lambda: make_view(
            [], [make_contract(index, 100) for index in range(count)]
        )
    )


def measure_host_bytes(count):
    """Return the bytes of entry hosts in a view."""
    return measure_bytes(
        lambda: make_view([make_host(index) for index in range(count)], [])
    )


def measure_lookup_us(hosts, blocks, regions):
    """Return the microseconds of a look-up in a warm table."""
    view = View()
    contracts = [make_contract(0, blocks)]
    members = [make_host(index, regions) for index in range(hosts)]
    view.restore(make_snapshot(members, contracts, regions))
    table = LookupTable(view, 'region-0', 2000)
    random = Random(1)
    clients = [
        f'10.{random.randrange(8)}.{random.randrange(256)}.7'
        for _ in range(2000)
    ]
    for client in clients:
        table.look_up('orders', client)
    return 1e6 * measure_processor_s(
        lambda number: table.look_up('orders', clients[number % 2000]), 20_000
    )


def measure_lookup_table_ms(hosts):
    """Return the milliseconds to build a look-up table for a new view."""
    view = make_view([make_host(index) for index in range(hosts)], [])
    return 1e3 * measure_processor_s(
        lambda number: LookupTable(view, 'region-0', 2000), 20
    )


def measure_ownership_us(hosts):
    """Return the microseconds to find the owner of a backend server."""
    ownership = Ownership('entry-0', 3000)
    ownership.observe([make_host(index) for index in range(hosts)], (), 0.0)
    server = BackendServer(
        'server', 1, 'orders', 'region-0', 'region-0-0', '10.0.0.1:1', 4, 400
    )
    return 1e6 * measure_processor_s(
        lambda number: ownership.owner(server), 200
    )


def measure_change_us(contracts):
    """Return the microseconds to apply a change among stored contracts."""
    state = ReplicatedState()
    for index in range(contracts):
        state.apply(make_put(index, index, 0))
    return 1e6 * measure_processor_s(
        lambda number: state.apply(
            make_put(0, contracts + number, 1 + number)
        ),
        200,
    )


def make_put(index, change, version):
    """Return a command that puts a contract.

    :param index: index of the contract.
    :param change: number that makes the change id unique.
    :param version: version that the change expects.
    """
    details = Change(f'change-{change}', 'ann', 1000)
    return PutContract(details, version, make_contract(index, 100))


def measure_claim_bytes(count):
    """Return the bytes of stored claims."""

    def make():
        state = ReplicatedState()
        for _ in range(count):
            key = str(uuid7())
            state.apply(
                Claim('shop', key, 1, '0' * 64, HostId('e'), key, wall_ms())
            )
        return state

    return measure_bytes(make)


def measure_claim_us(count):
    """Return the microseconds to apply a claim among stored claims."""
    state = ReplicatedState()
    for _ in range(count):
        key = str(uuid7())
        state.apply(Claim('shop', key, 1, '', HostId('e'), key, wall_ms()))

    def apply(number):
        key = str(uuid7())
        state.apply(Claim('shop', key, 1, '', HostId('e'), key, wall_ms()))

    return 1e6 * measure_processor_s(apply, 2000)


def measure_server_bytes(count):
    """Return the bytes of owned backend servers."""
    return measure_bytes(
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


def measure_renewal_us(hosts):
    """Return the microseconds of a lease renewal at the leader."""
    members = [make_host(index) for index in range(hosts)]
    table = LeaseTable(3000, members, 0.0)
    tree = RelayTree(members, ['10.0.0.1:1'], RELAY_FAN_OUT)

    def renew(number):
        each = members[number % hosts]
        table.renew(each, 1, 1.0)
        tree.parents(each.name)

    return 1e6 * measure_processor_s(renew, 20_000)


def measure_gossip_bytes(hosts):
    """Return the bytes of a gossip message, by the number of known hosts."""
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


def measure_weights_us(regions):
    """Return the microseconds to compute the weights of regions."""
    loads = [
        RegionLoad(f'region-{index}', 100, 70.0 + index, True, index != 3)
        for index in range(regions)
    ]
    policy = HeadroomWeights()
    current = Weights()
    return 1e6 * measure_processor_s(
        lambda number: policy.target(loads, current), 50
    )


def measure_slopes():
    """Return all slopes in a dict, by name."""
    return {
        each.name: each
        for each in (
            measure_slope(
                'blocks', 'B', (2000, 8000, 32000), measure_block_bytes
            ),
            measure_slope(
                'contracts', 'B', (20, 80, 320), measure_contract_bytes
            ),
            measure_slope(
                'members', 'B', (100, 400, 1600, 4400), measure_host_bytes
            ),
            measure_slope(
                'look-up by members',
                'us',
                (100, 1000, 4400),
                lambda count: measure_lookup_us(count, 1000, REGIONS),
            ),
            measure_slope(
                'look-up by blocks',
                'us',
                (1000, 10_000, 65_000),
                lambda count: measure_lookup_us(400, count, REGIONS),
            ),
            measure_slope(
                'look-up by regions',
                'us',
                (3, 10, 20),
                lambda count: measure_lookup_us(400, 1000, count),
            ),
            measure_slope(
                'new look-up table',
                'ms',
                (100, 1000, 4400),
                measure_lookup_table_ms,
            ),
            measure_slope(
                'owner', 'us', (100, 1000, 4400), measure_ownership_us
            ),
            measure_slope(
                'change applied', 'us', (10, 100, 400), measure_change_us
            ),
            measure_slope(
                'claims', 'B', (1000, 4000, 16_000), measure_claim_bytes
            ),
            measure_slope(
                'claim applied', 'us', (1000, 4000, 16_000), measure_claim_us
            ),
            measure_slope(
                'backend servers', 'B', (100, 400, 1600), measure_server_bytes
            ),
            measure_slope(
                'renewal', 'us', (100, 1000, 4400), measure_renewal_us
            ),
            measure_slope(
                'gossip round', 'B', (8, 32, 200, 4400), measure_gossip_bytes
            ),
            measure_slope('weights', 'us', (3, 10, 20), measure_weights_us),
        )
    }


def process_rows(costs, slopes):
    """Return the rows that are based on the costs of real processes."""
    contracts = BLOCKS // BLOCKS_PER_CONTRACT
    memory = (
        costs.entry_bytes
        + slopes['blocks'].at(BLOCKS)
        + slopes['contracts'].at(contracts)
        + slopes['members'].at(ENTRY_HOSTS)
    )
    cores = LOOKUPS_PER_S * costs.lookup_s
    return [
        [
            'node: look-ups over HTTP',
            f'{1 / costs.lookup_s:.0f} a second and core,'
            f' {costs.lookup_s * 1e6:.0f} us each',
            f'{cores / ENTRY_HOSTS:.1%} of a core each,'
            f' {cores:.0f} cores in all',
            'not control',
        ],
        [
            'node: memory of the process',
            f'{costs.entry_bytes / MIB_BYTES:.0f} MiB when empty',
            f'{memory / MIB_BYTES:.0f} MiB with the view',
            budget_status(memory, HOST_MEMORY_BUDGET_BYTES),
        ],
        [
            'node: control when idle',
            '3 entry hosts',
            f'{costs.entry_idle_cores:.1%} of a core',
            budget_status(costs.entry_idle_cores, HOST_CORE_BUDGET),
        ],
        [
            'leader when idle',
            f'3 entry hosts, {costs.control_bytes / MIB_BYTES:.0f} MiB',
            f'{costs.leader_idle_cores:.1%} of a core',
            budget_status(costs.leader_idle_cores, 1.0),
        ],
    ]


def change_bytes():
    """Return the bytes of a changed contract as relays send it."""
    item = VersionedContract(2, make_contract(0, BLOCKS_PER_CONTRACT))
    return len(encode(PullReply((Delta(1, ContractSet(item)),))))


def renewal_bytes():
    """Return the bytes of a lease renewal request."""
    load = ServiceLoad('orders', 8, 4, (1, 1, 1), (1.0, 1.0, 1.0))
    return len(encode(KeepAliveRequest(make_host(1), 1, (), (), (load, load))))


def budget_status(value, budget):
    """Return ``within`` or ``OVER``, for the budget column of a table."""
    return 'within' if value <= budget else 'OVER'


def capacity_rows(slopes):
    """Return the rows that are based on slopes."""
    contracts = BLOCKS // BLOCKS_PER_CONTRACT
    lookup_us = slopes['look-up by members'].at(ENTRY_HOSTS)
    table_ms = slopes['new look-up table'].at(ENTRY_HOSTS)
    view_changes = CHANGES_PER_DAY + MEMBER_CHANGES_PER_DAY
    rebuild_cores = table_ms / 1000 * view_changes / SECONDS_PER_DAY
    memory = (
        slopes['blocks'].at(BLOCKS)
        + slopes['contracts'].at(contracts)
        + slopes['members'].at(ENTRY_HOSTS)
    )
    change_bytes_per_s = change_bytes() * CHANGES_PER_DAY / SECONDS_PER_DAY
    renewal_bytes_per_s = renewal_bytes() / KEEP_ALIVE_INTERVAL_S
    gossip_bytes_per_s = (
        2 * GOSSIP_PEERS * slopes['gossip round'].at(32) / GOSSIP_INTERVAL_S
    )
    renewal_cores = (
        slopes['renewal'].at(ENTRY_HOSTS)
        / 1e6
        * ENTRY_HOSTS
        / KEEP_ALIVE_INTERVAL_S
    )
    cores = LOOKUPS_PER_S * lookup_us / 1e6
    return [
        [
            'node: look-ups',
            f'{LOOKUPS_PER_S / ENTRY_HOSTS:.0f} a second each',
            f'{cores / ENTRY_HOSTS:.2%} of a core each,'
            f' {cores:.0f} cores in all',
            'warm table by bucket; not control',
        ],
        [
            'node: memory of the view',
            f'{BLOCKS} blocks, {contracts} contracts, {ENTRY_HOSTS} members',
            f'{memory / MIB_BYTES:.0f} MiB',
            budget_status(memory, HOST_MEMORY_BUDGET_BYTES),
        ],
        [
            'node: new tables',
            f'{view_changes} changes of the view a day',
            f'{rebuild_cores:.3%} of a core',
            budget_status(rebuild_cores, HOST_CORE_BUDGET),
        ],
        [
            'node: bytes of changes',
            f'{change_bytes()} B a change, times its children for a relay',
            f'{change_bytes_per_s:.0f} B/s,'
            f' {change_bytes_per_s * RELAY_FAN_OUT:.0f} B/s as a relay',
            budget_status(
                change_bytes_per_s * RELAY_FAN_OUT,
                HOST_TRAFFIC_BUDGET_BYTES_PER_S,
            ),
        ],
        [
            'node: bytes of renewals',
            f'{renewal_bytes()} B each {KEEP_ALIVE_INTERVAL_S} s',
            f'{renewal_bytes_per_s:.0f} B/s',
            budget_status(
                renewal_bytes_per_s, HOST_TRAFFIC_BUDGET_BYTES_PER_S
            ),
        ],
        [
            'node: bytes of gossip',
            f'{GOSSIP_PEERS} peers each {GOSSIP_INTERVAL_S} s, both ways',
            f'{gossip_bytes_per_s:.0f} B/s',
            budget_status(gossip_bytes_per_s, HOST_TRAFFIC_BUDGET_BYTES_PER_S),
        ],
        [
            'leader: renewals',
            f'{ENTRY_HOSTS / KEEP_ALIVE_INTERVAL_S:.0f} a second',
            f'{renewal_cores:.1f} cores without the transport',
            budget_status(renewal_cores, 1.0),
        ],
        [
            'leader: changes',
            f'{CHANGES_PER_DAY} a day',
            f'{slopes["change applied"].at(contracts) / 1000:.1f} ms each',
            budget_status(slopes['change applied'].at(contracts) / 1e6, 1.0),
        ],
        [
            'leader: weights',
            f'{REGIONS} regions',
            f'{slopes["weights"].at(REGIONS) / 1000:.1f} ms a second',
            budget_status(slopes['weights'].at(REGIONS) / 1e6, 0.1),
        ],
    ]


def main():
    """Measure all costs and print the tables."""
    started_s = perf_counter()
    slopes = measure_slopes()
    headings = ('slope', 'unit', 'cost at size', 'per item')
    print(
        format_table(headings, [each.format_row() for each in slopes.values()])
    )
    print()
    print(
        format_table(
            headings, [each.format_row() for each in measure_gateways()]
        )
    )
    print()
    headings = ('role and cost', 'at size', 'worked out', 'budget')
    rows = capacity_rows(slopes) + process_rows(
        measure_process_costs(), slopes
    )
    print(format_table(headings, rows))
    print(f'\nmeasured in {perf_counter() - started_s:.0f} s')


if __name__ == '__main__':
    main()
