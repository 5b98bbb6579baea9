"""Records what backend servers say of themselves in their answers."""

from fuchsiacart.clocks import steady_ms
from fuchsiacart.logs import log_event
from fuchsiacart.metrics import SERVER_BACKOFFS
from fuchsiacart.metrics import SERVER_DEPARTURES


class ServerStatements:
    """Passes statements to the ledgers that decide by them, and logs them.

    :param departures: the :class:`DepartureLedger`.
    :param backoffs: the :class:`BackoffLedger`.
    :param doubtful: the :class:`DoubtfulStarts`.
    """

    def __init__(self, departures, backoffs, doubtful):
        self._departures = departures
        self._backoffs = backoffs
        self._doubtful = doubtful
        self._departure_listener = None
        self._statement_listener = None

    def on_departure(self, listener):
        """Set the function that is called when a server says that it leaves.

        :param listener: takes no arguments.
        """
        self._departure_listener = listener

    def on_statement(self, listener):
        """Set the function that is called after each statement.

        :param listener: takes no arguments.
        """
        self._statement_listener = listener

    def record_departure(self, start, address, request_id='', gateway=''):
        """Record that an answer says that its server leaves.

        :param start: the :class:`ServerStart`.
        :param address: where the answer came from, '' if that is not known.
        :param request_id: the request that was answered, '' for a check.
        :param gateway: the gateway that relayed the answer, if one did.
        """
        self._record_statement(start, address)
        if not self._departures.add(start):
            return
        SERVER_DEPARTURES.inc()
        log_event(
            'server_leaving',
            request=request_id,
            server=start.name,
            born_ms=start.born_ms,
            gateway=gateway,
        )
        if self._departure_listener is not None:
            self._departure_listener()

    def record_backoff(self, start, address, wait_ms, request_id=''):
        """Record that a refusal says for how long its server wants none.

        :param start: the :class:`ServerStart`.
        :param address: where the refusal came from.
        :param wait_ms: the time that the server names.
        :param request_id: the request that was refused, '' for a check.
        """
        self._record_statement(start, address)
        if not self._backoffs.record(start, wait_ms, steady_ms()):
            return
        SERVER_BACKOFFS.inc()
        log_event(
            'server_full',
            request=request_id,
            server=start.name,
            born_ms=start.born_ms,
            wait_ms=int(wait_ms),
        )

    def _record_statement(self, start, address):
        self._doubtful.add(start, address)
        if self._statement_listener is not None:
            self._statement_listener()
