"""Emulated backend servers."""

from collections import deque
from collections import OrderedDict
from enum import Enum
from enum import unique
from random import Random

from msgspec import Struct

from fuchsiacart.gateway.dialects import ReportedLoad
from standins.emulation.statements import Statement
from standins.emulation.tallies import Request


@unique
class Result(Enum):
    """How a server ends a visit."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    TIMED_OUT = 'timed_out'


class Visit(Struct, eq=False):
    """One try of a request at one server.

    ``tracked`` is the server as the gateway sees it, ``counted`` the
    :class:`Backoff` that counts the visit, ``delay_ms`` the way between the
    two.
    """

    request: Request
    gateway: object
    tracked: object
    counted: object
    delay_ms: float
    sent_ms: float
    deadline_ms: float


class EmulatedServer:
    """A server with slots, a queue and a cache of objects.

    :param clock: the :class:`Emulator`.
    :param plan: the :class:`Deployment`.
    :param region: name of the region.
    :param record: the :class:`ServerRecord` of this start.
    :param fullness: each :class:`Fullness` that it takes part in.
    """

    def __init__(self, clock, plan, region, record, fullness):
        self._clock = clock
        self._plan = plan
        self._random = Random(f'{plan.seed}/{record.name}')
        self._fullness = fullness
        self._phase = self._random.random() if fullness else 0.0
        self._visits = set()
        self._running = 0
        self._waiting = deque()
        self._objects = OrderedDict()
        self._factor = 1.0
        self._factor_until_ms = 0.0
        self.region = region
        self.start = record.start
        self.is_leaving = False
        self.has_ended = False
        self.arrivals = 0

    def receive(self, visit):
        """Run, queue or reject a visit."""
        if self.has_ended or visit.tracked.record.start != self.start:
            self._clock.refuse_connection(visit)
            return
        self.arrivals += 1
        if self.wait_ms():
            self._clock.reply(visit, Result.NOT_RUN)
            return
        self._visits.add(visit)
        sheds = self._random.random() < self._plan.shed_share(
            self._clock.now_ms
        )
        if sheds or len(self._waiting) >= self._plan.queue:
            self._reply(visit, Result.NOT_RUN)
            return
        if self._running < self._plan.slots:
            self._run(visit)
            return
        self._waiting.append(visit)

    def end(self):
        """End, and break off all visits."""
        self.has_ended = True
        for visit in sorted(self._visits, key=lambda each: each.sent_ms):
            self._clock.break_off(visit)

    def wait_ms(self):
        """Return for how long the server wants no request."""
        now_ms = self._clock.now_ms
        return max(
            (each.wait_ms(now_ms, self._phase) for each in self._fullness),
            default=0.0,
        )

    def statement(self, result):
        """Return the :class:`Statement` of an answer.

        :param result: the :class:`Result`.
        """
        is_refused = result is Result.NOT_RUN
        return Statement(self.is_leaving, self.wait_ms() if is_refused else 0)

    def load(self):
        """Return the :class:`ReportedLoad`."""
        return ReportedLoad(
            self._running,
            len(self._waiting),
            self._plan.slots,
            self._slowdown(),
        )

    def _slowdown(self):
        noise, now_ms = self._plan.noise, self._clock.now_ms
        if now_ms >= self._factor_until_ms:
            is_noisy = self._random.random() < noise.share
            self._factor = noise.factor if is_noisy else 1.0
            self._factor_until_ms = now_ms + noise.period_ms
        return self._factor

    def _run(self, visit):
        self._running += 1
        work_ms = self._work_ms(visit.request)
        now_ms = self._clock.now_ms
        left_ms = max(1.0, visit.deadline_ms - now_ms)
        is_in_time = work_ms <= left_ms
        result = Result.ANSWERED if is_in_time else Result.TIMED_OUT
        self._clock.after(
            min(work_ms, left_ms), lambda: self._finish(visit, result)
        )

    def _work_ms(self, request):
        kind = request.kind
        work_ms = kind.work_ms * self._random.uniform(0.8, 1.2)
        if request.object_key in self._objects:
            work_ms *= kind.warm_fraction
        if self._random.random() < kind.tail:
            work_ms *= kind.tail_factor
        self._objects[request.object_key] = True
        self._objects.move_to_end(request.object_key)
        if len(self._objects) > self._plan.cached_objects:
            self._objects.popitem(last=False)
        return work_ms * self._slowdown()

    def _reply(self, visit, result):
        self._visits.discard(visit)
        self._clock.reply(visit, result)

    def _finish(self, visit, result):
        if self.has_ended:
            return
        self._running -= 1
        self._reply(visit, result)
        while self._waiting and self._running < self._plan.slots:
            following = self._waiting.popleft()
            if following.deadline_ms <= self._clock.now_ms:
                self._reply(following, Result.NOT_RUN)
                continue
            self._run(following)
