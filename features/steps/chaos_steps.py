"""Steps for several failures at random, one on top of the other."""

from asyncio import run
from random import Random
from threading import Thread
from time import sleep

from behave import then
from behave import when

from standins.caller import Load
from standins.caller import RequestOutcome

RATES_PER_S = {'urgent': 15, 'interactive': 25, 'background': 5}
SECONDS = 14.0
PAUSE_S = 4.0
PROBE_TRIES = 20


class Trouble:
    """Brings failures about in a deployment.

    :param fleet: the deployment.
    :param seed: seed of all choices.
    """

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._random = Random(seed)
        self._kinds = (
            self._kill_entry,
            self._freeze_entry,
            self._kill_control,
            self._freeze_control,
            self._kill_backend,
        )

    def happen(self, count):
        """Bring some failures about, with random pauses between them."""
        for _ in range(count):
            sleep(self._random.uniform(0.3, 1.5))
            self._random.choice(self._kinds)()

    def _kill_entry(self):
        self._kill_one(self._fleet.entry_names)

    def _kill_control(self):
        self._kill_one(self._fleet.control_names)

    def _kill_backend(self):
        daemons = self._fleet.entry_names + self._fleet.control_names
        names = [name for name in self._fleet.processes if name not in daemons]
        self._kill_one(names)

    def _kill_one(self, names):
        name = self._random.choice(sorted(names))
        self._fleet.resume(name)
        self._fleet.kill(name)
        self._fleet.restart(name)

    def _freeze_entry(self):
        self._freeze_one(self._fleet.entry_names)

    def _freeze_control(self):
        self._freeze_one(self._fleet.control_names)

    def _freeze_one(self, names):
        """Freeze a process for longer than every timeout of a lease."""
        name = self._random.choice(sorted(names))
        self._fleet.pause(name)
        Thread(target=self._thaw, args=(name,)).start()

    def _thaw(self, name):
        sleep(PAUSE_S)
        self._fleet.resume(name)


@when(
    '{count:d} failures come at random with seed {seed:d} while callers send'
)
def when_trouble(context, count, seed):
    """Send from one thread, fail from another."""
    path = context.path
    hosts = path.fleet.entry_hosts()
    load = Load(hosts, path.workload.clients, seed)
    trouble = Trouble(path.fleet, seed)
    failing = Thread(target=trouble.happen, args=(count,))
    failing.start()
    run(load.run(path.workload.request_templates(RATES_PER_S), SECONDS))
    failing.join()
    path.results = load.results
    path.started = load.started


@then('every request that was started has ended')
def then_ended(context):
    """Check that nothing was dropped in silence."""
    path = context.path
    assert len(path.results) == path.started
    assert any(
        each.outcome is RequestOutcome.ANSWERED for each in path.results
    )


@then('the system answers again')
def then_answers(context):
    """Send until a request is answered."""
    path = context.path
    for _ in range(PROBE_TRIES):
        path.send(1, 'interactive')
        if path.results[-1].outcome is RequestOutcome.ANSWERED:
            return
        sleep(1.0)
    raise AssertionError(path.results[-1].reason)
