"""Replies to pulls, by control hosts and by hosts that relay changes."""

from zlib import compress
from zlib import decompress

from msgspec.msgpack import Decoder
from msgspec.msgpack import encode

from fuchsiacart.control.states import ViewSnapshot
from fuchsiacart.messages import PullReply

MAX_PULL_S = 10.0
VIEWS = Decoder(ViewSnapshot)


def pack_view(snapshot):
    """Return a :class:`ViewSnapshot` as compressed bytes."""
    return compress(encode(snapshot))


def unpack_view(packed):
    """Return the :class:`ViewSnapshot` from compressed bytes."""
    return VIEWS.decode(decompress(packed))


async def answer_pull(source, request):
    """Wait for a newer revision and return the changes that led to it.

    If none comes within the requested time or ``MAX_PULL_S``, the reply has
    no changes.

    :param source: has ``notifier`` (a :class:`RevisionNotifier`)
        and ``replicated_state``.
    :param request: the :class:`PullRequest`.
    :return: the :class:`PullReply`.
    """
    wait_s = min(request.wait_ms / 1000, MAX_PULL_S)
    await source.notifier.wait_past(request.revision, wait_s)
    if request.revision == 0 and source.replicated_state.revision > 0:
        # A host without a view gets the state, not the history of changes.
        return PullReply(packed_view=pack_view(source.replicated_state.view()))
    deltas = source.replicated_state.deltas_after(request.revision)
    if deltas is None:
        return PullReply(packed_view=pack_view(source.replicated_state.view()))
    return PullReply(deltas)
