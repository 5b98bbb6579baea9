"""Prometheus metrics of one process."""

from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import generate_latest
from prometheus_client import Histogram
from tornado.web import RequestHandler

LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)

REQUESTS = Counter(
    'fuchsiacart_requests_total',
    'Requests of callers by rank and outcome',
    ['rank', 'outcome'],
)
LATENCY = Histogram(
    'fuchsiacart_request_seconds',
    'Time from a request to its answer by rank',
    ['rank'],
    buckets=LATENCY_BUCKETS_S,
)
GATEWAY_REQUESTS = Counter(
    'fuchsiacart_gateway_requests_total',
    'Requests that a gateway has ended, by outcome',
    ['outcome'],
)
GATEWAY_LATENCY = Histogram(
    'fuchsiacart_gateway_request_seconds',
    'Time from a request to its answer at a gateway, by outcome',
    ['outcome'],
    buckets=LATENCY_BUCKETS_S,
)
GATEWAY_ATTEMPTS = Counter(
    'fuchsiacart_gateway_attempts_total',
    'Sends to backend servers, by service and result',
    ['service', 'result'],
)
GATEWAY_RELAYS = Counter(
    'fuchsiacart_gateway_relays_total',
    'Requests relayed to other gateways, by result',
    ['result'],
)
SERVER_DEPARTURES = Counter(
    'fuchsiacart_server_departures_total',
    'Backend servers that have said in an answer that they leave',
)
SERVER_BACKOFFS = Counter(
    'fuchsiacart_server_backoffs_total',
    'Times at which a backend server began to want no request for a while',
)
SERVER_CHECKS = Counter(
    'fuchsiacart_server_checks_total',
    'Health checks of servers whose start was in doubt, by outcome',
    ['outcome'],
)
HELD_BYTES = Gauge(
    'fuchsiacart_body_bytes',
    'Bytes held for clients: bodies, heads, answers and connections',
)
HOLDERS_GIVEN_UP = Counter(
    'fuchsiacart_bodies_given_up_total',
    'Holders given up as all of them together held too much, by kind',
    ['kind'],
)
CONNECTIONS_CLOSED = Counter(
    'fuchsiacart_connections_closed_total',
    'Connections of callers closed by a limit, by reason',
    ['reason'],
)
QUOTA_CREDIT = Gauge(
    'fuchsiacart_quota_credit',
    'Requests that an account may still run at this gateway',
    ['account'],
)
QUOTA_REFUSED = Counter(
    'fuchsiacart_quota_refused_total',
    'Requests refused as the quota of their account was used up',
    ['account'],
)
LOOKUPS = Counter('fuchsiacart_lookups_total', 'Look-ups answered')
REVISION = Gauge('fuchsiacart_revision', 'Revision in force at this process')
LEASE_LEFT = Gauge(
    'fuchsiacart_lease_left_seconds', 'Time that the lease still holds'
)
QUEUED_REQUESTS = Gauge(
    'fuchsiacart_queued_requests', 'Requests waiting by rank', ['rank']
)
OWNED_SLOTS = Gauge(
    'fuchsiacart_owned_slots', 'Usable slots of owned backend servers'
)
BUSY_SLOTS = Gauge(
    'fuchsiacart_busy_slots', 'Slots in use of owned backend servers'
)
TERM = Gauge('fuchsiacart_term', 'Term of this replica')
IS_LEADER = Gauge('fuchsiacart_is_leader', '1 where this replica leads')
VOTERS = Gauge(
    'fuchsiacart_voters', 'Voters of the control group, by the own log'
)
ELECTIONS = Counter(
    'fuchsiacart_elections_total',
    'Elections that this replica has started, by outcome',
    ['outcome'],
)
VOTES_REFUSED = Counter(
    'fuchsiacart_votes_refused_total',
    'Votes and pre-votes that this replica has refused, by reason',
    ['reason'],
)
VIEW_WAITS = Counter(
    'fuchsiacart_view_waits_total',
    'Requests that have waited for a newer view, as theirs was outdated',
)
COMMIT_INDEX = Gauge(
    'fuchsiacart_commit_index', 'Last index known to be committed'
)
ORDERS_OUTDATED = Counter(
    'fuchsiacart_orders_outdated_total',
    'Orders refused since they may be outdated, by reason',
    ['reason'],
)
LOG_LINES_DROPPED = Counter(
    'fuchsiacart_log_lines_dropped_total',
    'Log lines that were dropped as nobody read the log',
)
PEER_MESSAGES_NOT_DECODED = Counter(
    'fuchsiacart_peer_messages_not_decoded_total',
    'Messages of other processes that this one could not decode',
    ['method', 'part'],
)
PEER_MESSAGES_REFUSED = Counter(
    'fuchsiacart_peer_messages_refused_total',
    'Messages that other processes refused or could not decode',
    ['method', 'part'],
)
QUARANTINED = Counter(
    'fuchsiacart_quarantined_total', 'Requests put into quarantine'
)
RETRIES = Counter('fuchsiacart_retries_total', 'Attempts after the first')


class MetricsHandler(RequestHandler):
    """Serves the metrics to Prometheus."""

    def get(self):
        """Return all metrics in the text format of Prometheus."""
        self.set_header('Content-Type', CONTENT_TYPE_LATEST)
        self.finish(generate_latest())
