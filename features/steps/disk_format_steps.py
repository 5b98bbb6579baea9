"""Steps for disks of other builds: what is read, refused and left alone."""

from asyncio import run as run_coroutine
from pathlib import Path
from shutil import rmtree
from subprocess import PIPE
from subprocess import run
from subprocess import STDOUT
from sys import executable
from tempfile import mkdtemp

from behave import given
from behave import then
from behave import when
from msgspec.msgpack import encode
from msgspec import Raw
from msgspec.structs import replace

from features.steps.control_group_steps import make_change
from features.steps.undecoded_message_steps import TOO_DEEP
from fuchsiacart.adapters import PeerAdapter
from fuchsiacart.control.journals import Journal
from fuchsiacart.control.records import frame
from fuchsiacart.control.replica_states import Entry
from fuchsiacart.control.replicas import ReplicaTask
from fuchsiacart.exceptions import JournalError
from fuchsiacart.settings import Settings
from standins.toml_files import write_toml

TORN = frame(b'x' * 100)[:50]
DAEMON_TIMEOUT_S = 30


class UnusedAdapter(PeerAdapter):
    """Transport of a control host that calls nobody."""

    async def call(self, address, method, message, timeout_s):
        """See :meth:`PeerAdapter.call`."""
        raise NotImplementedError

    async def close(self):
        """See :meth:`PeerAdapter.close`."""


class DiskFixture:
    """A data folder, as the build in production leaves it."""

    def __init__(self, count):
        self.root = Path(mkdtemp(prefix='fuchsiacart-disk-'))
        self.folder = self.root / 'data'
        self.error = None
        self.replica = None
        if count == 0:
            return
        journal = Journal(self.folder)
        before = journal.load().state
        commands = [make_change(number) for number in range(count)]
        log = tuple(Entry(1, encode(each)) for each in commands)
        journal.save(before, replace(before, term=1, log=log))
        journal.close()
        # That build knows no mark.
        (self.folder / 'format').unlink(missing_ok=True)
        self.written = self.read_files()

    def settings(self):
        """Return the settings of the control host."""
        return {
            'role': 'control',
            'host': {
                'name': 'c1',
                'region': 'cymru',
                'failure_domain': 'cymru-c1',
            },
            'tokens': {
                'operator_sha256': '0' * 64,
                'backend_sha256': '0' * 64,
                'peer': 'x' * 16,
            },
            'control_hosts': [{'name': 'c1', 'peer_address': '127.0.0.1:1'}],
            'control': {'data_folder': str(self.folder)},
        }

    def read_files(self):
        """Return the bytes of all files, by name."""
        return {path.name: path.read_bytes() for path in self.folder.iterdir()}

    def append(self, data):
        """Add bytes to the log."""
        with open(self.folder / 'log-0', 'ab') as file:
            file.write(data)

    def write(self, name, body):
        """Replace a file by one record."""
        (self.folder / name).write_bytes(frame(encode(body)))

    def add_entry(self, body):
        """Add entry 21 with a body."""
        entry = {'term': 1, 'body': body}
        record = {'type': 'Append', 'index': 21, 'entry': entry}
        batch = {'type': 'Batch', 'records': [record]}
        self.append(frame(encode(batch)))

    def add_snapshot(self, kind, state):
        """Add a snapshot of 21 entries, with its log."""
        snapshot = {'type': kind, 'index': 21, 'term': 1, 'group': {}}
        self.write('snapshot-21', snapshot | {'body': encode(state)})
        (self.folder / 'log-21').write_bytes(b'')

    def start(self):
        """Start a control host; keep its replica, or why there is none."""
        if self.replica is not None:
            self.replica._journal.close()
        self.error = None
        try:
            self.replica = run_coroutine(self._open())
        except Exception as error:
            self.error = error

    async def _open(self):
        settings = Settings.model_validate(self.settings())
        return ReplicaTask(settings, UnusedAdapter())

    def close(self):
        """Remove the folder."""
        if self.replica is not None:
            self.replica._journal.close()
        rmtree(self.root)


