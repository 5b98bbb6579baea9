"""Checks that features and soak seeds detect seeded faults.

Each fault is a small change of product files, applied to a temporary copy of
the sources.  The feature or the soak seeds named with it must fail there.

Usage:
  prove_red [FEATURE...]

Only the faults of the features named, or all.
"""

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from shutil import copytree
from shutil import ignore_patterns
from subprocess import DEVNULL
from subprocess import run
from subprocess import TimeoutExpired
from sys import exit as sys_exit
from tempfile import TemporaryDirectory

from docopt import docopt

from tools.seeded_faults import FAULTS

ROOT = Path(__file__).parent.parent
WORKERS = 4
# Longer than any feature takes on a busy machine.
COMMAND_TIMEOUT_S = 600


def apply_edit(path, edit):
    """Apply an edit to a file.

    :raises ValueError: if the old text doesn't occur exactly once.
    """
    text = path.read_text()
    if text.count(edit.old) != 1:
        raise ValueError(
            f'{edit.old}: found {text.count(edit.old)} times, expected 1'
        )
    path.write_text(text.replace(edit.old, edit.new))


def is_detected(fault):
    """Return True if the command of a fault fails in a faulty copy.

    A command that does not end has failed.
    """
    with TemporaryDirectory() as folder:
        copy = Path(folder) / 'copy'
        ignored = ignore_patterns(
            '.venv', '.git', '__pycache__', 'target', 'journal'
        )
        copytree(ROOT, copy, ignore=ignored)
        for edit in fault.edits:
            apply_edit(copy / 'fuchsiacart' / edit.file, edit)
        try:
            completed = run(
                fault.command,
                cwd=copy,
                env={'PYTHONPATH': str(copy), 'PYTHONSAFEPATH': '1'},
                stdout=DEVNULL,
                stderr=DEVNULL,
                timeout=COMMAND_TIMEOUT_S,
            )
        except TimeoutExpired:
            return True
        return completed.returncode != 0


def main():
    """Try the faults; exit with code 1 if one is not detected."""
    names = docopt(__doc__)['FEATURE']
    faults = [fault for fault in FAULTS if not names or fault.feature in names]
    with ThreadPoolExecutor(WORKERS) as pool:
        detected = list(pool.map(is_detected, faults))
    for fault, is_red in zip(faults, detected):
        mark = 'red  ' if is_red else 'GREEN'
        print(f'{mark} {fault.feature}: {fault.title}')
    print(f'{sum(detected)} of {len(faults)} faults turn their feature red')
    sys_exit(0 if all(detected) else 1)


if __name__ == '__main__':
    main()
