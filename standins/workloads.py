"""Workloads of both users, scaled down to one machine."""

from msgspec import Struct

from standins.caller import RequestTemplate
from standins.fleet_specs import Service

TOKEN_PREFIX = 'example-token-'


class RequestRoute(Struct, frozen=True):
    """Requests of one method and path, as the users' contracts rank them."""

    rank: str
    service: str
    method: str
    path: str
    repeatable: bool
    deadline_ms: int


class Workload(Struct, frozen=True):
    """Services, customers, clients and requests of a user."""

    user: str
    customers: tuple[str, ...]
    clients: tuple[str, ...]
    services: tuple[Service, ...]
    routes: tuple[RequestRoute, ...]

    def request_templates(self, rates, customers=None):
        """Return the requests to send, one template per route and customer.

        :param rates: dict of ranks to requests per second, over all customers.
        :param customers: customers that send; all by default.
        """
        customers = customers or self.customers
        return [
            RequestTemplate(
                route.rank,
                customer,
                TOKEN_PREFIX + customer,
                route.service,
                route.method,
                route.path,
                route.repeatable,
                route.deadline_ms,
                rates[route.rank] / len(customers),
            )
            for route in self.routes
            for customer in customers
            if rates.get(route.rank)
        ]


GOLAU_BEIC = Workload(
    'golau-beic',
    ('pedal-bristol', 'siop-aberystwyth'),
    ('10.20.200.7', '10.20.201.7', '10.20.200.9', '10.20.201.9'),
    (Service('orders', 2, 4, 20), Service('catalogue', 1, 4, 20)),
    (
        RequestRoute('urgent', 'orders', 'POST', '/orders', False, 5000),
        RequestRoute('interactive', 'orders', 'GET', '/stock/7', True, 2000),
        RequestRoute('background', 'orders', 'GET', '/sync', True, 30000),
        RequestRoute(
            'background', 'catalogue', 'GET', '/catalogue', True, 30000
        ),
    ),
)

HALVORSEN = Workload(
    'halvorsen',
    ('family-app', 'teller-counters'),
    ('10.30.200.7', '10.30.201.7', '10.30.200.9', '10.30.201.9'),
    (Service('teller', 2, 5, 20), Service('statements', 1, 4, 20)),
    (
        RequestRoute('urgent', 'teller', 'POST', '/deposits', False, 5000),
        RequestRoute(
            'interactive', 'teller', 'GET', '/balances/7', True, 2000
        ),
        RequestRoute('background', 'teller', 'GET', '/ledger', True, 30000),
        RequestRoute(
            'background', 'statements', 'POST', '/statements', True, 30000
        ),
    ),
)

WORKLOADS = {each.user: each for each in (GOLAU_BEIC, HALVORSEN)}
