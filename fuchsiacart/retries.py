"""Policies and budgets for retries of failed requests."""

from abc import ABC
from abc import abstractmethod

from msgspec import Struct

from fuchsiacart.exceptions import Run

ATTEMPT_LIMIT = 3
RETRIES_PER_REQUEST = 0.1
BUDGET_LIMIT = 20.0


class FailedAttempt(Struct, frozen=True):
    """A failed attempt.

    ``run`` is NO if the request cannot have run, ``attempt`` counts from 1
    and ``left_ms`` is the time left until the deadline.
    """

    run: Run
    repeatable: bool
    attempt: int
    left_ms: float


class RetryPolicy(ABC):
    """Interface for the decision whether to retry a failed request."""

    @abstractmethod
    def record_request(self):
        """Record a new request."""

    @abstractmethod
    def may_retry(self, failure):
        """Return True if the request may be retried.

        In that case, the retry is charged to the budget of the policy.

        :param failure: the last attempt.
        """


class EagerRetry(RetryPolicy):
    """Baseline policy: retry while time is left, up to ten attempts.

    Even here, a request that may have run is retried only if its route is
    repeatable.
    """

    def record_request(self):
        """See :meth:`RetryPolicy.record_request`."""

    def may_retry(self, failure):
        """See :meth:`RetryPolicy.may_retry`."""
        if failure.run is not Run.NO and not failure.repeatable:
            return False
        return failure.left_ms > 0 and failure.attempt < 10


class BudgetedRetry(RetryPolicy):
    """Limits retries to a tenth of the requests, and to a few for each."""

    def __init__(self):
        self._tokens = BUDGET_LIMIT / 2

    def record_request(self):
        """See :meth:`RetryPolicy.record_request`."""
        self._tokens = min(BUDGET_LIMIT, self._tokens + RETRIES_PER_REQUEST)

    def may_retry(self, failure):
        """See :meth:`RetryPolicy.may_retry`."""
        if failure.run is not Run.NO and not failure.repeatable:
            return False
        if failure.attempt >= ATTEMPT_LIMIT or failure.left_ms <= 0:
            return False
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
