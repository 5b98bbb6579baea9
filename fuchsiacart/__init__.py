"""Global traffic steering between callers and backend servers."""

from fuchsiacart.api import get_status
from fuchsiacart.api import lookup
from fuchsiacart.api import put_contract
from fuchsiacart.api import request
from fuchsiacart.api import start_drain
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import Run
from fuchsiacart.sessions import CallerSession
from fuchsiacart.sessions import OperatorSession
from fuchsiacart.version import __version__

__all__ = [
    'CallerSession',
    'ErrorKind',
    'FuchsiacartError',
    'OperatorSession',
    'Run',
    '__version__',
    'get_status',
    'lookup',
    'put_contract',
    'request',
    'start_drain',
]
