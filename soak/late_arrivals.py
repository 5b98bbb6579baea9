"""Checks when requests reach backend servers that have said they leave."""

from soak.records import NEVER_S
from soak.statements import DRAIN_LIMIT_S


def find_late_arrivals(requests, drains_acked_s, stalled_s):
    """Yield each run that began too long after its server's departure.

    That holds for all gateways, also for those that are paused, starved or
    cut off, as each knows how old its view is.

    :param requests: each :class:`SentRequest`.
    :param drains_acked_s: when the departure of each server was acknowledged,
        by its name.
    :param stalled_s: returns for how many seconds of a span arrivals were
        recorded late.
    :return: yields the :class:`SentRequest`, its :class:`RequestRun` and the
        seconds beyond ``DRAIN_LIMIT_S``.
    """
    for sent in requests:
        for run in sent.runs:
            acked_s = drains_acked_s.get(run.server, NEVER_S)
            late_s = run.at_s - acked_s - DRAIN_LIMIT_S
            if late_s > 0 and late_s > stalled_s(acked_s, run.at_s):
                yield sent, run, late_s
