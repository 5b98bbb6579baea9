"""Steps for builds as operators see them, with a control host as process."""

from os import environ
from pathlib import Path
from shutil import copytree
from shutil import rmtree
from subprocess import PIPE
from subprocess import Popen
from subprocess import run
from subprocess import STDOUT
from sys import executable
from tempfile import mkdtemp
from time import monotonic
from time import sleep

from behave import given
from behave import then
from behave import when
from msgspec.json import decode

from fuchsiacart.builds import build_name
from fuchsiacart.builds import digest_sources
from fuchsiacart.models import token_digest
from standins.ports import PortReservations
from standins.toml_files import write_toml
from tools.compatibility.builds import LIBRARIES
from tools.compatibility import lay_out_build
from tools.compatibility import production_commit

PEER_TOKEN = 'token-between-processes-of-a-test'
TOKEN = 'operators-token-of-a-test'
START_TIMEOUT_S = 30
COMMAND_TIMEOUT_S = 30
POLL_S = 0.05
DOWN = '127.0.0.1:1'
SOURCES = {'a.py': 'A = 1\n', 'part/b.py': 'B = 2\n'}


class ControlProcess:
    """A control host that runs as a process.

    :param folder: folder of its build.
    """

    def __init__(self, folder):
        self.root = Path(mkdtemp(prefix='fuchsiacart-status-'))
        self.ports = PortReservations()
        self.peer_address = f'127.0.0.1:{self.ports.reserve()}'
        path = self.root / 'settings.toml'
        path.write_text(write_toml(self._settings()))
        self.log_path = self.root / 'log'
        paths = {
            'PYTHONPATH': f'{folder}:{folder / LIBRARIES}',
            'PYTHONSAFEPATH': '1',
        }
        with open(self.log_path, 'wb') as log:
            self._process = Popen(
                (executable, '-m', 'fuchsiacart.daemon', str(path)),
                stdout=log,
                stderr=STDOUT,
                env=environ | paths,
            )
        self.address = self._wait_for_address()

    def _settings(self):
        return {
            'role': 'control',
            'host': {
                'name': 'c1',
                'region': 'cymru',
                'failure_domain': 'cymru-c1',
            },
            'listen': {
                'peer_port': int(self.peer_address.rpartition(':')[2]),
                'ports_file': str(self.root / 'ports'),
            },
            'tokens': {
                'operator_sha256': token_digest(TOKEN),
                'backend_sha256': '0' * 64,
                'peer': PEER_TOKEN,
            },
            'control_hosts': [
                {'name': 'c1', 'peer_address': self.peer_address}
            ],
            'control': {'data_folder': str(self.root / 'data')},
        }

    def _wait_for_address(self):
        ports_path = self.root / 'ports'
        until_s = monotonic() + START_TIMEOUT_S
        while not ports_path.exists():
            assert self._process.poll() is None, self.log_path.read_text()
            assert monotonic() < until_s, self.log_path.read_text()
            sleep(POLL_S)
        return decode(ports_path.read_bytes())['http_address']

    def run_command(self, *arguments):
        """Run the operators' command of this build; return its output."""
        completed = run(
            (
                executable,
                '-m',
                'fuchsiacart.cli',
                f'--token={TOKEN}',
                *arguments,
            ),
            stdout=PIPE,
            stderr=STDOUT,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
        )
        assert completed.returncode == 0, completed.stdout
        return completed.stdout

    def close(self):
        """End the process and remove its files."""
        self._process.kill()
        self._process.wait()
        self.ports.release()
        rmtree(self.root)


def start_host(context, folder):
    """Start a control host and make it the only one of its group."""
    context.host = ControlProcess(folder)
    context.resources.callback(context.host.close)
    control = f'--control={context.host.address}'
    context.host.run_command(control, 'group', 'init')


def find_line(text, address):
    """Return the cells of the line that begins with an address."""
    return next(
        line.split() for line in text.splitlines() if line.startswith(address)
    )


@given('a control host of this build, alone in its group')
def given_own(context):
    start_host(context, lay_out_build(''))


@given('a control host of the build in production, alone in its group')
def given_production(context):
    start_host(context, lay_out_build(production_commit()))


@given('a control host of the earlier build {commit}, alone in its group')
def given_earlier(context, commit):
    start_host(context, lay_out_build(commit))


@when('an operator asks it and one that is down for the status')
def when_asked(context):
    control = f'--control={context.host.address},{DOWN}'
    context.report = context.host.run_command(control, 'status')
    json = context.host.run_command(control, '--json', 'status')
    context.rows = decode(json)['control_hosts']


@then('the status has a line for it with this build and format 1')
def then_build(context):
    cells = find_line(context.report, context.host.address)
    assert cells[-2:] == [build_name(), '1'], context.report
    context.expected = build_name(), 1


@then('the status has a line for it with the build in production and format 1')
def then_production(context):
    """Check that it names a build, and not this one."""
    cells = find_line(context.report, context.host.address)
    assert cells[-1] == '1', context.report
    assert cells[-2] not in ('-', build_name()), context.report
    context.expected = cells[-2], 1


@then('the status has a line for it without build and format')
def then_no_build(context):
    cells = find_line(context.report, context.host.address)
    assert cells[-2:] == ['-', '-'], context.report
    context.expected = None, None


@then('it has a line for the one that is down')
def then_down(context):
    assert 'not reached' in ' '.join(find_line(context.report, DOWN))


@then('the JSON of the status has the same')
def then_json(context):
    first, second = context.rows
    assert first['host'] == context.host.address, first
    found = first.get('build'), first.get('format')
    assert found == context.expected, first
    assert second['host'] == DOWN and second['error'], second


@then('its log names this build')
def then_logged(context):
    lines = context.host.log_path.read_text().splitlines()
    line = next(each for each in lines if 'event=listening' in each)
    assert f'build={build_name()}' in line, line


@then('the daemon prints the same as its version')
def then_version(context):
    completed = run(
        (executable, '-m', 'fuchsiacart.daemon', '--version'),
        stdout=PIPE,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
    )
    assert completed.stdout.strip() == build_name(), completed


@given('two copies of a folder of sources')
def given_copies(context):
    root = Path(mkdtemp(prefix='fuchsiacart-sources-'))
    context.resources.callback(rmtree, root)
    first = root / 'first'
    for name, text in SOURCES.items():
        path = first / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
    context.copies = first, copytree(first, root / 'second')


@when('a byte of one source file changes')
def when_changed(context):
    path = context.copies[1] / 'part' / 'b.py'
    path.write_text(path.read_text().replace('2', '3'))


@then('they are the same build')
def then_same(context):
    first, second = map(digest_sources, context.copies)
    assert first == second, (first, second)


@then('they are different builds')
def then_different(context):
    first, second = map(digest_sources, context.copies)
    assert first != second, first
