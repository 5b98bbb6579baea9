"""Decoding of bytes that another build may have written."""

from msgspec.msgpack import Decoder
from msgspec import MsgspecError
from msgspec import Struct

from fuchsiacart.exceptions import UndecodedError

# Nesting beyond the interpreter's limit is no MsgspecError.
DECODE_ERRORS = (MsgspecError, RecursionError)
UNKNOWN_KIND = 'a body of unknown kind'
KIND_LIMIT = 80


class _Tagged(Struct):
    type: str = ''


_TAGGED = Decoder(_Tagged)


def read_kind(body):
    """Return the kind of a tagged struct, whether it is known or not.

    :param body: the struct in MessagePack.
    :return: the kind, or ``UNKNOWN_KIND`` if that cannot be read.
    """
    try:
        kind = _TAGGED.decode(body).type
    except DECODE_ERRORS:
        return UNKNOWN_KIND
    return kind[:KIND_LIMIT] or UNKNOWN_KIND


def decode_body(decoder, body):
    """Decode bytes.

    :param decoder: a decoder of msgspec.
    :param body: the bytes.
    :return: the value.
    :raises UndecodedError: if they are none that the decoder reads; names
        the kind.
    """
    try:
        return decoder.decode(body)
    except DECODE_ERRORS as error:
        raise UndecodedError(
            f'{read_kind(body)} cannot be decoded: {error}'
        ) from error
