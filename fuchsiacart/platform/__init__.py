"""Adapter to the users' platform: its names, formats and calls.

This package only translates: it holds no decisions, and no module outside
uses the names of the platform.
"""

from fuchsiacart.platform.edge import PlatformEdge
from fuchsiacart.platform.headers import PlatformDialect

__all__ = ['PlatformDialect', 'PlatformEdge']
