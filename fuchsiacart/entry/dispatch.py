"""Runs requests on the backend servers that an entry host owns."""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import get_running_loop
from asyncio import sleep
from asyncio import wait

from fuchsiacart.clocks import steady_ms
from fuchsiacart.drains import covers_server
from fuchsiacart.entry.backends import make_silent_result
from fuchsiacart.entry.backends import ProbeResult
from fuchsiacart.entry.queues import QueuedRequest
from fuchsiacart.entry.queues import ServiceRate
from fuchsiacart.entry.slots import ServerSlots
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import Run
from fuchsiacart.failure_kinds import FailureKind
from fuchsiacart.logs import log_event
from fuchsiacart.logs import log_warning
from fuchsiacart.messages import DrainingServer
from fuchsiacart.messages import ForwardReply
from fuchsiacart.messages import Refusal
from fuchsiacart.messages import ServiceLoad
from fuchsiacart.messages import SuspectReport
from fuchsiacart.metrics import BUSY_SLOTS
from fuchsiacart.metrics import OWNED_SLOTS
from fuchsiacart.metrics import QUEUED_REQUESTS
from fuchsiacart.models import Rank

INITIAL_SERVICE_MS = 50.0
SERVICE_TIME_DECAY = 0.9
SWEEP_INTERVAL_S = 0.05
METRICS_INTERVAL_S = 1.0
NO_SLOTS_RETRY_MS = 500
MIN_PROBE_DELAY_S = 0.5
# Multiple of the mean service time after which a server is probed.
PROBE_DELAY_FACTOR = 4
PROBE_GRACE_S = 0.2


class ServicePool:
    """Owned backend servers of one service and their request queue.

    ``service_ms`` is a moving average of the time that a request takes.
    """

    def __init__(self, scheduler):
        self.scheduler = scheduler
        self.servers = {}
        self.service_ms = INITIAL_SERVICE_MS

    def slots(self, now_ms):
        """Return how many requests may run on the servers at once."""
        return sum(each.capacity(now_ms) for each in self.servers.values())

    def in_flight(self):
        """Return the number of running requests."""
        return sum(each.in_flight for each in self.servers.values())

    def record_time(self, elapsed_ms):
        """Add the time of a request to the moving average."""
        self.service_ms = self.service_ms * SERVICE_TIME_DECAY + elapsed_ms * (
            1.0 - SERVICE_TIME_DECAY
        )

    def pick(self, exclude, now_ms):
        """Return the server with the most free slots, or None.

        :param exclude: names of servers that may not be used.
        :param now_ms: the current time.
        """
        free = [
            each
            for each in self.servers.values()
            if each.free(now_ms) and each.server.name not in exclude
        ]
        return max(free, key=lambda each: each.free(now_ms), default=None)

    def pick_isolated(self, exclude, now_ms):
        """Return the server to run a suspected request alone on, or None.

        Servers with reservations come first, then those with the fewest
        requests.

        :param exclude: names of servers that may not be used.
        :param now_ms: the current time.
        """
        usable = [
            each
            for each in self.servers.values()
            if each.is_usable(now_ms) and each.server.name not in exclude
        ]
        return min(
            usable,
            key=lambda each: (not each.reserved, each.in_flight),
            default=None,
        )


