"""Supervisor tree: restarts tasks that fail, gives up when they keep on."""

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
    """Runs children and restarts each one that fails on its own.

    :param name: name in the logs.
    :param restart_limit: restarts within ``window_s`` before the whole
        supervisor fails, so that its own supervisor can act.
    :param window_s: seconds over which restarts are counted.
    """

    def __init__(self, name, restart_limit=10, window_s=30.0):
        self._name = name
        self._restart_limit = restart_limit
        self._window_s = window_s
        self._factories = {}
        self._restarts_s = []

    def add(self, name, factory):
        """Add a child.

        :param name: name in the logs.
        :param factory: coroutine function; a child that returns has ended.
        """
        self._factories[name] = factory

    async def run(self):
        """Run all children until they end, or one fails too often.

        :raises FuchsiacartError: when the limit of restarts is passed.
        """
        tasks = [
            create_task(self._keep(name, factory), name=name)
            for name, factory in self._factories.items()
        ]
        try:
            await gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            await gather(*tasks, return_exceptions=True)

    async def _keep(self, name, factory):
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
            raise FuchsiacartError(f'{name} keeps failing') from error
