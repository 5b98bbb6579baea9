"""Checks the invariants of a run from the records of both ends."""

from collections import Counter

from msgspec import Struct

from standins.caller import RequestOutcome


class Verdict(Struct):
    """Broken invariants, each with its count."""

    doubles: int = 0
    false_not_run: int = 0
    silent_drops: int = 0
    not_whole: int = 0
    slots_exceeded: int = 0

    @property
    def is_clean(self):
        """Tell whether no invariant was broken."""
        broken = (
            self.doubles,
            self.false_not_run,
            self.silent_drops,
            self.not_whole,
            self.slots_exceeded,
        )
        return not any(broken)

    def describe(self):
        """Return the verdict in words."""
        if self.is_clean:
            return 'no invariant was broken'
        counts = (
            (self.doubles, 'run twice though they may not be'),
            (self.false_not_run, 'run though "not run" was said'),
            (self.silent_drops, 'dropped without an answer'),
            (self.not_whole, 'answered with another or half an answer'),
            (self.slots_exceeded, 'run beyond the slots of a server'),
        )
        parts = [f'{count} requests {what}' for count, what in counts if count]
        return 'invariants were broken: ' + ', '.join(parts)


def check_invariants(results, started, records):
    """Return the verdict on a run.

    :param results: the callers' results.
    :param started: requests that callers have started.
    :param records: lines of the backend servers.
    """
    runs = Counter(line[3] for line in records if line[0] == 'run')
    verdict = Verdict()
    verdict.slots_exceeded = sum(line[0] == 'over' for line in records)
    verdict.silent_drops = started - len(results)
    for result in results:
        count = runs[result.key]
        if not result.kind.repeatable and count > 1:
            verdict.doubles += 1
        is_final = result.sends == 1 or not result.kind.repeatable
        if result.said_not_run and is_final and count:
            verdict.false_not_run += 1
        if (
            result.outcome is RequestOutcome.ANSWERED
            and not result.has_valid_answer
        ):
            verdict.not_whole += 1
    return verdict
