"""Explains where a gateway would send a request now, and why.

Nothing is sent, counted or changed.
"""

from itertools import islice

from msgspec import Struct

from fuchsiacart.accounts import combine_homes
from fuchsiacart.clocks import boot_ms
from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.clocks import steady_ms
from fuchsiacart.gateway.placing.placement_requests import PlacementRequest

# Servers of each region that are listed.
MAX_CANDIDATES = 16
CHOSEN = 'chosen'
FULL = 'full'
NOT_NEEDED = 'not_needed'


class Question(Struct, frozen=True):
    """A request that is not sent; ``account`` is the name of its account."""

    host_name: str
    path: str
    account: str = ''
    object_key: str = ''


class Candidate(Struct, frozen=True):
    """A server, and why it is taken or not.

    ``load`` is the estimated number of requests per slot; ``verdict`` is
    ``chosen``, ``full``, ``not_needed`` or an :class:`Obstacle`.
    """

    server: str
    region: str
    failure_domain: str
    load: float
    verdict: str


class ViewState(Struct, frozen=True):
    """Freshness of the view on which the explanation is based."""

    version: int
    is_current: bool
    accepts_keys: bool
    reaches_servers: bool


class Terms(Struct, frozen=True):
    """The terms of the route and the account that hold for a request.

    ``room`` is the load per slot up to which a server takes it, ``quota_left``
    how many requests the account may still run at this gateway, None without
    a quota.
    """

    route: str
    kind: str
    rank: int
    account: str
    quota_left: float | None
    home_regions: tuple[str, ...]
    services: dict[str, float]
    is_sticky: bool
    room: float


class Explanation(Struct, frozen=True):
    """Where a request would go; ``refusal`` says why it goes nowhere."""

    view: ViewState
    terms: Terms | None = None
    service: str = ''
    server: str = ''
    refusal: str = ''
    candidates: tuple[Candidate, ...] = ()


def explain(forwarder, question):
    """Explain where a request would go now.

    A route with several services is explained for the one with most weight.

    :param forwarder: the :class:`Forwarder`.
    :param question: the :class:`Question`.
    :return: the :class:`Explanation`.
    """
    view = _read_view(forwarder)
    if not view.version:
        return Explanation(view, refusal='no configuration is in force')
    table = forwarder.route_table
    route = table.find(question.host_name, question.path)
    if route is None:
        return Explanation(view, refusal='no route matches')
    account = table.accounts.find_by_name(question.account)
    if account is None and table.accounts and not route.is_public:
        return Explanation(view, refusal='the route asks for an account')
    homes = combine_homes(
        route.home_regions, account.home_regions if account else ()
    )
    terms = _read_terms(forwarder, route, account, homes)
    if homes is None:
        return Explanation(view, terms, refusal='no region is home to both')
    if account is not None and not view.accepts_keys:
        return Explanation(view, terms, refusal='the view is too old for keys')
    if not view.reaches_servers:
        refusal = 'no server is reached; another gateway would be asked'
        return Explanation(view, terms, refusal=refusal)
    service = max(terms.services, key=terms.services.get)
    return _explain_placement(forwarder, question, view, terms, service)


def _explain_placement(forwarder, question, view, terms, service):
    placement = PlacementRequest(
        service,
        question.object_key,
        terms.room,
        terms.home_regions,
        is_sticky=terms.is_sticky,
        service_ms=forwarder.demands.mean_service_ms(service),
    )
    now_ms = steady_ms()
    chosen = forwarder.selector.peek(placement, now_ms)
    candidates = tuple(
        _make_candidate(forwarder.selector, each, region, placement, chosen)
        for region, servers in forwarder.selector.orders(placement)
        for each in islice(servers, MAX_CANDIDATES)
    )
    return Explanation(
        view,
        terms,
        service,
        chosen.name if chosen else '',
        '' if chosen else 'no server that may be used has room',
        candidates,
    )


def _make_candidate(selector, server, region, placement, chosen):
    now_ms = steady_ms()
    load = server.slot_load(now_ms)
    obstacle = selector.find_obstacle(server, placement, now_ms)
    verdict = FULL if load >= placement.max_requests_per_slot else NOT_NEEDED
    if obstacle is not None:
        verdict = obstacle.value
    if server is chosen:
        verdict = CHOSEN
    return Candidate(
        server.name,
        region,
        server.record.failure_domain,
        round(load, 2),
        verdict,
    )


def _read_view(forwarder):
    return ViewState(
        forwarder.version,
        forwarder.freshness.is_current(boot_ms()),
        forwarder.keys.accepts(boot_ms()),
        not forwarder.reachability.is_isolated,
    )


def _read_terms(forwarder, route, account, homes):
    has_rank = account is not None and account.rank is not None
    rank = account.rank if has_rank else route.rank
    services = {each.service: each.weight for each in route.targets}
    service = max(services, key=services.get)
    quota_left = None
    if account is not None and account.has_quota:
        quota_left = forwarder.quotas.left(account)
    return Terms(
        route.name,
        route.kind.value,
        rank,
        account.name if account is not None else '',
        quota_left,
        homes or (),
        services,
        route.sticky,
        round(
            forwarder.find_room(
                service, rank, route.objective_ms / MILLISECONDS
            ),
            2,
        ),
    )
