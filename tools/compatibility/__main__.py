"""Compares the build in production with the tree at hand.

Usage:
  compatibility [--keep] [COMMIT]

Lays the build out from the history and lets both read what the other one
writes.  COMMIT is another build than the one in production.  With --keep, what
the build writes is kept under features/data/builds.
"""

from sys import exit as sys_exit

from docopt import docopt
from msgspec.json import encode
from msgspec.json import format as format_json

from tools.compatibility.builds import KEPT_SAMPLES
from tools.compatibility import lay_out_build
from tools.compatibility import production_commit
from tools.compatibility import run_samples


def main():
    """Compare the builds; exit with code 1 if one cannot read the other."""
    options = docopt(__doc__)
    commit = options['COMMIT'] or production_commit()
    builds = {commit: lay_out_build(commit), 'this tree': lay_out_build('')}
    written = {
        name: run_samples(folder, 'write') for name, folder in builds.items()
    }
    if options['--keep']:
        KEPT_SAMPLES.mkdir(parents=True, exist_ok=True)
        text = format_json(encode(written[commit]), indent=1)
        (KEPT_SAMPLES / f'{commit}.json').write_bytes(text + b'\n')
    errors = []
    for reader, writer in ((commit, 'this tree'), ('this tree', commit)):
        found = run_samples(builds[reader], 'read', written[writer])
        errors += found
        print(f'{reader} reads {writer}: {len(found)} errors')
        for error in found:
            print(f'  {error}')
    sys_exit(1 if errors else 0)


if __name__ == '__main__':
    main()
