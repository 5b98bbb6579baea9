"""Sizes of the parts into which the quota of an account is divided."""

from math import floor

from msgspec import Struct

# Part of the tokens beyond the rate that is used; the rest covers differences
# between the clocks of gateways.
SAFETY = 0.9
# Tokens that the leader keeps for gateways that ask: those of the rate in this
# time, and a few for accounts with a low rate.
POOL_S = 0.6
MIN_POOL_TOKENS = 8.0


class QuotaTerms(Struct, frozen=True):
    """How far the requests of an account may exceed its quota.

    In any window of ``window_s`` seconds an account with the rate r and the
    burst b may run (r * window + b) * (1 + over) + slack requests.
    """

    window_s: float = 5.0
    over: float = 0.0
    slack: float = 0.0

    def spare_tokens(self, account):
        """Return how many tokens may exist beyond those of the rate.

        :param account: the :class:`ClientAccount`.
        """
        window = account.rate_per_s * self.window_s + account.burst
        return SAFETY * (account.burst + self.over * window + self.slack)

    def pool_tokens(self, account):
        """Return how many tokens the leader has and gateways hold of it.

        :param account: the :class:`ClientAccount`.
        """
        pool = max(MIN_POOL_TOKENS, POOL_S * account.rate_per_s)
        return min(pool, self.spare_tokens(account))

    def float_tokens(self, account, gateway_count, position=1.0):
        """Return how many tokens a gateway may spend before they are granted.

        :param account: the :class:`ClientAccount`.
        :param gateway_count: gateways that share them.
        :param position: place of the gateway among them, from 0 to 1; those
            with a low one get one more if there is less than one for each.
        """
        spare = self.spare_tokens(account) - self.pool_tokens(account)
        part = spare / gateway_count
        whole = floor(part)
        return whole + 1 if position < part - whole else whole
