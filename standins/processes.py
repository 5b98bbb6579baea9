"""Processes of a scenario, each with a log file."""

from os import environ
from subprocess import Popen
from subprocess import STDOUT
from subprocess import TimeoutExpired
from sys import executable

STOP_TIMEOUT_S = 20.0
LAST_LINES = 10


class Process:
    """A process that appends its output to a log file.

    :param name: name of the process and of its log file.
    :param arguments: module to run and its arguments.
    :param folder: folder of the log file.
    :param environment: environment variables to add.
    """

    def __init__(self, name, arguments, folder, environment=None):
        self.name = name
        self.arguments = arguments
        self.log_path = folder / f'{name}.log'
        self._environment = environ | (environment or {})
        self._popen = None

    def start(self):
        """Start the process without waiting for it."""
        with open(self.log_path, 'ab') as log:
            self._popen = Popen(
                [executable, '-m', *self.arguments],
                stdout=log,
                stderr=STDOUT,
                env=self._environment,
            )

    @property
    def is_running(self):
        """True while the process runs."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def has_ended(self):
        """True if the process was started and has ended."""
        return self._popen is not None and self._popen.poll() is not None

    def last_lines(self):
        """Return the end of the log."""
        lines = self.log_path.read_text(errors='replace').splitlines()
        return '\n'.join(lines[-LAST_LINES:])

    @property
    def process_id(self):
        """The process id given by the operating system."""
        return self._popen.pid

    @property
    def exit_code(self):
        """The exit code, or None while the process runs."""
        return self._popen.poll()

    def send_signal(self, number):
        """Send a signal to the process if it is running."""
        if self.is_running:
            self._popen.send_signal(number)

    def wait(self, timeout_s=STOP_TIMEOUT_S):
        """Wait until the process ends; kill it after the time-out.

        :return: its exit code.
        """
        try:
            return self._popen.wait(timeout_s)
        except TimeoutExpired:
            self._popen.kill()
            return self._popen.wait()
