"""Global traffic steering between callers and backend servers."""

from importlib import import_module

# Imported at their first use, so that a daemon holds its signals before its
# imports take their time.
MODULES = {
    'CallerSession': 'fuchsiacart.client.sessions',
    'ErrorKind': 'fuchsiacart.exceptions',
    'FuchsiacartError': 'fuchsiacart.exceptions',
    'OperatorSession': 'fuchsiacart.client.sessions',
    'Run': 'fuchsiacart.exceptions',
    '__version__': 'fuchsiacart.version',
    'get_status': 'fuchsiacart.client.api',
    'lookup': 'fuchsiacart.client.api',
    'put_contract': 'fuchsiacart.client.api',
    'request': 'fuchsiacart.client.api',
    'start_drain': 'fuchsiacart.client.api',
}
__all__ = list(MODULES)


def __getattr__(name):
    """Import a name of the package (PEP 562)."""
    if name not in MODULES:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    return getattr(import_module(MODULES[name]), name)
