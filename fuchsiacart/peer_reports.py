"""Log lines and metrics of messages that a process could not decode."""

from time import monotonic

from fuchsiacart.logs import log_warning
from fuchsiacart.metrics import PEER_MESSAGES_NOT_DECODED
from fuchsiacart.metrics import PEER_MESSAGES_REFUSED

# Renewals and heartbeats that fail are repeated many times a second.
LOG_INTERVAL_S = 10.0
DETAIL_LIMIT = 300
# Of hosts and methods whose last log line is remembered.
SUBJECT_LIMIT = 1_000


class PeerReports:
    """Counts each message, and logs a line for each host and method.

    The line is repeated after ``LOG_INTERVAL_S`` at the earliest, with the
    number of messages that were not logged since.
    """

    def __init__(self):
        self._logged_s = {}
        self._omitted = {}

    def request_not_decoded(self, method, peer, detail):
        """Report a request that this process cannot decode.

        :param method: the :class:`Method` called.
        :param peer: address of the sender.
        :param detail: the reason.
        """
        PEER_MESSAGES_NOT_DECODED.labels(method.value, 'request').inc()
        self._log('peer_request_not_decoded', method, peer, detail)

    def answer_not_decoded(self, method, address, detail):
        """Report an answer that this process cannot decode.

        :param method: the :class:`Method` called.
        :param address: address of the process that answered.
        :param detail: the reason.
        """
        PEER_MESSAGES_NOT_DECODED.labels(method.value, 'answer').inc()
        self._log('peer_answer_not_decoded', method, address, detail)

    def request_refused(self, method, address, detail):
        """Report that a process refused a request as malformed or unknown.

        :param method: the :class:`Method` called.
        :param address: address of the process that refused.
        :param detail: the reason it gave.
        """
        PEER_MESSAGES_REFUSED.labels(method.value, 'request').inc()
        self._log('peer_request_refused', method, address, detail)

    def answer_refused(self, method, peer, count):
        """Report that a caller could not decode answers of this process.

        :param method: the :class:`Method` called.
        :param peer: address of the caller.
        :param count: number of answers.
        """
        PEER_MESSAGES_REFUSED.labels(method.value, 'answer').inc(count)
        detail = f'{count} answers were not decoded'
        self._log('peer_answer_refused', method, peer, detail)

    def _log(self, event, method, peer, detail):
        subject = event, method, peer
        now_s = monotonic()
        logged_s = self._logged_s.get(subject)
        if logged_s is not None and now_s - logged_s < LOG_INTERVAL_S:
            self._omitted[subject] = self._omitted.get(subject, 0) + 1
            return
        if len(self._logged_s) >= SUBJECT_LIMIT:
            self._logged_s.clear()
            self._omitted.clear()
        self._logged_s[subject] = now_s
        log_warning(
            event,
            method=method.value,
            peer=peer,
            detail=detail[:DETAIL_LIMIT],
            omitted=self._omitted.pop(subject, 0),
        )
