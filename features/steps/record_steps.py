"""Steps for the journal of a control host."""

from pathlib import Path
from shutil import rmtree
from tempfile import mkdtemp
from unittest.mock import patch

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace

from fuchsiacart.control.consensus import Consensus
from fuchsiacart.control.journals import Journal
from fuchsiacart.control.replica_states import Entry
from fuchsiacart.exceptions import JournalError

HALF_RECORD = b'\x00\x00\x00\x40half of it'


class CrashError(Exception):
    """Simulates the end of the process at a sync point."""


class JournalFixture:
    """A journal in its own folder."""

    def __init__(self, count):
        self.folder = Path(mkdtemp(prefix='fuchsiacart-journal-'))
        self.journal = Journal(self.folder)
        self.identity = self.journal.identity
        self.state = self.journal.load().state
        for number in range(count):
            self.append([Entry(1, b'entry %d' % number)])

    def append(self, entries, keep=None):
        """Save entries after the first ``keep`` present ones, or after all."""
        kept_entries = (
            self.state.log if keep is None else self.state.log[:keep]
        )
        after = replace(self.state, term=9, log=kept_entries + tuple(entries))
        self.journal.save(self.state, after)
        self.state = after

    def open(self):
        """Open the folder again, as a restarted process does."""
        self.journal.close()
        self.journal = Journal(self.folder)
        return self.journal.load()

    def log_path(self):
        """Return the path of the log file."""
        return next(self.folder.glob('log-*'))

    def close(self):
        """Close the journal and remove the folder."""
        self.journal.close()
        rmtree(self.folder, ignore_errors=True)


@given('a journal with {count:d} entries')
def given_journal(context, count):
    context.record = JournalFixture(count)
    context.resources.callback(context.record.close)


@when('its last {count:d} bytes are lost')
def when_torn(context, count):
    path = context.record.log_path()
    path.write_bytes(path.read_bytes()[:-count])


@when('half a record is added at its end')
def when_half_written(context):
    """Append the first bytes of a longer record."""
    with open(context.record.log_path(), 'ab') as file:
        file.write(HALF_RECORD)


@when('a crash tears the write of {count:d} more entries in its middle')
def when_torn_write(context, count):
    """Save several entries at once and zero 40 bytes in their middle."""
    path = context.record.log_path()
    before = len(path.read_bytes())
    context.record.append([Entry(9, b'x' * 100) for _ in range(count)])
    data = bytearray(path.read_bytes())
    middle = before + (len(data) - before) // 2
    data[middle - 20 : middle + 20] = bytes(40)
    path.write_bytes(bytes(data))


@when('a byte in the middle is changed')
def when_damaged(context):
    _flip_byte(context.record.log_path(), 0.5)


@when('its identity is changed')
def when_identity(context):
    _flip_byte(context.record.folder / 'identity', 0.9)


def _flip_byte(path, position):
    data = bytearray(path.read_bytes())
    data[int(len(data) * position)] ^= 0xFF
    path.write_bytes(bytes(data))


@when('its folder is removed')
def when_removed(context):
    rmtree(context.record.folder)


@when('a crash happens at sync {number:d} of a snapshot')
def when_crash(context, number):
    """Save a snapshot and crash at one of its sync points."""
    record = context.record
    state = replace(record.state, commit_index=20)
    after = Consensus().compact(state, 12).state
    calls = []

    def sync(descriptor):
        calls.append(descriptor)
        if len(calls) == number:
            raise CrashError

    with patch('fuchsiacart.control.journals.fsync', sync):
        try:
            record.journal.save_snapshot(after, b'body')
        except CrashError:
            return
    raise AssertionError(f'there are only {len(calls)} sync points')


@when(
    'the entries from {start:d} on are replaced by {count:d} entries'
    ' of term {term:d}'
)
def when_replaced(context, start, count, term):
    entries = [Entry(term, b'new') for _ in range(count)]
    context.record.append(entries, keep=start - 1)


@then('it opens with {count:d} entries')
def then_opens(context, count):
    context.stored = context.record.open()
    assert len(context.stored.state.log) == count, context.stored.state


@then('it opens with all {count:d} entries in snapshot and log')
def then_all(context, count):
    """Check the last index, and that a snapshot exists if it is used."""
    stored = context.record.open()
    assert stored.state.last_index == count, stored.state
    in_snapshot = stored.state.base_index > 0
    assert in_snapshot == (stored.snapshot is not None)


@then('the last entry has term {term:d}')
def then_term(context, term):
    assert context.stored.state.last_term == term


@then('it is refused as corrupt_journal')
def then_corrupt(context):
    try:
        context.record.open()
    except JournalError:
        return
    raise AssertionError('a damaged journal was opened')


@then('it has a new identity')
def then_identity(context):
    identity = context.record.journal.identity
    assert identity.replica != context.record.identity.replica
