"""Messages that the processes of the system exchange over gRPC.

They are encoded as MessagePack by their field and class names, which
therefore are part of the protocol.
"""

from msgspec import Struct

from fuchsiacart.accounts import QuotaGrant
from fuchsiacart.accounts import QuotaReport
from fuchsiacart.configurations import Configuration
from fuchsiacart.control.commands import Command
from fuchsiacart.control.outcomes import Outcome
from fuchsiacart.control.replica_messages import Message
from fuchsiacart.control.states import Delta
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import Run
from fuchsiacart.gateway.evidence import ServerEvidence
from fuchsiacart.load_boards import LoadMap
from fuchsiacart.load_boards import ServerCount
from fuchsiacart.models import Address
from fuchsiacart.models import BackendServer
from fuchsiacart.models import BackendServerId
from fuchsiacart.models import CustomerId
from fuchsiacart.models import FailureDomainId
from fuchsiacart.models import Host
from fuchsiacart.models import HostId
from fuchsiacart.models import LoadReport
from fuchsiacart.models import Rank
from fuchsiacart.models import ReplicaId
from fuchsiacart.models import ServiceId
from fuchsiacart.servers import ServerStart


class Refusal(Struct, frozen=True, tag=True):
    """Reply that reports an error; see :class:`FuchsiacartError`."""

    kind: ErrorKind
    detail: str = ''
    run: Run = Run.NO
    retry_after_ms: int = 0


class Deliver(Struct, frozen=True, tag=True):
    """Envelope of a consensus message between replicas."""

    message: Message


class Done(Struct, frozen=True, tag=True):
    """Empty reply that confirms a call."""


class Demand(Struct, frozen=True):
    """Demand of a host for requests under one limit of a contract."""

    customer: CustomerId
    rank: Rank
    rate_per_s: float
    concurrency: float


class Share(Struct, frozen=True):
    """Share of one limit of a contract that a host may use."""

    customer: CustomerId
    rank: Rank
    rate_per_s: float
    concurrency: float


class ServiceLoad(Struct, frozen=True):
    """Load of the backend servers of one service that one host owns.

    ``queued`` and ``wait_ms`` hold one value for each :class:`Rank`.
    """

    service: ServiceId
    slots: int
    in_flight: int
    queued: tuple[int, ...]
    wait_ms: tuple[float, ...]


class DrainingServer(Struct, frozen=True):
    """Requests that still run on a draining backend server."""

    name: BackendServerId
    failure_domain: FailureDomainId
    in_flight: int


class ServiceDemand(Struct, frozen=True):
    """Number of slots that the requests arriving at one host occupy."""

    service: ServiceId
    slots: float


class Suspect(Struct, frozen=True):
    """A request that was running on backend servers when they were lost.

    ``digest`` identifies the request, ``broken`` names the servers, with
    their starts if those are known, and ``until_ms`` is the wall clock time
    at which the record expires.
    ``losses_in_row`` counts the servers that were lost one after the other:
    each loss was known when the request was sent to the next server.
    """

    digest: str
    broken: tuple[str, ...]
    until_ms: int
    losses_in_row: int


class SuspectReport(Struct, frozen=True):
    """What a gateway and the leader tell each other of suspects.

    ``lost`` are those under which servers were lost, ``answered`` the digests
    of those that were answered since.
    """

    lost: tuple[Suspect, ...] = ()
    answered: tuple[str, ...] = ()


class KeepAliveRequest(Struct, frozen=True, tag=True):
    """Renews the lease of an entry host and reports its state.

    ``demands_slots`` holds the demand for each service, ``shares`` the
    shares the host has at present, ``counts`` its requests in flight at
    backend servers.  ``leaving`` are servers that have told this host that
    they leave, and that are ready in its view.  ``quotas`` are the tokens of
    accounts that it uses.
    """

    host: Host
    revision: int
    demands: tuple[Demand, ...] = ()
    shares: tuple[Share, ...] = ()
    loads: tuple[ServiceLoad, ...] = ()
    in_flight: int = 0
    draining: tuple[DrainingServer, ...] = ()
    demands_slots: tuple[ServiceDemand, ...] = ()
    evidence: tuple[ServerEvidence, ...] = ()
    suspects: SuspectReport = SuspectReport()
    counts: tuple[ServerCount, ...] = ()
    leaving: tuple[ServerStart, ...] = ()
    quotas: tuple[QuotaReport, ...] = ()


class KeepAliveReply(Struct, frozen=True, tag=True):
    """Grants a lease that runs from the time the request was sent.

    The lease takes effect once the host has reached ``revision``.
    ``leader`` is the control host to call from now on, ``members`` are all
    control hosts, ``parents`` the hosts to pull changes from.  All
    gateways learn ``suspects``.  ``load_map`` holds the requests
    that other hosts have in flight at backend servers, ``quotas`` the tokens
    of accounts that the host may use.
    """

    lease_ms: int
    revision: int
    shares: tuple[Share, ...] = ()
    parents: tuple[Address, ...] = ()
    leader: Address = ''
    members: tuple[Address, ...] = ()
    suspects: SuspectReport = SuspectReport()
    load_map: LoadMap = LoadMap()
    quotas: tuple[QuotaGrant, ...] = ()


