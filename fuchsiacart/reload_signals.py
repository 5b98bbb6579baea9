"""The signal to reload the settings, held until a process can take it.

Imported before all else, so it imports little.
"""

from signal import pthread_sigmask
from signal import SIG_BLOCK
from signal import SIG_UNBLOCK
from signal import SIGHUP


def hold_reloads():
    """Hold the signal, which would end the process before it has a handler.

    Threads that are started later hold it, too.
    """
    pthread_sigmask(SIG_BLOCK, (SIGHUP,))


def release_reloads():
    """Let the signal reach its handler, with one that came meanwhile."""
    pthread_sigmask(SIG_UNBLOCK, (SIGHUP,))
