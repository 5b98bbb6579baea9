"""Heads of requests, and the memory that they take once they are parsed."""

# What each field takes, parsed for the client and for the server.
FIELD_BYTES = 400
# Fields that tell where a body ends.
FRAMING_FIELDS = ('Content-Length', 'Transfer-Encoding')


def compute_head_bytes(head):
    """Return about how many bytes a head takes once it is parsed.

    :param head: the head as it has arrived.
    """
    return 2 * len(head) + FIELD_BYTES * head.count(b'\n')


def compute_fields_bytes(headers):
    """Return about how many bytes the fields of a parsed head take.

    :param headers: tornado's headers.
    """
    return sum(
        FIELD_BYTES + len(name) + len(value)
        for name, value in headers.get_all()
    )


def keep_framing(headers):
    """Remove the fields of a head but for those that frame the body.

    The parser of a request keeps its head until the body has arrived, even of
    one that is refused.

    :param headers: tornado's headers, changed in place.
    """
    for name in tuple(headers):
        if name not in FRAMING_FIELDS:
            del headers[name]
