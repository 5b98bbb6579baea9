"""The format of a data folder, which stands in its file ``format``.

Format 1: the records of :mod:`journals`, the commands of :mod:`commands` and
the state of :mod:`states`.  A folder without the file has this format too.
"""

from msgspec.msgpack import Decoder
from msgspec import Struct

from fuchsiacart.control.records import read_frame
from fuchsiacart.decoding import decode_body
from fuchsiacart.exceptions import JournalError
from fuchsiacart.exceptions import UndecodedError

FORMAT_FILE = 'format'
# What this build writes; raised with the first kind of record, command or
# delta that earlier builds cannot read.
FORMAT = 1
READ_FORMATS = (1,)


class FormatMark(Struct, frozen=True):
    """Content of the file."""

    format: int


MARKS = Decoder(FormatMark)


def read_format(folder):
    """Return the format of a data folder, None if it names none.

    :param folder: the folder.
    :raises JournalError: if this build does not read it.
    """
    path = folder / FORMAT_FILE
    if not path.exists():
        return None
    body = read_frame(path.read_bytes(), 0)
    if body is None:
        raise JournalError(f'{path} is damaged')
    try:
        found = decode_body(MARKS, body).format
    except UndecodedError as error:
        raise JournalError(f'{path}: {error.detail}') from error
    if found not in READ_FORMATS:
        raise JournalError(f'{folder}: {describe_formats(found)}')
    return found


def describe_formats(found):
    """Return a text that names a format and those that this build reads.

    :param found: format of a data folder, None if it names none.
    """
    name = 'no format' if found is None else f'format {found}'
    reads = ' and '.join(str(each) for each in READ_FORMATS)
    return f'the folder names {name}, this build reads format {reads}'
