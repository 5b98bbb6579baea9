"""Simulates requests while servers are replaced beside other trouble.

A seeded run in simulated time of one gateway, the leader and the servers of a
release, several kinds of trouble at once.  See :mod:`models.release_worlds`.
"""

from enum import Enum
from enum import unique
from math import inf

from msgspec import Struct

from fuchsiacart.gateway.beliefs.view_ages import ViewAge
from fuchsiacart.gateway.beliefs.view_freshness import MAX_WAIT_S
from fuchsiacart.settings import RouteSettings
from models.release_worlds import FIRST_RELEASE_MS
from models.release_worlds import History
from models.release_worlds import SERVERS
from models.release_worlds import SPAN_MS
from models.release_worlds import Trouble
from models.release_worlds import World

REQUEST_INTERVAL_MS = 20.0
CONNECT_MS = 300.0
# Time that a first attempt takes before its server refuses it.
MAX_FIRST_ATTEMPT_MS = 2_000.0
SECOND_ATTEMPT_SHARE = 0.1
MAX_CHECKS = 3


@unique
class Policy(Enum):
    """What a gateway does where its view is outdated."""

    SERVE = 'serve by the view'
    ASK = 'ask the server'
    JUST_ANSWERED = 'take one that has just answered'
    REFUSE = 'refuse'


class Tally(Struct):
    """What came of the requests of a run.

    ``late`` counts those that reached a server too long after it had said
    that it leaves, ``outdated`` those that found an outdated view,
    ``added_ms`` what waiting and asking added to these.
    """

    requests: int = 0
    served: int = 0
    refused: int = 0
    late: int = 0
    outdated: int = 0
    checks: int = 0
    added_ms: float = 0.0
    latest_ms: float = 0.0


