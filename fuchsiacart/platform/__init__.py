"""Adapter to the users' platform: its names, formats and calls.

Nothing here decides anything, and nothing outside knows these names.
"""

from fuchsiacart.platform.edge import PlatformEdge
from fuchsiacart.platform.headers import PlatformDialect

__all__ = ['PlatformDialect', 'PlatformEdge']
