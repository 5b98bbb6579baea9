"""State of one replica of the replicated log."""

from enum import Enum
from enum import unique

from msgspec import Struct
from msgspec.structs import replace

from fuchsiacart.models import ReplicaId


@unique
class Role(Enum):
    """Raft role of a replica; pre-candidates ask for pre-votes."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class Group(Struct, frozen=True):
    """Members of the control group.

    Learners receive the log but do not vote.
    """

    voters: tuple[ReplicaId, ...] = ()
    learners: tuple[ReplicaId, ...] = ()

    @property
    def members(self):
        """Return the voters and the learners."""
        return self.voters + self.learners

    def is_quorum(self, replicas):
        """Return True if a set of replicas has a majority of the voters."""
        votes = sum(voter in replicas for voter in self.voters)
        return votes * 2 > len(self.voters)


class Entry(Struct, frozen=True):
    """One entry of the log; ``group`` is set in a membership change."""

    term: int
    body: bytes = b''
    group: Group | None = None


class Progress(Struct, frozen=True):
    """Replication progress of another replica, as the leader knows it.

    ``next_index`` is the next entry to send, ``match_index`` the last entry
    known to be replicated and ``round`` the latest heartbeat round that the
    replica has answered.
    """

    replica: ReplicaId
    next_index: int
    match_index: int = 0
    round: int = 0


class ReplicaState(Struct, frozen=True):
    """The whole state of one replica.

    The term, the vote and the log are durable.  The log holds the entries
    after ``base_index``; a snapshot covers those up to it.  ``granted`` are
    the votes received in an election; ``progress`` and ``round`` are used by
    the leader only.
    """

    replica: ReplicaId
    term: int = 0
    voted_for: ReplicaId | None = None
    log: tuple[Entry, ...] = ()
    base_index: int = 0
    base_term: int = 0
    base_group: Group = Group()
    group: Group = Group()
    commit_index: int = 0
    role: Role = Role.FOLLOWER
    leader: ReplicaId | None = None
    granted: frozenset[ReplicaId] = frozenset()
    progress: tuple[Progress, ...] = ()
    round: int = 0

    @property
    def last_index(self):
        """Return the index of the last entry in the log."""
        return self.base_index + len(self.log)

    @property
    def last_term(self):
        """Return the term of the last entry in the log."""
        return self.log[-1].term if self.log else self.base_term

    @property
    def may_be_elected(self):
        """Return True if this replica may ask for votes.

        A member may: no other replica can win if its log is the longest one
        left, also that of a learner.  A replica that the last change of the
        members removes may too, until it knows that the change is committed.
        """
        if self.replica in self.group.members:
            return True
        first_uncommitted = self.commit_index - self.base_index
        for position in reversed(range(first_uncommitted, len(self.log))):
            if self.log[position].group is not None:
                earlier = latest_group(self.base_group, self.log[:position])
                return self.replica in earlier.voters
        return False

    def term_at(self, index):
        """Return the term of an entry, or None if it is not in the log."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.log[index - self.base_index - 1].term
        return None

    def with_initial_group(self, group):
        """Return this blank state with the initial members as its only entry.

        A vote that it has given already, and its term, hold on.

        :param group: the members.
        """
        first_entry = Entry(1, group=group)
        return replace(
            self,
            term=max(self.term, 1),
            log=(first_entry,),
            group=group,
            commit_index=1,
        )

    def entries_from(self, index, limit=None, limit_bytes=None):
        """Return the entries from ``index`` on, at most ``limit``.

        Their bodies have ``limit_bytes`` together; one that is larger is
        returned alone.
        """
        start = index - self.base_index - 1
        stop = None if limit is None else start + limit
        entries = self.log[start:stop]
        if limit_bytes is None:
            return entries
        size_bytes = 0
        for count, entry in enumerate(entries):
            size_bytes += len(entry.body)
            if count and size_bytes > limit_bytes:
                return entries[:count]
        return entries

    def progress_of(self, replica):
        """Return the :class:`Progress` of a replica, or None."""
        for progress in self.progress:
            if progress.replica == replica:
                return progress
        return None


def latest_group(base_group, log):
    """Return the members set by the last membership change in a log.

    :param base_group: the members before the log.
    :param log: the entries, committed or not.
    """
    for entry in reversed(log):
        if entry.group is not None:
            return entry.group
    return base_group
