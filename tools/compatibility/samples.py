"""Writes and reads samples of all that processes exchange and store.

Runs with the product of any build, so it uses only what all of them have.
Reads a JSON document from standard input and writes one to standard output.

Usage:
  samples.py write
  samples.py read
  samples.py apply
  samples.py save FOLDER
  samples.py load FOLDER
"""

from enum import Enum
from re import search
from sys import argv
from sys import stdin
from sys import stdout

from msgspec import inspect
from msgspec.json import decode as decode_json
from msgspec.json import encode as encode_json
from msgspec.msgpack import decode as decode_any
from msgspec.msgpack import Decoder
from msgspec.msgpack import encode
from msgspec import MsgspecError
from msgspec import to_builtins

from fuchsiacart.control.commands import Command
from fuchsiacart.control.journals import Journal
from fuchsiacart.control.journals import Record
from fuchsiacart.control.replica_messages import Message
from fuchsiacart.control.replica_states import Entry
from fuchsiacart.control.replica_states import Group
from fuchsiacart.control.replica_states import ReplicaState
from fuchsiacart.control.states import Delta
from fuchsiacart.control.states import DeltaBody
from fuchsiacart.control.states import ReplicatedState
from fuchsiacart.control.states import StoredState
from fuchsiacart.control.states import ViewSnapshot
from fuchsiacart.messages import PeerMessage

# What is read, by name.
READERS = {
    'message': PeerMessage,
    'replica message': Message,
    'command': Command,
    'delta': Delta,
    'record': Record,
    'view': ViewSnapshot,
    'state': StoredState,
}
SAMPLE_NUMBER = 7
# Texts of which one matches the pattern of each type.
TEXTS = ('name', 'NAME', '/name', 'a' * 64)
# Values of fields that their types do not describe in full, or with which a
# command is accepted.
FIELD_VALUES = {
    'prefix': '10.0.0.0/8',
    'expected_version': 0,
    'parent_version': 0,
}


def make_value(kind):
    """Return a value of a type, with a value for each of its fields.

    :param kind: the type, as :func:`msgspec.inspect.type_info` returns it.
    """
    if isinstance(kind, inspect.UnionType):
        others = [
            each
            for each in kind.types
            if not isinstance(each, inspect.NoneType)
        ]
        return make_value(others[0])
    if isinstance(kind, inspect.StructType):
        values = {
            each.name: make_field(each.name, each.type) for each in kind.fields
        }
        return kind.cls(**values)
    if isinstance(kind, inspect.Metadata):
        return make_value(kind.type)
    if isinstance(kind, inspect.EnumType):
        return next(iter(kind.cls))
    if isinstance(kind, inspect.VarTupleType):
        return (make_value(kind.item_type),)
    if isinstance(kind, inspect.TupleType):
        return tuple(make_value(each) for each in kind.item_types)
    if isinstance(kind, inspect.ListType):
        return [make_value(kind.item_type)]
    if isinstance(kind, inspect.DictType):
        return {make_value(kind.key_type): make_value(kind.value_type)}
    return make_scalar(kind)


def make_field(name, kind):
    """Return a value of a field."""
    if name in FIELD_VALUES:
        return FIELD_VALUES[name]
    return make_value(kind)


def make_scalar(kind):
    """Return a value of a type without parts."""
    if isinstance(kind, inspect.BoolType):
        return True
    if isinstance(kind, inspect.IntType):
        return SAMPLE_NUMBER
    if isinstance(kind, inspect.FloatType):
        return SAMPLE_NUMBER + 0.5
    if isinstance(kind, inspect.BytesType):
        return b'bytes'
    if isinstance(kind, inspect.StrType):
        return next(each for each in TEXTS if search(kind.pattern or '', each))
    raise TypeError(f'no sample of {kind}')


def make_samples():
    """Return all samples, by the name of their reader and their own."""
    samples = {name: {} for name in READERS}
    for name in ('message', 'replica message', 'command', 'record'):
        for kind in inspect.type_info(READERS[name]).types:
            samples[name][kind.cls.__name__] = make_value(kind)
    for kind in inspect.type_info(DeltaBody).types:
        delta = Delta(SAMPLE_NUMBER, make_value(kind))
        samples['delta'][kind.cls.__name__] = delta
    for name in ('view', 'state'):
        kind = inspect.type_info(READERS[name])
        samples[name][kind.cls.__name__] = make_value(kind)
    return samples


def write_samples(_):
    """Return the bytes of all samples, as hexadecimal digits."""
    return {
        reader: {name: encode(each).hex() for name, each in group.items()}
        for reader, group in make_samples().items()
    }


def read_samples(written):
    """Read samples of another build.

    :param written: what its :func:`write_samples` returned.
    :return: what cannot be read, or loses a value that this build knows.
    """
    errors = []
    for reader, group in written.items():
        decoder = Decoder(READERS[reader])
        for name, digits in group.items():
            body = bytes.fromhex(digits)
            try:
                value = decoder.decode(body)
            except MsgspecError as error:
                errors.append(f'{reader} {name}: {error}')
                continue
            if not is_part(decode_any(encode(value)), decode_any(body)):
                errors.append(f'{reader} {name}: read with other values')
    return errors


def is_part(value, written):
    """Return True if all that is in a value was written so.

    Fields that one of the builds does not know are left out.
    """
    if isinstance(value, dict) and isinstance(written, dict):
        return all(
            is_part(value[key], written[key])
            for key in value
            if key in written
        )
    if isinstance(value, list) and isinstance(written, list):
        return len(value) == len(written) and all(map(is_part, value, written))
    return value == written


def apply_samples(written):
    """Apply the commands of another build to an empty state.

    :param written: what its :func:`write_samples` returned.
    :return: the state that results.
    """
    decoder = Decoder(Command)
    state = ReplicatedState()
    for digits in written['command'].values():
        state.apply(decoder.decode(bytes.fromhex(digits)))
    return to_builtins(state.stored)


def make_states(folder):
    """Return a journal and two states, of which the second has a log."""
    journal = Journal(folder, 'replica')
    name = f'host/{journal.identity.replica}'
    commands = make_samples()['command'].values()
    before = ReplicaState(name)
    after = ReplicaState(
        name,
        term=2,
        log=tuple(Entry(2, encode(each)) for each in commands),
        group=Group((name,)),
    )
    return journal, before, after


def save_disk(_):
    """Write a data folder with a log of all commands."""
    journal, before, after = make_states(argv[2])
    journal.load()
    journal.save(before, after)
    journal.close()
    return len(after.log)


def load_disk(_):
    """Read a data folder of another build; return its commands."""
    journal = Journal(argv[2], 'replica')
    recovered = journal.load()
    journal.close()
    decoder = Decoder(Command)
    return [
        type(decoder.decode(entry.body)).__name__
        for entry in recovered.state.log
    ]


class Action(Enum):
    """What this program does."""

    WRITE = 'write'
    READ = 'read'
    APPLY = 'apply'
    SAVE = 'save'
    LOAD = 'load'


ACTIONS = {
    Action.WRITE: write_samples,
    Action.READ: read_samples,
    Action.APPLY: apply_samples,
    Action.SAVE: save_disk,
    Action.LOAD: load_disk,
}


def main():
    """Run the action that the command line names."""
    action = ACTIONS[Action(argv[1])]
    result = action(decode_json(stdin.buffer.read()))
    stdout.buffer.write(encode_json(result))


if __name__ == '__main__':
    main()
