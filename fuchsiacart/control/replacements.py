"""Replacement of a voter of the control group by a new replica."""

from asyncio import sleep
from time import monotonic

from msgspec import Struct

from fuchsiacart.control.replica_states import Group
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.logs import log_event
from fuchsiacart.models import ReplicaId

CATCH_UP_TIMEOUT_S = 60.0
POLL_S = 0.1


class Replacement(Struct, frozen=True, forbid_unknown_fields=True):
    """Request to replace the replica ``old`` by ``new``."""

    old: ReplicaId
    new: ReplicaId


async def replace_replica(leader, replacement):
    """Replace a voter by a new replica.

    Adds the new replica as a learner, promotes it once it has caught up
    and then removes the old replica.

    :param leader: the :class:`ReplicaTask` that leads.
    :param replacement: the old and the new replica.
    :raises ChangeError: if a step is refused or takes too long.
    """
    old, new = replacement.old, replacement.new
    group = leader.state.group
    if new not in group.members:
        learners = group.learners + (new,)
        await leader.change_group(Group(group.voters, learners))
    await _wait_until_caught_up(leader, new)
    group = leader.state.group
    if new in group.learners:
        learners = tuple(each for each in group.learners if each != new)
        voters = group.voters + (new,)
        await leader.change_group(Group(voters, learners))
    group = leader.state.group
    voters = tuple(each for each in group.voters if each != old)
    if voters != group.voters:
        await leader.change_group(Group(voters, group.learners))
    log_event('replica_replaced', old=old, new=new)


async def _wait_until_caught_up(leader, replica):
    deadline_s = monotonic() + CATCH_UP_TIMEOUT_S
    while monotonic() < deadline_s:
        if replica in leader.state.group.voters:
            return
        if replica in leader.ready_learners():
            return
        await sleep(POLL_S)
    raise ChangeError('the new replica has not caught up', ErrorKind.DEADLINE)
