"""Replies to pulls, by control hosts and by hosts that relay changes."""

from zlib import compress
from zlib import decompress

from msgspec.msgpack import Decoder
from msgspec.msgpack import encode

from fuchsiacart.control.states import ViewSnapshot
from fuchsiacart.messages import PullReply

MAX_PULL_S = 10.0
# Changes that follow a packed view before it is packed anew.
MAX_CHANGES_AFTER_PACK = 64
VIEWS = Decoder(ViewSnapshot)


def pack_view(snapshot):
    """Return a :class:`ViewSnapshot` as compressed bytes."""
    return compress(encode(snapshot))


def unpack_view(packed):
    """Return the :class:`ViewSnapshot` from compressed bytes."""
    return VIEWS.decode(decompress(packed))


class ViewPacker:
    """Packs the state once for many hosts that ask for their first view.

    Answers the load after a restart of all hosts, when hundreds ask within a
    second while each of them changes the state.
    """

    def __init__(self):
        self._packed = b''
        self._revision = 0

    def make_reply(self, state):
        """Return a :class:`PullReply` with the whole state.

        :param state: the :class:`ReplicatedState` or :class:`View`.
        """
        deltas = None
        if self._packed:
            deltas = state.deltas_after(self._revision)
        if deltas is None or len(deltas) > MAX_CHANGES_AFTER_PACK:
            self._packed = pack_view(state.view())
            self._revision = state.revision
            deltas = ()
        return PullReply(deltas, self._packed)


async def answer_pull(source, request):
    """Wait for a newer revision and return the changes that led to it.

    If none comes within the requested time or ``MAX_PULL_S``, the reply has
    no changes.

    :param source: has ``notifier`` (a :class:`RevisionNotifier`), ``packer``
        (a :class:`ViewPacker`) and ``replicated_state``.
    :param request: the :class:`PullRequest`.
    :return: the :class:`PullReply`.
    """
    wait_s = min(request.wait_ms / 1000, MAX_PULL_S)
    await source.notifier.wait_past(request.revision, wait_s)
    state = source.replicated_state
    if request.revision == 0 and state.revision > 0:
        # A host without a view gets the state, not the history of changes.
        return source.packer.make_reply(state)
    deltas = state.deltas_after(request.revision)
    if deltas is None:
        return source.packer.make_reply(state)
    return PullReply(deltas)
