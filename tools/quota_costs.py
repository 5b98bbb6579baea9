"""Measures what quotas cost with each renewal of a gateway's lease.

Usage:
  quota_costs
"""

from random import Random
from time import process_time

from msgspec.msgpack import encode
from msgspec import Struct

from fuchsiacart.accounts import AccountTable
from fuchsiacart.accounts import ClientAccount
from fuchsiacart.accounts import QuotaBook
from fuchsiacart.accounts import QuotaLedger
from fuchsiacart.accounts import QuotaTerms

TERMS = QuotaTerms(5.0, 0.1, 20.0)
LEASE_MS = 3000.0
RENEWALS_PER_S = 2
ROUNDS = 12
# Requests of a gateway between two renewals, and how unequal accounts are.
REQUESTS = 15
SKEW = 1.2
LARGEST_RATE_PER_S = 1200.0
SIZES = ((76, 80), (300, 80), (76, 1000), (300, 1000))


class Reporter(Struct, frozen=True):
    """What the ledger reads of a host."""

    name: str
    incarnation: int = 1


class RenewalCosts(Struct):
    """Sums over renewals: processor time, bytes and accounts in use."""

    renewals: int = 0
    leader_s: float = 0.0
    gateway_s: float = 0.0
    sent_bytes: int = 0
    answered_bytes: int = 0
    entries: int = 0


def make_accounts(count):
    """Return accounts of unequal size."""
    return [
        ClientAccount(
            f'account-{index}', (), LARGEST_RATE_PER_S * (index + 1) ** -SKEW
        )
        for index in range(count)
    ]


def measure(gateways, account_count):
    """Return the :class:`RenewalCosts` of a deployment.

    :param gateways: number of gateways.
    :param account_count: number of accounts.
    """
    random = Random(1)
    accounts = make_accounts(account_count)
    weights = [account.rate_per_s for account in accounts]
    table = AccountTable(accounts)
    hosts = [Reporter(f'gateway-{index}') for index in range(gateways)]
    books = [QuotaBook(TERMS, host.name, LEASE_MS, 0.0) for host in hosts]
    ledger = QuotaLedger(TERMS, LEASE_MS, float('-inf'))
    ledger.record_gateways({host.name for host in hosts})
    costs = RenewalCosts()
    now_ms = 10_000.0
    for _ in range(ROUNDS):
        for host, book in zip(hosts, books):
            book.set_gateway_count(gateways, 0.0)
            now_ms += 1000 / RENEWALS_PER_S / gateways
            for account in random.choices(accounts, weights, k=REQUESTS):
                book.record_arrival(account, now_ms)
                book.spend(account, now_ms)
            renew(costs, host, book, ledger, table, now_ms)
    return costs


def renew(costs, host, book, ledger, table, now_ms):
    """Play one renewal and add its costs."""
    started_s = process_time()
    reports = book.make_reports(now_ms)
    reported_s = process_time()
    grants = ledger.grant(host, reports, table, now_ms)
    granted_s = process_time()
    book.apply_grants(grants, now_ms)
    costs.renewals += 1
    costs.leader_s += granted_s - reported_s
    costs.gateway_s += reported_s - started_s + process_time() - granted_s
    costs.sent_bytes += len(encode(reports))
    costs.answered_bytes += len(encode(grants))
    costs.entries += len(reports)


def main():
    """Print a line for each size."""
    for gateways, accounts in SIZES:
        costs = measure(gateways, accounts)
        count = costs.renewals
        rate = gateways * RENEWALS_PER_S
        print(
            f'{gateways} gateways, {accounts} accounts:'
            f' {costs.entries / count:.0f} in use;'
            f' report {costs.sent_bytes / count:.0f} B,'
            f' grant {costs.answered_bytes / count:.0f} B;'
            f' gateway {costs.gateway_s / count * 1000:.2f} ms,'
            f' leader {costs.leader_s / count * 1000:.2f} ms a renewal,'
            f' {costs.leader_s / count * rate:.2f} cores'
        )


if __name__ == '__main__':
    main()
