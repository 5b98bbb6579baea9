"""The file ``record.txt`` of a case: what was sent, answered and run."""

from time import monotonic


class Record:
    """Writes one line for each event, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, 'w')
        self._started_s = monotonic()

    def now_s(self):
        """Return the seconds since the start of the case."""
        return monotonic() - self._started_s

    def write(self, event, **fields):
        """Write one event."""
        values = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{self.now_s():8.3f} {event} {values}\n')
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()
