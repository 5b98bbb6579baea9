"""Which response belongs to a request, and which refusal is a promise.

A faulty server may send a response again, late, at the point where the
response to the next request of the connection is expected.
"""


def is_own_response(request_id, answered_id, is_reused):
    """Return True if a response may belong to a request.

    A response that names no request is accepted only on a connection that
    has carried no other request.

    :param request_id: id of the request, '' for none.
    :param answered_id: id that the response names, '' for none.
    :param is_reused: True if the connection has carried another request.
    """
    if answered_id:
        return answered_id == request_id
    return not is_reused


def is_promise(request_id, answered_id):
    """Return True if a refusal surely belongs to a request.

    Only then is it true that the request has not run.  A request without an
    id is refused by servers without one, and has a connection of its own.

    :param request_id: id of the request, '' for none.
    :param answered_id: id that the response names, '' for none.
    """
    return answered_id == request_id
