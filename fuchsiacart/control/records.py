"""Records of the files on disk: a length, an XXH64 checksum and a body."""

from struct import Struct as Layout

from xxhash import xxh64_intdigest

HEADER = Layout('>IQ')
RECORD_LIMIT_BYTES = 256 * 1024 * 1024


def frame(body):
    """Return a record: a header with length and checksum, and the body."""
    return HEADER.pack(len(body), xxh64_intdigest(body)) + body


def read_frame(data, offset):
    """Read the body of a record.

    :param data: content of a file.
    :param offset: start of the record in it.
    :return: the body, or None if no complete valid record starts there.
    """
    start = offset + HEADER.size
    if start > len(data):
        return None
    length, checksum = HEADER.unpack_from(data, offset)
    if length > RECORD_LIMIT_BYTES or start + length > len(data):
        return None
    body = data[start : start + length]
    if xxh64_intdigest(body) != checksum:
        return None
    return body


def has_record_after(data, offset):
    """Return True if a valid record starts anywhere after an offset."""
    last = len(data) - HEADER.size
    return any(read_frame(data, at) for at in range(offset + 1, last))
