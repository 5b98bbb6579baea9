"""Stand-in operator: changes configurations and evacuates domains."""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from random import Random
from time import monotonic

from msgspec.json import decode
from msgspec.json import encode

from soak.accounts import make_resources
from soak.body_limits import BODY_LIMITS
from soak.calls import fetch
from soak.processes import REGIONS
from soak.records import ConfigurationRead
from soak.records import Evacuation
from soak.records import Order

ORDER_TIMEOUT_S = 12.0
RETRY_INTERVAL_S = 0.1
PAUSE_RANGE_S = (0.3, 1.2)
SERVICES = ('stock', 'orders')
HOMES = tuple(dict.fromkeys(REGIONS.values()))
REFUSAL_STATUSES = range(400, 500)
RACE_PROBABILITY = 0.2
# Runs whose configurations have many routes have long logs.
MANY_ROUTES_PROBABILITY = 0.5
MANY_ROUTES = 120
# Of an order that changes the limits of callers.
LIMIT_PROBABILITY = 0.15
EVACUATION_PROBABILITY = 0.2
EVACUATION_RANGE_S = (3.0, 8.0)
# An evacuation that follows the end of another one at once shows orders that
# are read late.
AGAIN_PROBABILITY = 0.5


def make_configuration(
    version, parent_version, service, home, body_bytes, keys, idle_routes=0
):
    """Return a configuration document.

    :param version: number of the version.
    :param parent_version: number of the version that it is based on, 0 for
        none.
    :param service: target of the ``move`` route.
    :param home: home region of the ``home`` route; the other routes are the
        same in all versions.
    :param body_bytes: limit of the bodies of callers.
    :param keys: the account of each key.
    :param idle_routes: number of further routes, which nobody uses.
    """
    routes = [('stock', 'stock', 'idempotent')]
    routes.append(('orders', 'orders', 'non_idempotent'))
    routes.append(('move', service, 'non_idempotent'))
    routes.append(('home', 'stock', 'idempotent'))
    routes += [
        (f'idle{number}', 'stock', 'idempotent')
        for number in range(idle_routes)
    ]
    resources = [
        {
            'type': 'routes',
            'metadata': {'name': name},
            'spec': {
                'host': 'shop.example',
                'path_prefix': f'/{name}/',
                'kind': kind,
                'timeout_s': 2.0,
                'slo_s': 0.5,
                'service': target,
                'max_attempts': 2,
                'sticky': True,
                'home_regions': [home] if name == 'home' else [],
            },
        }
        for name, target, kind in routes
    ]
    resources += [
        {
            'type': 'services',
            'metadata': {'name': name},
            'spec': {'health_path': '/', 'cold_per_s': 5},
        }
        for name in SERVICES
    ]
    limits = {'max_header_bytes': 16384, 'max_body_bytes': body_bytes}
    limits |= {'header_timeout_s': 3, 'idle_timeout_s': 15}
    resources.append({'type': 'limits', 'metadata': {}, 'spec': limits})
    resources += make_resources(keys)
    return {
        'version': f'r{version}',
        'base_version': f'r{parent_version}' if parent_version else 0,
        'resources': resources,
    }


