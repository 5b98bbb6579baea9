"""Pool of idle connections to backend servers."""

from asyncio import wait_for
from collections import defaultdict
from time import monotonic

from fuchsiacart.failure_kinds import FailureKind
from fuchsiacart.gateway.budgets.memory_budgets import MemoryBudget
from fuchsiacart.gateway.exchanges import ExchangeResult
from fuchsiacart.gateway.exchanges import ServerConnection
from fuchsiacart.gateway.reachability import ServerReachability
from fuchsiacart.logs import log_event

# Extra time for the response of a server that works up to the deadline.
RESPONSE_MARGIN_S = 0.15


class ConnectionPool:
    """Idle connections to all backend servers.

    They are pooled by the start of the server and its address, so that no
    connection is used for another server, a later start or an earlier address.

    :param reachability: the :class:`ServerReachability` that is told which
        connections could be opened.
    :param budget: the :class:`MemoryBudget` of all bodies of the process.
    """

    def __init__(self, reachability=None, budget=None):
        self._reachability = reachability or ServerReachability()
        self._idle = defaultdict(list)
        self._budget = budget or MemoryBudget()

    async def exchange(self, record, request, limits):
        """Send a request to a server and read the complete response.

        Cancellation closes the connection, so that the server can stop its
        work.

        :param record: the :class:`ServerRecord`.
        :param request: the :class:`OutboundRequest`.
        :param limits: the :class:`ExchangeLimits`.
        :return: the :class:`ExchangeResult`.
        """
        connection = None
        # A response without an id could be that to an earlier request.
        if request.request_id:
            connection = self._pop_idle(_key(record))
        is_reused = connection is not None
        if not is_reused:
            connection = ServerConnection(record.name, self._budget)
        try:
            if not is_reused:
                await connection.connect(record.address, limits.connect_s)
                self._reachability.record_connected()
        except (OSError, TimeoutError, ValueError) as error:
            connection.close()
            self._record_unconnected(record, error)
            return ExchangeResult(
                failure=FailureKind.NOT_CONNECTED, detail=repr(error)
            )
        except BaseException:
            connection.close()
            raise
        deadline_s = limits.deadline_s
        if monotonic() >= deadline_s:
            # The connection took the rest of its time, or this process was
            # paused.
            self._keep(_key(record), connection)
            return ExchangeResult(failure=FailureKind.NOT_SENT)
        if request.may_send is not None and not request.may_send():
            self._keep(_key(record), connection)
            return ExchangeResult(
                failure=FailureKind.NOT_SENT, detail='it takes no request now'
            )
        try:
            started = connection.start_request(request, deadline_s)
            result = await wait_for(
                connection.read_result(request, started),
                max(0.0, deadline_s + RESPONSE_MARGIN_S - monotonic()),
            )
        except TimeoutError:
            result = ExchangeResult(failure=FailureKind.TOO_LATE)
        except BaseException:
            connection.close()
            raise
        self._release(_key(record), connection, result)
        return result

    async def can_connect(self, record, timeout_s):
        """Return True if a server accepts a new connection.

        The connection is kept for further requests.

        :param record: the :class:`ServerRecord`.
        :param timeout_s: seconds to wait.
        """
        connection = ServerConnection(record.name, self._budget)
        try:
            await connection.connect(record.address, timeout_s)
        except (OSError, TimeoutError, ValueError) as error:
            connection.close()
            log_event(
                'server_not_reached', server=record.name, detail=repr(error)
            )
            self._record_unconnected(record, error)
            return False
        self._reachability.record_connected()
        self._idle[_key(record)].append(connection)
        return True

    def has_idle(self, record):
        """Return True if an open connection to a server may be used.

        :param record: the :class:`ServerRecord`.
        """
        idle = self._idle.get(_key(record), ())
        return any(connection.is_reusable for connection in idle)

    def retain(self, records):
        """Close the connections to all other servers.

        :param records: each :class:`ServerRecord` whose connections are kept.
        """
        for key in set(self._idle) - set(map(_key, records)):
            self._close_idle(key)

    def _record_unconnected(self, record, error):
        if isinstance(error, TimeoutError):
            self._reachability.record_silent(record.name)
        else:
            self._reachability.record_refused(record.name)

    def _pop_idle(self, key):
        idle = self._idle[key]
        while idle:
            connection = idle.pop()
            if connection.is_reusable:
                return connection
            connection.close()
        return None

    def _release(self, key, connection, result):
        if result.failure is not None:
            connection.close()
            # The cause may have broken the other connections as well.
            self._close_idle(key)
            return
        self._keep(key, connection)

    def _keep(self, key, connection):
        """Keep a connection for further requests if it can be reused."""
        if connection.is_reusable:
            self._idle[key].append(connection)
            return
        connection.close()

    def _close_idle(self, key):
        for connection in self._idle.pop(key, ()):
            connection.close()


def _key(record):
    """Return what the connections to a server are pooled by."""
    return record.start, record.address
