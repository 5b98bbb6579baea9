"""Members of the control group: who joins, votes and is replaced.

The group keeps itself at a number of voters.  A voter is given up only when
a replica that holds all committed entries stands ready in its place, so the
number of copies never shrinks for long.
"""

from msgspec import Struct

from fuchsiacart.addresses import host_of
from fuchsiacart.replica_states import Group


class Candidate(Struct, frozen=True):
    """A replica that has lately asked to be a member.

    ``caught_up`` tells that it holds all that is committed.
    """

    replica: str
    caught_up: bool


def next_group(group, candidates, silent, voter_count):
    """Return the members after the next single change, or None.

    :param group: the present members.
    :param candidates: a :class:`Candidate` for each asking replica.
    :param silent: voters that have not been heard for long.
    :param voter_count: voters that the group should have.
    """
    newcomer = _find_newcomer(group, candidates)
    if newcomer is not None:
        kept = _without_host(group.learners, newcomer)
        return Group(group.voters, kept + (newcomer,))
    ready = _find_ready(group, candidates)
    if ready is None:
        return None
    replaced = _find_replaced(group, ready, silent, voter_count)
    if replaced is not None:
        voters = tuple(each for each in group.voters if each != replaced)
        return Group(voters, group.learners)
    if len(group.voters) >= voter_count:
        return None
    learners = tuple(each for each in group.learners if each != ready)
    return Group(group.voters + (ready,), learners)


def _find_newcomer(group, candidates):
    for candidate in candidates:
        if candidate.replica not in group.everyone:
            return candidate.replica
    return None


def _find_ready(group, candidates):
    """Return a learner to promote, first one whose host is a voter's."""
    ready = [
        candidate.replica
        for candidate in candidates
        if candidate.caught_up and candidate.replica in group.learners
    ]
    hosts = {host_of(voter) for voter in group.voters}
    ready.sort(key=lambda replica: host_of(replica) not in hosts)
    return ready[0] if ready else None


def _find_replaced(group, ready, silent, voter_count):
    """Return the voter that a learner takes the place of, or None."""
    for voter in group.voters:
        if host_of(voter) == host_of(ready):
            return voter
    if len(group.voters) < voter_count:
        return None
    for voter in group.voters:
        if voter in silent:
            return voter
    return None


def _without_host(replicas, replica):
    return tuple(
        each for each in replicas if host_of(each) != host_of(replica)
    )
