"""Plots of the results of a grid of emulated deployments."""

from collections import defaultdict

from matplotlib.figure import Figure

from standins.emulation.deployments import MILLISECONDS
from standins.emulation.tallies import WINDOW_MS

SIZE_INCHES = (7.0, 4.2)
BAND_ALPHA = 0.2


def plot_loads(results, path):
    """Plot the credit over the load: mean, least and most of the seeds.

    :param results: each a :class:`Result`.
    :param path: path of the image; its suffix names the format.
    """
    credits = defaultdict(lambda: defaultdict(list))
    for result in results:
        credits[result.policy][result.load].append(result.credit)
    figure, axes = _make_axes()
    for policy, by_load in credits.items():
        loads = sorted(by_load)
        _plot_band(axes, policy, loads, [by_load[load] for load in loads])
    axes.set_xlabel('load')
    _save(figure, axes, path)


def plot_windows(results, load, path):
    """Plot the credit of requests over the time at which they were sent.

    :param results: each a :class:`Result`.
    :param load: the load of the results to plot.
    :param path: path of the image; its suffix names the format.
    """
    windows = defaultdict(list)
    for result in results:
        if result.load == load:
            windows[result.policy].append(result.by_window)
    figure, axes = _make_axes()
    for policy, rows in windows.items():
        columns = list(zip(*rows))
        starts_s = [
            index * WINDOW_MS / MILLISECONDS for index in range(len(columns))
        ]
        _plot_band(axes, policy, starts_s, columns)
    axes.set_xlabel('sent at, s')
    _save(figure, axes, path)


def _make_axes():
    figure = Figure(figsize=SIZE_INCHES)
    return figure, figure.subplots()


def _plot_band(axes, label, positions, samples):
    """Plot the mean of samples as a line, and their range as a band."""
    means = [sum(each) / len(each) for each in samples]
    (line,) = axes.plot(positions, means, marker='.', label=label)
    axes.fill_between(
        positions,
        [min(each) for each in samples],
        [max(each) for each in samples],
        color=line.get_color(),
        alpha=BAND_ALPHA,
    )


def _save(figure, axes, path):
    axes.set_ylabel('share of the credit')
    axes.grid(True, alpha=BAND_ALPHA)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
