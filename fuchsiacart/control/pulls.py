"""Replies to pulls, by control hosts and by hosts that relay changes."""

from lzma import compress
from lzma import decompress
from lzma import LZMAError

from msgspec.msgpack import Decoder
from msgspec.msgpack import encode

from fuchsiacart.control.states import Delta
from fuchsiacart.control.states import ViewSnapshot
from fuchsiacart.decoding import decode_body
from fuchsiacart.exceptions import UndecodedError
from fuchsiacart.messages import PullReply

MAX_PULL_S = 10.0
# Changes that follow a packed view before it is packed anew.
MAX_CHANGES_AFTER_PACK = 64
# Bytes of deltas from which they are compressed.
MIN_PACKED_BYTES = 4096
# The fastest one; hosts have little processor time.
LZMA_PRESET = 0
VIEWS = Decoder(ViewSnapshot)
DELTAS = Decoder(tuple[Delta, ...])


def pack_view(snapshot):
    """Return a :class:`ViewSnapshot` as compressed bytes."""
    return compress(encode(snapshot), preset=LZMA_PRESET)


def unpack_view(packed):
    """Return the :class:`ViewSnapshot` from compressed bytes.

    :raises UndecodedError: if this build cannot read them.
    """
    return decode_body(VIEWS, _unpack(packed))


def read_deltas(reply):
    """Return the deltas of a :class:`PullReply`.

    :raises UndecodedError: if this build cannot read them.
    """
    if not reply.packed_deltas:
        return reply.deltas
    return decode_body(DELTAS, _unpack(reply.packed_deltas))


def _unpack(packed):
    try:
        return decompress(packed)
    except LZMAError as error:
        raise UndecodedError(f'cannot be unpacked: {error}') from error


class ViewPacker:
    """Packs the state and its changes once for many hosts.

    Answers the load after a restart of all hosts, when hundreds ask for
    their first view within a second while each of them changes the state,
    and that of a configuration which grows by thousands of routes, which
    each host relays to several others over a link of a few Mbit/s.
    """

    def __init__(self):
        self._packed = b''
        self._revision = 0
        self._packed_deltas = b''
        self._packed_range = None

    def make_delta_reply(self, deltas):
        """Return a :class:`PullReply` with deltas.

        :param deltas: consecutive deltas.
        """
        body = encode(deltas)
        if len(body) < MIN_PACKED_BYTES:
            return PullReply(deltas)
        revisions = deltas[0].revision, deltas[-1].revision
        if revisions != self._packed_range:
            self._packed_deltas = compress(body, preset=LZMA_PRESET)
            self._packed_range = revisions
        return PullReply(packed_deltas=self._packed_deltas)

    def make_view_reply(self, state):
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
        return source.packer.make_view_reply(state)
    deltas = state.deltas_after(request.revision)
    if deltas is None:
        return source.packer.make_view_reply(state)
    return source.packer.make_delta_reply(deltas)
