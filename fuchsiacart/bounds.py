"""Bounds of the numbers, names and addresses that other programs send.

Records are kept and sent as MessagePack, whose integers have 64 bits.
"""

from ipaddress import IPv4Address
from re import compile as compile_pattern
from typing import Annotated

from msgspec import Meta

from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import RequestError
from fuchsiacart.exceptions import Run

MAX_INTEGER = 2**63 - 1
# Whole numbers up to this one are exact as floating point numbers.
MAX_AMOUNT = 2.0**53
# Requests run on connections of their own, which a port counts.
MAX_SLOTS = 65_535
MAX_PORT = 65_535
# The longest name in the DNS.
MAX_NAME_LENGTH = 255
NAME = compile_pattern(f'[!-~]{{1,{MAX_NAME_LENGTH}}}')
REQUEST_PATH = compile_pattern('/[!-~]*')
ADDRESS = compile_pattern(r'([0-9.]{7,15}):([0-9]{1,5})')

Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Integer = Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Amount = Annotated[float, Meta(ge=0, le=MAX_AMOUNT)]
Slots = Annotated[int, Meta(gt=0, le=MAX_SLOTS)]
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
# A text that a header can carry.
HeaderText = Annotated[str, Meta(pattern=rf'^{NAME.pattern}\Z')]


def is_header_name(name):
    """Return True if a name can be sent as the value of a header.

    :param name: the name as text.
    """
    return NAME.fullmatch(name) is not None


def is_request_path(text):
    """Return True if a text can be sent as the path of a request.

    :param text: the path, with its query if it has one.
    """
    return REQUEST_PATH.fullmatch(text) is not None


def check_target(target, run=Run.NO):
    """Refuse a target that is no URI (RFC 3986).

    Such bytes would have to be encoded to be sent on, and so be changed.

    :param target: path and query as a caller sent them.
    :param run: the :class:`Run` to tell the caller.
    :raises RequestError: if it holds other characters than ASCII.
    """
    if target.isascii():
        return
    raise RequestError(
        'percent-encode the bytes above 127 of the path and query',
        ErrorKind.BAD_REQUEST,
        run,
    )


def parse_count(text):
    """Return the number that decimal digits stand for.

    :param text: the digits.
    :raises ValueError: if they are no digits or the number is too large.
    """
    if not (text.isascii() and text.isdigit()):
        raise ValueError(f'{text[:MAX_NAME_LENGTH]!r} is no whole number')
    if len(text) > len(str(MAX_INTEGER)) or int(text) > MAX_INTEGER:
        raise ValueError('a number has more than 64 bits')
    return int(text)


def split_address(address):
    """Return the IP address and the port of an address.

    :param address: the text IP:port.
    :raises ValueError: if no host can be reached under it.
    """
    match = ADDRESS.fullmatch(address)
    if match is None:
        raise ValueError(f'{address[:MAX_NAME_LENGTH]!r} is no IP:port')
    ip, port = IPv4Address(match[1]), int(match[2])
    if ip.is_unspecified or not 0 < port <= MAX_PORT:
        raise ValueError(f'no host is reached at {address!r}')
    return str(ip), port
