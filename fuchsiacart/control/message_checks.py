"""Checks what a message brings for the log, before a replica takes it."""

from fuchsiacart.control.commands import COMMANDS
from fuchsiacart.control.replica_messages import AppendRequest
from fuchsiacart.control.replica_messages import SnapshotRequest
from fuchsiacart.control.states import STORED_STATES
from fuchsiacart.decoding import decode_body


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
