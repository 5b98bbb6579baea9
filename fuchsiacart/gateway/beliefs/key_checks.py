"""Finds the account of a request and checks that its key still holds."""

from math import inf

from fuchsiacart.accounts import combine_homes
from fuchsiacart.accounts import read_key_digest
from fuchsiacart.clocks import boot_ms
from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import RequestError

# Covers the difference between the clocks of two machines over the time in
# which a revocation has to hold.
CLOCK_MARGIN_MS = 100.0


class KeyChecker:
    """Checks the keys of requests by the view of this gateway.

    :param routes: the :class:`RouteSettings`.
    :param freshness: the :class:`ViewFreshness`.
    """

    def __init__(self, routes, freshness):
        self._freshness = freshness
        self._limit_ms = inf
        if routes.revoke_s is not None:
            self._limit_ms = routes.revoke_s * MILLISECONDS - CLOCK_MARGIN_MS

    async def find_certainly(self, get_table, request, route):
        """Find the account of a request, by a newer view if needed.

        A caller does not repeat a request that was denied, so that is decided
        only by a view as new as the leader's.

        :param get_table: returns the :class:`RouteTable` in force.
        :param request: the :class:`InboundRequest`.
        :param route: its :class:`PathRoute`.
        :return: see :meth:`find_account`.
        :raises RequestError: see :meth:`find_account`.
        """
        try:
            return self.find_account(get_table(), request, route)
        except RequestError as error:
            if not self._is_uncertain(error):
                raise
        await self._freshness.wait_until_caught_up(request.retry_after_ms)
        try:
            return self.find_account(get_table(), request, route)
        except RequestError as error:
            if not self._is_uncertain(error):
                raise
            raise request.make_stale_error() from error

    def accepts(self, now_ms):
        """Return True if no key can have been revoked for too long.

        Where a revocation has to hold at gateways that are cut off too, they
        refuse all requests with a key once their view is too old.

        :param now_ms: the current time.
        """
        return self._freshness.age.age_ms(now_ms) <= self._limit_ms

    def find_account(self, table, request, route):
        """Return the account of a request, or None if it needs none.

        The key of a request to a public route is used only while it surely
        holds.

        :param table: the :class:`RouteTable` in force.
        :param request: the :class:`InboundRequest`.
        :param route: its :class:`PathRoute`.
        :raises RequestError: if the request has no valid key, or this gateway
            cannot know whether its key was revoked.
        """
        if not table.accounts:
            return None
        account = table.accounts.find(read_key_digest(request.headers))
        is_current = self.accepts(boot_ms())
        if route.is_public:
            return account if is_current else None
        if not is_current:
            raise RequestError(
                'whether the key was revoked is not known',
                ErrorKind.STALE,
                retry_after_ms=request.retry_after_ms,
            )
        if account is None:
            raise RequestError(
                'no account holds the key', ErrorKind.UNAUTHORIZED
            )
        return account

    def _is_uncertain(self, error):
        """Return True if a newer view may have the key."""
        is_denied = error.kind is ErrorKind.UNAUTHORIZED
        return is_denied and not self._freshness.is_current(boot_ms())


def restrict_homes(route, account, request):
    """Return the home regions that hold for a request of an account.

    :param route: its :class:`PathRoute`.
    :param account: its :class:`ClientAccount`, or None.
    :param request: the :class:`InboundRequest`.
    :return: the regions; empty means any.
    :raises RequestError: if the route and the account share no region.
    """
    if account is None:
        return route.home_regions
    homes = combine_homes(route.home_regions, account.home_regions)
    if homes is None:
        raise RequestError(
            f'no home region of route {route.name} is one of the account',
            ErrorKind.NO_BACKEND,
            retry_after_ms=request.retry_after_ms,
        )
    return homes
