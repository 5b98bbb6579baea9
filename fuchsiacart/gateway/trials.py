"""When a gateway sends a refused request once more, to see if it is answered.

A request may have been on two servers in a row that were lost for another
reason.  If it crashes servers, each gateway that tries it loses one until the
others hear of that, so the gateways try at different times.
"""

FIRST_TRIAL_MS = 5_000.0
# Mean time between the trials of two gateways: several times what a loss, its
# check and the renewals that tell other gateways of it take.
TRIAL_GAP_MS = 5_000.0
TRIAL_LIMIT = 10_000


class TrialSchedule:
    """Draws the times at which one gateway tries refused requests.

    :param random: random number generator.
    """

    def __init__(self, random):
        self._random = random
        self._due_ms = {}

    def take_trial(self, digest, gateway_count, now_ms):
        """Return True, once, if the trial of a refused request is due.

        The first call for a request draws the time of its trial, and each
        trial that of the next one.

        :param digest: identifies the request.
        :param gateway_count: gateways that may try it too.
        :param now_ms: the current time, of a steady clock.
        """
        due_ms = self._due_ms.get(digest)
        if due_ms is not None and now_ms < due_ms:
            return False
        self._draw(digest, gateway_count, now_ms)
        return due_ms is not None

    def forget(self, digest):
        """Forget a request that is no longer refused."""
        self._due_ms.pop(digest, None)

    def _draw(self, digest, gateway_count, now_ms):
        if len(self._due_ms) >= TRIAL_LIMIT:
            self._due_ms.clear()
        span_ms = gateway_count * TRIAL_GAP_MS
        self._due_ms[digest] = (
            now_ms + FIRST_TRIAL_MS + self._random.uniform(0.0, span_ms)
        )
