"""Sizes of chunks, with the extensions and trailers beside them."""

from re import compile as compile_pattern

from tornado.httputil import HTTPInputError

from fuchsiacart.exceptions import ErrorKind

LINE_END = b'\r\n'
SIZE_DIGITS = 16
SIZE_LINE = compile_pattern(
    rb'([0-9a-fA-F]{1,%d})((?:[ \t]*;[^\r\n]*)?)\r\n' % SIZE_DIGITS
)
TRAILER_LINE = compile_pattern(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\r\n\0]*\r\n")
# Matches chunks of up to 15 bytes, behind one another.
SHORT_CHUNKS = b'(?:%s){1,1024}+' % b'|'.join(
    b'%s\r\n.{%d}\r\n' % (digit, int(digit[1:2], 16))
    for digit in (b'[%x%X]' % (size, size) for size in range(1, 16))
)
# Matches a line, or one byte more than the limit if its end is not there.
END_OF_LINE = rb'(?s)\A(?:%s.{0,%d}?\r\n|.{%d})'


class ChunkError(HTTPInputError):
    """A chunk cannot be read.

    :param detail: why.
    :param kind: the :class:`ErrorKind` for the caller.
    """

    def __init__(self, detail, kind=ErrorKind.BAD_REQUEST):
        super().__init__(detail)
        self.kind = kind


class ChunkReader:
    """Reads the sizes of chunks; drops extensions and trailers.

    Who decodes a body may drop both (RFC 9112, 7.1), and has to bound them.

    :param stream: tornado's stream.
    :param limit_bytes: bytes of all extensions and trailers of a body.
    """

    def __init__(self, stream, limit_bytes):
        self._stream = stream
        self._limit_bytes = limit_bytes
        self._left_bytes = limit_bytes

    async def read_chunk(self):
        """Read the line of a chunk, and the trailers behind the last chunk.

        Short chunks that have arrived are read whole and count as one: each
        would cost a pass of the parser.

        :return: a tuple of the size of the chunk, 0 after the end of the
            body, and its bytes if these were read, else b''.
        :raises ChunkError: if it is malformed or too long.
        """
        line = await self._read_line(
            SIZE_DIGITS, ErrorKind.BAD_REQUEST, self._short_chunks()
        )
        if line.count(LINE_END) > 1:
            data = join_chunks(line)
            return len(data), data
        match = SIZE_LINE.fullmatch(line)
        if match is None:
            raise ChunkError('the size of a chunk is malformed')
        self._left_bytes -= len(match.group(2))
        size = int(match.group(1), 16)
        if not size:
            await self._read_trailers()
        return size, b''

    def _short_chunks(self):
        """Return the pattern of short chunks.

        Once extensions have come, each line has a pattern of its own, and this
        one takes long to compile.
        """
        has_extensions = self._left_bytes < self._limit_bytes
        return b'' if has_extensions else SHORT_CHUNKS + b'|'

    async def _read_trailers(self):
        while True:
            line = await self._read_line(0, ErrorKind.HEAD_TOO_LARGE)
            if line == LINE_END:
                return
            if TRAILER_LINE.fullmatch(line) is None:
                raise ChunkError('a trailer is malformed')
            self._left_bytes -= len(line)

    async def _read_line(self, spare_bytes, kind, other=b''):
        """Read a line, or what another pattern matches.

        :param spare_bytes: bytes of the line beside extensions or trailers.
        :param kind: the :class:`ErrorKind` of a line that is too long.
        :param other: the pattern, with its ``|``, of several lines.
        """
        most_bytes = max(0, self._left_bytes) + spare_bytes + len(LINE_END)
        pattern = END_OF_LINE % (other, most_bytes, most_bytes + 1)
        line = await self._stream.read_until_regex(pattern)
        if len(line) > most_bytes and line.count(LINE_END) <= 1:
            raise ChunkError(
                f'extensions or trailers over {self._limit_bytes} bytes', kind
            )
        return line


def join_chunks(lines):
    """Return the bytes of whole chunks without extensions.

    :param lines: the chunks as they have arrived.
    """
    parts = []
    start = 0
    while start < len(lines):
        data_start = lines.index(LINE_END, start) + len(LINE_END)
        end = data_start + int(lines[start:data_start], 16)
        parts.append(lines[data_start:end])
        start = end + len(LINE_END)
    return b''.join(parts)
