"""Slopes: what one item more costs, measured at several sizes."""

from gc import collect
from resource import getrusage
from resource import RUSAGE_SELF
from tracemalloc import get_traced_memory
from tracemalloc import start as start_tracing
from tracemalloc import stop as stop_tracing

from msgspec import Struct


class Point(Struct, frozen=True):
    """What one size costs."""

    size: int
    cost: float


class Slope(Struct, frozen=True):
    """A least-squares line through the points of a measurement."""

    name: str
    unit: str
    points: tuple[Point, ...]

    @property
    def per_item(self):
        """Return the cost of one item more."""
        count = len(self.points)
        mean_size = sum(point.size for point in self.points) / count
        mean_cost = sum(point.cost for point in self.points) / count
        spread = sum((point.size - mean_size) ** 2 for point in self.points)
        shared = sum(
            (point.size - mean_size) * (point.cost - mean_cost)
            for point in self.points
        )
        return shared / spread

    @property
    def base(self):
        """Return the cost of no item."""
        count = len(self.points)
        mean_size = sum(point.size for point in self.points) / count
        mean_cost = sum(point.cost for point in self.points) / count
        return mean_cost - self.per_item * mean_size

    def at(self, size):
        """Return the cost of a size."""
        return self.base + self.per_item * size

    def row(self):
        """Return a row of the table of slopes."""
        points = '; '.join(
            f'{point.size}: {point.cost:.4g}' for point in self.points
        )
        return [self.name, self.unit, points, f'{self.per_item:.4g}']


def slope(name, unit, sizes, measure):
    """Measure a slope.

    :param name: what is counted.
    :param unit: unit of the cost.
    :param sizes: sizes to measure.
    :param measure: returns the cost of a size.
    """
    points = tuple(Point(size, measure(size)) for size in sizes)
    return Slope(name, unit, points)


def memory_of(make):
    """Return the bytes that a made object holds."""
    collect()
    start_tracing()
    kept = make()
    held, _ = get_traced_memory()
    stop_tracing()
    assert kept is not None
    return held


def seconds_of(action, count):
    """Return the processor seconds of one call."""
    collect()
    started = _processor_s()
    for number in range(count):
        action(number)
    return (_processor_s() - started) / count


def _processor_s():
    usage = getrusage(RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
