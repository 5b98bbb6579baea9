"""Runs seeds of the fault soak and prints the promises that each one broke.

Usage:
  soak [--jobs=N] [--untimed] [--keep=FOLDER] [--from=COMMIT] [--gateways=N]
       SEED...
  soak --help

A SEED is a number or a range such as 1-50; `fresh` picks one at random.

Options:
  --jobs=N       Seeds that run side by side [default: 1].
  --untimed      Leave out the promises that name a time, as on a machine
                 whose load is not known.
  --from=COMMIT  Start with the build of a commit; processes that are
                 restarted run this tree, or the build again.
  --gateways=N   Gateways in each run, 2 to 10 [default: 3].
  --keep=FOLDER  Where the logs of failed seeds go [default: soak-failures].
"""

from concurrent.futures import ThreadPoolExecutor
from random import SystemRandom
from subprocess import PIPE
from subprocess import run as run_program
from subprocess import STDOUT
from sys import executable
from sys import exit as sys_exit

from docopt import docopt

from soak.runs import GATEWAY_COUNTS

FRESH_SEEDS = range(100_000, 1_000_000)


def parse_seeds(arguments):
    """Return the seeds that command-line arguments name.

    :param arguments: numbers, ranges such as ``1-50`` and ``fresh``.
    """
    seeds = []
    for argument in arguments:
        first, dash, last = argument.partition('-')
        if argument == 'fresh':
            seeds.append(SystemRandom().choice(FRESH_SEEDS))
        elif dash:
            seeds.extend(range(int(first), int(last) + 1))
        else:
            seeds.append(int(argument))
    return seeds


def check_gateways(text):
    """Exit with a message unless a text is a possible number of gateways."""
    if not text.isdecimal() or int(text) not in GATEWAY_COUNTS:
        first, last = min(GATEWAY_COUNTS), max(GATEWAY_COUNTS)
        sys_exit(f'--gateways takes {first} to {last}, not {text!r}')


def run_seed(seed, slot, options):
    """Run one seed in a process of its own.

    :param slot: number that keeps the networks of concurrent runs apart.
    :param options: the options of the command line.
    :return: True if the run broke no promise.
    """
    command = [executable, '-m', 'soak.runs', str(seed), str(slot)]
    command.append(options['--keep'])
    command.append(f'--gateways={options["--gateways"]}')
    if options['--untimed']:
        command.append('--untimed')
    if options['--from']:
        command.append(f'--from={options["--from"]}')
    completed = run_program(command, stdout=PIPE, stderr=STDOUT, text=True)
    print(completed.stdout, end='', flush=True)
    return completed.returncode == 0


def main():
    """Run the seeds; exit with code 1 if any of them broke a promise."""
    options = docopt(__doc__)
    check_gateways(options['--gateways'])
    seeds = parse_seeds(options['SEED'])
    with ThreadPoolExecutor(int(options['--jobs'])) as pool:
        passed = list(
            pool.map(
                lambda item: run_seed(item[1], 1 + item[0] % 250, options),
                enumerate(seeds),
            )
        )
    failed = [
        seed for seed, has_passed in zip(seeds, passed) if not has_passed
    ]
    print(f'{len(seeds)} seeds, {len(failed)} failed', *failed)
    sys_exit(1 if failed else 0)


if __name__ == '__main__':
    main()
