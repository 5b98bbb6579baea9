"""Estimates the demand for each service from its request rate."""

from fuchsiacart.clocks import MILLISECONDS

# Bounds of the requests that a server may hold per slot, regardless of their
# service time.
MIN_REQUESTS_PER_SLOT = 1.5
MAX_REQUESTS_PER_SLOT = 3.0
# Weight of the newest sample in the moving average of the service time.
SAMPLE_WEIGHT = 0.05


class DemandMeter:
    """Estimates the slots that this gateway's requests keep busy.

    By Little's law that is the arrival rate times the mean service time.
    Responses of servers with a queue are left out of the mean, as their
    times include the wait.  Performs no I/O.
    """

    def __init__(self):
        self._arrivals = {}
        self._mean_s = {}

    def record_arrival(self, service):
        """Count the arrival of a request."""
        self._arrivals[service] = self._arrivals.get(service, 0) + 1

    def record_service_time(self, service, taken_s, load):
        """Add the time of a response to the mean service time.

        :param service: the service.
        :param taken_s: seconds from sending to the complete response.
        :param load: the :class:`ReportedLoad` of the response, or None.
        """
        if load is not None and load.waiting > 0:
            return
        mean_s = self._mean_s.get(service, taken_s)
        self._mean_s[service] = mean_s + SAMPLE_WEIGHT * (taken_s - mean_s)

    def mean_service_ms(self, service):
        """Return the mean service time, 0 until it has been measured.

        :param service: the service.
        """
        return self._mean_s.get(service, 0.0) * MILLISECONDS

    def max_requests_per_slot(self, service, left_s):
        """Return how many requests a server may hold per slot.

        As many as can be served one after the other in ``left_s``, within
        ``MIN_REQUESTS_PER_SLOT`` and ``MAX_REQUESTS_PER_SLOT``.  The minimum
        applies until the service time has been measured.

        :param service: the service.
        :param left_s: seconds left to meet the response time objective.
        """
        mean_s = self._mean_s.get(service)
        if not mean_s:
            return MIN_REQUESTS_PER_SLOT
        per_slot = left_s / mean_s
        return min(MAX_REQUESTS_PER_SLOT, max(MIN_REQUESTS_PER_SLOT, per_slot))

    def flush(self, span_s):
        """Return the demand since the last call and reset the counts.

        :param span_s: seconds since the last call.
        :return: a dict from service to the mean number of busy slots.
        """
        arrivals, self._arrivals = self._arrivals, {}
        return {
            service: count / span_s * self._mean_s.get(service, 0.0)
            for service, count in arrivals.items()
        }
