"""Plays an emulated deployment in simulated time.

Gateways run the product's own decision classes, hundreds of them in one
process: :class:`ServerSelector`, :class:`DemandMeter` and
:class:`SharedRetryBudget`, and for the leader :class:`ShareBalancer`.
"""

from heapq import heappop
from heapq import heappush
from itertools import count
from random import Random

from msgspec.structs import replace

from fuchsiacart.configurations import Configuration
from fuchsiacart.configurations import Item
from fuchsiacart.configurations import ItemId
from fuchsiacart.configurations import ServiceTerms
from fuchsiacart.control.region_demands import RegionDemands
from fuchsiacart.control import region_share_tasks
from fuchsiacart.control.region_shares import ServiceRegionLoad
from fuchsiacart.control.region_shares import ShareBalancer
from fuchsiacart.control.route_states import RouteView
from fuchsiacart.gateway.route_tables import RouteTable
from fuchsiacart.load_boards import count_in_flight
from fuchsiacart.load_boards import LoadBoard
from fuchsiacart.load_boards import ServerIndex
from fuchsiacart.models import Host
from fuchsiacart.models import HostId
from fuchsiacart.servers import ServerRecord
from standins.emulation.callers import EmulatedCallers
from standins.emulation.deployments import MILLISECONDS
from standins.emulation.gateways import SERVICE
from standins.emulation.policies import PRESENT
from standins.emulation.replacements import choose_servers
from standins.emulation.replacements import ServerReplacements
from standins.emulation.servers import EmulatedServer
from standins.emulation.servers import Visit
from standins.emulation.statements import HeardStatements
from standins.emulation.tallies import Tallies

IN_REGION_MS = 2.0
SHARE_STEP_MS = 1000.0
RENEWAL_MS = 500.0
SHARE_STEP_CAP = 0.03
# Requests that are still in flight at the end get this time.
CLOSING_S = 15.0


