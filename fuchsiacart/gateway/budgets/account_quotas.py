"""Lets requests wait for tokens of their account's quota."""

from asyncio import Event
from asyncio import wait_for

from fuchsiacart.accounts import QuotaBook
from fuchsiacart.accounts import QuotaState
from fuchsiacart.accounts import QuotaTerms
from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.clocks import steady_ms
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import RequestError
from fuchsiacart.metrics import QUOTA_CREDIT
from fuchsiacart.metrics import QUOTA_REFUSED

# Time in which two renewals of the lease, one of which may be under way, bring
# further tokens.
MAX_WAIT_MS = 1000.0
# Part of the time left until the deadline for which a request waits.
WAIT_PART = 0.5


class AccountQuotas:
    """The quotas of all accounts at this gateway.

    :param settings: the settings of the process.
    """

    def __init__(self, settings):
        routes = settings.routes
        terms = QuotaTerms(
            routes.quota_window_s, routes.quota_over, routes.quota_slack
        )
        self._book = QuotaBook(
            terms, settings.host.name, settings.entry.lease_ms, steady_ms()
        )
        self._answered = Event()
        self._listener = None

    def on_demand(self, listener):
        """Set the function that is called when a request waits for a token.

        :param listener: takes no arguments.
        """
        self._listener = listener

    def set_gateway_count(self, count):
        """See :meth:`QuotaBook.set_gateway_count`."""
        self._book.set_gateway_count(count, steady_ms())

    def left(self, account):
        """See :meth:`QuotaBook.left`."""
        return self._book.left(account, steady_ms())

    def make_reports(self):
        """See :meth:`QuotaBook.make_reports`."""
        for name, credit in self._book.credits().items():
            QUOTA_CREDIT.labels(name).set(credit)
        return self._book.make_reports(steady_ms())

    def apply_grants(self, grants):
        """Apply the leader's answer and let waiting requests try again.

        :param grants: each a :class:`QuotaGrant`.
        """
        self._book.apply_grants(grants, steady_ms())
        answered, self._answered = self._answered, Event()
        answered.set()

    async def spend(self, account, attempts):
        """Spend a token for an attempt; wait for one if some may come.

        :param account: the :class:`ClientAccount`.
        :param attempts: the :class:`Attempts` of the request.
        :raises RequestError: if the quota is used up, or no leader is heard
            that could tell.
        """
        if not account.has_quota:
            return
        self._book.record_arrival(account, steady_ms())
        state = self._book.spend(account, steady_ms())
        left_ms = attempts.left_s * MILLISECONDS * WAIT_PART
        until_ms = steady_ms() + min(MAX_WAIT_MS, left_ms)
        while state is QuotaState.WAIT and steady_ms() < until_ms:
            await self._wait(account, until_ms)
            state = self._book.spend(account, steady_ms())
        if state is QuotaState.SPENT:
            return
        raise self._make_error(account, state, attempts)

    def refund(self, account):
        """Take back a token whose request has not run.

        :param account: the :class:`ClientAccount`.
        """
        if account.has_quota:
            self._book.refund(account)

    async def _wait(self, account, until_ms):
        self._book.begin_wait(account)
        if self._listener is not None:
            self._listener()
        left_s = (until_ms - steady_ms()) / MILLISECONDS
        try:
            await wait_for(self._answered.wait(), left_s)
        except TimeoutError:
            return
        finally:
            self._book.end_wait(account)

    def _make_error(self, account, state, attempts):
        if attempts.may_have_run:
            return attempts.make_error(None)
        longest_ms = attempts.request.retry_after_ms
        if state is QuotaState.UNKNOWN:
            return RequestError(
                'no control host is heard that knows the quota',
                ErrorKind.STALE,
                retry_after_ms=longest_ms,
            )
        QUOTA_REFUSED.labels(account.name).inc()
        return RequestError(
            f'the quota of account {account.name} is used up',
            ErrorKind.RATE_LIMITED,
            retry_after_ms=int(
                min(longest_ms, self._book.retry_after_ms(account))
            ),
        )
