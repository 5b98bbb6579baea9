"""Stand-in callers: follow look-ups, cache them, resend, keep a record."""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from enum import Enum
from enum import unique
from random import Random
from time import monotonic

from hdrh.histogram import HdrHistogram
from msgspec.json import decode
from msgspec.json import encode
from msgspec import Struct
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from fuchsiacart.client.sessions import new_key

LOOKUP_TIMEOUT_S = 1.0
RESEND_LIMIT = 8
RESEND_PAUSE_S = 0.1
LONGEST_PAUSE_S = 2.0
LONGEST_MS = 120_000
PROBLEM_TYPE = 'application/problem+json'


@unique
class RequestOutcome(Enum):
    """How a request ended for its caller."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    BROKEN = 'broken'


class RequestTemplate(Struct, frozen=True):
    """A kind of request that callers send."""

    rank: str
    customer: str
    token: str
    service: str
    method: str
    path: str
    repeatable: bool
    deadline_ms: int
    per_s: float


class Result(Struct):
    """What became of one request."""

    kind: RequestTemplate
    key: str
    outcome: RequestOutcome
    reason: str
    elapsed_ms: float
    sends: int
    attempt: int = 1
    retry_after_s: float = 0.0
    said_not_run: bool = False
    has_valid_answer: bool = True
    region: str = ''


class Cached(Struct):
    """A look-up that may still be used."""

    hosts: list
    region: str
    key_home: str
    until_s: float


class Caller:
    """One caller at one address.

    :param entry_hosts: entry hosts to ask for look-ups.
    :param client: the IP address that this caller stands for.
    :param seed: seed of all choices.
    """

    def __init__(self, entry_hosts, client, seed):
        self._entry_hosts = list(entry_hosts)
        self._client = client
        self._random = Random(f'{seed}/{client}')
        self._http = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=10_000
        )
        self._cache = {}

    async def send(self, kind, path=None):
        """Send one request, and send it again where that is safe.

        :param kind: the :class:`RequestTemplate`.
        :param path: path to use instead of the kind's.
        :return: the :class:`Result`.
        """
        started_s = monotonic()
        cached = await self._look_up(kind.service)
        key = new_key(cached.key_home if cached else '')
        result = Result(kind, key, RequestOutcome.UNKNOWN, 'unsent', 0.0, 0)
        until_s = started_s + kind.deadline_ms / 1000
        while result.sends < RESEND_LIMIT and monotonic() < until_s:
            again = await self._send_once(kind, path, key, until_s, result)
            if not again:
                break
            pause_s = RESEND_PAUSE_S * 2 ** (result.sends - 1)
            pause_s = min(LONGEST_PAUSE_S, pause_s)
            await sleep(max(result.retry_after_s, pause_s))
        result.elapsed_ms = (monotonic() - started_s) * 1000
        return result

    async def _send_once(self, kind, path, key, until_s, result):
        """Send once; tell whether to send again."""
        result.said_not_run = False
        result.retry_after_s = 0.0
        cached = await self._look_up(kind.service)
        if cached is None:
            result.reason = 'no_lookup'
            result.outcome = RequestOutcome.REFUSED
            result.sends += 1
            return True
        host = cached.hosts[result.sends % len(cached.hosts)]
        result.sends += 1
        result.region = cached.region
        left_s = max(0.05, until_s - monotonic())
        request = HTTPRequest(
            f'http://{host}/s/{kind.service}{path or kind.path}',
            method=kind.method,
            headers={
                'Authorization': f'Bearer {kind.token}',
                'Idempotency-Key': key,
                'Fuchsiacart-Attempt': str(result.attempt),
                'Fuchsiacart-Deadline-Ms': str(int(left_s * 1000)),
            },
            body=None if kind.method == 'GET' else encode({'key': key}),
            connect_timeout=1.0,
            request_timeout=left_s + 0.5,
        )
        try:
            response = await self._http.fetch(request, raise_error=False)
        except ConnectionRefusedError:
            result.outcome = RequestOutcome.REFUSED
            result.reason = 'no_connection'
            self._cache.pop(kind.service, None)
            return True
        except Exception as error:
            result.outcome = RequestOutcome.UNKNOWN
            result.reason = type(error).__name__
            self._cache.pop(kind.service, None)
            return True
        return self._take(kind, key, response, result)

    def _take(self, kind, key, response, result):
        content_type = response.headers.get('Content-Type', '')
        if content_type != PROBLEM_TYPE:
            result.outcome = RequestOutcome.ANSWERED
            result.reason = str(response.code)
            result.has_valid_answer = _is_whole(response, key)
            return False
        headers = response.headers
        result.retry_after_s = float(headers.get('Retry-After', 0))
        result.attempt = int(
            headers.get('Fuchsiacart-Attempt', result.attempt)
        )
        problem = decode(response.body)
        result.reason = problem['kind']
        not_run = problem['run'] == 'no'
        result.said_not_run = not_run
        result.outcome = (
            RequestOutcome.REFUSED if not_run else RequestOutcome.UNKNOWN
        )
        if problem['kind'] in ('stale', 'draining', 'no_quorum'):
            self._cache.pop(kind.service, None)
            return True
        if not_run:
            return result.retry_after_s > 0
        return not kind.repeatable

    async def _look_up(self, service):
        cached = self._cache.get(service)
        if cached is not None and cached.until_s > monotonic():
            return cached
        hosts = self._random.sample(self._entry_hosts, len(self._entry_hosts))
        for host in hosts:
            url = f'http://{host}/v1/lookup?service={service}'
            request = HTTPRequest(
                f'{url}&client={self._client}',
                connect_timeout=LOOKUP_TIMEOUT_S,
                request_timeout=LOOKUP_TIMEOUT_S,
            )
            try:
                response = await self._http.fetch(request)
            except Exception:
                continue
            answer = decode(response.body)
            until_s = monotonic() + answer['ttl_ms'] / 1000
            cached = Cached(
                answer['hosts'],
                answer['region'],
                answer['key_home'],
                until_s,
            )
            self._cache[service] = cached
            return cached
        return None


def _is_whole(response, key):
    """Tell whether an answer is whole and belongs to its request."""
    try:
        return decode(response.body)['key'] == key
    except (ValueError, KeyError, TypeError):
        return False


class Load:
    """Open load of several kinds by many callers.

    :param entry_hosts: entry hosts to ask for look-ups.
    :param clients: IP addresses that the callers stand for.
    :param seed: seed of arrivals and choices.
    """

    def __init__(self, entry_hosts, clients, seed):
        self._callers = [
            Caller(entry_hosts, client, seed) for client in clients
        ]
        self._random = Random(f'{seed}/load')
        self.results = []
        self.started = 0

    async def run(self, kinds, seconds):
        """Send each kind at its rate for some seconds; wait for all ends.

        :param kinds: the kinds to send.
        :param seconds: how long to send.
        """
        streams = [self._stream(kind, seconds) for kind in kinds]
        await gather(*streams)

    async def _stream(self, kind, seconds):
        tasks = []
        start_s = monotonic()
        next_s = start_s
        while True:
            next_s += self._random.expovariate(kind.per_s)
            if next_s - start_s > seconds:
                break
            await sleep(max(0.0, next_s - monotonic()))
            self.started += 1
            caller = self._random.choice(self._callers)
            tasks.append(create_task(self._one(caller, kind)))
        await gather(*tasks)

    async def send_one(self, kind):
        """Send one request beside the streams."""
        await self._one(self._random.choice(self._callers), kind)

    async def _one(self, caller, kind):
        self.results.append(await caller.send(kind))


def histogram(results):
    """Return the latency of answered requests in a histogram, in ms."""
    recorder = HdrHistogram(1, LONGEST_MS, 3)
    for result in results:
        if result.outcome is RequestOutcome.ANSWERED:
            elapsed_ms = max(1, min(LONGEST_MS, int(result.elapsed_ms)))
            recorder.record_value(elapsed_ms)
    return recorder
