"""When a replica replaces its log by a snapshot."""


class CompactionTrigger:
    """Counts what a snapshot would replace.  Performs no I/O.

    :param settings: the :class:`ControlSettings`.
    """

    def __init__(self, settings):
        self._settings = settings
        self.reset()

    @property
    def is_due(self):
        """True if the applied entries are too many, or too large."""
        return (
            self._entries >= self._settings.compact_entries
            or self._bytes >= self._settings.compact_bytes
        )

    def record(self, entry):
        """Count an entry that was applied.

        :param entry: the :class:`Entry`.
        """
        self._entries += 1
        self._bytes += len(entry.body)

    def reset(self):
        """Begin anew after a snapshot."""
        self._entries = 0
        self._bytes = 0
