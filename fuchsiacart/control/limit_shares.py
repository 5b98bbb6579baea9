"""Shares of a contract's limits, leased to entry hosts.

The sum of the shares that are out never passes the limit; a share that
shrinks counts in full until its host has reported the smaller one or its
lease has run out.
"""

from msgspec import Struct

from fuchsiacart.messages import Demand
from fuchsiacart.messages import Share
from fuchsiacart.models import HostId
from fuchsiacart.models import Rank

SPARE_PART = 0.2
FIRST_PART = 0.5
SMALLEST_SHARE = 1.0


class Grant(Struct):
    """What one host may use of one limit, at most, until it reports."""

    reserved: float
    expires_ms: float
    demand: float


class ShareRequest(Struct, frozen=True):
    """A host's request for its part of one limit."""

    host: HostId
    demand: float
    reported: float


class Pool:
    """One limit and the hosts that use it."""

    def __init__(self, limit):
        self.limit = limit
        self._grants = {}

    def grant(self, request, now_ms, expires_ms):
        """Grant a host its part of the limit by demand.

        :param ask: what the host would use and what it holds.
        :param now_ms: the present.
        :param expires_ms: when this grant runs out.
        :return: how much the host may use until then.
        """
        self._expire(now_ms)
        self._grants[request.host] = Grant(
            request.reported, expires_ms, request.demand
        )
        others = sum(
            held.reserved
            for name, held in self._grants.items()
            if name != request.host
        )
        granted = max(0.0, min(self._fair(request), self.limit - others))
        self._grants[request.host].reserved = max(granted, request.reported)
        return granted

    def adopt(self, request, expires_ms):
        """Take over a share that an earlier leader granted."""
        self._grants[request.host] = Grant(
            request.reported, expires_ms, request.demand
        )

    def _fair(self, request):
        count = len(self._grants)
        least = max(SMALLEST_SHARE, self.limit * SPARE_PART / count)
        least = min(least, self.limit / count)
        rest = self.limit - least * count
        wanted = sum(held.demand for held in self._grants.values())
        if wanted <= 0:
            return max(SMALLEST_SHARE, self.limit * FIRST_PART / count)
        return least + rest * request.demand / wanted

    def _expire(self, now_ms):
        gone = [
            name
            for name, held in self._grants.items()
            if held.expires_ms <= now_ms
        ]
        for name in gone:
            del self._grants[name]


class PoolKey(Struct, frozen=True):
    """Which limit a pool holds."""

    customer: str
    rank: Rank
    resource: str


class ShareLedger:
    """The leader's ledger of all shares, pure.

    :param lease_ms: how long a share holds after it is granted.
    :param opens_ms: from when on the ledger grants in any case; before
        that, shares of an earlier leader may be out.
    """

    def __init__(self, lease_ms, opens_ms):
        self._lease_ms = lease_ms
        self._grants_from_ms = opens_ms
        self._pools = {}

    def open(self):
        """Grant from now on: every live host has reported its shares."""
        self._grants_from_ms = 0.0

    def grant(self, host, contracts, demands, reported, now_ms):
        """Grant a host its shares of all contracts.

        :param host: the host that asks.
        :param contracts: contracts in force.
        :param demands: what the host would use.
        :param reported: shares that the host holds.
        :param now_ms: the present.
        :return: the shares, one for each customer and rank.
        """
        wanted = {(each.customer, each.rank): each for each in demands}
        held = {(each.customer, each.rank): each for each in reported}
        shares = []
        for contract in contracts:
            for terms in contract.ranks:
                rank = terms.rank.rank
                name = (contract.customer, rank)
                nothing = Demand(contract.customer, rank, 0.0, 0.0)
                demand = wanted.get(name, nothing)
                holds = held.get(name, nothing)
                rate = ShareRequest(host, demand.rate_per_s, holds.rate_per_s)
                slots = ShareRequest(
                    host, demand.concurrency, holds.concurrency
                )
                shares.append(
                    Share(
                        contract.customer,
                        rank,
                        self._part(
                            'rate', terms.rate_per_s, *name, rate, now_ms
                        ),
                        self._part(
                            'slots', terms.concurrency, *name, slots, now_ms
                        ),
                    )
                )
        return tuple(shares)

    def _part(self, resource, limit, customer, rank, request, now_ms):
        key = PoolKey(customer, rank, resource)
        pool = self._pools.setdefault(key, Pool(float(limit)))
        pool.limit = float(limit)
        expires_ms = now_ms + self._lease_ms
        if now_ms < self._grants_from_ms:
            pool.adopt(request, expires_ms)
            return request.reported
        return pool.grant(request, now_ms, expires_ms)
