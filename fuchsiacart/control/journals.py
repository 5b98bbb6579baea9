"""Durable files of one control host: identity, snapshot and log.

A data folder holds ``format``, see :mod:`disk_formats`, ``identity``, and
pairs of ``snapshot-N`` and ``log-N`` where N is the index of the last entry in
the snapshot.  Each record has a length, an XXH64 checksum and a body in
MessagePack.  A torn record at the end of a log is truncated.  A damaged record
that is followed by a valid one is an error, and so is a valid record that this
build cannot decode.  Nothing is written before all has been read.
"""

from os import close as os_close
from os import fsync
from os import O_DIRECTORY
from os import O_RDONLY
from os import open as os_open
from pathlib import Path
from uuid import uuid4

from msgspec.msgpack import Decoder
from msgspec.msgpack import encode
from msgspec import Struct
from msgspec.structs import replace

from fuchsiacart.control.disk_formats import describe_formats
from fuchsiacart.control.disk_formats import FORMAT
from fuchsiacart.control.disk_formats import FORMAT_FILE
from fuchsiacart.control.disk_formats import FormatMark
from fuchsiacart.control.disk_formats import read_format
from fuchsiacart.control.records import frame
from fuchsiacart.control.records import has_record_after
from fuchsiacart.control.records import HEADER
from fuchsiacart.control.records import read_frame
from fuchsiacart.control.replica_states import Entry
from fuchsiacart.control.replica_states import Group
from fuchsiacart.control.replica_states import latest_group
from fuchsiacart.control.replica_states import ReplicaState
from fuchsiacart.decoding import decode_body
from fuchsiacart.exceptions import JournalError
from fuchsiacart.exceptions import UndecodedError
from fuchsiacart.logs import log_warning
from fuchsiacart.models import ReplicaId


class Identity(Struct, frozen=True):
    """The id of a replica, which is valid as long as its data folder.

    ``boots`` counts the starts of the process.
    """

    replica: ReplicaId
    boots: int


class HardState(Struct, frozen=True, tag=True):
    """The current term and the vote in it."""

    term: int
    voted_for: ReplicaId | None


class Append(Struct, frozen=True, tag=True):
    """An entry at an index; it replaces all entries from there on."""

    index: int
    entry: Entry


class Snapshot(Struct, frozen=True, tag=True):
    """The state after the entry at an index."""

    index: int
    term: int
    group: Group
    body: bytes


class Batch(Struct, frozen=True, tag=True):
    """Records that become durable together.

    A torn write damages this record only.  No valid record follows it, so it
    is truncated when the log is read.
    """

    records: tuple[HardState | Append, ...]


Record = HardState | Append | Snapshot | Batch

SNAPSHOTS = Decoder(Snapshot)
LOG_RECORDS = Decoder(HardState | Append | Batch)
IDENTITIES = Decoder(Identity)


class RecoveredState(Struct, frozen=True):
    """The durable state of a replica, and the snapshot if there is one."""

    state: ReplicaState
    snapshot: bytes | None


class _LogContent(Struct, frozen=True):
    """What was read of a log.

    ``size_bytes`` is that of the file, ``end`` where its last valid record
    ends.
    """

    term: int = 0
    voted_for: ReplicaId | None = None
    entries: tuple[Entry, ...] = ()
    end: int = 0
    size_bytes: int = 0


