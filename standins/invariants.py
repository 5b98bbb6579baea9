"""Checks invariants against the records of callers and backend servers."""

from collections import Counter

from msgspec import Struct

from standins.caller import RequestOutcome


class InvariantViolations(Struct):
    """Counts of the requests that broke each invariant.

    ``duplicate_runs`` ran more than once though they are not repeatable.
    ``runs_after_not_run`` ran though a reply had reported them as not run.
    ``unanswered`` ended without any outcome for their caller.
    ``invalid_answers`` got an answer that was incomplete or belonged to
    another request.
    ``slots_exceeded`` reached a server that had no free slot.
    """

    duplicate_runs: int = 0
    runs_after_not_run: int = 0
    unanswered: int = 0
    invalid_answers: int = 0
    slots_exceeded: int = 0

    @property
    def is_clean(self):
        """True if no invariant was broken."""
        broken = (
            self.duplicate_runs,
            self.runs_after_not_run,
            self.unanswered,
            self.invalid_answers,
            self.slots_exceeded,
        )
        return not any(broken)

    def describe(self):
        """Return a sentence with the counts of broken invariants."""
        if self.is_clean:
            return 'no invariant was broken'
        counts = (
            (self.duplicate_runs, 'run more than once though not repeatable'),
            (self.runs_after_not_run, 'run though reported as not run'),
            (self.unanswered, 'dropped without an outcome'),
            (
                self.invalid_answers,
                'answered with an incomplete or foreign answer',
            ),
            (self.slots_exceeded, 'run beyond the slots of a server'),
        )
        parts = [f'{count} requests {what}' for count, what in counts if count]
        return 'invariants were broken: ' + ', '.join(parts)


def check_invariants(results, started, records):
    """Check the invariants of a run.

    :param results: results of all requests, as the callers saw them.
    :param started: number of requests that the callers have started.
    :param records: lines that the backend servers wrote, split into fields.
    :return: the :class:`InvariantViolations`.
    """
    runs = Counter(line[3] for line in records if line[0] == 'run')
    violations = InvariantViolations()
    violations.slots_exceeded = sum(line[0] == 'over' for line in records)
    violations.unanswered = started - len(results)
    for result in results:
        count = runs[result.key]
        if not result.template.repeatable and count > 1:
            violations.duplicate_runs += 1
        is_final = result.sends == 1 or not result.template.repeatable
        if result.reported_not_run and is_final and count:
            violations.runs_after_not_run += 1
        if (
            result.outcome is RequestOutcome.ANSWERED
            and not result.has_valid_answer
        ):
            violations.invalid_answers += 1
    return violations
