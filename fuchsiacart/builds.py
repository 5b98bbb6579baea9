"""Name of the build that a process runs."""

from functools import cache
from pathlib import Path

from xxhash import xxh32

from fuchsiacart.version import __version__

SOURCE_PATTERN = '**/*.py'


@cache
def build_name():
    """Return version and digest of the sources, such as ``0.1.0+5c0d7a19``.

    The tree of a build does not always know its commit.
    """
    return f'{__version__}+{digest_sources(Path(__file__).parent)}'


def digest_sources(folder):
    """Return a digest of all source files in a folder, in hexadecimal digits.

    :param folder: path of the folder.
    """
    digest = xxh32()
    for path in sorted(folder.glob(SOURCE_PATTERN)):
        digest.update(f'{path.relative_to(folder)}\n'.encode())
        digest.update(path.read_bytes())
    return digest.hexdigest()
