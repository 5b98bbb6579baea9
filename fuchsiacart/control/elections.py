"""When a replica elects, and when a leader steps down."""

from random import Random


class ElectionTimer:
    """Pure timer of one replica.

    :param timeout_ms: shortest time without a leader before an election;
        the time taken is spread up to twice as long.
    :param random: source of the spread.
    :param now_ms: start, in milliseconds of any steady clock.
    """

    def __init__(self, timeout_ms, random: Random, now_ms):
        self._timeout_ms = timeout_ms
        self._random = random
        self._heard_ms = now_ms - timeout_ms
        self._due_ms = 0.0
        self._confirmed_round = 0
        self._confirmed_ms = now_ms
        self.restart(now_ms)

    def restart(self, now_ms):
        """Wait anew before the next election."""
        spread_ms = self._random.uniform(0, self._timeout_ms)
        self._due_ms = now_ms + self._timeout_ms + spread_ms

    def hear_leader(self, now_ms):
        """Take note of a message from a leader of the current term."""
        self._heard_ms = now_ms
        self.restart(now_ms)

    def on_elected(self, now_ms):
        """Take note that this replica has become leader."""
        self._confirmed_round = 0
        self._confirmed_ms = now_ms

    def confirm_round(self, confirmed_round, now_ms):
        """Take note of the newest round that a quorum has answered."""
        if confirmed_round > self._confirmed_round:
            self._confirmed_round = confirmed_round
            self._confirmed_ms = now_ms

    def has_fresh_leader(self, now_ms):
        """Tell whether a leader was heard within the timeout."""
        return now_ms - self._heard_ms < self._timeout_ms

    def has_fresh_quorum(self, now_ms):
        """Tell whether a quorum answered this leader within the timeout."""
        return now_ms - self._confirmed_ms < self._timeout_ms

    def is_due(self, now_ms):
        """Tell whether it is time for an election."""
        return now_ms >= self._due_ms
