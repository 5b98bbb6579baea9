"""Methods of the service between processes, with their messages."""

from enum import Enum
from enum import unique

from msgspec.msgpack import Decoder

from fuchsiacart.messages import AnnounceReply
from fuchsiacart.messages import AnnounceRequest
from fuchsiacart.messages import ClaimQuery
from fuchsiacart.messages import ConfigurationQuery
from fuchsiacart.messages import ConfigurationReply
from fuchsiacart.messages import Deliver
from fuchsiacart.messages import Done
from fuchsiacart.messages import ForwardReply
from fuchsiacart.messages import ForwardRequest
from fuchsiacart.messages import GossipReply
from fuchsiacart.messages import GossipRequest
from fuchsiacart.messages import GroupReply
from fuchsiacart.messages import JoinGroup
from fuchsiacart.messages import KeepAliveReply
from fuchsiacart.messages import KeepAliveRequest
from fuchsiacart.messages import LeaveRequest
from fuchsiacart.messages import ProposeReply
from fuchsiacart.messages import ProposeRequest
from fuchsiacart.messages import PullReply
from fuchsiacart.messages import PullRequest
from fuchsiacart.messages import Refusal
from fuchsiacart.messages import ReleaseReply
from fuchsiacart.messages import ReleaseRequest
from fuchsiacart.messages import ServersHeard


@unique
class Method(Enum):
    """Methods of the gRPC service that the processes offer each other."""

    DELIVER = 'Deliver'
    KEEP_ALIVE = 'KeepAlive'
    PROPOSE = 'Propose'
    PULL = 'Pull'
    GOSSIP = 'Gossip'
    ANNOUNCE = 'Announce'
    FORWARD = 'Forward'


REQUEST_DECODERS = {
    Method.DELIVER: Decoder(Deliver),
    Method.KEEP_ALIVE: Decoder(KeepAliveRequest | LeaveRequest),
    Method.PROPOSE: Decoder(
        ProposeRequest
        | ClaimQuery
        | JoinGroup
        | ConfigurationQuery
        | ServersHeard
    ),
    Method.PULL: Decoder(PullRequest),
    Method.GOSSIP: Decoder(GossipRequest),
    Method.ANNOUNCE: Decoder(AnnounceRequest | ReleaseRequest),
    Method.FORWARD: Decoder(ForwardRequest),
}
ANSWER_DECODERS = {
    Method.DELIVER: Decoder(Refusal | Deliver | Done),
    Method.KEEP_ALIVE: Decoder(Refusal | KeepAliveReply | Done),
    Method.PROPOSE: Decoder(
        Refusal | ProposeReply | GroupReply | ConfigurationReply | Done
    ),
    Method.PULL: Decoder(Refusal | PullReply),
    Method.GOSSIP: Decoder(Refusal | GossipReply),
    Method.ANNOUNCE: Decoder(Refusal | AnnounceReply | ReleaseReply),
    Method.FORWARD: Decoder(Refusal | ForwardReply),
}
