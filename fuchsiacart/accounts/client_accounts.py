"""Client accounts, and the table in which a gateway finds them by key."""

from hashlib import sha256
from typing import NewType

from msgspec import Struct

from fuchsiacart.models import RegionId

AccountId = NewType('AccountId', str)


class ClientAccount(Struct, frozen=True, tag=True):
    """An account, its keys, and the terms for all of its requests.

    ``key_digests`` are the digests of its keys, see :func:`digest_key`.  It
    may run ``rate_per_s`` requests a second over all gateways, and ``burst``
    requests at once beyond that; a rate of 0 is no limit.  ``rank`` goes
    before that of the route unless it is None.  Its requests run only in
    ``home_regions``; empty means any.
    """

    name: AccountId
    key_digests: tuple[str, ...] = ()
    rate_per_s: float = 0.0
    burst: float = 0.0
    rank: int | None = None
    home_regions: tuple[RegionId, ...] = ()

    @property
    def has_quota(self):
        """True if its requests are limited."""
        return self.rate_per_s > 0


class AccountTable:
    """The accounts of a configuration by the digests of their keys.

    A look-up compares digests only, so the time that it takes tells nothing
    about the keys.

    :param accounts: each :class:`ClientAccount`.
    """

    def __init__(self, accounts):
        self._by_name = {account.name: account for account in accounts}
        self._by_digest = {
            digest: account
            for account in accounts
            for digest in account.key_digests
        }

    def __bool__(self):
        """Return True if there are accounts, so that requests need a key."""
        return bool(self._by_name)

    def find(self, key_digest):
        """Return the :class:`ClientAccount` that holds a key, or None.

        :param key_digest: digest of the key, '' for none.
        """
        return self._by_digest.get(key_digest)

    def find_by_name(self, name):
        """Return the :class:`ClientAccount` of a name, or None."""
        return self._by_name.get(name)


def digest_key(key):
    """Return the SHA-256 digest by which a key is known outside control hosts.

    :param key: the key as text.
    """
    return sha256(key.encode()).hexdigest()


def find_shared_key(accounts):
    """Return the names of two accounts that hold the same key, or None.

    :param accounts: each :class:`ClientAccount`.
    """
    holders = {}
    for account in accounts:
        for digest in account.key_digests:
            holder = holders.setdefault(digest, account.name)
            if holder != account.name:
                return holder, account.name
    return None


def combine_homes(route_homes, account_homes):
    """Return the regions that a route and an account both allow.

    :param route_homes: home regions of the route; empty means any.
    :param account_homes: home regions of the account; empty means any.
    :return: the regions, empty for any; None if no region is allowed.
    """
    if not route_homes or not account_homes:
        return route_homes or account_homes
    return tuple(each for each in route_homes if each in account_homes) or None