class Operator:
    """Puts configurations and evacuates failure domains.

    :param soak: the :class:`Soak` run that the operator belongs to.
    """

    def __init__(self, soak):
        self._soak = soak
        self._version = 0
        self._base_version = 0
        self._service = SERVICES[0]
        self._home = HOMES[0]
        self._home_random = Random(f'homes {soak.seed}')
        self._limits = list(BODY_LIMITS)
        random = Random(f'routes {soak.seed}')
        has_many = random.random() < MANY_ROUTES_PROBABILITY
        self._idle_routes = MANY_ROUTES if has_many else 0

    async def put_first_configuration(self):
        """Put a configuration that has no base version."""
        await self._put(self._next_order())

    async def run(self):
        """Send orders, some concurrently, until the faults are over."""
        evacuation = None
        while not self._soak.faults_are_over:
            random = self._soak.random
            await sleep(random.uniform(*PAUSE_RANGE_S))
            if random.random() < RACE_PROBABILITY:
                await self._put_concurrently()
            else:
                await self._put(self._next_order())
            await self.read()
            can_evacuate = evacuation is None or evacuation.done()
            if can_evacuate and random.random() < EVACUATION_PROBABILITY:
                evacuation = create_task(self._evacuate())
        if evacuation is not None:
            await evacuation

    async def read(self):
        """Read the configuration from a random control host.

        :return: the body of the response, or None if the read failed.
        """
        process = self._soak.shuffled_control()[0]
        sent_s = monotonic()
        reply = await self._call(process, 'GET', '/api/config')
        if reply is None or reply.code != 200:
            return None
        version = int(decode(reply.body)['version'][1:])
        read = ConfigurationRead(process.public_address, version, sent_s)
        self._soak.ledger.reads.append(read)
        return reply.body

    async def _put_concurrently(self):
        first, second = self._next_order(), self._next_order()
        await gather(self._put(first), self._put(second))

    def _next_order(self):
        self._version += self._soak.random.randint(1, 3)
        self._service = self._soak.random.choice(SERVICES)
        self._home = self._home_random.choice(HOMES)
        if self._soak.random.random() < LIMIT_PROBABILITY:
            self._limits.reverse()
        accounts = self._soak.accounts
        keys = accounts.next_keys() if accounts is not None else {}
        body = make_configuration(
            self._version,
            self._base_version,
            self._service,
            self._home,
            self._limits[0],
            keys,
            self._idle_routes,
        )
        return Order(
            self._version,
            self._base_version,
            self._service,
            encode(body),
            monotonic(),
            self._limits[0],
            home=self._home,
            keys=keys,
        )

    async def _put(self, order):
        self._soak.ledger.orders.append(order)
        reply = await self._send_until_decided(
            'PUT', '/api/config', order.body
        )
        if reply is None:
            # The outcome is unknown, so the version in force is read back and
            # used as the base of the next order.
            await self._refresh_base_version()
        elif reply.code == 200:
            order.acked_s = monotonic()
            self._base_version = max(self._base_version, order.version)
        else:
            order.refused = True
            await self._refresh_base_version()

    async def _refresh_base_version(self):
        deadline_s = monotonic() + ORDER_TIMEOUT_S
        while monotonic() < deadline_s:
            body = await self.read()
            if body is not None:
                self._base_version = int(decode(body)['version'][1:])
                return
            await sleep(RETRY_INTERVAL_S)

    async def _evacuate(self):
        domain = self._soak.random.choice(self._soak.evacuable_domains)
        path = f'/api/evacuate/{domain}'
        await self._evacuate_once(domain, path)
        while self._soak.random.random() < AGAIN_PROBABILITY:
            await self._evacuate_once(domain, path)

    async def _evacuate_once(self, domain, path):
        reply = await self._send_until_decided('POST', path)
        if reply is not None and reply.code == 200:
            evacuation = Evacuation(domain, monotonic())
            self._soak.ledger.evacuations.append(evacuation)
            await sleep(self._soak.random.uniform(*EVACUATION_RANGE_S))
            while self._soak.member_injector.holds_evacuations:
                await sleep(RETRY_INTERVAL_S)
            evacuation.ended_s = monotonic()
        while await self._send_until_decided('DELETE', path) is None:
            if self._soak.is_finished:
                return

    async def _send_until_decided(self, method, path, body=None):
        """Send a request until a control host accepts or refuses it.

        :return: the response, or None after ``ORDER_TIMEOUT_S``.
        """
        deadline_s = monotonic() + ORDER_TIMEOUT_S
        while monotonic() < deadline_s:
            for process in self._soak.shuffled_control():
                reply = await self._call(process, method, path, body)
                if reply is None:
                    continue
                if reply.code == 200 or reply.code in REFUSAL_STATUSES:
                    return reply
            await sleep(RETRY_INTERVAL_S)
        return None

    async def _call(self, process, method, path, body=None):
        url = f'http://{process.address("control")}{path}'
        return await fetch(method, url, body)
