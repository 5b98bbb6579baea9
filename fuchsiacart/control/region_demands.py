"""Demand for each service in each region, as the leader reads it.

A reading covers the arrivals of about a second and is noisy.  The shares
between regions follow the mean, as each change of them moves objects to
servers that have not handled them.
"""

from fuchsiacart.models import RegionId
from fuchsiacart.models import ServiceId

# Weight of the newest reading in the moving average.
READING_WEIGHT = 0.3


class RegionDemands:
    """Moving averages of the slots that requests keep busy.

    Performs no I/O.
    """

    def __init__(self):
        self._means_slots = {}

    def clear(self):
        """Forget all readings."""
        self._means_slots = {}

    def record(self, readings_slots):
        """Add a reading; what it lacks has no demand.

        :param readings_slots: dict from service and region to slots.
        """
        for key in set(self._means_slots) | set(readings_slots):
            reading = readings_slots.get(key, 0.0)
            mean = self._means_slots.get(key, reading)
            self._means_slots[key] = mean + READING_WEIGHT * (reading - mean)

    def is_measured(self, service: ServiceId):
        """Return True if any request for a service has been measured."""
        return any(
            slots
            for (name, _), slots in self._means_slots.items()
            if name == service
        )

    def slots(self, service: ServiceId, region: RegionId):
        """Return the slots that a region's requests keep busy."""
        return self._means_slots.get((service, region), 0.0)
