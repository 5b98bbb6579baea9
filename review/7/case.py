"""An instance that becomes cold again soon after its start."""

from asyncio import create_task
from asyncio import sleep
from os import environ
from pathlib import Path
from sys import path as sys_path
from time import monotonic

HERE = Path(__file__).resolve().parent
sys_path.insert(0, str(HERE.parent))

from deployment_2 import BOUNDS  # noqa: E402
from deployment_2 import Client  # noqa: E402
from deployment_2 import count_worst  # noqa: E402
from deployment_2 import Instance  # noqa: E402
from deployment_2 import run_case  # noqa: E402
from deployment_2 import Unavailable  # noqa: E402

HAS_TROUBLE = environ.get('TROUBLE', '1') != '0'
COLD_START_S = 3.0
COLD_PER_S = 5.0
BOUND = COLD_PER_S * BOUNDS['cold_over'] + BOUNDS['cold_slack']
RATE_PER_S = 90.0
# Time after the acknowledgement of a heartbeat in which all machines have it.
KNOWN_AFTER_S = 0.7
# When the instance becomes cold again, counted from its start.
COLD_AGAIN_S = 3.2


class ColdInstance(Instance):
    """Is cold after its start, and once more a moment later."""

    def __init__(self, *args):
        super().__init__(*args)
        self.born_s = monotonic()
        self.phases = [(self.born_s, self.born_s + COLD_START_S)]
        if HAS_TROUBLE:
            again_s = self.born_s + COLD_AGAIN_S
            self.phases.append((again_s, again_s + COLD_START_S))

    def cold_left_s(self):
        now_s = monotonic()
        for start_s, end_s in self.phases:
            if start_s <= now_s < end_s:
                return end_s - now_s
        return 0.0


async def play(deployment):
    deployment.start_all()
    for at in range(3):
        await Instance(deployment, f'i-warm{at}', 'stock', 'cymru-a').open()
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
    terms = {
        'health_path': '/healthz',
        'max_conns': 390,
        'protocol': 'h1',
        'tls': False,
        'cold_start_s': COLD_START_S,
        'cold_per_s': COLD_PER_S,
    }
    answer = await deployment.put_configuration({'r': spec}, {'stock': terms})
    if answer.status != 200:
        raise Unavailable('the configuration was refused')
    await deployment.wait_until_ready()
    await sleep(3.0)
    client = Client(deployment)
    traffic = create_task(
        client.send_evenly(
            RATE_PER_S,
            lambda random: f'/stock/{random.randrange(1000)}',
            monotonic() + 14.0,
        )
    )
    await sleep(3.0)
    cold = ColdInstance(deployment, 'i-cold', 'stock', 'cymru-a')
    cold.heartbeat_s = 1.45
    await cold.open()
    await traffic
    is_broken = False
    for start_s, end_s in cold.phases:
        told = [at for at, _, left in cold.beats if start_s < at < end_s]
        if not told:
            raise Unavailable('no heartbeat of a cold phase was acknowledged')
        known_s = told[0] + KNOWN_AFTER_S
        worst = count_worst(cold, client.sent, known_s, end_s)
        is_broken |= worst > BOUND
        deployment.note(
            'judged',
            cold_from_s=round(start_s - cold.born_s, 2),
            judged_from_s=round(known_s - cold.born_s, 2),
            to_s=round(end_s - cold.born_s, 2),
            most_in_a_second=worst,
            bound=BOUND,
        )
        print(
            f'cold phase: at most {worst} requests in a second,'
            f' {BOUND} allowed'
        )
    served = sum(
        answer is not None and answer.status == 200
        for answer in client.answers.values()
    )
    print(f'{served} of {len(client.sent)} requests served')
    if served < len(client.sent) / 2:
        raise Unavailable('too few requests were served')
    return is_broken


run_case(play, HERE)
