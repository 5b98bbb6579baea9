"""Membership of the control group: which replicas join and are replaced.

The group keeps a fixed number of voters.  A voter is removed only when a
replica that holds all committed entries can take its place, so that the
number of copies does not stay reduced.
"""

from msgspec import Struct

from fuchsiacart.control.addresses import host_of
from fuchsiacart.control.replica_states import Group


class MemberCandidate(Struct, frozen=True):
    """A replica that has recently asked to join the group, or learns.

    ``caught_up`` is True if it can become a voter now.
    """

    replica: str
    caught_up: bool


def latest_requests(requested_ms):
    """Return the replicas that ask to join, the latest of each host.

    An earlier one of the same host has lost its disk; it would displace the
    later one as a learner.

    :param requested_ms: time of the last request of each replica.
    """
    latest = {}
    for replica in sorted(requested_ms, key=requested_ms.get):
        latest[host_of(replica)] = replica
    return tuple(latest.values())


def find_candidates(asking, ready):
    """Return a :class:`MemberCandidate` for each possible new voter.

    A learner that is ready counts whether or not its requests to join still
    arrive, as after a change of the leader.

    :param asking: replicas that have recently asked to join.
    :param ready: see :meth:`TimedConsensus.ready_learners`.
    """
    others = sorted(set(ready) - set(asking))
    return [
        MemberCandidate(replica, replica in ready)
        for replica in (*asking, *others)
    ]


def next_group(group, candidates, unresponsive, voter_count, leaving=()):
    """Return the members after the next single change, or None.

    The first possible change is chosen: add a candidate as a learner;
    promote a caught-up learner on a host without a voter, if there are too
    few voters or one leaves; remove a voter that leaves, once there are too
    many; remove a voter that a caught-up learner will replace.

    :param group: the current members.
    :param candidates: each :class:`MemberCandidate`.
    :param unresponsive: voters that have sent no message for long, the one
        to remove first in front.
    :param voter_count: number of voters that the group should have.
    :param leaving: voters that run and are about to stop.
    """
    newcomer = _find_newcomer(group, candidates)
    if newcomer is not None:
        kept = _without_host(group.learners, newcomer)
        return Group(group.voters, kept + (newcomer,))
    promotable = _find_promotable(group, candidates)
    hosts = {host_of(voter) for voter in group.voters}
    added = [each for each in promotable if host_of(each) not in hosts]
    departing = [each for each in group.voters if each in leaving]
    if added and len(group.voters) < voter_count + bool(departing):
        learners = tuple(each for each in group.learners if each != added[0])
        return Group(group.voters + (added[0],), learners)
    replaced = _find_replaced(group, promotable, unresponsive)
    if departing and len(group.voters) > voter_count:
        replaced = departing[0]
    if replaced is None:
        return None
    voters = tuple(each for each in group.voters if each != replaced)
    return Group(voters, group.learners)


def _find_newcomer(group, candidates):
    for candidate in candidates:
        if candidate.replica not in group.members:
            return candidate.replica
    return None


def _find_promotable(group, candidates):
    """Return the learners that hold all committed entries."""
    return [
        candidate.replica
        for candidate in candidates
        if candidate.caught_up and candidate.replica in group.learners
    ]


def _find_replaced(group, promotable, unresponsive):
    """Return the voter that a learner replaces, or None.

    It is an earlier replica on the learner's host, or an unresponsive voter.
    """
    hosts = {host_of(each) for each in promotable}
    for voter in group.voters:
        if host_of(voter) in hosts:
            return voter
    if not promotable:
        return None
    return next(
        (voter for voter in unresponsive if voter in group.voters), None
    )


def _without_host(replicas, replica):
    return tuple(
        each for each in replicas if host_of(each) != host_of(replica)
    )
