"""Raft messages between the replicas of the replicated log."""

from msgspec import Struct

from fuchsiacart.control.replica_states import Entry
from fuchsiacart.control.replica_states import Group
from fuchsiacart.control.voter_contacts import Silence
from fuchsiacart.models import ReplicaId


class PreVoteRequest(Struct, frozen=True, tag=True):
    """Ask whether the receiver would vote for the sender in ``term``."""

    sender: ReplicaId
    term: int
    last_index: int
    last_term: int


class PreVoteResponse(Struct, frozen=True, tag=True):
    """Response to a pre-vote; ``own_term`` is the responder's term."""

    sender: ReplicaId
    term: int
    own_term: int
    granted: bool


class VoteRequest(Struct, frozen=True, tag=True):
    """Ask for a vote in ``term``."""

    sender: ReplicaId
    term: int
    last_index: int
    last_term: int


class VoteResponse(Struct, frozen=True, tag=True):
    """Response to a vote request."""

    sender: ReplicaId
    term: int
    granted: bool


class AppendRequest(Struct, frozen=True, tag=True):
    """Entries after ``prev_index``; a heartbeat has no entries.

    ``silences`` lists the members that the leader has not heard from for an
    election timeout.
    """

    sender: ReplicaId
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round: int
    silences: tuple[Silence, ...] = ()


class AppendResponse(Struct, frozen=True, tag=True):
    """Response to an append or a snapshot.

    ``match_index`` is the last matching entry if ``ok``, otherwise the last
    one that may match.
    """

    sender: ReplicaId
    term: int
    ok: bool
    match_index: int
    round: int


class SnapshotRequest(Struct, frozen=True, tag=True):
    """State up to ``index``, for a replica that needs compacted entries."""

    sender: ReplicaId
    term: int
    index: int
    index_term: int
    group: Group
    body: bytes
    round: int


Message = (
    PreVoteRequest
    | PreVoteResponse
    | VoteRequest
    | VoteResponse
    | AppendRequest
    | AppendResponse
    | SnapshotRequest
)
RESPONSES = PreVoteResponse | VoteResponse | AppendResponse


class OutboundMessage(Struct, frozen=True):
    """A message and the replica that it is sent to."""

    to: ReplicaId
    message: Message
