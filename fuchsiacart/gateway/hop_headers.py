"""Hop-by-hop headers (RFC 9110, section 7.6.1)."""

from tornado.httputil import HTTPHeaders

HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
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


def passed_headers(headers):
    """Return a copy of the headers without the hop-by-hop headers.

    Headers that ``Connection`` names are left out as well.

    :param headers: tornado's headers.
    """
    named = {
        name.strip().lower()
        for line in headers.get_list('Connection')
        for name in line.split(',')
    }
    passed = HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() in HOP_HEADERS or name.lower() in named:
            continue
        passed.add(name, value)
    return passed
