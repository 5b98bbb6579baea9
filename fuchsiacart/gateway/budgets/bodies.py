"""Bodies in the pieces in which they have arrived.

Pieces are of one size and are never joined, so that what one body has held
serves the next: with bodies of many sizes the allocator keeps far more than
all of them together.
"""

from sys import getsizeof

PIECE_BYTES = 64 * 1024
# What arrives in parts under this is copied into pieces.
SMALL_BYTES = 16 * 1024


class Body:
    """The body of a request.

    :param pieces: each part of it as bytes.
    """

    def __init__(self, pieces):
        self.pieces = tuple(pieces)
        self._size = sum(map(len, self.pieces))

    def __len__(self):
        return self._size


class BodyBuffer:
    """Collects a body as it arrives.

    Many small parts would each take several times their bytes.
    """

    def __init__(self):
        self._pieces = []
        self._end = bytearray()

    def add(self, part):
        """Add a part.

        :param part: the bytes that follow.
        :return: by how many bytes the memory in use has grown.
        """
        if len(part) >= SMALL_BYTES:
            self._close_piece()
            self._pieces.append(part)
            return getsizeof(part)
        before_bytes = getsizeof(self._end)
        self._end += part
        grown_bytes = getsizeof(self._end) - before_bytes
        if len(self._end) >= PIECE_BYTES:
            self._close_piece()
        return grown_bytes

    def take(self):
        """Return the pieces, and keep nothing."""
        self._close_piece()
        pieces, self._pieces = self._pieces, []
        return pieces

    def clear(self):
        """Keep nothing."""
        self._pieces = []
        self._end = bytearray()

    def _close_piece(self):
        if self._end:
            self._pieces.append(bytes(self._end))
            self._end = bytearray()


def make_body(pieces):
    """Return a body: bytes if it is small, else a :class:`Body`.

    :param pieces: each part of it as bytes.
    """
    body = Body(pieces)
    return b''.join(pieces) if len(body) <= PIECE_BYTES else body


def pieces_of(body):
    """Return the pieces of a body.

    :param body: a :class:`Body`, or bytes.
    """
    return body.pieces if isinstance(body, Body) else (body,)
