"""Measures how a cost grows with the number of items."""

from gc import collect
from resource import getrusage
from resource import RUSAGE_SELF
from tracemalloc import get_traced_memory
from tracemalloc import start as start_tracing
from tracemalloc import stop as stop_tracing

from msgspec import Struct


class Point(Struct, frozen=True):
    """The cost measured at one size."""

    size: int
    cost: float


class Slope(Struct, frozen=True):
    """A least-squares line through measured points."""

    name: str
    unit: str
    points: tuple[Point, ...]

    @property
    def per_item(self):
        """The cost of one more item: the slope of the line."""
        count = len(self.points)
        mean_size = sum(point.size for point in self.points) / count
        mean_cost = sum(point.cost for point in self.points) / count
        size_variance = sum(
            (point.size - mean_size) ** 2 for point in self.points
        )
        covariance = sum(
            (point.size - mean_size) * (point.cost - mean_cost)
            for point in self.points
        )
        return covariance / size_variance

    @property
    def base(self):
        """The cost without items: the intercept of the line."""
        count = len(self.points)
        mean_size = sum(point.size for point in self.points) / count
        mean_cost = sum(point.cost for point in self.points) / count
        return mean_cost - self.per_item * mean_size

    def at(self, size):
        """Return the cost at a size, by the line."""
        return self.base + self.per_item * size

    def format_row(self):
        """Return the cells of a table row."""
        points = '; '.join(
            f'{point.size}: {point.cost:.4g}' for point in self.points
        )
        return [self.name, self.unit, points, f'{self.per_item:.4g}']


def measure_slope(name, unit, sizes, measure):
    """Measure a cost at several sizes.

    :param name: name of the cost.
    :param unit: unit of the cost.
    :param sizes: numbers of items to measure at.
    :param measure: called with a size, returns the cost.
    :return: the :class:`Slope`.
    """
    points = tuple(Point(size, measure(size)) for size in sizes)
    return Slope(name, unit, points)


def measure_bytes(make):
    """Return the bytes of an object, as traced while it is made.

    :param make: callable without arguments that returns the object.
    """
    collect()
    start_tracing()
    made_object = make()
    used_bytes, _ = get_traced_memory()
    stop_tracing()
    assert made_object is not None
    return used_bytes


def measure_processor_s(action, count):
    """Return the mean processor time of a call in seconds.

    :param action: called with the number of the call, from 0.
    :param count: number of calls.
    """
    collect()
    started_s = _processor_s()
    for number in range(count):
        action(number)
    return (_processor_s() - started_s) / count


def _processor_s():
    usage = getrusage(RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
