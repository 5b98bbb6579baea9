"""Timers for elections and for leaders without a quorum."""

from random import Random


class ElectionTimer:
    """Election timer of one replica; does not read a clock itself.

    :param timeout_ms: shortest time without a leader before an election;
        a random time up to the same length is added.
    :param random: source of the random time.
    :param now_ms: current time, in milliseconds of any steady clock.
    """

    def __init__(self, timeout_ms, random: Random, now_ms):
        self._timeout_ms = timeout_ms
        self._random = random
        self._last_leader_message_ms = now_ms - timeout_ms
        # A replica that starts has heard no leader that it could wait for.
        # One that exists is not disturbed, as others refuse the pre-vote.
        self._election_due_ms = now_ms + random.uniform(0, timeout_ms / 2)
        self._confirmed_round = 0
        self._confirmed_ms = now_ms
        self._write_ms = 0.0

    def restart(self, now_ms):
        """Restart the timeout before the next election."""
        jitter_ms = self._random.uniform(0, self._timeout_ms)
        self._election_due_ms = now_ms + self._timeout_ms + jitter_ms

    def restart_as_candidate(self, now_ms):
        """Restart the timeout before this replica's next try.

        There is no leader to wait for.  The shortest time covers a round trip
        and the write of a slow voter, as each try in a new term makes all
        voters write; the random part keeps candidates that split the votes
        apart.  Voters are taken to need as long as this replica at least.
        """
        wait_ms = self._random.uniform(self._timeout_ms / 2, self._timeout_ms)
        self._election_due_ms = now_ms + wait_ms + self._write_ms

    def on_leader_message(self, now_ms):
        """Record a message from the leader of the current term."""
        self._last_leader_message_ms = now_ms
        self.restart(now_ms)

    def on_written(self, taken_ms):
        """Record how long the latest durable write took.

        That time does not count as silence of others: what was to be sent to
        them waited for it, and what came from them waited too.  A disk that
        stands still for longer than the timeout is a fault of this replica.
        """
        counted_ms = min(taken_ms, self._timeout_ms)
        self._election_due_ms += counted_ms
        self._confirmed_ms += counted_ms
        if taken_ms:
            self._write_ms = counted_ms

    def on_elected(self, now_ms):
        """Record that this replica has become the leader."""
        self._confirmed_round = 0
        self._confirmed_ms = now_ms

    def confirm_round(self, confirmed_round, now_ms):
        """Record the latest round that a quorum has answered."""
        if confirmed_round > self._confirmed_round:
            self._confirmed_round = confirmed_round
            self._confirmed_ms = now_ms

    def has_fresh_leader(self, now_ms):
        """Return True if the leader sent a message within the timeout."""
        return now_ms - self._last_leader_message_ms < self._timeout_ms

    def has_fresh_quorum(self, now_ms):
        """Return True if a quorum answered this leader within the timeout."""
        return now_ms - self._confirmed_ms < self._timeout_ms

    def is_due(self, now_ms):
        """Return True if an election is due."""
        return now_ms >= self._election_due_ms
