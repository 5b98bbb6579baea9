"""Records what backend servers say of themselves in their answers."""

from fuchsiacart.clocks import steady_ms
from fuchsiacart.logs import log_event
from fuchsiacart.metrics import SERVER_BACKOFFS
from fuchsiacart.metrics import SERVER_DEPARTURES


class ServerStatements:
    """Passes statements to the ledgers that decide by them, and logs them.

    :param departures: the :class:`DepartureLedger`.
    :param backoffs: the :class:`BackoffLedger`.
    """

    def __init__(self, departures, backoffs):
        self._departures = departures
        self._backoffs = backoffs
        self._departure_listener = None

    def on_departure(self, listener):
        """Set the function that is called when a server says that it leaves.

        :param listener: takes no arguments.
        """
        self._departure_listener = listener

    def record_departure(self, start, request, gateway=''):
        """Record that an answer says that its server leaves.

        :param start: the :class:`ServerStart`.
        :param request: the :class:`InboundRequest` that was answered.
        :param gateway: the gateway that relayed the answer, if one did.
        """
        if not self._departures.add(start):
            return
        SERVER_DEPARTURES.inc()
        log_event(
            'server_leaving',
            request=request.metadata.request_id,
            server=start.name,
            born_ms=start.born_ms,
            gateway=gateway,
        )
        if self._departure_listener is not None:
            self._departure_listener()

    def record_backoff(self, start, request, wait_ms):
        """Record that a refusal says for how long its server wants none.

        :param start: the :class:`ServerStart`.
        :param request: the :class:`InboundRequest` that was refused.
        :param wait_ms: the time that the server names.
        """
        if not self._backoffs.record(start, wait_ms, steady_ms()):
            return
        SERVER_BACKOFFS.inc()
        log_event(
            'server_full',
            request=request.metadata.request_id,
            server=start.name,
            born_ms=start.born_ms,
            wait_ms=int(wait_ms),
        )