def add_content(disk, content):
    """Add what another build, or a crash, has written."""
    unheard = {'type': 'Unheard', 'index': 7}
    delta = {'revision': 1, 'body': {'type': 'Unheard'}}
    if content == 'a record of an unknown kind':
        disk.append(frame(encode(unheard)))
    elif content == 'a record of another file':
        snapshot = {'type': 'Snapshot', 'index': 21, 'term': 1, 'group': {}}
        disk.append(frame(encode(snapshot | {'body': b''})))
    elif content == 'a record of an unknown kind among others':
        vote = {'type': 'HardState', 'term': 9, 'voted_for': None}
        batch = {'type': 'Batch', 'records': [vote, unheard]}
        disk.append(frame(encode(batch)))
    elif content == 'a record nested too deeply':
        vote = {'type': 'HardState', 'term': 9, 'voted_for': None}
        disk.append(frame(encode(vote | {'colour': Raw(TOO_DEEP)})))
    elif content == 'a command of an unknown kind':
        disk.add_entry(encode(unheard))
    elif content == 'a command without a field':
        disk.add_entry(encode({'type': 'LeaveHost'}))
    elif content == 'a snapshot of an unknown kind':
        disk.add_snapshot('Unheard', {})
    elif content == 'a snapshot with a change of an unknown kind':
        disk.add_snapshot('Snapshot', {'deltas': [delta]})
    elif content == 'an identity of another type':
        disk.write('identity', {'replica': 7, 'boots': 'many'})
    elif content == 'a mark of format 2':
        disk.write('format', {'format': 2, 'colour': 'red'})
    elif content == 'a record of unknown layout':
        disk.append(b'\x07' * 64)
    elif content == 'a damaged mark of the format':
        (disk.folder / 'format').write_bytes(b'2')
    else:
        assert content in ('a torn one', 'a torn record'), content
        disk.append(TORN)


@given('the data folder of a control host with {count:d} changes')
def given_folder(context, count):
    context.disk = DiskFixture(count)
    context.resources.callback(context.disk.close)


@given('an empty data folder')
def given_empty(context):
    given_folder(context, 0)


@given('it ends with {contents}')
def given_contents(context, contents):
    for content in contents.split(' and '):
        add_content(context.disk, content)
    context.disk.written = context.disk.read_files()


@when('a control host starts on it')
def when_started(context):
    context.disk.start()


@when('a daemon starts on it')
def when_daemon_started(context):
    """Start a daemon, which is expected to end by itself."""
    path = context.disk.root / 'settings.toml'
    path.write_text(write_toml(context.disk.settings()))
    context.daemon = run(
        (executable, '-m', 'fuchsiacart.daemon', str(path)),
        stdout=PIPE,
        stderr=STDOUT,
        text=True,
        timeout=DAEMON_TIMEOUT_S,
    )


@then('it is refused with an error that names {names}')
def then_refused(context, names):
    error = context.disk.error
    assert isinstance(error, JournalError), repr(error)
    for name in names.split(', '):
        assert name in context.disk.error.detail, context.disk.error.detail


@then('no byte in the folder has changed')
def then_unchanged(context):
    assert context.disk.read_files() == context.disk.written


@then('it has all {count:d} changes and its folder is marked with format 1')
def then_started(context, count):
    disk = context.disk
    assert disk.error is None, disk.error
    assert disk.replica.state.last_index == count, disk.replica.state
    mark = (disk.folder / 'format').read_bytes()
    assert mark == frame(encode({'format': 1})), mark


@then('the torn record is gone')
def then_cut(context):
    log = context.disk.read_files()['log-0']
    assert not log.endswith(TORN) and log, len(log)


@then('it ends with exit code {code:d} and a line that names {names}')
def then_daemon_ended(context, code, names):
    output = context.daemon.stdout
    assert context.daemon.returncode == code, output
    line = next(each for each in output.splitlines() if 'cannot_run' in each)
    for name in names.split(', '):
        assert name in line, line
