"""Steps for random failures that overlap in time."""

from asyncio import run
from random import Random
from threading import Thread
from time import sleep

from behave import then
from behave import when

from standins.caller import Load
from standins.caller import RequestOutcome

RATES_PER_S = {'urgent': 15, 'interactive': 25, 'background': 5}
LOAD_DURATION_S = 14.0
FREEZE_S = 4.0
MAX_PROBES = 20


class FailureInjector:
    """Causes random failures in a deployment.

    :param fleet: the deployment.
    :param seed: seed of all choices.
    """

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._random = Random(seed)
        self._failures = (
            self._kill_entry,
            self._freeze_entry,
            self._kill_control,
            self._freeze_control,
            self._kill_backend,
        )

    def inject(self, count):
        """Cause failures, with random pauses between them."""
        for _ in range(count):
            sleep(self._random.uniform(0.3, 1.5))
            self._random.choice(self._failures)()

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
        """Freeze a process for longer than every lease timeout."""
        name = self._random.choice(sorted(names))
        self._fleet.pause(name)
        Thread(target=self._resume_later, args=(name,)).start()

    def _resume_later(self, name):
        sleep(FREEZE_S)
        self._fleet.resume(name)


@when('{count:d} random failures occur with seed {seed:d} while callers send')
def when_failures(context, count, seed):
    """Send from this thread; cause the failures from another thread."""
    deployment = context.deployment
    hosts = deployment.fleet.entry_hosts()
    load = Load(hosts, deployment.workload.clients, seed)
    injector = FailureInjector(deployment.fleet, seed)
    injection = Thread(target=injector.inject, args=(count,))
    injection.start()
    run(
        load.run(
            deployment.workload.request_templates(RATES_PER_S), LOAD_DURATION_S
        )
    )
    injection.join()
    deployment.results = load.results
    deployment.started = load.started


@then('every request that was started has ended')
def then_ended(context):
    deployment = context.deployment
    assert len(deployment.results) == deployment.started
    assert any(
        each.outcome is RequestOutcome.ANSWERED for each in deployment.results
    )


@then('the deployment answers again')
def then_answers(context):
    deployment = context.deployment
    for _ in range(MAX_PROBES):
        deployment.send(1, 'interactive')
        if deployment.results[-1].outcome is RequestOutcome.ANSWERED:
            return
        sleep(1.0)
    raise AssertionError(deployment.results[-1].reason)
