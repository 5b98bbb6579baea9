"""Steps that read messages with random changes, from a seed."""

from lzma import compress
from random import Random

from behave import then
from behave import when
from msgspec.msgpack import decode
from msgspec.msgpack import encode
from msgspec.msgpack import Ext
from msgspec import Raw

from fuchsiacart.control.message_checks import check_message
from fuchsiacart.control.pulls import read_deltas
from fuchsiacart.control.pulls import unpack_view
from fuchsiacart.control.replica_messages import AppendRequest
from fuchsiacart.control.replica_messages import SnapshotRequest
from fuchsiacart.control.replica_states import Entry
from fuchsiacart.control.replica_states import Group
from fuchsiacart.decoding import decode_body
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import UndecodedError
from fuchsiacart.messages import PullReply
from fuchsiacart.methods import ANSWER_DECODERS
from fuchsiacart.methods import REQUEST_DECODERS
from tools.compatibility.samples import make_samples

NESTING = (1, 50, 2_000, 200_000)
ODD_VALUES = (
    None,
    True,
    -1,
    2**64 - 1,
    -(2**63),
    1e308,
    float('nan'),
    '',
    'unheard',
    b'\xff\x00',
    [],
    {},
    [[], {}],
    {'type': 'Unheard'},
    Ext(5, b'ext'),
)


def choose_odd_value(random):
    """Return a copy of an odd value, as it may be changed further."""
    return decode(encode(random.choice(ODD_VALUES)))


def choose_part(document, random):
    """Return a random dictionary or list in a document, never empty."""
    parts = []
    open_parts = [document]
    while open_parts:
        part = open_parts.pop()
        values = part.values() if isinstance(part, dict) else part
        if part:
            parts.append(part)
        open_parts += [
            each for each in values if isinstance(each, dict | list)
        ]
    return random.choice(parts)


def choose_key(part, random):
    """Return a random key of a dictionary or index of a list."""
    if isinstance(part, dict):
        return random.choice(list(part))
    return random.randrange(len(part))


def add_field(document, random):
    """Add a field that is not known."""
    part = choose_part(document, random)
    value = choose_odd_value(random)
    if isinstance(part, dict):
        part[f'unheard_{random.randrange(100)}'] = value
    else:
        part.append(value)


def remove_field(document, random):
    """Remove a field or an item."""
    part = choose_part(document, random)
    del part[choose_key(part, random)]


def replace_value(document, random):
    """Replace a value by one that is often of another type."""
    part = choose_part(document, random)
    part[choose_key(part, random)] = choose_odd_value(random)


def swap_values(document, random):
    """Replace a value by one from elsewhere in the document."""
    source, target = (choose_part(document, random) for _ in range(2))
    value = decode(encode(source[choose_key(source, random)]))
    target[choose_key(target, random)] = value


def nest(document, random):
    """Put lists in lists in the place of a value, or in a new field."""
    depth = random.choice(NESTING)
    value = Raw(b'\x91' * depth + b'\xc0')
    part = choose_part(document, random)
    if isinstance(part, dict) and random.random() < 0.5:
        part['unheard'] = value
    else:
        part[choose_key(part, random)] = value


def change_document(body, random):
    """Change the fields of an encoded document up to three times."""
    document = decode(body)
    for _ in range(random.randint(1, 3)):
        change = random.choice(
            (add_field, add_field, remove_field, replace_value, swap_values)
        )
        if document:
            change(document, random)
    if document and random.random() < 0.2:
        nest(document, random)
    return encode(document)


def cut(body, random):
    """Cut off the end."""
    return body[: random.randrange(len(body))]


def change_bytes(body, random):
    """Change up to four bytes."""
    data = bytearray(body)
    for _ in range(random.randint(1, 4)):
        data[random.randrange(len(data))] = random.randrange(256)
    return bytes(data)


def change_length(body, random):
    """Add bytes, or put a header that promises billions of items."""
    header = random.choice((b'\xdd', b'\xdf', b'\xc6', b'\xdb'))
    at = random.randrange(len(body))
    if random.random() < 0.5:
        return body + random.randbytes(3)
    return body[:at] + header + b'\xff\xff\xff\xff' + body[at:]


def change_body(body, random):
    """Return a body with a random change."""
    changes = (change_document,) * 5 + (cut, change_bytes, change_length)
    return random.choice(changes)(body, random)


def read_by_any(decoders, body):
    """Read a body as that of the method that knows it.

    :raises UndecodedError: if there is none.
    """
    for decoder in list(decoders.values())[:-1]:
        try:
            return decode_body(decoder, body)
        except UndecodedError:
            continue
    return decode_body(list(decoders.values())[-1], body)


def read_request(body, random):
    """Read a body as the receiver of a call does."""
    read_by_any(REQUEST_DECODERS, body)


def read_answer(body, random):
    """Read a body as its caller does."""
    read_by_any(ANSWER_DECODERS, body)


def read_command(body, random):
    """Read a body as that of an entry that follows another one."""
    entries = Entry(1), Entry(1, body)
    check_message(AppendRequest('c1', 1, 1, 1, entries, 1, 1))


def read_snapshot(body, random):
    """Read a body as that of a snapshot."""
    check_message(SnapshotRequest('c1', 1, 1, 1, Group(), body, 1))


def read_view(body, random):
    """Read a body as a packed view, whose packing is sometimes damaged."""
    unpack_view(pack(body, random))


def read_changes(body, random):
    """Read a body as packed changes."""
    # The header of an array of one item.
    packed = pack(b'\x91' + body, random)
    read_deltas(PullReply(packed_deltas=packed))


def pack(body, random):
    """Return compressed bytes, of which one in ten is damaged."""
    packed = compress(body, preset=0)
    if random.random() < 0.9:
        return packed
    return random.choice((cut, change_bytes))(packed, random)


# The group of samples that are changed, and how they are read.
READERS = {
    'a request': ('message', read_request),
    'an answer': ('message', read_answer),
    'a replicated command': ('command', read_command),
    'a snapshot': ('state', read_snapshot),
    'a packed view': ('view', read_view),
    'packed changes': ('delta', read_changes),
}


@when(
    '{count:d} changed bodies of each kind are read as {reader} with seed'
    ' {seed:d}'
)
def when_read(context, count, reader, seed):
    group, read = READERS[reader]
    context.results = {'decoded': 0, 'refused': 0}
    context.escaped = []
    for name, sample in make_samples()[group].items():
        random = Random(f'{seed} {name}')
        body = encode(sample)
        for _ in range(count):
            odd_body = change_body(body, random)
            try:
                read(odd_body, random)
                context.results['decoded'] += 1
            except UndecodedError as error:
                assert error.kind is ErrorKind.BAD_REQUEST, error
                context.results['refused'] += 1
            except Exception as error:
                context.escaped.append((name, odd_body[:200], repr(error)))


@then('each is decoded or refused as malformed')
def then_no_escape(context):
    assert not context.escaped, (len(context.escaped), context.escaped[:3])


@then(
    'at least {decoded:d} percent are decoded and {refused:d} percent refused'
)
def then_shares(context, decoded, refused):
    """Check that the changes are neither all harmless nor all fatal."""
    total = sum(context.results.values())
    assert context.results['decoded'] * 100 >= decoded * total, context.results
    assert context.results['refused'] * 100 >= refused * total, context.results
