"""Stand-in clients that keep their connections."""

from asyncio import open_connection
from asyncio import sleep
from asyncio import timeout
from asyncio import wait
from itertools import count

from deployments import HOST_NAME
from http_calls import encode_request
from http_calls import read_answer

NUMBERS = count(1)


class Client:
    """Sends one request after the other to gateways of a list.

    ``sent`` holds a tuple of time, gateway and path for each request id;
    ``answers`` a tuple of time, status and body.  Clients end once
    ``is_over`` is set.
    """

    sent = {}
    answers = {}
    is_over = False

    def __init__(self, deployment, method, path, pause_s, deadline_ms=2500):
        self._deployment = deployment
        self._method = method
        self._path = path
        self._pause_s = pause_s
        self._deadline_ms = deadline_ms
        self._connections = {}

    async def run(self):
        """Send requests until cancelled."""
        try:
            while not Client.is_over:
                gateways = list(self._deployment.gateways)
                await self.send(self._deployment.random.choice(gateways))
                await sleep(self._pause_s)
        finally:
            for _, writer in self._connections.values():
                writer.close()

    async def send(self, gateway, body=b''):
        """Send one request and wait for its answer."""
        request_id = f'q{next(NUMBERS):06x}'
        record = self._deployment.record
        path = f'{self._path}{self._deployment.random.randrange(200)}'
        self.sent[request_id] = (record.now_s(), gateway, path)
        record.write('sent', id=request_id, to=gateway, path=path)
        try:
            async with timeout(self._deadline_ms / 1000 + 1.0):
                answer = await self._exchange(gateway, request_id, path, body)
        except (OSError, EOFError, TimeoutError) as error:
            self._drop(gateway)
            self.answers[request_id] = (record.now_s(), 0, repr(error))
            record.write('unanswered', id=request_id, error=repr(error))
            return None
        if answer.headers.get('connection', '').lower() == 'close':
            self._drop(gateway)
        self.answers[request_id] = (record.now_s(), answer.status, answer.body)
        record.write(
            'answered',
            id=request_id,
            status=answer.status,
            stamp=answer.headers.get('x-server-stamp', '-'),
        )
        return answer

    async def _exchange(self, gateway, request_id, path, body):
        if gateway not in self._connections:
            port = self._deployment.ports['front']
            self._connections[gateway] = await open_connection(gateway, port)
        reader, writer = self._connections[gateway]
        headers = {
            'Host': HOST_NAME,
            'X-Attempt-Id': request_id,
            'X-Deadline-Ms': self._deadline_ms,
            'Cookie': f'X-Affinity-Key={path.rpartition("/")[2]}',
        }
        writer.write(encode_request(self._method, path, headers, body))
        await writer.drain()
        return await read_answer(reader)

    def _drop(self, gateway):
        connection = self._connections.pop(gateway, None)
        if connection is not None:
            connection[1].close()


class FixedClient(Client):
    """Sends all requests to one gateway."""

    def __init__(
        self, deployment, method, path, pause_s, gateway, deadline_ms=2500
    ):
        super().__init__(deployment, method, path, pause_s, deadline_ms)
        self._gateway = gateway

    async def run(self):
        """Send requests until cancelled."""
        try:
            while not Client.is_over:
                await self.send(self._gateway)
                await sleep(self._pause_s)
        finally:
            self._drop(self._gateway)


async def end_clients(tasks):
    """End the tasks that run clients."""
    Client.is_over = True
    for task in tasks:
        task.cancel()
    await wait(tasks, timeout=10)
