"""Checks that the repeats of requests keep to their budget."""

from collections import defaultdict

# Retry budget of the users' deployments.
RETRY_RATIO = 0.2
RETRY_SLACK = 50
RETRY_WINDOW_S = 10.0


def find_exceeded_budgets(requests):
    """Yield each service with too many repeats in a window, and their number.

    :param requests: each :class:`SentRequest` with its runs.
    """
    times = defaultdict(list)
    for sent in requests:
        for position, run in enumerate(sent.runs):
            times[run.service].append((run.at_s, position > 0))
    for service, runs in times.items():
        runs.sort()
        first_runs = sum(not is_repeat for _, is_repeat in runs)
        repeats = _most_repeats(runs)
        if repeats > first_runs * RETRY_RATIO + RETRY_SLACK:
            yield service, repeats


def _most_repeats(runs):
    """Return the largest number of repeats in any window.

    :param runs: time of each run, and whether it is a repeat, by time.
    """
    first = 0
    repeats = 0
    most = 0
    for at_s, is_repeat in runs:
        repeats += is_repeat
        while runs[first][0] < at_s - RETRY_WINDOW_S:
            repeats -= runs[first][1]
            first += 1
        most = max(most, repeats)
    return most
