"""Trees of landed builds, laid out from the history."""

from io import BytesIO
from os import environ
from pathlib import Path
from shutil import rmtree
from subprocess import CalledProcessError
from subprocess import run
from sys import executable
from tarfile import open as open_tar
from tomllib import loads

from msgspec.json import decode
from msgspec.json import encode

ROOT = Path(__file__).resolve().parents[2]
BUILDS = ROOT / 'target' / 'builds'
KEPT_SAMPLES = ROOT / 'features' / 'data' / 'builds'
SAMPLES = Path(__file__).parent / 'samples.py'
LIBRARIES = 'libraries'
RUN_TIMEOUT_S = 60


def production_commit():
    """Return the commit of the build in production, by the deploy file."""
    return loads((ROOT / 'deploy/system.toml').read_text())['production']


def lay_out_build(commit):
    """Lay out the tree of a commit, with its libraries if they differ.

    :param commit: the commit, '' for the tree at hand.
    :return: the folder of the tree.
    :raises ValueError: if the history does not have the commit.
    """
    if not commit:
        return ROOT
    folder = BUILDS / commit
    marker = folder / '.laid-out'
    if marker.exists():
        return folder
    rmtree(folder, ignore_errors=True)
    command = ('git', 'archive', '--format=tar', commit)
    try:
        archive = run(command, cwd=ROOT, capture_output=True, check=True)
    except CalledProcessError as error:
        raise ValueError(
            f'commit {commit} is not in the history:'
            f' {error.stderr.decode().strip()}'
        ) from error
    with open_tar(fileobj=BytesIO(archive.stdout)) as tar:
        tar.extractall(folder, filter='data')
    _install_libraries(folder)
    marker.touch()
    return folder


def _install_libraries(folder):
    """Install the libraries of a tree if they are not those at hand."""
    requirements = folder / 'requirements.txt'
    own_requirements = ROOT / 'requirements.txt'
    if requirements.read_text() == own_requirements.read_text():
        return
    pip = (executable, '-m', 'pip', 'install', '--quiet')
    target = str(folder / LIBRARIES)
    run((*pip, '--target', target, '-r', str(requirements)), check=True)


def run_samples(folder, action, document=None, *arguments):
    """Run :mod:`samples` with the product of a tree.

    :param folder: folder of the tree, see :func:`lay_out_build`.
    :param action: what it does.
    :param document: input for it.
    :param arguments: further arguments.
    :return: its output.
    """
    paths = f'{folder}:{folder / LIBRARIES}'
    completed = run(
        (executable, str(SAMPLES), action, *arguments),
        input=encode(document),
        capture_output=True,
        env=environ | {'PYTHONPATH': paths, 'PYTHONSAFEPATH': '1'},
        timeout=RUN_TIMEOUT_S,
    )
    if completed.returncode:
        raise RuntimeError(completed.stderr.decode())
    return decode(completed.stdout)