class Dispatcher:
    """Queues requests for owned backend servers and runs the attempts.

    :param settings: the :class:`EntrySettings`.
    :param client: the :class:`BackendClient`.
    :param make_scheduler: returns a new :class:`Scheduler`.
    """

    def __init__(self, settings, client, make_scheduler):
        self._settings = settings
        self._client = client
        self._make_scheduler = make_scheduler
        self._pools = {}
        self._tasks = set()

    def is_registered(self, name):
        """Return True if a backend server is registered here."""
        return self._find(name) is not None

    def register(self, server, report, usable_from_ms, others_in_flight):
        """Add a backend server or renew its registration.

        :param server: the :class:`BackendServer`.
        :param report: its :class:`LoadReport`.
        :param usable_from_ms: when a newly added server may be used.
        :param others_in_flight: requests that earlier owners still run on it.
        """
        now_ms = steady_ms()
        until_ms = now_ms + self._settings.backend_lease_ms
        server_slots = self._find(server.name)
        if (
            server_slots
            and server_slots.server.incarnation == server.incarnation
        ):
            server_slots.renew(report, until_ms)
            self._start_queued(self._pools[server.service])
            return
        if server_slots:
            self.deregister(server.name)
        pool = self._pool(server.service)
        slots = ServerSlots(
            server,
            self._settings.ramp_ms,
            now_ms,
            until_ms,
            usable_from_ms,
            report,
            others_in_flight=others_in_flight,
        )
        pool.servers[server.name] = slots
        log_event(
            'backend_registered',
            server=server.name,
            service=server.service,
            incarnation=server.incarnation,
            wait_ms=int(max(0, usable_from_ms - now_ms)),
        )
        self._start_queued(pool)

    def mark_leaving(self, name):
        """Stop sending requests to a server that leaves.

        :param name: name of the server.
        """
        server_slots = self._find(name)
        if server_slots is not None:
            server_slots.leaving = True
            log_event('backend_leaving', server=name)

    def deregister(self, name):
        """Remove a server; requests that run on it are not interrupted.

        Requests that are reserved for it, and the whole queue if it was the
        last server of its service, are refused as moved, so that another
        owner runs them.

        :return: the number of requests that still run on it.
        """
        for pool in self._pools.values():
            server_slots = pool.servers.pop(name, None)
            if server_slots is None:
                continue
            for item in server_slots.reserved:
                self._reply_moved(item)
            if not pool.servers:
                self._reply_all_moved(pool)
            return server_slots.in_flight
        return 0

    def keep_owned(self, is_owner, drains):
        """Remove the servers that other hosts own; update the drains.

        :param is_owner: takes a :class:`BackendServer` and returns True if
            this host owns it.
        :param drains: drains in force.
        """
        for pool in self._pools.values():
            for name, server_slots in list(pool.servers.items()):
                server_slots.drained = covers_server(
                    drains, server_slots.server
                )
                if not is_owner(server_slots.server):
                    log_event('backend_ownership_lost', server=name)
                    self.deregister(name)

    async def submit(self, request):
        """Run a request on an owned server, after a wait in the queue.

        Cancellation removes the request from the queue or cancels it at the
        server.

        :param request: the :class:`ForwardRequest`.
        :return: the :class:`ForwardReply`, also for a refused request.
        """
        now_ms = steady_ms()
        pool = self._pools.get(request.service)
        if pool is None or pool.slots(now_ms) == 0:
            return _make_refusal(
                ErrorKind.NO_BACKEND,
                'no usable backend server is owned here',
                NO_SLOTS_RETRY_MS,
            )
        item = QueuedRequest(
            request,
            request.rank,
            request.customer,
            request.floor_percent,
            now_ms + request.deadline_ms,
            get_running_loop().create_future(),
        )
        refusal = self._enqueue(pool, item, now_ms)
        if refusal is not None:
            return refusal
        self._start_queued(pool)
        try:
            return await item.done
        except CancelledError:
            self._cancel(pool, item)
            raise

    def loads(self):
        """Return the :class:`ServiceLoad` of each service."""
        now_ms = steady_ms()
        loads = []
        for service, pool in self._pools.items():
            slots = pool.slots(now_ms)
            queued = pool.scheduler.queued()
            rate = ServiceRate(max(slots, 1), pool.service_ms)
            waits = tuple(
                sum(queued[: rank + 1]) / rate.per_ms for rank in Rank
            )
            loads.append(
                ServiceLoad(service, slots, pool.in_flight(), queued, waits)
            )
        return tuple(loads)

    def flush_demands(self):
        """Return no demand, as owners plan by their queues."""
        return ()

    def flush_evidence(self):
        """Return no evidence, as owners suspend failing servers themselves."""
        return ()

    def leaving_servers(self):
        """Return no servers, as they announce that they leave."""
        return ()

    def counts(self):
        """Return no counts, as only the owner sends to a server."""
        return ()

    def record_loads(self, load_map, counted_ms):
        """Ignore what gateways have in flight at servers of routes."""

    def report_suspects(self):
        """Return no suspects, as entry hosts exchange them by gossip."""
        return SuspectReport()

    def merge_suspects(self, report):
        """Ignore the suspects of gateways."""

    def draining(self):
        """Return a :class:`DrainingServer` for each server that drains."""
        return tuple(
            DrainingServer(
                server_slots.server.name,
                server_slots.server.failure_domain,
                server_slots.in_flight,
            )
            for pool in self._pools.values()
            for server_slots in pool.servers.values()
            if server_slots.drained
            or server_slots.leaving
            or server_slots.report.draining
        )

    def in_flight(self):
        """Return the number of running and queued requests."""
        return sum(
            pool.in_flight() + sum(pool.scheduler.queued())
            for pool in self._pools.values()
        )

    async def sweep(self):
        """Periodically refuse late requests and remove expired servers.

        Requests that can start are started.
        """
        while True:
            await sleep(SWEEP_INTERVAL_S)
            now_ms = steady_ms()
            for pool in self._pools.values():
                self._sweep_pool(pool, now_ms)

    async def export_metrics(self):
        """Periodically set the gauges of queues and slots."""
        while True:
            await sleep(METRICS_INTERVAL_S)
            self._set_gauges(steady_ms())

    def _sweep_pool(self, pool, now_ms):
        for item in pool.scheduler.remove_expired(now_ms):
            self._reply_refused(
                item, ErrorKind.DEADLINE, 'too late in the queue'
            )
        for name, server_slots in list(pool.servers.items()):
            for item in list(server_slots.reserved):
                if item.deadline_ms <= now_ms:
                    server_slots.reserved.remove(item)
                    self._reply_refused(
                        item, ErrorKind.DEADLINE, 'too late alone'
                    )
            is_expired = now_ms >= server_slots.lease_until_ms
            if is_expired and server_slots.in_flight == 0:
                log_event('backend_expired', server=name)
                self.deregister(name)
        self._start_queued(pool)

    def _set_gauges(self, now_ms):
        pools = self._pools.values()
        OWNED_SLOTS.set(sum(pool.slots(now_ms) for pool in pools))
        BUSY_SLOTS.set(sum(pool.in_flight() for pool in pools))
        for rank in Rank:
            waiting = sum(pool.scheduler.queued()[rank] for pool in pools)
            QUEUED_REQUESTS.labels(rank.label).set(waiting)

    def _pool(self, service):
        if service not in self._pools:
            self._pools[service] = ServicePool(self._make_scheduler())
        return self._pools[service]

    def _find(self, name):
        for pool in self._pools.values():
            if name in pool.servers:
                return pool.servers[name]
        return None

    def _enqueue(self, pool, item, now_ms):
        request = item.request
        if request.isolated:
            server_slots = pool.pick_isolated(request.exclude, now_ms)
            if server_slots is None:
                return _make_refusal(
                    ErrorKind.NO_BACKEND, 'no server to run alone'
                )
            server_slots.reserved.append(item)
            return None
        names = {
            name
            for name, server_slots in pool.servers.items()
            if server_slots.is_usable(now_ms)
        }
        if not names - set(request.exclude):
            return _make_refusal(
                ErrorKind.NO_BACKEND, 'no other server is usable'
            )
        rate = ServiceRate(pool.slots(now_ms), pool.service_ms)
        admission = pool.scheduler.offer(item, rate, now_ms)
        if admission.accepted:
            return None
        return _make_refusal(
            ErrorKind.OVERLOADED,
            'the deadline cannot be kept',
            admission.retry_after_ms,
        )

    def _start_queued(self, pool):
        """Start queued requests while servers have free slots."""
        now_ms = steady_ms()
        self._start_reserved(pool, now_ms)
        deferred = []
        while pool.pick((), now_ms) is not None:
            item = pool.scheduler.dequeue()
            if item is None:
                break
            if item.done.done():
                continue
            if item.deadline_ms <= now_ms:
                self._reply_refused(
                    item, ErrorKind.DEADLINE, 'too late in the queue'
                )
                continue
            server_slots = pool.pick(item.request.exclude, now_ms)
            if server_slots is None:
                deferred.append(item)
                continue
            self._start(pool, server_slots, item, isolated=False)
        for item in reversed(deferred):
            pool.scheduler.put_back(item)

    def _start_reserved(self, pool, now_ms):
        for server_slots in pool.servers.values():
            if server_slots.in_flight or not server_slots.reserved:
                continue
            if server_slots.is_usable(now_ms):
                item = server_slots.reserved.popleft()
                self._start(pool, server_slots, item, isolated=True)

    def _start(self, pool, server_slots, item, isolated):
        server_slots.start(isolated)
        item.server = server_slots.server
        task = create_task(self._run_attempt(pool, server_slots, item))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_attempt(self, pool, server_slots, item):
        started_ms = steady_ms()
        try:
            result = await self._send(pool, server_slots, item, started_ms)
            now_ms = steady_ms()
            self._record_result(
                pool, server_slots, result, now_ms, now_ms - started_ms
            )
            if not item.done.done():
                item.done.set_result(result.reply)
            if result.failure is FailureKind.TOO_LATE:
                await self._client.cancel(
                    server_slots.server, item.request.request_id
                )
        finally:
            server_slots.finish()
            self._start_queued(pool)

    async def _send(self, pool, server_slots, item, started_ms):
        """Send a request and probe the server if it takes long.

        The probe uses a new connection.  If the server says that it does
        not run the request, and no response arrives shortly afterwards, the
        connection is dead.

        :return: the :class:`AttemptResult`.
        """
        left_ms = item.deadline_ms - started_ms
        sending = create_task(
            self._client.send(server_slots.server, item.request, left_ms)
        )
        probe_delay_s = max(
            MIN_PROBE_DELAY_S, pool.service_ms * PROBE_DELAY_FACTOR / 1000
        )
        try:
            while True:
                await wait((sending,), timeout=probe_delay_s)
                if sending.done():
                    return sending.result()
                probe_result = await self._client.probe(
                    server_slots.server, item.request.request_id
                )
                if probe_result is not ProbeResult.NOT_RUNNING:
                    continue
                await wait((sending,), timeout=PROBE_GRACE_S)
                if sending.done():
                    return sending.result()
                log_warning(
                    'silent_connection', server=server_slots.server.name
                )
                return make_silent_result(server_slots.server)
        finally:
            sending.cancel()

    def _record_result(self, pool, server_slots, result, now_ms, elapsed_ms):
        if result.reply.shed:
            server_slots.record_shed()
        elif result.failure in (FailureKind.NOT_CONNECTED, FailureKind.BROKEN):
            server_slots.record_failure(now_ms)
        elif result.failure is None:
            server_slots.record_success()
            pool.record_time(elapsed_ms)

    def _cancel(self, pool, item):
        """Cancel a queued or running request."""
        pool.scheduler.remove(item)
        for server_slots in pool.servers.values():
            if item in server_slots.reserved:
                server_slots.reserved.remove(item)
        if item.server is None:
            return
        task = create_task(
            self._client.cancel(item.server, item.request.request_id)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _reply_all_moved(self, pool):
        """Refuse all queued requests as moved to another owner."""
        item = pool.scheduler.dequeue()
        while item is not None:
            self._reply_moved(item)
            item = pool.scheduler.dequeue()

    def _reply_moved(self, item):
        if item.done.done():
            return
        refusal = Refusal(ErrorKind.NO_BACKEND, 'the owner has changed')
        item.done.set_result(ForwardReply(refusal=refusal, moved=True))

    def _reply_refused(self, item, kind, detail):
        if not item.done.done():
            item.done.set_result(_make_refusal(kind, detail))


def _make_refusal(kind, detail, retry_after_ms=0):
    refusal = Refusal(kind, detail, Run.NO, retry_after_ms)
    return ForwardReply(refusal=refusal)
