"""Plays emulated deployments and shows what their callers got.

The present policy is compared with others, which lack a part of it.

Usage:
  emulation [--example=NAME] [--trouble=NAME] [--loads=LIST]
            [--policies=LIST] [--seeds=N] [--jobs=N] [--plots=FOLDER]

  --example=NAME   "few servers" or "hundreds of servers"
                   [default: few servers]
  --trouble=NAME   burst, shed, blind, isolation, evacuation, replacements,
                   full or "all full"
  --loads=LIST     factors of the load, by commas [default: 1]
  --policies=LIST  numbers of policies, by commas; 0 is the present one, the
                   others lack a part of it [default: 0,1,2,3,4,5]
  --seeds=N        seeds to play [default: 2]
  --jobs=N         processes to use [default: 2]
  --plots=FOLDER   folder for plots of the credit over load and over time
"""

from pathlib import Path

from docopt import docopt

from standins.emulation.examples import EXAMPLES
from standins.emulation.experiments import make_grid
from standins.emulation.experiments import play_grid
from standins.emulation.experiments import POLICIES
from standins.emulation.plots import plot_loads
from standins.emulation.plots import plot_windows

HEADER = (
    'policy                          load seed credit region window '
    'refused failed sends isolated after_no at_once  windows'
)
BAR = '▁▂▃▄▅▆▇█'


def main():
    """Play a grid; print a row for each play, and plot it if asked to."""
    options = docopt(__doc__)
    names = tuple(POLICIES)
    loads = [float(each) for each in options['--loads'].split(',')]
    cells = make_grid(
        EXAMPLES[options['--example']],
        [names[int(each)] for each in options['--policies'].split(',')],
        loads,
        range(1, int(options['--seeds']) + 1),
        options['--trouble'] or '',
    )
    print(HEADER)
    results = []
    for result in play_grid(cells, int(options['--jobs'])):
        results.append(result)
        _print_row(result)
    if options['--plots']:
        _plot(results, loads, Path(options['--plots']))


def _plot(results, loads, folder):
    folder.mkdir(parents=True, exist_ok=True)
    plot_loads(results, folder / 'loads.png')
    for load in loads:
        plot_windows(results, load, folder / f'windows-{load:g}.png')


def _print_row(result):
    windows = ''.join(
        BAR[int(credit * (len(BAR) - 1))] for credit in result.by_window
    )
    print(
        f'{result.policy:30} {result.load:5.2f} {result.seed:4} '
        f'{result.credit:6.3f} {result.worst_region:6.3f} '
        f'{result.worst_windows:6.3f} {result.refused:7.3f} '
        f'{result.failed:6.3f} {result.sends:5.2f} '
        f'{result.isolated:8.3f} {result.sends_after_no:8} '
        f'{result.at_once:7.3f}  {windows}',
        flush=True,
    )
    for name, credit in sorted(result.by_kind.items()):
        print(f'  {name:12} {credit:6.3f}')


if __name__ == '__main__':
    main()
