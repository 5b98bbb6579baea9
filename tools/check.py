"""Runs all checks and prints `N passed, N failed` as its last line.

Usage:
  check [lint]
"""

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from subprocess import PIPE
from subprocess import run
from subprocess import STDOUT
from sys import executable
from sys import exit as sys_exit
from tempfile import TemporaryDirectory

from docopt import docopt
from msgspec.json import decode
from msgspec import Struct

from tools.compatibility import production_commit

SOURCES = ('fuchsiacart', 'standins', 'models', 'features', 'tools', 'soak')
# Seeds of the soak; those that have failed stay here as regression cases.
# 3946: disks and power are lost while the members of the control group change.
# 7: responses were reported as late while the event loop of the soak was
# blocked.  703, 871: gateways had exited in time, but the kernel had not freed
# what they had mapped.  521318, 215859: a refusal of another gateway was
# passed on for a request that had run.
SOAK_SEEDS = ('2', '7', '703', '871', '521318', '215859', '3946')
# A seed in which processes change from the build in production to this tree
# as they are restarted.
BUILDS_SEED = '3501'
CONCURRENT_SEEDS = 2
# Features that run concurrently; they spend most of their time waiting.
CONCURRENT_FEATURES = 3
# These take longest and start first: they start many processes, one scenario
# after the other.
LONG_FEATURES = (
    'failures',
    'chaos',
    'platform_path',
    'control_group',
    'isolation',
)
# These bound the memory of processes and run one after the other, when nothing
# else does.
EXCLUSIVE_FEATURES = ('caller_memory', 'client_crowds')
KNOWN_RED = Path('KNOWN-RED.txt')
LINT_COMMANDS = (
    ('isort', '--check-only', '--quiet', *SOURCES),
    ('black', '--check', '--quiet', *SOURCES),
    ('flake8', *SOURCES),
)


class CheckResult(Struct):
    """The number of checks that passed and the names of those that failed."""

    passed: int
    failed: list[str]


def run_lint():
    """Run the import sorter, the formatter and the linter."""
    result = CheckResult(0, [])
    for command in LINT_COMMANDS:
        print('running', command[0], flush=True)
        if run([executable, '-m', *command]).returncode:
            result.failed.append(command[0])
        else:
            result.passed += 1
    return result


def run_models():
    """Check the models, with and without seeded faults."""
    print('running models', flush=True)
    code = run([executable, '-m', 'models.check']).returncode
    return CheckResult(0, ['models']) if code else CheckResult(1, [])


def run_soak():
    """Run the seeds; promises with time limits are not checked."""
    print('running soak', flush=True)
    commands = {f'soak seed {seed}': (seed,) for seed in SOAK_SEEDS}
    commands[f'soak seed {BUILDS_SEED} on two builds'] = (
        f'--from={production_commit()}',
        BUILDS_SEED,
    )
    with ThreadPoolExecutor(CONCURRENT_SEEDS) as pool:
        codes = list(pool.map(_run_seed, commands.values()))
    return CheckResult(
        codes.count(0),
        [name for name, code in zip(commands, codes) if code],
    )


def _run_seed(arguments):
    """Run a seed of the soak and return the exit code."""
    command = (executable, '-m', 'soak', '--untimed', '--jobs=1', *arguments)
    return run(command).returncode


def run_behave():
    """Run all features, several concurrently, and add up their results."""
    paths = sorted(Path('features').glob('*.feature'), key=_sort_key)
    concurrent = [each for each in paths if not _is_exclusive(each)]
    with ThreadPoolExecutor(CONCURRENT_FEATURES) as pool:
        results = list(pool.map(_run_feature, concurrent))
    results += map(_run_feature, filter(_is_exclusive, paths))
    result = CheckResult(
        sum(each.passed for each in results),
        [name for each in results for name in each.failed],
    )
    if not results:
        result.failed.append('behave ran no feature')
    return result


def _sort_key(path):
    """Return a sort key that puts the long features first."""
    return path.stem not in LONG_FEATURES, path.stem


def _is_exclusive(path):
    return path.stem in EXCLUSIVE_FEATURES


def _run_feature(path):
    """Run one feature in its own process and print its output."""
    with TemporaryDirectory() as folder:
        report_path = Path(folder) / 'report.json'
        command = ['behave', '--format', 'json', '--outfile', str(report_path)]
        command += ['--format', 'progress3', str(path)]
        completed = run(
            [executable, '-m', *command], stdout=PIPE, stderr=STDOUT, text=True
        )
        print(completed.stdout, flush=True)
        features = (
            decode(report_path.read_bytes()) if report_path.exists() else []
        )
    if not features:
        return CheckResult(0, [f'{path}: behave gave no result'])
    result = CheckResult(0, [])
    for feature in features:
        _add_scenarios(feature, result)
    return result


def _add_scenarios(feature, result):
    """Add the scenarios of a feature to a result."""
    for element in feature.get('elements', ()):
        if element['type'] == 'background':
            continue
        if element.get('status') == 'passed':
            result.passed += 1
        else:
            name = f'{feature["name"]}: {element["name"]}'
            result.failed.append(name)


def read_known_red():
    """Return the names of the checks listed in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    prefix = 'test: '
    return {
        line.removeprefix(prefix) for line in lines if line.startswith(prefix)
    }


def print_results(results):
    """Print the failed checks and the totals.

    Checks listed in KNOWN-RED.txt are printed but not counted as failed.

    :return: the exit code, 1 if a check failed that is not listed.
    """
    known_failures = read_known_red()
    failed = [name for result in results for name in result.failed]
    passed = sum(result.passed for result in results)
    for name in failed:
        print('known red:' if name in known_failures else 'failed:', name)
    for name in sorted(known_failures - set(failed)):
        print('listed in KNOWN-RED.txt but did not fail:', name)
    new_failures = [name for name in failed if name not in known_failures]
    print(f'{passed} passed, {len(new_failures)} failed')
    return 1 if new_failures else 0


def main():
    """Run the linters and, unless only these are asked for, all checks."""
    options = docopt(__doc__)
    results = [run_lint()]
    if not options['lint']:
        results += [run_models(), run_behave(), run_soak()]
    sys_exit(print_results(results))


if __name__ == '__main__':
    main()
