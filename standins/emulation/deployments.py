"""What is emulated: hosts, servers, load and disturbances."""

from math import pi
from math import sin

from msgspec import Struct

MILLISECONDS = 1000.0


class Kind(Struct, frozen=True):
    """One kind of request.

    ``work_ms`` is the time of an object's first visit at a server, of which
    repeated visits take ``warm_fraction``.  ``tail`` of the visits take
    ``tail_factor`` times as long.  A server works on a request for
    ``timeout_ms`` at most.  ``objects`` counts those of one region.
    Callers repeat an idempotent request after a failure, too.
    """

    name: str
    rate_per_s: float
    work_ms: float
    objective_ms: float
    timeout_ms: float
    deadline_ms: float
    objects: int
    worth: float = 1.0
    late_worth: float = 0.2
    warm_fraction: float = 0.3
    tail: float = 0.0
    tail_factor: float = 7.0
    rank: int = 0
    is_idempotent: bool = True


class Region(Struct, frozen=True):
    """Numbers of gateways and servers; servers are in two domains."""

    name: str
    gateways: int
    servers: int


class Span(Struct, frozen=True):
    """A value that holds from a start to an end."""

    start_s: float
    end_s: float
    value: float

    def holds(self, now_ms):
        """Return True within the span."""
        now_s = now_ms / MILLISECONDS
        return self.start_s <= now_s < self.end_s


class Evacuation(Struct, frozen=True):
    """A failure domain that gets no requests from a start to an end."""

    domain: str
    start_s: float
    end_s: float


class Isolation(Struct, frozen=True):
    """A share of the gateways of each region that reaches no server."""

    share: float
    start_s: float
    end_s: float


class Replacement(Struct, frozen=True):
    """A share of the servers of each region that start anew in turn.

    From its turn, between ``start_s`` and ``end_s``, each says in all answers
    that it leaves, but not in its heartbeats.  It ends ``serves_s`` later and
    is back after another ``absent_s``.
    """

    share: float
    start_s: float
    end_s: float
    serves_s: float = 3.5
    absent_s: float = 2.0


class Fullness(Struct, frozen=True):
    """A share of the servers of each region that are full at times.

    Half of the time, from ``start_s`` to ``end_s``, each refuses all requests
    for ``wait_s``, and says for how long; all at the same time if they are
    ``in_step``.
    """

    share: float
    start_s: float
    end_s: float
    wait_s: float
    in_step: bool = False

    def wait_ms(self, now_ms, phase):
        """Return for how long a server wants no request, 0 if it wants some.

        :param now_ms: the current time.
        :param phase: position of the server, 0 to 1.
        """
        now_s = now_ms / MILLISECONDS
        if not self.start_s <= now_s < self.end_s:
            return 0.0
        period_s = 2 * self.wait_s
        passed_s = now_s - self.start_s
        if not self.in_step:
            passed_s += phase * period_s
        passed_s %= period_s
        return max(0.0, self.wait_s - passed_s) * MILLISECONDS


class Noise(Struct, frozen=True):
    """Work on a server takes ``factor`` times as long in some periods.

    ``share`` of the periods of ``period_ms`` are of this kind.
    """

    share: float
    factor: float
    period_ms: float = 600.0


class Wave(Struct, frozen=True):
    """Load that swings around its mean; the regions follow each other."""

    swing: float
    period_s: float = 36.0

    def factor(self, now_ms, phase):
        """Return the factor of the mean load.

        :param now_ms: the current time.
        :param phase: position of the region, 0 to 1.
        """
        turns = now_ms / MILLISECONDS / self.period_s + phase
        return 1 + self.swing * sin(2 * pi * turns)


class Deployment(Struct, frozen=True):
    """One service, its callers and what happens to it.

    ``bursts`` are factors of the load, ``shedding`` shares of the requests
    that servers reject.  In ``blind`` spans no gateway has a view, as after a
    loss of power of all hosts.  ``retry_slack`` is the fixed part of the retry
    budget of all gateways together.
    """

    regions: tuple[Region, ...]
    kinds: tuple[Kind, ...]
    slots: int = 6
    queue: int = 18
    cached_objects: int = 40
    between_regions_ms: float = 55.0
    retry_slack: int = 60
    max_attempts: int = 2
    duration_s: float = 30.0
    load: float = 1.0
    wave: Wave = Wave(0.0)
    noise: Noise = Noise(0.0, 1.0)
    bursts: tuple[Span, ...] = ()
    shedding: tuple[Span, ...] = ()
    blind: tuple[Span, ...] = ()
    evacuations: tuple[Evacuation, ...] = ()
    isolations: tuple[Isolation, ...] = ()
    replacements: tuple[Replacement, ...] = ()
    fullness: tuple[Fullness, ...] = ()
    seed: int = 1

    @property
    def servers(self):
        """Number of servers."""
        return sum(region.servers for region in self.regions)

    @property
    def gateways(self):
        """Number of gateways."""
        return sum(region.gateways for region in self.regions)

    def time_to_view_ms(self, now_ms):
        """Return the time until gateways have a view, 0 if they have one."""
        return max(
            (
                span.end_s * MILLISECONDS - now_ms
                for span in self.blind
                if span.holds(now_ms)
            ),
            default=0.0,
        )

    def domains(self):
        """Return the region of each failure domain."""
        return {
            f'{region.name}-{letter}': region.name
            for region in self.regions
            for letter in 'ab'
        }

    def arrival_rate(self, kind, index, now_ms):
        """Return the requests a second of a kind from a region.

        :param kind: the :class:`Kind`.
        :param index: index of the region.
        :param now_ms: the current time.
        """
        factor = self.load * self.wave.factor(
            now_ms, index / len(self.regions)
        )
        for burst in self.bursts:
            if burst.holds(now_ms):
                factor *= burst.value
        return kind.rate_per_s * factor / len(self.regions)

    def shed_share(self, now_ms):
        """Return the share of the requests that servers reject."""
        return max(
            (span.value for span in self.shedding if span.holds(now_ms)),
            default=0.0,
        )

    def isolated_share(self, now_ms):
        """Return the share of the gateways that reaches no server."""
        now_s = now_ms / MILLISECONDS
        return max(
            (
                each.share
                for each in self.isolations
                if each.start_s <= now_s < each.end_s
            ),
            default=0.0,
        )

    def evacuated(self, now_ms):
        """Return the domains that get no requests."""
        now_s = now_ms / MILLISECONDS
        return frozenset(
            each.domain
            for each in self.evacuations
            if each.start_s <= now_s < each.end_s
        )
