"""The daemon on the platform.

The environment names the settings file, which the platform fills in from a
template.
"""

from os import environ
from sys import exit as sys_exit
from sys import stderr

from fuchsiacart.daemon import serve
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.logs import log_error
from fuchsiacart.logs import start_logging
from fuchsiacart.platform.edge import PlatformEdge
from fuchsiacart.settings import load_settings

SETTINGS_VARIABLE = 'FUCHSIACART_SETTINGS'


def run_program():
    """Run the daemon with the settings that the environment names."""
    start_logging()
    path = environ.get(SETTINGS_VARIABLE, '')
    try:
        settings = load_settings(path)
        sys_exit(serve(settings, make_edge=PlatformEdge, settings_path=path))
    except (FuchsiacartError, OSError) as error:
        log_error('cannot_run', error=str(error))
        print(error, file=stderr)
        sys_exit(1)
