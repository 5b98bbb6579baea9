"""Steps for log lines that are written to a pipe."""

from os import close
from os import pipe
from os import read
from subprocess import PIPE
from subprocess import Popen
from sys import executable
from threading import Thread
from time import monotonic

from behave import given
from behave import then
from behave import when

from fuchsiacart.log_streams import LogStream
from fuchsiacart.metrics import LOG_LINES_DROPPED

READ_BYTES = 65536
FILLER = 'x' * 100
PROGRAM = """
from sys import stderr
from time import monotonic
from fuchsiacart.logs import log_event, start_logging, stop_logging
start_logging()
longest_s = 0.0
for number in range({lines}):
    started_s = monotonic()
    log_event('counted', number=number, filler='x' * 1000)
    longest_s = max(longest_s, monotonic() - started_s)
print(longest_s, file=stderr, flush=True)
stop_logging()
"""


def dropped_total():
    """Return the value of the counter of dropped lines."""
    return LOG_LINES_DROPPED._value.get()


class PipeReader:
    """Reads a pipe to its end in a thread of its own."""

    def __init__(self, descriptor):
        self._descriptor = descriptor
        self._data = bytearray()
        self._thread = Thread(target=self._run, daemon=True)
        self._thread.start()

    def lines(self):
        """Wait for the end of the pipe and return its lines."""
        self._thread.join()
        return self._data.decode().splitlines()

    def _run(self):
        while data := read(self._descriptor, READ_BYTES):
            self._data += data


@given(
    'a log that is a pipe, with room for {size_kib:d} KiB of lines beside it'
)
def given_log(context, size_kib):
    context.read_end, context.write_end = pipe()
    context.resources.callback(close, context.read_end)
    context.stream = LogStream(
        context.write_end, lambda count: f'dropped {count}\n', size_kib * 1024
    )
    context.dropped_before = dropped_total()


@given('a process that logs {lines:d} lines to a pipe that nobody reads')
def given_process(context, lines):
    context.process = Popen(
        (executable, '-c', PROGRAM.format(lines=lines)),
        stdout=PIPE,
        stderr=PIPE,
        text=True,
    )
    context.resources.callback(context.process.kill)
    context.started_s = monotonic()


@when('{lines:d} lines are logged and nobody reads')
def when_logged(context, lines):
    context.longest_s = 0.0
    context.logged = lines
    for number in range(lines):
        started_s = monotonic()
        context.stream.write(f'line {number} {FILLER}\n')
        context.longest_s = max(context.longest_s, monotonic() - started_s)
    context.dropped = dropped_total() - context.dropped_before


@when('the log is read again')
def when_read(context):
    reader = PipeReader(context.read_end)
    assert context.stream.close(timeout_s=5.0)
    close(context.write_end)
    context.lines = reader.lines()


@when('{lines:d} lines are logged and the log is closed while it is read')
def when_closed_read(context, lines):
    when_logged(context, lines)
    when_read(context)


@when('the log is closed')
def when_closed(context):
    started_s = monotonic()
    context.all_written = context.stream.close()
    context.close_s = monotonic() - started_s


@then('no line has taken longer than {limit_ms:d} ms')
def then_not_held(context, limit_ms):
    assert context.longest_s * 1000 <= limit_ms, context.longest_s


@then('what found no room is counted as dropped')
def then_counted(context):
    assert 0 < context.dropped < context.logged, context.dropped


@then('the lines that were kept come out in their order')
def then_in_order(context):
    numbers = [
        int(line.split()[1])
        for line in context.lines
        if line.startswith('line ')
    ]
    assert numbers == sorted(numbers), numbers
    assert len(numbers) == context.logged - context.dropped, len(numbers)


@then('one line tells how many were dropped')
def then_told(context):
    told = [line for line in context.lines if line.startswith('dropped')]
    assert told == [f'dropped {int(context.dropped)}'], told


@then('all {lines:d} lines come out')
def then_all_out(context, lines):
    assert len(context.lines) == lines, context.lines


@then('closing it took less than {limit_ms:d} ms')
def then_closed(context, limit_ms):
    assert not context.all_written
    assert context.close_s * 1000 < limit_ms, context.close_s


@then(
    'it says within {limit_s:d} seconds that no line took longer than'
    ' {line_ms:d} ms'
)
def then_goes_on(context, limit_s, line_ms):
    longest = []
    reader = Thread(
        target=lambda: longest.append(context.process.stderr.readline()),
        daemon=True,
    )
    reader.start()
    reader.join(limit_s)
    assert longest, 'held up'
    assert float(longest[0]) * 1000 <= line_ms, longest


@then('it has ended a second later')
def then_process_ended(context):
    assert context.process.wait(1.0) == 0
