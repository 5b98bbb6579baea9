"""Supervision of tasks: failed tasks are restarted, up to a limit."""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from time import monotonic

from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.logs import log_error
from fuchsiacart.logs import log_event

RESTART_DELAY_S = 0.1


class Supervisor:
    """Runs child tasks and restarts each one that fails.

    Supervisors can be nested: one that fails is restarted by its parent.

    :param name: name in the log.
    :param restart_limit: number of restarts within ``window_s`` after which
        the next failure stops all children and fails the supervisor.
    :param window_s: seconds over which restarts are counted.
    """

    def __init__(self, name, restart_limit=10, window_s=30.0):
        self._name = name
        self._restart_limit = restart_limit
        self._window_s = window_s
        self._factories = {}
        self._restarts_s = []

    def add(self, name, factory):
        """Add a child task; call this before :meth:`run`.

        :param name: name in the log.
        :param factory: coroutine function, called for each start.  A child
            that returns is not restarted.
        """
        self._factories[name] = factory

    async def run(self):
        """Run all children until they return or the restart limit is passed.

        :raises FuchsiacartError: if the restart limit is passed.
        """
        tasks = [
            create_task(self._run_child(name, factory), name=name)
            for name, factory in self._factories.items()
        ]
        try:
            await gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            await gather(*tasks, return_exceptions=True)

    async def _run_child(self, name, factory):
        while True:
            try:
                await factory()
                return
            except CancelledError:
                raise
            except Exception as error:
                log_error(
                    'task_failed',
                    supervisor=self._name,
                    task=name,
                    error=repr(error),
                )
                self._count_restart(name, error)
            await sleep(RESTART_DELAY_S)
            log_event('task_restarted', supervisor=self._name, task=name)

    def _count_restart(self, name, error):
        now_s = monotonic()
        recent = [at for at in self._restarts_s if at > now_s - self._window_s]
        self._restarts_s = recent + [now_s]
        if len(self._restarts_s) > self._restart_limit:
            raise FuchsiacartError(
                f'task {name} passed the restart limit'
            ) from error
