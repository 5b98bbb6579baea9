"""Steps for one daemon as a separate process."""

from pathlib import Path
from signal import SIGHUP
from signal import SIGTERM
from subprocess import PIPE
from subprocess import Popen
from sys import executable
from tempfile import mkdtemp
from time import monotonic
from time import sleep

from behave import given
from behave import then
from behave import when

from soak.processes import has_exited

SETTINGS = """
role = "control"
[host]
name = "control-1"
region = "cymru"
failure_domain = "cymru-a"
[tokens]
operator_sha256 = "{digest}"
backend_sha256 = "{digest}"
peer = "shared-by-all-processes"
[control]
data_folder = "{folder}"
[[control_hosts]]
name = "control-1"
peer_address = "127.0.0.1:1"
"""
PLAIN_PROGRAM = 'from fuchsiacart.daemon import main; main([{path!r}])'
HANGING_PROGRAM = (
    'from threading import Thread; from time import sleep\n'
    'def wait_forever(): sleep(60)\n'
    'Thread(target=wait_forever).start()\n' + PLAIN_PROGRAM
)
SLOW_PROGRAM = (
    'from atexit import register; from time import sleep\n'
    'register(sleep, 60)\n' + PLAIN_PROGRAM
)
WAIT_TIMEOUT_S = 10.0
POLL_S = 0.05
# Programs, and the letter that the kernel shows for the state of their first
# thread.
PROGRAMS = {
    'has exited, not reaped': ('', 'Z'),
    'sleeps': ('from time import sleep; sleep(60)', 'S'),
    'is suspended by a signal': (
        'from os import kill, getpid; kill(getpid(), 19)',
        'T',
    ),
    'has a thread left that sleeps': (
        'from threading import Thread; from time import sleep\n'
        'from ctypes import CDLL\n'
        'Thread(target=sleep, args=(60,)).start()\n'
        'CDLL(None).pthread_exit(None)',
        'Z',
    ),
}


def start_process(context, program):
    """Start a control host and wait until it listens."""
    folder = Path(mkdtemp(prefix='fuchsiacart-process-'))
    path = folder / 'settings.toml'
    path.write_text(SETTINGS.format(folder=folder / 'data', digest='0' * 64))
    command = [executable, '-c', program.format(path=str(path))]
    process = Popen(command, stdout=PIPE, stderr=PIPE, text=True)
    context.resources.callback(process.kill)
    for line in process.stdout:
        if 'event=listening' in line:
            break
    assert process.poll() is None, process.stderr.read()
    context.process = process


@given('a control host that runs as a process')
def given_process(context):
    start_process(context, PLAIN_PROGRAM)


@given(
    'a control host that runs as a process, beside a thread that never ends'
)
def given_hanging_process(context):
    start_process(context, HANGING_PROGRAM)


@given('a control host that runs as a process, whose interpreter ends slowly')
def given_slow_process(context):
    start_process(context, SLOW_PROGRAM)


@when('it is told to reload its settings, and to stop')
def when_reloaded(context):
    context.process.send_signal(SIGHUP)
    sleep(POLL_S)
    when_stopped(context)


@when('it is told to stop')
def when_stopped(context):
    """Send SIGTERM and wait for the end, with a limit."""
    started_s = monotonic()
    context.process.send_signal(SIGTERM)
    context.output, context.errors = context.process.communicate(
        timeout=WAIT_TIMEOUT_S
    )
    context.stop_s = monotonic() - started_s


@then('it ends within {limit_s:d} seconds with exit code {code:d}')
def then_ended(context, limit_s, code):
    assert 'event=stopped' in context.output, context.output
    assert context.stop_s <= limit_s, context.stop_s
    assert context.process.returncode == code, context.errors


@then("its last words name the thread's function")
def then_traced(context):
    assert 'wait_forever' in context.errors, context.errors


@given('a process that {state}')
def given_state(context, state):
    """Start a process and wait until it is in a state."""
    program, letter = PROGRAMS[state]
    process = Popen([executable, '-c', program])
    context.resources.callback(process.wait)
    context.resources.callback(process.kill)
    stat = Path(f'/proc/{process.pid}/stat')
    deadline_s = monotonic() + WAIT_TIMEOUT_S
    while stat.read_text().rpartition(')')[2].split()[0] != letter:
        assert monotonic() < deadline_s, stat.read_text()
        sleep(POLL_S)
    context.process = process


@then('the soak takes it for exited')
def then_exited(context):
    assert has_exited(context.process.pid)


@then('the soak takes it for there')
def then_there(context):
    assert not has_exited(context.process.pid)
