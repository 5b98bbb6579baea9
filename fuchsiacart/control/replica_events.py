"""Events of the task that runs a replica, and the futures that wait."""

from asyncio import Future

from msgspec import Struct

from fuchsiacart.control.replica_messages import Message
from fuchsiacart.control.replica_messages import RESPONSES
from fuchsiacart.control.replica_states import Group
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import Run

BATCH_EVENTS = 512


class InboundMessage(Struct, frozen=True):
    """A message from another replica.

    ``response`` is resolved with the response to it, None if there is none,
    once all that the response says is durable.
    """

    message: Message
    response: Future | None = None


class Proposal(Struct, frozen=True):
    """A command to commit, as :func:`encode_command` returns it.

    ``future`` is resolved with its :class:`Outcome`.  ``subject`` and
    ``seen_index`` are those of :class:`OrderPositions`.
    """

    body: bytes
    future: Future
    subject: str = ''
    seen_index: int | None = None


class GroupProposal(Struct, frozen=True):
    """A membership change; ``future`` is resolved once it is committed."""

    group: Group
    future: Future


class Bootstrap(Struct, frozen=True):
    """The initial members; ``future`` is resolved once they are durable."""

    group: Group
    future: Future


class Barrier(Struct, frozen=True):
    """``future`` is resolved once a quorum has confirmed leadership."""

    future: Future


class Tick(Struct, frozen=True):
    """Event that runs due timers."""


class _PendingEntry(Struct, frozen=True):
    term: int
    future: Future


class PendingEntries:
    """Futures of entries that are not yet applied, by index."""

    def __init__(self):
        self._entries = {}

    def add(self, index, term, future):
        """Let a future wait for the entry at an index.

        :param index: index of the entry.
        :param term: its term; a later leader may put another there.
        :param future: resolved with the outcome of the entry.
        """
        self._entries[index] = _PendingEntry(term, future)

    def resolve(self, index, term, outcome):
        """Resolve the future of an entry that was applied, if any.

        :param index: index of the entry.
        :param term: its term.
        :param outcome: what applying it returned.
        """
        entry = self._entries.pop(index, None)
        if entry is None:
            return
        if entry.term == term:
            set_result(entry.future, outcome)
        else:
            set_error(entry.future, 'another entry was committed')

    def fail(self):
        """Fail all futures, as the replica leads no longer."""
        for entry in self._entries.values():
            set_error(entry.future, 'leadership was lost', Run.UNKNOWN)
        self._entries.clear()


def put_ticks_last(events):
    """Return the events with one tick for all of them, at the end.

    What has arrived while the replica was busy, such as votes, counts before
    its timers do.

    :param events: the events of a batch, in the order of their arrival.
    """
    others = [each for each in events if not isinstance(each, Tick)]
    ticks = [each for each in events if isinstance(each, Tick)]
    return others + ticks[:1]


def merge_proposals(events):
    """Yield the events, with consecutive proposals merged into a list."""
    proposals = []
    for event in events:
        if isinstance(event, Proposal):
            proposals.append(event)
            continue
        if proposals:
            yield proposals
            proposals = []
        yield event
    if proposals:
        yield proposals


def split_response(event, outbound):
    """Separate the response that a call waits for from other messages.

    :param event: the event that led to the messages.
    :param outbound: each an :class:`OutboundMessage`.
    :return: a tuple with the future of the call and its response, None if
        there is none, or an empty tuple if no call waits; and the rest.
    """
    if not isinstance(event, InboundMessage) or event.response is None:
        return (), outbound
    for index, each in enumerate(outbound):
        is_response = isinstance(each.message, RESPONSES)
        if is_response and each.to == event.message.sender:
            rest = outbound[:index] + outbound[index + 1 :]
            return ((event.response, each.message),), rest
    return ((event.response, None),), outbound


def set_result(future, result):
    if not future.done():
        future.set_result(result)


def set_error(future, detail, run=Run.NO, kind=ErrorKind.NO_QUORUM):
    if not future.done():
        future.set_exception(ChangeError(detail, kind, run))


async def take_batch(inbox):
    """Wait for an event and return it with those that are there already.

    :param inbox: the :class:`asyncio.Queue` of a replica.
    """
    events = [await inbox.get()]
    while len(events) < BATCH_EVENTS and not inbox.empty():
        events.append(inbox.get_nowait())
    return events
