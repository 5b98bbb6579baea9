"""Budget of a gateway for retries, as its part of what all gateways may use.

The limit is on the sum over all gateways in any window of time: a ratio of
the requests and a slack.  Each gateway keeps to the ratio of its own requests
and to an equal part of the slack, so that the sum keeps to the limit without
an exchange between them.
"""

from collections import deque

from msgspec import Struct

from fuchsiacart.clocks import MILLISECONDS

# Fractions of the limits that are used.  Retries arrive at the servers a bit
# later than they are charged here, and may fall into another window.
RATIO_FRACTION = 0.9
SLACK_FRACTION = 0.8
# Part of its slack that a gateway has at its start.
INITIAL_SLACK_FRACTION = 0.2
STEP_MS = 100.0


class _Counts(Struct):
    """Requests and retries in one step of time."""

    start_ms: float
    gateway_count: int
    requests: int = 0
    retries: int = 0


class SharedRetryBudget:
    """Counts one service's requests and retries in a sliding window.

    Performs no I/O.  A gateway that has just started gets its part of the
    slack little by little, as it does not know what it used before.  While
    the number of gateways falls, the largest number in the window counts,
    since those that have left may have used their part.

    :param settings: the :class:`RouteSettings`.
    :param started_ms: time at which the gateway started.
    """

    def __init__(self, settings, started_ms):
        self._ratio = settings.retry_ratio * RATIO_FRACTION
        self._slack = settings.retry_slack * SLACK_FRACTION
        self._window_ms = settings.retry_window_s * MILLISECONDS
        self._started_ms = started_ms
        self._steps = deque()
        self._requests = 0
        self._retries = 0
        self.gateway_count = 1

    def record_request(self, now_ms):
        """Record a new request, which adds to the budget.

        :param now_ms: the current time.
        """
        self._step(now_ms).requests += 1
        self._requests += 1

    def try_spend(self, now_ms, part=1.0):
        """Return True if a retry is allowed, and charge it to the budget.

        :param now_ms: the current time.
        :param part: part of the limit that this retry may use; the rest is
            kept for more urgent ones.
        """
        step = self._step(now_ms)
        if self._retries + 1 > self.limit(now_ms) * part:
            return False
        step.retries += 1
        self._retries += 1
        return True

    def limit(self, now_ms):
        """Return how many retries one window may have.

        :param now_ms: the current time.
        """
        age = (now_ms - self._started_ms) / self._window_ms
        earned = min(1.0, max(INITIAL_SLACK_FRACTION, age))
        gateways = max(
            (step.gateway_count for step in self._steps),
            default=self.gateway_count,
        )
        return self._ratio * self._requests + self._slack * earned / gateways

    def _step(self, now_ms):
        """Drop the steps that have left the window; return the current one."""
        while self._steps and (
            self._steps[0].start_ms + STEP_MS < now_ms - self._window_ms
        ):
            dropped = self._steps.popleft()
            self._requests -= dropped.requests
            self._retries -= dropped.retries
        if not self._steps or now_ms - self._steps[-1].start_ms >= STEP_MS:
            self._steps.append(_Counts(now_ms, self.gateway_count))
        step = self._steps[-1]
        step.gateway_count = max(step.gateway_count, self.gateway_count)
        return step
