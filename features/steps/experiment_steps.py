"""Steps for experiments with emulated deployments."""

from pathlib import Path
from shutil import rmtree
from tempfile import mkdtemp

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace

from standins.emulation import EXAMPLES
from standins.emulation.experiments import make_grid
from standins.emulation.experiments import play_cell
from standins.emulation.experiments import play_grid
from standins.emulation.experiments import POLICIES
from standins.emulation.plots import plot_loads
from standins.emulation.plots import plot_windows

JOBS = 2


@given(
    'a grid of {policies:d} policies, {loads:d} loads and {seeds:d} seeds over'
    ' {duration:d} s'
)
def given_grid(context, policies, loads, seeds, duration):
    context.loads = [1.0 + index / 2 for index in range(loads)]
    context.make_grid = lambda trouble='': make_grid(
        replace(EXAMPLES['few servers'], duration_s=float(duration)),
        tuple(POLICIES)[:policies],
        context.loads,
        range(1, seeds + 1),
        trouble,
    )


@when('it is played by 2 processes and plotted')
def when_played(context):
    context.cells = context.make_grid()
    context.results = list(play_grid(context.cells, JOBS))
    context.folder = Path(mkdtemp(prefix='fuchsiacart-plots-'))
    context.resources.callback(rmtree, context.folder)
    plot_loads(context.results, context.folder / 'loads.png')
    for load in context.loads:
        path = context.folder / f'windows-{load:g}.png'
        plot_windows(context.results, load, path)


@when('it is played with and without {trouble}')
def when_troubled(context, trouble):
    context.without = list(play_grid(context.make_grid(), JOBS))
    context.results = list(play_grid(context.make_grid(trouble), JOBS))


@then(
    'there are {count:d} results, each with the credit of {windows:d} windows'
)
def then_results(context, count, windows):
    assert len(context.results) == count, len(context.results)
    for result in context.results:
        assert len(result.by_window) == windows, result
        assert all(0 <= credit <= 1 for credit in result.by_window), result


@then('the same cell played again gives the same result')
def then_repeatable(context):
    assert play_cell(context.cells[-1]) == context.results[-1]


@then('there are {count:d} plots')
def then_plots(context, count):
    paths = list(context.folder.glob('*.png'))
    assert len(paths) == count, paths
    for path in paths:
        assert path.read_bytes().startswith(b'\x89PNG'), path


@then('the callers get less with it')
def then_less(context):
    with_it, without = (
        sum(result.credit for result in results)
        for results in (context.results, context.without)
    )
    assert with_it < without, (with_it, without)
