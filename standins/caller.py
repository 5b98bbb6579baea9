"""Stand-in callers that cache look-ups, retry and record their results."""

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
MAX_SENDS = 8
RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0
MAX_LATENCY_MS = 120_000
PROBLEM_TYPE = 'application/problem+json'


@unique
class RequestOutcome(Enum):
    """How a request ended for its caller."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    BROKEN = 'broken'


class RequestTemplate(Struct, frozen=True):
    """Requests that differ only by their key, sent at a rate of ``per_s``."""

    rank: str
    customer: str
    token: str
    service: str
    method: str
    path: str
    repeatable: bool
    deadline_ms: int
    per_s: float


class RequestResult(Struct):
    """The result of one request, over all its sends.

    ``reason`` is the HTTP status of an answer, the kind of a problem document
    or the name of a transport error.
    """

    template: RequestTemplate
    key: str
    outcome: RequestOutcome
    reason: str
    elapsed_ms: float
    sends: int
    attempt: int = 1
    retry_after_s: float = 0.0
    reported_not_run: bool = False
    has_valid_answer: bool = True
    region: str = ''


class CachedLookup(Struct):
    """The answer to a look-up, until its time to live has passed."""

    hosts: list
    region: str
    key_home: str
    expires_s: float


class Caller:
    """A caller at one client address.

    :param entry_hosts: entry hosts to ask for look-ups.
    :param client: client IP address that look-ups are made for.
    :param seed: seed of all random choices.
    """

    def __init__(self, entry_hosts, client, seed):
        self._entry_hosts = list(entry_hosts)
        self._client_address = client
        self._random = Random(f'{seed}/{client}')
        self._http = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=10_000
        )
        self._cache = {}

    async def send(self, template, path=None):
        """Send one request and retry it where that is safe.

        :param template: the :class:`RequestTemplate`.
        :param path: path to use instead of the template's.
        :return: the :class:`RequestResult`.
        """
        started_s = monotonic()
        lookup = await self._look_up(template.service)
        key = new_key(lookup.key_home if lookup else '')
        result = RequestResult(
            template, key, RequestOutcome.UNKNOWN, 'unsent', 0.0, 0
        )
        deadline_s = started_s + template.deadline_ms / 1000
        while result.sends < MAX_SENDS and monotonic() < deadline_s:
            may_retry = await self._send_once(
                template, path, key, deadline_s, result
            )
            if not may_retry:
                break
            delay_s = RETRY_DELAY_S * 2 ** (result.sends - 1)
            delay_s = min(MAX_RETRY_DELAY_S, delay_s)
            await sleep(max(result.retry_after_s, delay_s))
        result.elapsed_ms = (monotonic() - started_s) * 1000
        return result

    async def _send_once(self, template, path, key, deadline_s, result):
        """Send a request once and update its result.

        :return: True if the request may be sent again.
        """
        result.reported_not_run = False
        result.retry_after_s = 0.0
        lookup = await self._look_up(template.service)
        if lookup is None:
            result.reason = 'no_lookup'
            result.outcome = RequestOutcome.REFUSED
            result.sends += 1
            return True
        host = lookup.hosts[result.sends % len(lookup.hosts)]
        result.sends += 1
        result.region = lookup.region
        remaining_s = max(0.05, deadline_s - monotonic())
        request = HTTPRequest(
            f'http://{host}/s/{template.service}{path or template.path}',
            method=template.method,
            headers={
                'Authorization': f'Bearer {template.token}',
                'Idempotency-Key': key,
                'Fuchsiacart-Attempt': str(result.attempt),
                'Fuchsiacart-Deadline-Ms': str(int(remaining_s * 1000)),
            },
            body=None if template.method == 'GET' else encode({'key': key}),
            connect_timeout=1.0,
            request_timeout=remaining_s + 0.5,
        )
        try:
            response = await self._http.fetch(request, raise_error=False)
        except ConnectionRefusedError:
            result.outcome = RequestOutcome.REFUSED
            result.reason = 'no_connection'
            self._cache.pop(template.service, None)
            return True
        except Exception as error:
            result.outcome = RequestOutcome.UNKNOWN
            result.reason = type(error).__name__
            self._cache.pop(template.service, None)
            return True
        return self._read_response(template, key, response, result)

    def _read_response(self, template, key, response, result):
        content_type = response.headers.get('Content-Type', '')
        if content_type != PROBLEM_TYPE:
            result.outcome = RequestOutcome.ANSWERED
            result.reason = str(response.code)
            result.has_valid_answer = _is_valid_answer(response, key)
            return False
        headers = response.headers
        result.retry_after_s = float(headers.get('Retry-After', 0))
        result.attempt = int(
            headers.get('Fuchsiacart-Attempt', result.attempt)
        )
        problem = decode(response.body)
        result.reason = problem['kind']
        not_run = problem['run'] == 'no'
        result.reported_not_run = not_run
        result.outcome = (
            RequestOutcome.REFUSED if not_run else RequestOutcome.UNKNOWN
        )
        if problem['kind'] in ('stale', 'draining', 'no_quorum'):
            self._cache.pop(template.service, None)
            return True
        if not_run:
            return result.retry_after_s > 0
        return not template.repeatable

    async def _look_up(self, service):
        lookup = self._cache.get(service)
        if lookup is not None and lookup.expires_s > monotonic():
            return lookup
        hosts = self._random.sample(self._entry_hosts, len(self._entry_hosts))
        for host in hosts:
            url = f'http://{host}/v1/lookup?service={service}'
            request = HTTPRequest(
                f'{url}&client={self._client_address}',
                connect_timeout=LOOKUP_TIMEOUT_S,
                request_timeout=LOOKUP_TIMEOUT_S,
            )
            try:
                response = await self._http.fetch(request)
            except Exception:
                continue
            answer = decode(response.body)
            expires_s = monotonic() + answer['ttl_ms'] / 1000
            lookup = CachedLookup(
                answer['hosts'],
                answer['region'],
                answer['key_home'],
                expires_s,
            )
            self._cache[service] = lookup
            return lookup
        return None


def _is_valid_answer(response, key):
    """Return True if an answer is complete and belongs to its request."""
    try:
        return decode(response.body)['key'] == key
    except (ValueError, KeyError, TypeError):
        return False


class Load:
    """Open-loop load: requests arrive at random, whatever their latency.

    :param entry_hosts: entry hosts to ask for look-ups.
    :param clients: client IP addresses, one for each caller.
    :param seed: seed of arrival times and random choices.
    """

    def __init__(self, entry_hosts, clients, seed):
        self._callers = [
            Caller(entry_hosts, client, seed) for client in clients
        ]
        self._random = Random(f'{seed}/load')
        self.results = []
        self.started = 0

    async def run(self, templates, seconds):
        """Send requests and wait until all of them have ended.

        :param templates: what to send, each at its own rate.
        :param seconds: how long to start new requests.
        """
        streams = [self._stream(template, seconds) for template in templates]
        await gather(*streams)

    async def _stream(self, template, seconds):
        tasks = []
        start_s = monotonic()
        next_s = start_s
        while True:
            next_s += self._random.expovariate(template.per_s)
            if next_s - start_s > seconds:
                break
            await sleep(max(0.0, next_s - monotonic()))
            self.started += 1
            caller = self._random.choice(self._callers)
            tasks.append(create_task(self._send_and_record(caller, template)))
        await gather(*tasks)

    async def send_one(self, template):
        """Send one request in addition to those of :meth:`run`.

        The caller of this method must count it in ``started``.
        """
        await self._send_and_record(
            self._random.choice(self._callers), template
        )

    async def _send_and_record(self, caller, template):
        self.results.append(await caller.send(template))


def build_latency_histogram(results):
    """Return a histogram of the latencies of answered requests, in ms."""
    latencies = HdrHistogram(1, MAX_LATENCY_MS, 3)
    for result in results:
        if result.outcome is RequestOutcome.ANSWERED:
            elapsed_ms = max(1, min(MAX_LATENCY_MS, int(result.elapsed_ms)))
            latencies.record_value(elapsed_ms)
    return latencies
