"""What gateways and the leader tell each other about quotas.

Both are part of the renewal of a gateway's lease.  The counts are totals since
the start of the gateway, so that a message that is lost loses no token.
"""

from msgspec import Struct

from fuchsiacart.accounts.client_accounts import AccountId


class QuotaReport(Struct, frozen=True, array_like=True):
    """Tokens of an account at a gateway.

    ``granted`` and ``used`` are the tokens granted to and spent by the gateway
    since its start, ``rate_per_s`` the rate at which requests arrive there and
    ``wanted`` the number of requests that wait for a token.
    """

    account: AccountId
    granted: float
    used: float
    rate_per_s: float
    wanted: int = 0


class QuotaGrant(Struct, frozen=True, array_like=True):
    """The leader's answer to a :class:`QuotaReport`.

    ``granted`` is the new total.  ``share_per_s`` is the rate at which the
    gateway may grant itself tokens while it hears no leader.  With
    ``is_short`` there are fewer tokens than the gateways want.
    """

    account: AccountId
    granted: float
    share_per_s: float
    is_short: bool = False
