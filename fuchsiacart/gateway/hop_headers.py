"""Hop-by-hop headers (RFC 9110, 7.6.1), and those between gateways."""

from re import compile as compile_pattern

from tornado.httputil import HTTPHeaders

from fuchsiacart.bounds import parse_count
from fuchsiacart.servers import ServerStart

# The caller for which a gateway relays a request.
RELAYED_FOR = 'Fuchsiacart-Relayed-For'
# The id of the relayed request that a response belongs to.
RELAYED_ID = 'Fuchsiacart-Relayed-Id'
# The version of the configuration by which a request is relayed.
RELAYED_VERSION = 'Fuchsiacart-Relayed-Version'
# The start of the server whose relayed response says that it leaves.
RELAYED_LEAVING = 'Fuchsiacart-Relayed-Leaving'
# Upper bound of the idle time of a kept connection, and the default if the
# server states none.
IDLE_LIMIT_S = 8.0
# Subtracted from the idle time that a server states, so that a request does
# not arrive just after the server has closed the connection.
IDLE_MARGIN_S = 1.0
# Nine digits are far more than ``IDLE_LIMIT_S``.
KEEP_ALIVE_TIMEOUT = compile_pattern(r'timeout=([0-9]{1,9})')
HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        RELAYED_FOR.lower(),
        RELAYED_ID.lower(),
        RELAYED_LEAVING.lower(),
        RELAYED_VERSION.lower(),
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


def format_start(start):
    """Return a :class:`ServerStart` as text, such as ``RELAYED_LEAVING``."""
    return f'{start.born_ms} {start.name}'


def parse_start(text):
    """Return the :class:`ServerStart` of a value, or None if malformed.

    :param text: the value of ``RELAYED_LEAVING``.
    """
    born, _, name = text.partition(' ')
    try:
        born_ms = parse_count(born)
    except ValueError:
        return None
    return ServerStart(name, born_ms) if name else None


def parse_version(text):
    """Return the version of a value, or 0 if absent or malformed.

    :param text: the value of ``RELAYED_VERSION``.
    """
    try:
        return parse_count(text)
    except ValueError:
        return 0


def end_to_end_headers(headers):
    """Return a copy of the headers without the hop-by-hop headers.

    Headers that the ``Connection`` header lists are removed as well.

    :param headers: tornado's headers.
    """
    listed = {
        name.strip().lower()
        for line in headers.get_list('Connection')
        for name in line.split(',')
    }
    kept = HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() in HOP_HEADERS or name.lower() in listed:
            continue
        kept.add(name, value)
    return kept


def read_idle_timeout_s(headers):
    """Return the seconds for which a connection may be kept idle.

    :param headers: headers of the last response.
    """
    if 'close' in headers.get('Connection', '').lower():
        return 0.0
    match = KEEP_ALIVE_TIMEOUT.search(headers.get('Keep-Alive', ''))
    if match is None:
        return IDLE_LIMIT_S
    return min(IDLE_LIMIT_S, int(match.group(1)) - IDLE_MARGIN_S)
