"""An instance leaves right after a cut; a heartbeat of the cut comes late."""

from asyncio import create_task
from asyncio import IncompleteReadError
from asyncio import Lock
from asyncio import open_connection
from asyncio import sleep
from asyncio import start_server
from asyncio import wait_for
from json import dumps
from os import environ
from pathlib import Path
from sys import path as sys_path
from time import monotonic

HERE = Path(__file__).resolve().parent
sys_path.insert(0, str(HERE.parent))

from deployment_2 import BOUNDS  # noqa: E402
from deployment_2 import Client  # noqa: E402
from deployment_2 import Instance  # noqa: E402
from deployment_2 import read_answer  # noqa: E402
from deployment_2 import run_case  # noqa: E402
from deployment_2 import Unavailable  # noqa: E402

HAS_TROUBLE = environ.get('TROUBLE', '1') != '0'
RATE_PER_S = 30.0
CUT_S = 9.5
# The cut begins this time after a heartbeat.
AFTER_BEAT_S = 1.2
# The instance is told to leave this time before the cut ends.
LEAVES_BEFORE_S = 4.0
# The sender's TCP sends again some time after the cut has healed.
RESEND_S = 1.5
# The instance serves on for this time after its departure was acknowledged.
SERVES_ON_S = 8.0


class Link:
    """A proxy between an instance and a control host that may be cut.

    During a cut bytes are held and new connections are not answered.  Held
    bytes arrive after the cut, also if their sender has closed since.
    """

    def __init__(self, deployment, target):
        self._deployment = deployment
        self._target = target
        self._until_s = 0.0
        self.address = ''

    async def open(self):
        server = await start_server(
            self._serve, f'{self._deployment.instance_net}.251', 0
        )
        ip, port = server.sockets[0].getsockname()
        self.address = f'{ip}:{port}'

    def cut(self, duration_s):
        self._until_s = monotonic() + duration_s

    @property
    def is_cut(self):
        return monotonic() < self._until_s

    async def _serve(self, reader, writer):
        if self.is_cut:
            # What connects during a cut gives up unanswered.
            await reader.read()
            writer.close()
            return
        ip, _, port = self._target.partition(':')
        try:
            far_reader, far_writer = await open_connection(ip, int(port))
        except OSError:
            writer.close()
            return
        back = create_task(self._pass(far_reader, writer))
        await self._pass(reader, far_writer)
        await back

    async def _pass(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if self.is_cut:
                    await sleep(self._until_s - monotonic() + RESEND_S)
                    self._deployment.note('held_bytes_arrive', size=len(data))
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()


class CutInstance(Instance):
    """Sends its heartbeats on one kept connection as long as it answers."""

    def __init__(self, *args):
        super().__init__(*args)
        self.links = []
        self._kept = None
        self._lock = Lock()

    async def send_heartbeat(self):
        self.sequence += 1
        body = dumps(
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': self.state,
                'cold_left_s': 0,
                'seq': self.sequence,
                'born': self.born_ms,
            }
        ).encode()
        answer = await self.exchange('PUT', body)
        self.deployment.note(
            'heartbeat',
            instance=self.name,
            seq=self.sequence,
            answer=answer.status if answer else 'none',
        )
        return answer is not None

    async def exchange(self, method, body):
        """Call a control host, others after a second without an answer."""
        async with self._lock:
            return await self._exchange(method, body)

    async def _exchange(self, method, body):
        for link in self.links:
            try:
                if self._kept is None:
                    ip, _, port = link.address.partition(':')
                    self._kept = await open_connection(ip, int(port))
                reader, writer = self._kept
                writer.write(
                    f'{method} /api/instances/{self.name} HTTP/1.1\r\n'
                    f'Host: control\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(body)}\r\n\r\n'.encode() + body
                )
                return await wait_for(read_answer(reader), 1.0)
            except (OSError, TimeoutError, IncompleteReadError):
                if self._kept is not None:
                    self._kept[1].close()
                self._kept = None
        return None


async def play(deployment):
    deployment.start_all()
    stays = Instance(deployment, 'i-stays', 'stock', 'cymru-a')
    await stays.open()
    leaves = CutInstance(deployment, 'i-leaves', 'stock', 'cymru-a')
    spec = {
        'host': 'shop.example',
        'path_prefix': '/stock/',
        'kind': 'idempotent',
        'timeout_s': 1.0,
        'slo_s': 0.4,
        'priority': 0,
        'service': 'stock',
        'max_attempts': 2,
        'sticky': False,
        'home_regions': [],
    }
    terms = {'health_path': '/healthz', 'max_conns': 390}
    answer = await deployment.put_configuration({'r': spec}, {'stock': terms})
    if answer.status != 200:
        raise Unavailable('the configuration was refused')
    await deployment.wait_until_ready()
    # The host that has the late heartbeat is the one that counts them.
    leader = deployment.find_leader()
    others = [ip for ip in deployment.control if ip != leader]
    for ip in (leader, *others):
        link = Link(deployment, f'{ip}:{deployment.ports["control"]}')
        await link.open()
        leaves.links.append(link)
    await leaves.open()
    # Some heartbeats of both instances.
    await sleep(6.0)
    client = Client(deployment)
    traffic = create_task(
        client.send_evenly(
            RATE_PER_S,
            lambda random: f'/stock/{random.randrange(1000)}',
            monotonic() + CUT_S + 16.0,
        )
    )
    await sleep(1.0)
    beats = leaves.sequence
    while leaves.sequence == beats:
        await sleep(0.01)
    await sleep(AFTER_BEAT_S)
    if HAS_TROUBLE:
        deployment.note('cut_begins')
        for link in leaves.links:
            link.cut(CUT_S)
    await sleep(CUT_S - LEAVES_BEFORE_S)
    if not leaves.arrivals:
        raise Unavailable('the instance got no request before')
    # It is told to leave: it sends no heartbeats any more, and asks until its
    # departure is acknowledged.
    leaves.is_silent = True
    deployment.note('told_to_leave', instance=leaves.name)
    answer = None
    until_s = monotonic() + LEAVES_BEFORE_S + 5.0
    body = dumps({'born': leaves.born_ms}).encode()
    while answer is None and monotonic() < until_s:
        answer = await leaves.exchange('DELETE', body)
    if answer is None or not 200 <= answer.status < 300:
        raise Unavailable('the departure was not acknowledged')
    acknowledged_s = monotonic()
    deployment.note('departure_acknowledged', instance=leaves.name)
    await sleep(SERVES_ON_S)
    last_s = monotonic()
    late = [
        at_s - acknowledged_s
        for at_s, *_ in leaves.arrivals
        if acknowledged_s + BOUNDS['drain_s'] < at_s <= last_s
    ]
    deployment.note('judged', late_requests=len(late))
    await traffic
    print(f'{len(late)} requests reached the instance after drain_s', late[:3])
    served = sum(
        answer is not None and answer.status == 200
        for answer in client.answers.values()
    )
    print(f'{served} of {len(client.sent)} requests served')
    return bool(late)


run_case(play, HERE)
