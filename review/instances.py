"""Stand-in instances, as the platform's pages describe them."""

from asyncio import create_task
from asyncio import CancelledError
from asyncio import gather
from asyncio import Semaphore
from asyncio import sleep
from asyncio import start_server
from itertools import count
import json
from time import time

from http_calls import call
from http_calls import read_body
from http_calls import read_head

HEARTBEAT_S = 1.5
IDLE_S = 10


class Instance:
    """An instance that serves requests and sends heartbeats.

    ``runs`` holds a tuple of time, request id, method, path and body for each
    request that it has begun to run.

    :param deployment: the :class:`Deployment`.
    :param name: its id.
    :param service: its service.
    :param zone: its zone.
    :param address: IP address to listen on.
    """

    def __init__(
        self, deployment, name, service, zone, address, work_s=0.03, slots=8
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.ip = address
        self.address = ''
        self.work_s = work_s
        self.slots = slots
        self.state = 'ready'
        self.runs = []
        self.acked_s = {}
        self._deployment = deployment
        self._free = Semaphore(slots)
        self._running = 0
        self._born = int(time() * 1000)
        self._numbers = count(1)
        self._writers = set()
        self._tasks = []
        self._server = None

    async def start(self):
        """Listen and begin to send heartbeats."""
        self._server = await start_server(
            self._serve, self.ip, 0, limit=2**20, backlog=512
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{self.ip}:{port}'
        self._tasks.append(create_task(self._send_heartbeats()))

    async def stop(self):
        """End without a word."""
        self._server.close()
        for writer in self._writers:
            writer.close()
        for task in self._tasks:
            task.cancel()
        await gather(*self._tasks, return_exceptions=True)

    async def _send_heartbeats(self):
        while True:
            await self.send_heartbeat()
            await sleep(HEARTBEAT_S)

    async def send_heartbeat(self):
        """Send one heartbeat, to another node if one doesn't answer."""
        state = self.state
        body = json.dumps(
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': state,
                'cold_left_s': 0,
                'seq': next(self._numbers),
                'born': self._born,
            }
        ).encode()
        for address in self._deployment.shuffled_controls():
            answer = await call(
                address, 'PUT', f'/api/instances/{self.name}', body
            )
            if answer is not None and answer.status == 200:
                self.acked_s.setdefault(state, self._deployment.record.now_s())
                return

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                await writer.drain()
        except (OSError, EOFError, CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        first, headers = await read_head(reader)
        body = await read_body(reader, headers)
        method, path, _ = first.split()
        request_id = headers.get('x-attempt-id', '')
        fields = {'X-Attempt-Id': request_id}
        if headers.get('x-expect-instance', self.name) != self.name:
            fields['X-Not-Run'] = '1'
            self._answer(writer, 421, fields, b'')
            return True
        if path == '/healthz':
            fields = {'X-Instance-Id': self.name}
            self._answer(writer, 200, fields, b'')
            return True
        async with self._free:
            self._running += 1
            now_s = self._deployment.record.now_s()
            self.runs.append((now_s, request_id, method, path, len(body)))
            try:
                await sleep(self.work_s)
            finally:
                self._running -= 1
        fields['X-Server-Stamp'] = f'{self.name}.{request_id}'
        fields['X-Server-Load'] = f'{self._running},0,{self.slots}'
        fields['Keep-Alive'] = f'timeout={IDLE_S}'
        self._answer(writer, 200, fields, f'{request_id} {path}'.encode())
        return True

    def _answer(self, writer, status, fields, body):
        lines = [f'HTTP/1.1 {status} -']
        lines += [f'{name}: {value}' for name, value in fields.items()]
        lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
