"""Limits of request bodies, and how requests near them must be treated."""

LARGE_BYTES = 7_000
# Limits of the configurations; one allows large bodies, the other does not.
BODY_LIMITS = (4_096, 100_000)
# Objects of requests with large bodies, which no others concern.
FIRST_LARGE_OBJECT = 1_000
LARGE_PREFIX = '/orders/'
TOO_LARGE_STATUSES = (400, 413)


def is_large(sent):
    """Return True if a request has a large body.

    :param sent: the :class:`SentRequest`.
    """
    target = sent.path.removeprefix(LARGE_PREFIX)
    return target.isdigit() and int(target) >= FIRST_LARGE_OBJECT


def find_limit_error(sent, orders):
    """Return why a request with a large body was treated wrongly, or ''.

    :param sent: the :class:`SentRequest`.
    :param orders: each :class:`Order` that may have been in force.
    """
    allowed = {order.body_bytes >= LARGE_BYTES for order in orders}
    if allowed == {True} and sent.status in TOO_LARGE_STATUSES:
        return f'{sent.request_id}: {sent.status}, though its body is allowed'
    if allowed == {False} and sent.status == 200:
        return f'{sent.request_id} was served, though its body is too large'
    return ''
