"""Decoding of bytes that another build may have written."""

from re import compile as compile_pattern
from re import DOTALL

from msgspec import MsgspecError

from fuchsiacart.exceptions import UndecodedError

# Nesting beyond the interpreter's limit is no MsgspecError.
DECODE_ERRORS = (MsgspecError, RecursionError)
UNKNOWN_KIND = 'a body of unknown kind'
# A map whose first key is the tag, as msgspec writes structs; a kind has up to
# 31 bytes.  Found without a decoder, which fails on what is cut off or nested.
TAG = compile_pattern(rb'(?:[\x80-\x8f]|\xde..)\xa4type([\xa0-\xbf])', DOTALL)
KIND_LENGTH_MASK = 0x1F


def read_kind(body):
    """Return the kind of a tagged struct, whether it is known or not.

    :param body: the struct in MessagePack.
    :return: the kind, or ``UNKNOWN_KIND`` if that cannot be read.
    """
    match = TAG.match(body)
    if match is None:
        return UNKNOWN_KIND
    end = match.end() + (match[1][0] & KIND_LENGTH_MASK)
    return body[match.end() : end].decode(errors='replace') or UNKNOWN_KIND


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
