"""HTTP headers of callers and backend servers on the platform."""

from tornado.httputil import HTTPHeaders
from tornado.httputil import parse_cookie

from fuchsiacart.bounds import MAX_AMOUNT
from fuchsiacart.bounds import MAX_SLOTS
from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.gateway.dialects import Dialect
from fuchsiacart.gateway.dialects import ReportedLoad
from fuchsiacart.gateway.dialects import RequestMetadata
from fuchsiacart.gateway.dialects import ResponseMetadata

# Identifies one attempt of a client; a retry by the client has another id.
ATTEMPT_ID = 'X-Attempt-Id'
DEADLINE_MS = 'X-Deadline-Ms'
AFFINITY_COOKIE = 'X-Affinity-Key'
EXPECTED_INSTANCE = 'X-Expect-Instance'
SERVER_STAMP = 'X-Server-Stamp'
# Names the tenant, called client account in other modules.
TENANT = 'X-Tenant'
# Names the instance in its answers to health checks.
INSTANCE_ID = 'X-Instance-Id'
SERVER_LOAD = 'X-Server-Load'
NOT_RUN = 'X-Not-Run'
SERVER_LEAVING = 'Server-Leaving'
RETRY_AFTER_S = 'Retry-After'
HTTP_MISDIRECTED = 421
# Counts at the start of the load header.
LOAD_COUNTS = 3
# Fourth figure of the load header when work takes its usual time.
USUAL_PERCENT = 100


class PlatformDialect(Dialect):
    """Reads and writes the platform's headers."""

    def read_request(self, headers):
        """See :meth:`Dialect.read_request`."""
        cookies = parse_cookie(headers.get('Cookie', ''))
        return RequestMetadata(
            headers.get(ATTEMPT_ID, ''),
            _read_number(headers.get(DEADLINE_MS)),
            cookies.get(AFFINITY_COOKIE, ''),
        )

    def write_metadata(self, headers: HTTPHeaders, server_name, left_ms):
        """See :meth:`Dialect.write_metadata`."""
        self.write_deadline(headers, left_ms)
        headers[EXPECTED_INSTANCE] = server_name

    def write_account(self, headers: HTTPHeaders, account_name):
        """See :meth:`Dialect.write_account`."""
        headers.pop(TENANT, None)
        if account_name:
            headers[TENANT] = account_name

    def write_deadline(self, headers: HTTPHeaders, left_ms):
        """See :meth:`Dialect.write_deadline`."""
        headers[DEADLINE_MS] = str(max(1, int(left_ms)))

    def read_request_id(self, headers):
        """See :meth:`Dialect.read_request_id`."""
        return headers.get(ATTEMPT_ID, '')

    def read_response(self, status, headers):
        """See :meth:`Dialect.read_response`."""
        is_misdirected = status == HTTP_MISDIRECTED
        is_leaving = headers.get(SERVER_LEAVING, '').strip() == '1'
        return ResponseMetadata(
            is_misdirected or NOT_RUN in headers,
            is_misdirected,
            SERVER_STAMP in headers,
            _read_load(headers.get(SERVER_LOAD)),
            is_leaving,
            (_read_number(headers.get(RETRY_AFTER_S)) or 0.0) * MILLISECONDS,
            headers.get(INSTANCE_ID, ''),
            # Instances that leave close each connection after an answer.
            SERVER_STAMP in headers and not (is_leaving or _closes(headers)),
        )


def _closes(headers):
    """Return True if a connection is closed after its response."""
    options = headers.get('Connection', '').lower().split(',')
    return 'close' in map(str.strip, options)


def _read_number(text):
    """Parse a finite number of at least 0, to ``MAX_AMOUNT`` at most.

    :return: the number; None for any other text.
    """
    try:
        number = float(text)
    except (TypeError, ValueError):
        return None
    return min(number, MAX_AMOUNT) if 0 <= number < float('inf') else None


def _read_load(text):
    """Parse a load header: the running, waiting and slots counts.

    A fourth figure, in percent, says how long work takes just now; a
    malformed one and any further figures are ignored.

    :return: the :class:`ReportedLoad`, or None if absent or malformed.
    """
    figures = (text or '').split(',')
    counts = figures[:LOAD_COUNTS]
    try:
        running, waiting, slots = (int(count) for count in counts)
    except ValueError:
        return None
    figures_used = (running, waiting, slots)
    if min(figures_used) < 0 or max(figures_used) > MAX_SLOTS:
        return None
    percent = _read_number(''.join(figures[LOAD_COUNTS : LOAD_COUNTS + 1]))
    slowdown = percent / USUAL_PERCENT if percent else 1.0
    return ReportedLoad(running, waiting, slots, slowdown)
