"""For how long gateways take backend servers for cold.

A record names the cold time that is left when it arrives, so what is left of
it later depends on when that was.  A control host knows this of the records
that it has proposed itself.
"""

# Servers that are kept; the oldest are dropped first.
SERVER_LIMIT = 4096


class ColdReports:
    """Knows the records of cold servers that this host has proposed.

    Performs no I/O.  All times are milliseconds of one steady clock.
    """

    def __init__(self):
        self._proposed = {}

    def record(self, record, proposed_ms):
        """Note a record that was committed.

        :param record: the :class:`ServerRecord`.
        :param proposed_ms: when it was proposed; no gateway had it before.
        """
        self._proposed.pop(record.name, None)
        if not record.cold_ms:
            return
        self._proposed[record.name] = (record, proposed_ms)
        while len(self._proposed) > SERVER_LIMIT:
            del self._proposed[next(iter(self._proposed))]

    def left_ms(self, current, now_ms):
        """Return for how long all gateways take a server for cold, at least.

        :param current: the stored :class:`ServerRecord`, or None.
        :param now_ms: the current time.
        :return: milliseconds, or None if that is not known.
        """
        if current is None or not current.cold_ms:
            return 0.0
        record, proposed_ms = self._proposed.get(current.name, (None, 0.0))
        if record != current:
            return None
        return max(0.0, proposed_ms + record.cold_ms - now_ms)
