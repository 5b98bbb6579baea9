"""Clients that make processes hold memory, and what these hold at most.

They stop in the middle of heads and bodies, send bodies in tiny chunks, do not
read answers or send nothing, at each listener.
"""

from asyncio import open_connection
from asyncio import sleep
from asyncio import TimeoutError as AsyncTimeoutError
from asyncio import wait_for
from pathlib import Path

CLIENTS = 12
# Memory of each machine.
MEMORY_MB = 200
CONNECT_TIMEOUT_S = 1.0
HOLD_RANGE_S = (0.2, 6.0)
CHECK_INTERVAL_S = 1.0
HEAD = 'POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: held\r\n'
FIELDS = ''.join(f'{index:x}:\r\n' for index in range(500))
PIECE = bytes(65_536)
PIECES = 16
TINY_CHUNKS = b'2\r\nxx\r\n' * 1000
RESPONSES = 8
LISTENERS = {
    'caller': '/stock/1',
    'ready': '/api/readyz',
    'control': '/api/config',
    'directory': '/api/resolve',
}
GATEWAY_LISTENERS = ('caller', 'ready')


def _stop_in_head(head):
    return (head + FIELDS)[:-2].encode()


def _stop_behind_fields(head):
    return f'{head}{FIELDS}Content-Length: 2\r\n\r\nx'.encode()


def _stop_in_body(head):
    size = (PIECES + 1) * len(PIECE)
    return f'{head}Content-Length: {size}\r\n\r\n'.encode() + PIECES * PIECE


def _stop_in_tiny_chunks(head):
    return f'{head}Transfer-Encoding: chunked\r\n\r\n'.encode() + TINY_CHUNKS


def _read_nothing(head):
    return RESPONSES * f'{head}Content-Length: 0\r\n\r\n'.encode()


def _send_nothing(head):
    return b''


ACTS = (
    _stop_in_head,
    _stop_behind_fields,
    _stop_in_body,
    _stop_in_tiny_chunks,
    _read_nothing,
    _send_nothing,
)


class HoldingClient:
    """Opens one connection after the other and goes on with none of them.

    :param soak: the :class:`Soak` run that the client belongs to.
    :param random: random number generator of its own.
    """

    def __init__(self, soak, random):
        self._soak = soak
        self._random = random

    async def run(self):
        """Open connections until no more faults are injected."""
        while not self._soak.faults_are_over:
            listener = self._random.choice(tuple(LISTENERS))
            act = self._random.choice(ACTS)
            hold_s = self._random.uniform(*HOLD_RANGE_S)
            try:
                await self._hold(listener, act, hold_s)
            except (OSError, AsyncTimeoutError):
                # Refused or closed, which it may be.
                await sleep(CONNECT_TIMEOUT_S)

    async def _hold(self, listener, act, hold_s):
        is_gateway = listener in GATEWAY_LISTENERS
        processes = self._soak.gateways if is_gateway else self._soak.control
        address = self._random.choice(processes).address(listener)
        host, _, port = address.rpartition(':')
        _, writer = await wait_for(
            open_connection(host, int(port)), CONNECT_TIMEOUT_S
        )
        try:
            writer.transport.pause_reading()
            writer.write(act(HEAD.format(path=LISTENERS[listener])))
            await sleep(hold_s)
        finally:
            writer.transport.abort()


async def watch_memory(soak):
    """Record processes that hold more than their machines have.

    :param soak: the :class:`Soak` run.
    """
    while True:
        await sleep(CHECK_INTERVAL_S)
        for process in soak.control + soak.gateways:
            used_mb = read_memory_mb(process.process_id)
            if used_mb > MEMORY_MB:
                soak.ledger.record_violation(
                    'MEMORY', f'{process.name} has {used_mb:.0f} MB'
                )


def read_memory_mb(process_id):
    """Return the memory that a process has, 0 if it has ended.

    :param process_id: its id, or None if it does not run.
    """
    try:
        lines = Path(f'/proc/{process_id}/status').read_text().splitlines()
    except OSError:
        return 0.0
    for line in lines:
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * 1024 / 1e6
    return 0.0