class Emulator:
    """Plays a deployment.

    :param plan: the :class:`Deployment`.
    :param policy: the :class:`Policy` of its hosts.
    """

    def __init__(self, plan, policy=PRESENT):
        self.plan = plan
        self.now_ms = 0.0
        self.tallies = Tallies()
        self.sends = 0
        self.first_sends = 0
        self.largest_message = 0
        self.sends_between_regions = 0
        self.broken_off = 0
        self.heard = HeardStatements()
        self._board = LoadBoard()
        self.random = Random(plan.seed)
        self._events = []
        self._order = count()
        self._demands = RegionDemands()
        self._servers = {}
        self._view = RouteView()
        self._balancer = policy.make_balancer(SHARE_STEP_CAP)
        terms = ServiceTerms(SERVICE, '/', 1000, 0.0, 0.0)
        item = Item(ItemId('services', SERVICE), terms, b'')
        self._view.configuration = Configuration(1, (item,))
        self._full = [
            (each, frozenset(choose_servers(plan, each.share)))
            for each in plan.fullness
        ]
        for region in plan.regions:
            self._add_servers(region)
        self.replacements = ServerReplacements(
            self, self._servers, self._view.servers
        )
        self._gateways = {
            region.name: [
                policy.make_gateway(self, _make_host(region.name, index))
                for index in range(region.gateways)
            ]
            for region in plan.regions
        }
        self._by_name = {
            gateway.host.name: gateway
            for members in self._gateways.values()
            for gateway in members
        }
        self._apply_reach()
        self._view.shares = self._initial_shares()
        self.apply_view()
        self.callers = EmulatedCallers(self, self._gateways)

    def play(self):
        """Play the whole duration and return the :class:`Tallies`."""
        self.callers.start()
        self.after(SHARE_STEP_MS, self._update_view)
        self._start_renewals()
        for replacement in self.plan.replacements:
            self.replacements.schedule(replacement)
        end_ms = self.end_ms + CLOSING_S * MILLISECONDS
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, action = heappop(self._events)
            action()
        return self.tallies

    def after(self, delay_ms, action):
        """Run an action after a delay."""
        entry = (self.now_ms + delay_ms, next(self._order), action)
        heappush(self._events, entry)

    def send(self, request, gateway, tracked, counted):
        """Send a request from a gateway to a server."""
        server = self._servers[tracked.name]
        start = tracked.record.start
        self.heard.count_send(gateway.host.name, start, self.now_ms)
        delay_ms = IN_REGION_MS
        self.sends += 1
        self.first_sends += request.sends == 1
        if server.region != gateway.region:
            self.sends_between_regions += 1
            delay_ms = self.plan.between_regions_ms
        deadline_ms = request.received_ms + request.kind.timeout_ms
        visit = Visit(
            request,
            gateway,
            tracked,
            counted,
            delay_ms,
            self.now_ms,
            deadline_ms - delay_ms,
        )
        self.after(delay_ms, lambda: server.receive(visit))

    def reply(self, visit, result):
        """Bring a server's response to the gateway."""
        if self.is_cut(visit.gateway.host):
            visit.gateway.on_lost_reply(visit)
            return
        server = self._servers[visit.tracked.name]
        load, statement = server.load(), server.statement(result)

        def arrive():
            name = visit.gateway.host.name
            self.heard.record(name, server.start, statement, self.now_ms)
            visit.gateway.on_reply(visit, result, load, statement)

        self.after(visit.delay_ms, arrive)

    def break_off(self, visit):
        """Close the connection of a visit without an answer."""
        self.broken_off += 1
        self.after(visit.delay_ms, lambda: visit.gateway.on_broken(visit))

    def refuse_connection(self, visit):
        """Refuse the connection of a visit."""
        self.after(visit.delay_ms, lambda: visit.gateway.on_refused(visit))

    def report_departures(self, gateway):
        """Tell the leader which servers leave by what a gateway was told."""
        starts = gateway.selector.unconfirmed_departures()
        if starts:
            self.after(
                self.plan.between_regions_ms,
                lambda: self.replacements.take_report(starts),
            )

    def is_cut(self, host):
        """Return True if a gateway is cut off from all servers now."""
        share = self.plan.isolated_share(self.now_ms)
        if not share:
            return False
        region, _, index = host.name.rpartition('-')
        members = self._gateways[region.partition('-')[2]]
        return int(index) < share * len(members)

    def relay(self, request, origin, host):
        """Bring a request from an isolated gateway to another one."""
        is_near = host.region == origin.region
        delay_ms = IN_REGION_MS if is_near else self.plan.between_regions_ms

        def arrive():
            if not self._by_name[host.name].take_relayed(request, delay_ms):
                origin.reach.relays.avoid(host.name, self.now_ms)
                self.after(delay_ms, lambda: origin.relay(request))

        self.after(delay_ms, arrive)

    def announce_reach(self):
        """Tell all gateways which of them are isolated, by the leader."""
        self.after(2 * self.plan.between_regions_ms, self._apply_reach)

    def _apply_reach(self):
        hosts = [
            replace(each.host, state=each.reach.state)
            for each in self._by_name.values()
        ]
        for gateway in self._by_name.values():
            gateway.reach.relays.apply_view(hosts)

    def _start_renewals(self):
        for members in self._gateways.values():
            for gateway in members:
                self._schedule_renewal(
                    self.random.uniform(0, RENEWAL_MS), gateway
                )

    def _schedule_renewal(self, delay_ms, gateway):
        self.after(delay_ms, lambda: self._renew(gateway))

    def _renew(self, gateway):
        """Tell the leader what is in flight; its reply holds the sums."""
        self.report_departures(gateway)
        sent = count_in_flight(gateway.selector.servers)
        delay_ms = self.plan.between_regions_ms
        name = gateway.host.name
        sent_ms = self.now_ms

        def answer():
            self._board.record(name, sent, self.now_ms)
            loads = self._board.load_map(name, self._index, self.now_ms)
            self.largest_message = max(self.largest_message, len(loads.counts))
            self.after(delay_ms, lambda: gateway.take_loads(loads, sent_ms))

        self.after(delay_ms, answer)
        if self.now_ms < self.end_ms:
            self._schedule_renewal(RENEWAL_MS, gateway)

    def busiest(self):
        """Return the arrivals of the busiest server relative to the mean."""
        arrivals = [server.arrivals for server in self._servers.values()]
        return max(arrivals) * len(arrivals) / max(1, sum(arrivals))

    @property
    def end_ms(self):
        """The time until which callers send requests."""
        return self.plan.duration_s * MILLISECONDS

    def _add_servers(self, region):
        for index in range(region.servers):
            name = f'{region.name}-{index}'
            domain = f'{region.name}-{"ab"[index % 2]}'
            record = ServerRecord(
                name, 1, 1, SERVICE, name, domain, self.plan.slots
            )
            self.add_server(record)

    def add_server(self, record):
        """Start a server, for the first time or anew.

        :param record: its :class:`ServerRecord`.
        """
        self._view.servers[record.name] = record
        self._servers[record.name] = EmulatedServer(
            self,
            self.plan,
            self.plan.domains()[record.failure_domain],
            record,
            [each for each, names in self._full if record.name in names],
        )

    def _initial_shares(self):
        """Return the shares for an even demand, as before any traffic."""
        capacity = self.plan.servers * self.plan.slots
        utilization = region_share_tasks.INITIAL_UTILIZATION
        demand = utilization * capacity / len(self.plan.regions)
        loads = [
            ServiceRegionLoad(
                region.name, demand, region.servers * self.plan.slots
            )
            for region in self.plan.regions
        ]
        return ShareBalancer(1.0).next_shares(SERVICE, loads, ())

    def _update_view(self):
        evacuated = self.plan.evacuated(self.now_ms)
        self._read_demands()
        loads = []
        for region in self.plan.regions:
            usable = sum(
                record.failure_domain not in evacuated
                for record in self._view.servers.values()
                if self._servers[record.name].region == region.name
            )
            loads.append(
                ServiceRegionLoad(
                    region.name,
                    self._demands.slots(SERVICE, region.name),
                    usable * self.plan.slots,
                )
            )
        self._view.shares = self._balancer.next_shares(
            SERVICE, loads, self._view.shares, evacuated
        )
        self._view.evacuated = evacuated
        self.apply_view()
        if self.now_ms < self.end_ms:
            self.after(SHARE_STEP_MS, self._update_view)

    def _read_demands(self):
        span_s = SHARE_STEP_MS / MILLISECONDS
        self._demands.record(
            {
                (SERVICE, region): sum(
                    each.demands.flush(span_s).get(SERVICE, 0.0)
                    for each in gateways
                )
                for region, gateways in self._gateways.items()
            }
        )

    def apply_view(self):
        """Bring the view of the leader to all gateways."""
        table = RouteTable(self._view.configuration)
        self._index = ServerIndex(
            self._view.servers.values(), self.plan.domains(), ''
        )
        for gateways in self._gateways.values():
            for gateway in gateways:
                gateway.selector.apply_view(self._view, table, self.now_ms)


def _make_host(region, index):
    """Return the host of a gateway; domains take turns."""
    name = f'gateway-{region}-{index}'
    domain = f'{region}-{"ab"[index % 2]}'
    return Host(HostId(name), 1, region, domain, name, name)
