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
