"""How much work a service's requests bring."""

# Requests for each slot that a server may hold, whatever they take.
FEWEST_FOR_SLOT = 1.5
MOST_FOR_SLOT = 3.0
# Weight of the newest answer in the mean of the time that one takes.
MEAN_WEIGHT = 0.05


class DemandMeter:
    """Slots that the requests arriving at this gateway keep busy, pure.

    By Little's law that is their rate times what a server takes for one;
    answers of servers with a queue are left out, as they hold the wait.
    """

    def __init__(self):
        self._arrived = {}
        self._mean_s = {}

    def note_request(self, service):
        """Take note of a request."""
        self._arrived[service] = self._arrived.get(service, 0) + 1

    def note_served(self, service, taken_s, load):
        """Take note of an answer.

        :param service: the service.
        :param taken_s: seconds from sending to the whole answer.
        :param load: the :class:`ReportedLoad`, or None.
        """
        if load is not None and load.waiting > 0:
            return
        mean_s = self._mean_s.get(service, taken_s)
        self._mean_s[service] = mean_s + MEAN_WEIGHT * (taken_s - mean_s)

    def slots_factor(self, service, left_s):
        """Return how many requests for each slot a server may hold.

        :param service: the service.
        :param left_s: seconds in which an answer is worth most.
        """
        mean_s = self._mean_s.get(service)
        if not mean_s:
            return FEWEST_FOR_SLOT
        factor = left_s / mean_s
        return min(MOST_FOR_SLOT, max(FEWEST_FOR_SLOT, factor))

    def flush(self, span_s):
        """Return the busy slots by service since the last reading.

        :param span_s: seconds since then.
        """
        arrived, self._arrived = self._arrived, {}
        return {
            service: count / span_s * self._mean_s.get(service, 0.0)
            for service, count in arrived.items()
        }
