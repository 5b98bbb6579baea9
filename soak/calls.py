"""HTTP client of the stand-in callers, servers and operators."""

from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPError
from tornado.httpclient import HTTPRequest

CALL_TIMEOUT_S = 1.0


async def fetch(method, url, body=None):
    """Send one request without retries.

    :return: the response, or None if the call failed or timed out.
    """
    request = HTTPRequest(
        url,
        method=method,
        body=body,
        allow_nonstandard_methods=True,
        request_timeout=CALL_TIMEOUT_S,
    )
    try:
        return await AsyncHTTPClient().fetch(request, raise_error=False)
    except (HTTPError, OSError):
        return None
