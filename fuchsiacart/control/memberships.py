"""Members of the control group: who joins, votes and is replaced.

The group keeps itself at a number of voters.  A voter is given up only when
a replica that holds all committed entries stands ready in its place, so the
number of copies never shrinks for long.
"""

from msgspec import Struct

from fuchsiacart.control.addresses import host_of
from fuchsiacart.control.replica_states import Group


class MemberCandidate(Struct, frozen=True):
    """A replica that has lately asked to be a member.

    ``caught_up`` tells that it holds all that is committed.
    """

    replica: str
    caught_up: bool


def next_group(group, candidates, silent, voter_count):
    """Return the members after the next single change, or None.

    :param group: the present members.
    :param candidates: a :class:`MemberCandidate` for each asking replica.
    :param silent: voters that have not been heard for long.
    :param voter_count: voters that the group should have.
    """
    newcomer = _find_newcomer(group, candidates)
    if newcomer is not None:
        kept = _without_host(group.learners, newcomer)
        return Group(group.voters, kept + (newcomer,))
    ready = _find_ready(group, candidates)
    hosts = {host_of(voter) for voter in group.voters}
    added = [each for each in ready if host_of(each) not in hosts]
    if added and len(group.voters) < voter_count:
        learners = tuple(each for each in group.learners if each != added[0])
        return Group(group.voters + (added[0],), learners)
    replaced = _find_replaced(group, ready, silent)
    if replaced is None:
        return None
    voters = tuple(each for each in group.voters if each != replaced)
    return Group(voters, group.learners)


def _find_newcomer(group, candidates):
    for candidate in candidates:
        if candidate.replica not in group.members:
            return candidate.replica
    return None


def _find_ready(group, candidates):
    """Return the learners that may be promoted."""
    return [
        candidate.replica
        for candidate in candidates
        if candidate.caught_up and candidate.replica in group.learners
    ]


def _find_replaced(group, ready, silent):
    """Return the voter whose place a learner takes, or None.

    It is an earlier replica of the learner's host, or a silent one.
    """
    hosts = {host_of(each) for each in ready}
    for voter in group.voters:
        if host_of(voter) in hosts:
            return voter
    if not ready:
        return None
    return next((voter for voter in group.voters if voter in silent), None)


def _without_host(replicas, replica):
    return tuple(
        each for each in replicas if host_of(each) != host_of(replica)
    )