class LeaveRequest(Struct, frozen=True, tag=True):
    """Reports that an entry host has completed its planned stop."""

    name: HostId
    incarnation: int


class ProposeRequest(Struct, frozen=True, tag=True):
    """Proposes a command for the replicated log.

    ``relayed`` is True if another control host has passed the request on.
    ``seen_index`` is the index up to which the sender had applied the log
    when it read the order, see :class:`OrderPositions`; None if the command
    holds whatever came between.
    """

    command: Command
    relayed: bool = False
    seen_index: int | None = None


class ProposeReply(Struct, frozen=True, tag=True):
    """Returns the outcome of a committed command."""

    outcome: Outcome


class ClaimQuery(Struct, frozen=True, tag=True):
    """Asks for the claim record of a key."""

    customer: CustomerId
    key: str
    relayed: bool = False


class JoinGroup(Struct, frozen=True, tag=True):
    """Asks for a control host to be added to the control group.

    With ``leaves`` the process of a voter stops, and asks that a learner takes
    its place before.
    """

    replica: ReplicaId
    relayed: bool = False
    leaves: bool = False


class GroupReply(Struct, frozen=True, tag=True):
    """Returns the peer addresses of all members of the control group."""

    members: tuple[Address, ...]


class ConfigurationQuery(Struct, frozen=True, tag=True):
    """Asks for the newest configuration."""

    relayed: bool = False


class ConfigurationReply(Struct, frozen=True, tag=True):
    """Returns the newest configuration, confirmed by a quorum."""

    configuration: Configuration


class ServersHeard(Struct, frozen=True, tag=True):
    """Names backend servers whose heartbeats reached a control host."""

    names: tuple[BackendServerId, ...]
    relayed: bool = False


class PullRequest(Struct, frozen=True, tag=True):
    """Asks for the changes after a revision, waiting up to ``wait_ms``."""

    revision: int
    wait_ms: int


class PullReply(Struct, frozen=True, tag=True):
    """Returns the deltas after the revision, or else the whole view.

    ``packed_view`` is a compressed :class:`ViewSnapshot`; the deltas then
    follow its revision.  Many bytes of deltas are compressed too, as
    ``packed_deltas``.
    """

    deltas: tuple[Delta, ...] = ()
    packed_view: bytes = b''
    packed_deltas: bytes = b''


class Summary(Struct, frozen=True):
    """Load of an entry host as it is spread by gossip.

    Of two summaries of one incarnation, that with the higher ``sequence``
    is the newer.
    """

    host: HostId
    incarnation: int
    sequence: int
    loads: tuple[ServiceLoad, ...]


class GossipRequest(Struct, frozen=True, tag=True):
    """Sends the summaries and suspects that the sender knows."""

    summaries: tuple[Summary, ...]
    suspects: tuple[Suspect, ...] = ()


class GossipReply(Struct, frozen=True, tag=True):
    """Returns the summaries and suspects that the receiver knows."""

    summaries: tuple[Summary, ...]
    suspects: tuple[Suspect, ...] = ()


class AnnounceRequest(Struct, frozen=True, tag=True):
    """Forwards the announcement of a backend server to its owner."""

    server: BackendServer
    report: LoadReport
    leaving: bool = False


class AnnounceReply(Struct, frozen=True, tag=True):
    """Returns the owner of the server and how long it stays registered."""

    owner: HostId
    lease_ms: int


class ReleaseRequest(Struct, frozen=True, tag=True):
    """Asks an earlier owner to release a backend server.

    ``revision`` is the one at which the sender owns the server.
    """

    server: BackendServer
    revision: int


class ReleaseReply(Struct, frozen=True, tag=True):
    """Confirms that a backend server was released.

    ``in_flight`` is the number of requests that still run on it.
    """

    in_flight: int


class Header(Struct, frozen=True):
    """One HTTP header."""

    name: str
    value: str


class ForwardRequest(Struct, frozen=True, tag=True):
    """Forwards a request to the owner of backend servers.

    ``exclude`` names servers not to use.  An ``isolated`` request runs
    alone on its server.
    """

    request_id: str
    customer: CustomerId
    service: ServiceId
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    rank: Rank
    floor_percent: int
    deadline_ms: int
    exclude: tuple[BackendServerId, ...] = ()
    isolated: bool = False


class ForwardReply(Struct, frozen=True, tag=True):
    """Returns the whole answer of a backend server, or why there is none.

    ``broken`` is True if the backend server was lost while it ran the
    request, ``shed`` if the server refused it, and ``moved`` if the owner
    released its servers while the request was queued.
    """

    server: BackendServerId = ''
    status: int = 0
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    refusal: Refusal | None = None
    broken: bool = False
    shed: bool = False
    moved: bool = False


PeerMessage = (
    Refusal
    | Deliver
    | Done
    | KeepAliveRequest
    | KeepAliveReply
    | ProposeRequest
    | ProposeReply
    | ClaimQuery
    | JoinGroup
    | GroupReply
    | ConfigurationQuery
    | ConfigurationReply
    | ServersHeard
    | PullRequest
    | PullReply
    | GossipRequest
    | GossipReply
    | AnnounceRequest
    | AnnounceReply
    | ReleaseRequest
    | ReleaseReply
    | LeaveRequest
    | ForwardRequest
    | ForwardReply
)
