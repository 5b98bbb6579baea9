"""Messages between the replicas of the replicated log."""

from msgspec import Struct

from fuchsiacart.control.replica_states import Entry
from fuchsiacart.control.replica_states import Group
from fuchsiacart.models import ReplicaId


class PreVoteRequest(Struct, frozen=True, tag=True):
    """Ask whether an election in ``term`` could be won."""

    sender: ReplicaId
    term: int
    last_index: int
    last_term: int


class PreVoteResponse(Struct, frozen=True, tag=True):
    """Answer to a pre-vote; ``own_term`` is the responder's term."""

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
    """Answer to a vote request."""

    sender: ReplicaId
    term: int
    granted: bool


class AppendRequest(Struct, frozen=True, tag=True):
    """Entries after ``prev_index``, also sent empty as a heartbeat."""

    sender: ReplicaId
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round: int


class AppendResponse(Struct, frozen=True, tag=True):
    """Answer to an append or snapshot; ``match_index`` counts when ok."""

    sender: ReplicaId
    term: int
    ok: bool
    match_index: int
    round: int


class SnapshotRequest(Struct, frozen=True, tag=True):
    """State up to ``index`` for a replica whose next entries are gone."""

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


class OutboundMessage(Struct, frozen=True):
    """A message and the replica it goes to."""

    to: ReplicaId
    message: Message
