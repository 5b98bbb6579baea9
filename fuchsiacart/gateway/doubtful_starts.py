"""Starts of backend servers that may have made a statement of an earlier one.

A server that starts again under its name and address gets requests before the
view names its new start, for as long as no leader is heard.  What it says of
itself meanwhile is recorded for the earlier start.  So the later start is in
doubt, and gets no request, until a health check shows what holds for it.
"""

from enum import Enum
from enum import unique

from msgspec import Struct

from fuchsiacart.gateway.dialects import STATUS_SERVICE_UNAVAILABLE
from fuchsiacart.models import Address

# Names of servers that are kept; the oldest are dropped first.
NAME_LIMIT = 4096
# Starts that are kept for each name.
START_LIMIT = 8


class Statement(Struct, frozen=True, eq=False):
    """What a server has said of itself, by the start that it counts for.

    ``address`` is where the answer came from, '' if another gateway got it.
    """

    born_ms: int
    address: Address


@unique
class CheckOutcome(Enum):
    """What a health check shows of a start.

    After ``UNKNOWN`` the start is still in doubt.
    """

    USABLE = 'usable'
    LEAVING = 'leaving'
    FULL = 'full'
    UNKNOWN = 'unknown'


class DoubtfulStarts:
    """Knows which starts of backend servers are in doubt.

    Performs no I/O.
    """

    def __init__(self):
        self._statements = {}

    @property
    def names(self):
        """Names of the servers that have said something of themselves."""
        return tuple(self._statements)

    def add(self, start, address):
        """Record that a server has said something of itself.

        :param start: the :class:`ServerStart` that it counts for.
        :param address: where the answer came from, '' if that is not known.
        """
        statements = self._statements.pop(start.name, {})
        statements.pop(start.born_ms, None)
        statements[start.born_ms] = Statement(start.born_ms, address)
        while len(statements) > START_LIMIT:
            del statements[next(iter(statements))]
        self._statements[start.name] = statements
        while len(self._statements) > NAME_LIMIT:
            del self._statements[next(iter(self._statements))]

    def find(self, record):
        """Return the statements that a start may have made.

        :param record: the :class:`ServerRecord` of the start.
        :return: each :class:`Statement` that counts for an earlier start and
            may have come from the same address; empty if there is no doubt.
        """
        statements = self._statements.get(record.name)
        if statements is None:
            return ()
        return tuple(
            statement
            for statement in statements.values()
            if statement.born_ms < record.born_ms
            and statement.address in ('', record.address)
        )

    def settle(self, name, checked):
        """Forget statements whose start has been checked since.

        :param name: name of the server.
        :param checked: each :class:`Statement` that was known before the
            check; a later one leaves the start in doubt.
        """
        statements = self._statements.get(name, {})
        for statement in checked:
            if statements.get(statement.born_ms) is statement:
                del statements[statement.born_ms]
        if not statements:
            self._statements.pop(name, None)


def judge_check(name, status, metadata):
    """Return the :class:`CheckOutcome` of an answer to a health check.

    A server that leaves says so in all its answers, so any other answer than
    a refusal clears it, also where the path is not served.

    :param name: name of the server that was meant.
    :param status: HTTP status.
    :param metadata: the :class:`ResponseMetadata`.
    """
    if metadata.is_misdirected or metadata.server_name not in ('', name):
        return CheckOutcome.UNKNOWN
    if metadata.is_leaving:
        return CheckOutcome.LEAVING
    if metadata.names_wait(status):
        return CheckOutcome.FULL
    if status == STATUS_SERVICE_UNAVAILABLE:
        return CheckOutcome.UNKNOWN
    return CheckOutcome.USABLE
