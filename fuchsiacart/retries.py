"""Retries: when a failed attempt may be followed by another."""

from abc import ABC
from abc import abstractmethod

from msgspec import Struct

from fuchsiacart.exceptions import Run

ATTEMPT_LIMIT = 3
BUDGET_PART = 0.1
BUDGET_LIMIT = 20.0
# Part of a bound over all gateways that is used, as each counts alone.
SHARED_PART = 0.5


class FailedAttempt(Struct, frozen=True):
    """How an attempt failed.

    ``attempt`` counts from 1; ``left_ms`` is left until the deadline.
    """

    run: Run
    repeatable: bool
    attempt: int
    left_ms: float


class RetryPolicy(ABC):
    """Decides whether a failed request is tried again."""

    @abstractmethod
    def record_request(self):
        """Take note of a new request."""

    @abstractmethod
    def may_retry(self, failure):
        """Tell whether to try again; a yes uses up what it needs.

        :param failure: how the last attempt failed.
        """


class EagerRetry(RetryPolicy):
    """Baseline: try again whenever time is left.

    Work that may have run is not repeated even here.
    """

    def record_request(self):
        """See :meth:`RetryPolicy.record_request`."""

    def may_retry(self, failure):
        """See :meth:`RetryPolicy.may_retry`."""
        if failure.run is not Run.NO and not failure.repeatable:
            return False
        return failure.left_ms > 0 and failure.attempt < 10


class BudgetedRetry(RetryPolicy):
    """At most a tenth more work by retries, and few for each request."""

    def __init__(self):
        self._tokens = BUDGET_LIMIT / 2

    def record_request(self):
        """See :meth:`RetryPolicy.record_request`."""
        self._tokens = min(BUDGET_LIMIT, self._tokens + BUDGET_PART)

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


class SharedRetryBudget:
    """Further attempts of one service at one gateway.

    The bound holds over all gateways, so each takes its part of the slack.

    :param settings: the :class:`RouteSettings`.
    """

    def __init__(self, settings):
        self._ratio = settings.retry_ratio * SHARED_PART
        self._slack = settings.retry_slack * SHARED_PART
        self._tokens = 1.0
        self.gateway_count = 1

    def record_request(self):
        """Take note of a request."""
        most = max(1.0, self._slack / self.gateway_count)
        self._tokens = min(most, self._tokens + self._ratio)

    def try_spend(self):
        """Tell whether another attempt may be made; a yes uses it up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
