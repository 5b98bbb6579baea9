"""Plays an example deployment and prints what its callers got.

The present policy is compared with earlier ones, which lack a part of it.

Usage:
  emulation [--load=X] [--burst=X] [--shed=X] [--evacuate=DOMAIN]
            [--seeds=N] [--example=NAME]

  --load=X        factor of the load [default: 1]
  --burst=X       factor of the load from 8 to 12 s [default: 1]
  --shed=X        share that servers reject from 10 to 18 s [default: 0]
  --evacuate=DOMAIN  failure domain that is evacuated from 8 to 20 s
  --seeds=N       seeds to play [default: 2]
  --example=NAME  "few servers" or "hundreds of servers"
                  [default: few servers]
"""

from docopt import docopt
from msgspec.structs import replace

from standins.emulation.deployments import Evacuation
from standins.emulation.deployments import Span
from standins.emulation.emulator import Emulator
from standins.emulation.examples import EXAMPLES
from standins.emulation.policies import BASELINES
from standins.emulation.policies import PRESENT

POLICIES = {'present': PRESENT} | {
    f'without {part}': policy for part, policy in BASELINES.items()
}
BURST_S = (8.0, 12.0)
SHED_S = (10.0, 18.0)
EVACUATED_S = (8.0, 20.0)
HEADER = (
    'policy                seed credit region window '
    'refused failed sends  windows'
)
BAR = '▁▂▃▄▅▆▇█'


def main():
    """Play the deployment with each policy."""
    options = docopt(__doc__)
    plan = replace(
        EXAMPLES[options['--example']],
        load=float(options['--load']),
        bursts=(Span(*BURST_S, float(options['--burst'])),),
        shedding=(Span(*SHED_S, float(options['--shed'])),),
        evacuations=_read_evacuations(options['--evacuate']),
    )
    print(HEADER)
    for name, policy in POLICIES.items():
        for seed in range(1, int(options['--seeds']) + 1):
            emulator = Emulator(replace(plan, seed=seed), policy)
            _print_row(name, seed, emulator)


def _read_evacuations(domain):
    return (Evacuation(domain, *EVACUATED_S),) if domain else ()


def _print_row(policy, seed, emulator):
    tallies = emulator.play()
    total = tallies.total
    windows = ''.join(
        BAR[int(tally.credit * (len(BAR) - 1))]
        for _, tally in sorted(tallies.by_window.items())
    )
    print(
        f'{policy:21} {seed:4} {total.credit:6.3f} '
        f'{tallies.worst_region():6.3f} {tallies.worst_windows():6.3f} '
        f'{total.refused / total.count:7.3f} '
        f'{total.failed / total.count:6.3f} '
        f'{emulator.sends / total.count:5.2f}  {windows}'
    )
    for name, tally in sorted(tallies.by_kind.items()):
        print(f'  {name:12} {tally.credit:6.3f}')


if __name__ == '__main__':
    main()
