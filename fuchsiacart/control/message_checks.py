"""Checks that this build can apply what a replica is sent or has stored."""

from fuchsiacart.control.commands import COMMANDS
from fuchsiacart.control.replica_messages import AppendRequest
from fuchsiacart.control.replica_messages import SnapshotRequest
from fuchsiacart.control.states import STORED_STATES
from fuchsiacart.decoding import decode_body
from fuchsiacart.exceptions import UndecodedError


def check_message(message):
    """Check that this build can apply the entries or snapshot of a message.

    A replica that stored an entry of a later build could neither apply it nor
    start again.

    :param message: a :data:`Message` of another replica.
    :raises UndecodedError: if it cannot be applied; names the kind.
    """
    if isinstance(message, SnapshotRequest):
        decode_body(STORED_STATES, message.body)
        return
    if not isinstance(message, AppendRequest):
        return
    for entry in message.entries:
        if entry.body:
            decode_body(COMMANDS, entry.body)


def check_recovered(recovered):
    """Check that this build can apply what was read from the disk.

    :param recovered: the :class:`RecoveredState`.
    :raises UndecodedError: if it cannot be applied; names the file and kind.
    """
    state = recovered.state
    if recovered.snapshot is not None:
        place = f'snapshot-{state.base_index}'
        _check_body(STORED_STATES, recovered.snapshot, place)
    index = state.base_index
    for entry in state.log:
        index += 1
        if entry.body:
            place = f'log-{state.base_index}, entry {index}'
            _check_body(COMMANDS, entry.body, place)


def _check_body(decoder, body, place):
    try:
        decode_body(decoder, body)
    except UndecodedError as error:
        raise UndecodedError(f'{place}: {error.detail}') from error
