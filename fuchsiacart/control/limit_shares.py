"""Shares of a contract's limits that are leased to entry hosts.

The sum of the granted shares never exceeds the limit.  A reduced share
counts in full until its host has reported the smaller one or its lease has
expired.
"""

from msgspec import Struct

from fuchsiacart.messages import Demand
from fuchsiacart.messages import Share
from fuchsiacart.models import HostId
from fuchsiacart.models import Rank

# Fraction of a limit that is divided equally among the hosts.
EQUAL_FRACTION = 0.2
# Fraction of a limit that is divided equally while no host has any demand.
IDLE_FRACTION = 0.5
MIN_SHARE = 1.0


class Grant(Struct):
    """Share of a limit that is granted to a host.

    ``reserved`` is the most that the host may use until it reports again or
    the grant expires.
    """

    reserved: float
    expires_ms: float
    demand: float


class ShareRequest(Struct, frozen=True):
    """A host's request for a share of one limit.

    ``demand`` is what the host would use, ``reported`` the share it has.
    """

    host: HostId
    demand: float
    reported: float


class Pool:
    """One limit and its division among the hosts."""

    def __init__(self, limit):
        self.limit = limit
        self._grants = {}

    def grant(self, request, now_ms, expires_ms):
        """Grant a host a share of the limit according to its demand.

        :param request: the :class:`ShareRequest` of the host.
        :param now_ms: current time, in milliseconds of a steady clock.
        :param expires_ms: when this grant expires.
        :return: the share that the host may use until then.
        """
        self._expire(now_ms)
        self._grants[request.host] = Grant(
            request.reported, expires_ms, request.demand
        )
        reserved_by_others = sum(
            grant.reserved
            for host, grant in self._grants.items()
            if host != request.host
        )
        granted = max(
            0.0,
            min(self._fair_share(request), self.limit - reserved_by_others),
        )
        self._grants[request.host].reserved = max(granted, request.reported)
        return granted

    def adopt(self, request, expires_ms):
        """Record a share that an earlier leader has granted."""
        self._grants[request.host] = Grant(
            request.reported, expires_ms, request.demand
        )

    def _fair_share(self, request):
        count = len(self._grants)
        minimum = max(MIN_SHARE, self.limit * EQUAL_FRACTION / count)
        minimum = min(minimum, self.limit / count)
        rest = self.limit - minimum * count
        total_demand = sum(grant.demand for grant in self._grants.values())
        if total_demand <= 0:
            return max(MIN_SHARE, self.limit * IDLE_FRACTION / count)
        return minimum + rest * request.demand / total_demand

    def _expire(self, now_ms):
        expired = [
            host
            for host, grant in self._grants.items()
            if grant.expires_ms <= now_ms
        ]
        for host in expired:
            del self._grants[host]


class PoolKey(Struct, frozen=True):
    """Identifies the limit of a pool."""

    customer: str
    rank: Rank
    resource: str


class ShareLedger:
    """The leader's ledger of all shares; does no I/O and reads no clock.

    :param lease_ms: how long a share is valid after it is granted.
    :param grants_from_ms: time from which the ledger grants shares.  Until
        then shares that an earlier leader granted may be in use, so hosts
        keep what they report.
    """

    def __init__(self, lease_ms, grants_from_ms):
        self._lease_ms = lease_ms
        self._grants_from_ms = grants_from_ms
        self._pools = {}

    def start_granting(self):
        """Grant shares from now on, as all live hosts have reported theirs."""
        self._grants_from_ms = 0.0

    def grant(self, host, contracts, demands, reported, now_ms):
        """Grant a host its shares of all contracts.

        :param host: name of the host.
        :param contracts: the contracts in force.
        :param demands: the :class:`Demand` of the host by customer and rank.
        :param reported: each :class:`Share` that the host has.
        :param now_ms: current time, in milliseconds of a steady clock.
        :return: a tuple of :class:`Share`, one for each customer and rank.
        """
        demand_by_key = {(each.customer, each.rank): each for each in demands}
        share_by_key = {(each.customer, each.rank): each for each in reported}
        shares = []
        for contract in contracts:
            for terms in contract.ranks:
                rank = terms.rank.rank
                key = (contract.customer, rank)
                zero = Demand(contract.customer, rank, 0.0, 0.0)
                demand = demand_by_key.get(key, zero)
                share = share_by_key.get(key, zero)
                rate = ShareRequest(host, demand.rate_per_s, share.rate_per_s)
                slots = ShareRequest(
                    host, demand.concurrency, share.concurrency
                )
                shares.append(
                    Share(
                        contract.customer,
                        rank,
                        self._grant_share(
                            'rate', terms.rate_per_s, *key, rate, now_ms
                        ),
                        self._grant_share(
                            'slots', terms.concurrency, *key, slots, now_ms
                        ),
                    )
                )
        return tuple(shares)

    def _grant_share(self, resource, limit, customer, rank, request, now_ms):
        key = PoolKey(customer, rank, resource)
        pool = self._pools.setdefault(key, Pool(float(limit)))
        pool.limit = float(limit)
        expires_ms = now_ms + self._lease_ms
        if now_ms < self._grants_from_ms:
            pool.adopt(request, expires_ms)
            return request.reported
        return pool.grant(request, now_ms, expires_ms)