class Gateway:
    """Sends the requests of one run.

    :param world: the :class:`World`.
    :param history: the :class:`History`.
    :param policy: the :class:`Policy`.
    :param asks_right_before: False for the fault that the age of the view is
        asked on arrival only.
    """

    def __init__(self, world, history, policy, asks_right_before=True):
        self._world = world
        self._history = history
        self._policy = policy
        self._asks_right_before = asks_right_before
        self._limit_ms = RouteSettings().max_view_age_ms
        self._drain_ms = RouteSettings().drain_s * 1000
        self._told_ms = {}
        self._waited_until_ms = -inf
        self.tally = Tally()

    def run(self):
        """Serve the requests of the run and return the :class:`Tally`."""
        at_ms = FIRST_RELEASE_MS
        while at_ms < SPAN_MS - 10_000:
            self._serve(at_ms)
            at_ms += self._world.random.expovariate(1 / REQUEST_INTERVAL_MS)
        return self.tally

    def _serve(self, arrived_ms):
        world = self._world
        self.tally.requests += 1
        at_ms = world.run_at(arrived_ms)
        excluded = set()
        known_ms = self._find_known(at_ms, excluded)
        if known_ms is None:
            return
        at_ms, server = known_ms
        if world.random.random() < SECOND_ATTEMPT_SHARE:
            # Another server refuses the first attempt after some time.
            at_ms = world.run_at(
                at_ms + world.random.uniform(0, MAX_FIRST_ATTEMPT_MS)
            )
            if self._asks_right_before:
                known_ms = self._find_known(at_ms, excluded)
                if known_ms is None:
                    return
                at_ms, server = known_ms
        while True:
            at_ms = world.run_at(at_ms + world.random.uniform(0, CONNECT_MS))
            if not self._asks_right_before or self._may_send(at_ms, server):
                break
            known_ms = self._find_known(at_ms, excluded)
            if known_ms is None:
                return
            at_ms, server = known_ms
        self._send(at_ms, server)

    def _find_known(self, at_ms, excluded):
        """Choose a server that is known not to leave.

        :return: the time by which it is chosen and the server, or None if the
            request was refused.
        """
        started_ms = at_ms
        if self._is_outdated(at_ms) and self._policy is not Policy.SERVE:
            self.tally.outdated += 1
            at_ms = self._wait(at_ms)
        result = self._choose(at_ms, excluded)
        if result is None:
            self.tally.refused += 1
            return None
        self.tally.added_ms += result[0] - started_ms
        return result

    def _wait(self, at_ms):
        """Wait for a renewal after a pause, once for each loss of contact."""
        if not self._world.was_paused(at_ms):
            return at_ms
        if self._history.state(at_ms)[1] <= self._waited_until_ms:
            return at_ms
        until_ms = at_ms + MAX_WAIT_S * 1000
        confirmed_ms = self._history.confirmation_after(
            at_ms, until_ms, self._limit_ms
        )
        if confirmed_ms > until_ms:
            self._waited_until_ms = self._history.state(until_ms)[1]
        return self._world.run_at(min(confirmed_ms, until_ms))

    def _choose(self, at_ms, excluded):
        world = self._world
        for _ in range(MAX_CHECKS):
            candidates = self._candidates(at_ms, excluded)
            if not candidates:
                return None
            server = world.random.choice(candidates)
            if self._policy is Policy.SERVE or self._knows(at_ms, server):
                return at_ms, server
            if self._policy is not Policy.ASK:
                return None
            self.tally.checks += 1
            asked_ms = at_ms
            reached_ms = at_ms + world.delay_ms(at_ms)
            at_ms = world.run_at(reached_ms + world.delay_ms(reached_ms))
            is_staying = not self._has_left(server, reached_ms)
            if is_staying and not world.is_lost():
                self._told_ms[server] = asked_ms
                return at_ms, server
            excluded.add(server)
        return None

    def _candidates(self, at_ms, excluded):
        """Return the servers in the view, the departed ones left out."""
        revision, _ = self._history.state(at_ms)
        servers = [
            server
            for server in range(revision - 1, SERVERS + 20)
            if server not in excluded
        ]
        if self._policy is Policy.JUST_ANSWERED and self._is_outdated(at_ms):
            return [each for each in servers if self._knows(at_ms, each)]
        return servers

    def _has_left(self, server, at_ms):
        left_ms = self._world.left_ms
        return server < len(left_ms) and left_ms[server] <= at_ms

    def _view_age(self, at_ms):
        age = ViewAge(self._limit_ms)
        age.record_confirmation(self._history.state(at_ms)[1])
        return age

    def _is_outdated(self, at_ms):
        return self._view_age(at_ms).is_outdated(at_ms)

    def _knows(self, at_ms, server):
        told_ms = self._told_ms.get(server, -inf)
        return not self._view_age(at_ms).is_outdated(at_ms, told_ms)

    def _may_send(self, at_ms, server):
        """Return True if a request may be sent to a server right now."""
        if self._policy is Policy.SERVE:
            return True
        return self._knows(at_ms, server) and server >= (
            self._history.state(at_ms)[0] - 1
        )

    def _send(self, at_ms, server):
        reached_ms = at_ms + self._world.delay_ms(at_ms)
        self.tally.served += 1
        if not self._has_left(server, reached_ms):
            self._told_ms[server] = at_ms
            return
        after_ms = reached_ms - self._world.left_ms[server]
        self.tally.latest_ms = max(self.tally.latest_ms, after_ms)
        self.tally.late += after_ms > self._drain_ms


def play(seed, trouble, policy=Policy.ASK, **faults):
    """Play one run.

    :param seed: its seed.
    :param trouble: the :class:`Trouble`.
    :param policy: the :class:`Policy` of the gateway.
    :param faults: ``counts_from_reading`` and ``asks_on_arrival`` seed faults.
    :return: the :class:`Tally`.
    """
    world = World(seed, trouble)
    history = History(world, faults.get('counts_from_reading', False))
    gateway = Gateway(
        world, history, policy, not faults.get('asks_on_arrival', False)
    )
    return gateway.run()


def main():
    """Print what came of the requests, by trouble and policy."""
    seeds = range(1, 51)
    print('trouble, policy: requests, late, latest ms, refused, outdated,')
    print('checks, ms added to an outdated one')
    for trouble in Trouble:
        for policy in Policy:
            tallies = [play(seed, trouble, policy) for seed in seeds]
            total = {
                name: sum(getattr(tally, name) for tally in tallies)
                for name in Tally.__struct_fields__
            }
            latest_ms = max(tally.latest_ms for tally in tallies)
            print(
                f'{trouble.value}, {policy.value}: {total["requests"]},'
                f' {total["late"]}, {latest_ms:.0f}, {total["refused"]},'
                f' {total["outdated"]}, {total["checks"]},'
                f' {total["added_ms"] / max(1, total["outdated"]):.0f}'
            )


if __name__ == '__main__':
    main()