class Journal:
    """The journal files of one replica.

    :param folder: the data folder; created if it does not exist.
    :param first_replica: id of a replica in a new folder, or None for a
        random one that was never used before.
    :raises JournalError: if the identity is damaged, or missing beside a log,
        or a later build has written the folder.
    """

    def __init__(self, folder, first_replica=None):
        self._folder = Path(folder)
        self._first_replica = first_replica
        self._folder.mkdir(parents=True, exist_ok=True)
        self._log = None
        self._log_path = None
        self._format = read_format(self._folder)
        self.identity = self._next_identity()

    def load(self, check=None):
        """Read the latest snapshot and its log.

        :param check: called with the :class:`RecoveredState` before anything
            is written; raises :class:`UndecodedError` to refuse it.
        :return: the :class:`RecoveredState`.
        :raises JournalError: if a file is damaged before its end, or cannot be
            read by this build; the folder is left as it is.
        """
        base = self._newest_base()
        recovered, content = self._recover(base or 0)
        if check is not None:
            try:
                check(recovered)
            except UndecodedError as error:
                raise self._unreadable(error.detail) from error
        if self._format != FORMAT:
            self._write_file(FORMAT_FILE, frame(encode(FormatMark(FORMAT))))
        self._write_file('identity', frame(encode(self.identity)))
        if base is None:
            self._start_log(0, b'')
            return recovered
        self._log_path = self._folder / f'log-{base}'
        if content.end < content.size_bytes:
            self._truncate_torn_record(content)
        self._log = open(self._log_path, 'ab')
        return recovered

    def save(self, before, after):
        """Append the difference between two states to the log, durably.

        :param before: the state that is on disk.
        :param after: the new state; it must have the same base.
        """
        records = []
        if (before.term, before.voted_for) != (after.term, after.voted_for):
            records.append(HardState(after.term, after.voted_for))
        shared_count = _shared_entries(before.log, after.log)
        index = after.base_index + shared_count
        for entry in after.log[shared_count:]:
            index += 1
            records.append(Append(index, entry))
        if not records:
            return
        data = frame(encode(Batch(tuple(records))))
        self._log.write(data)
        self._log.flush()
        fsync(self._log.fileno())

    def save_snapshot(self, state, body):
        """Write a snapshot and start a new log after it, durably.

        Older snapshots and logs are removed.

        :param state: a state whose base is the index of the snapshot.
        :param body: the encoded snapshot.
        """
        snapshot = Snapshot(
            state.base_index, state.base_term, state.base_group, body
        )
        name = f'snapshot-{state.base_index}'
        self._write_file(name, frame(encode(snapshot)))
        records = [HardState(state.term, state.voted_for)]
        index = state.base_index
        for entry in state.log:
            index += 1
            records.append(Append(index, entry))
        data = b''.join(frame(encode(record)) for record in records)
        self._start_log(state.base_index, data)
        self._drop_older(state.base_index)

    def close(self):
        """Close the log file."""
        if self._log is not None:
            self._log.close()

    def _next_identity(self):
        path = self._folder / 'identity'
        if path.exists():
            body = read_frame(path.read_bytes(), 0)
            if body is None:
                raise JournalError(f'{path} is damaged')
            previous = self._decode(IDENTITIES, body, str(path))
            return Identity(previous.replica, previous.boots + 1)
        if any(self._folder.glob('log-*')):
            raise JournalError(f'{path} is missing but there is a log')
        replica = self._first_replica or uuid4().hex
        return Identity(ReplicaId(replica), 1)

    def _decode(self, decoder, body, place):
        try:
            return decode_body(decoder, body)
        except UndecodedError as error:
            raise self._unreadable(f'{place}: {error.detail}') from error

    def _unreadable(self, detail):
        return JournalError(f'{detail}; {describe_formats(self._format)}')

    def _write_file(self, name, data):
        path = self._folder / name
        draft = self._folder / f'{name}.draft'
        with open(draft, 'wb') as file:
            file.write(data)
            file.flush()
            fsync(file.fileno())
        draft.rename(path)
        self._sync_folder()

    def _sync_folder(self):
        folder_descriptor = os_open(self._folder, O_RDONLY | O_DIRECTORY)
        try:
            fsync(folder_descriptor)
        finally:
            os_close(folder_descriptor)

    def _bases(self, kind):
        names = [path.name for path in self._folder.glob(f'{kind}-*')]
        suffixes = [name.partition('-')[2] for name in names]
        return {int(suffix) for suffix in suffixes if suffix.isdigit()}

    def _newest_base(self):
        logs = self._bases('log')
        complete = (self._bases('snapshot') | {0}) & logs
        if not complete:
            if logs or self._bases('snapshot'):
                raise JournalError('no snapshot has a matching log')
            return None
        return max(complete)

    def _recover(self, base):
        """Return the :class:`RecoveredState` and what was read of the log."""
        state = ReplicaState(self.identity.replica)
        body = None
        if base > 0:
            snapshot = self._read_snapshot(base)
            body = snapshot.body
            state = ReplicaState(
                self.identity.replica,
                base_index=snapshot.index,
                base_term=snapshot.term,
                base_group=snapshot.group,
                commit_index=snapshot.index,
            )
        content = self._read_log(base)
        state = replace(
            state,
            term=content.term,
            voted_for=content.voted_for,
            log=content.entries,
            group=latest_group(state.base_group, content.entries),
        )
        return RecoveredState(state, body), content

    def _read_snapshot(self, base):
        path = self._folder / f'snapshot-{base}'
        body = read_frame(path.read_bytes(), 0)
        if body is None:
            raise JournalError(f'{path} is damaged')
        return self._decode(SNAPSHOTS, body, str(path))

    def _read_log(self, base):
        path = self._folder / f'log-{base}'
        if not path.exists():
            return _LogContent()
        data = path.read_bytes()
        offset = 0
        term, voted_for, log = 0, None, []
        while offset < len(data):
            body = read_frame(data, offset)
            if body is None:
                if has_record_after(data, offset):
                    raise JournalError(f'{path} is damaged at byte {offset}')
                break
            place = f'{path} at byte {offset}'
            decoded = self._decode(LOG_RECORDS, body, place)
            offset += HEADER.size + len(body)
            records = (decoded,)
            if isinstance(decoded, Batch):
                records = decoded.records
            for record in records:
                if isinstance(record, HardState):
                    term, voted_for = record.term, record.voted_for
                    continue
                del log[record.index - base - 1 :]
                log.append(record.entry)
        return _LogContent(term, voted_for, tuple(log), offset, len(data))

    def _truncate_torn_record(self, content):
        log_warning(
            'torn_record_cut',
            file=self._log_path.name,
            offset=content.end,
            bytes=content.size_bytes - content.end,
        )
        with open(self._log_path, 'r+b') as file:
            file.truncate(content.end)
            fsync(file.fileno())

    def _start_log(self, base, data):
        if self._log is not None:
            self._log.close()
        name = f'log-{base}'
        self._write_file(name, data)
        self._log_path = self._folder / name
        self._log = open(self._log_path, 'ab')

    def _drop_older(self, base):
        for kind in ('snapshot', 'log'):
            for older in self._bases(kind):
                if older < base:
                    (self._folder / f'{kind}-{older}').unlink()
        self._sync_folder()


def _shared_entries(before, after):
    """Return the number of leading entries that two logs share."""
    shared_count = min(len(before), len(after))
    if shared_count and before[shared_count - 1] is after[shared_count - 1]:
        return shared_count
    for index in range(shared_count):
        if before[index] != after[index]:
            return index
    return shared_count
