"""Order of commands that carry neither a version nor an age.

An order may be read long after it was sent: by a host that was frozen, or over
a connection that was cut.  Its sender may have repeated it elsewhere meanwhile
and given others since.  The host that reads it notes how far the log has come,
makes sure that the sender still waits, and the leader appends the order only
if the log has no later one for the same subject.
"""

from fuchsiacart.control.commands import CancelDrain
from fuchsiacart.control.commands import ForgetServer
from fuchsiacart.control.commands import RecordServer
from fuchsiacart.control.commands import SetEvacuation
from fuchsiacart.control.commands import StartDrain

SUBJECT_LIMIT = 4096


class OrderPositions:
    """Log indices of the newest order of each subject in a leader's term.

    Performs no I/O.  An order counts as soon as it is appended, as it may be
    committed later.
    """

    def __init__(self):
        self._term = 0
        self._newest = {}
        # Any subject may have had an order up to this index.
        self._floor = 0

    def start_term(self, term, last_index):
        """Forget the orders of earlier terms, of which not all are known.

        :param term: the term in which this replica leads; nothing is done if
            it has been started already.
        :param last_index: index of the last entry of its log.
        """
        if term == self._term:
            return
        self._term = term
        self._newest.clear()
        self._floor = last_index

    def note(self, subject, index):
        """Note that an order was appended.

        :param subject: what it concerns, see :func:`find_subject`.
        :param index: its index in the log.
        """
        self._newest.pop(subject, None)
        self._newest[subject] = index
        while len(self._newest) > SUBJECT_LIMIT:
            self._floor = self._newest.pop(next(iter(self._newest)))

    def is_outdated(self, subject, seen_index):
        """Return True if a later order may have been given.

        :param subject: what the order concerns.
        :param seen_index: index up to which the log was applied where the
            order was read, while its sender still waited; None if the host
            does not say.
        """
        if seen_index is None or not subject:
            return False
        return self._newest.get(subject, self._floor) > seen_index


def find_subject(command):
    """Return what a command concerns, '' if its order does not matter.

    :param command: the command.
    """
    if isinstance(command, SetEvacuation):
        return f'evacuation/{command.failure_domain}'
    if isinstance(command, (StartDrain, CancelDrain)):
        return f'drain/{command.drain.scope.value}/{command.drain.name}'
    if isinstance(command, RecordServer):
        return f'server/{command.record.name}'
    if isinstance(command, ForgetServer):
        return f'server/{command.name}'
    return ''
