"""A valid configuration with a large limit for the heads of requests."""

from asyncio import sleep
from os import environ
from pathlib import Path
from sys import path as sys_path

HERE = Path(__file__).resolve().parent
sys_path.insert(0, str(HERE.parent))

from deployment_2 import BOUNDS  # noqa: E402
from deployment_2 import Client  # noqa: E402
from deployment_2 import Instance  # noqa: E402
from deployment_2 import run_case  # noqa: E402

HAS_TROUBLE = environ.get('TROUBLE', '1') != '0'
# 4 GiB, and half of that for comparison.
LARGE_BYTES = 2**32 if HAS_TROUBLE else 2**31
REQUESTS = 40


async def put(deployment, max_header_bytes):
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
    limits = {
        'max_header_bytes': max_header_bytes,
        'max_body_bytes': 67_108_864,
        'header_timeout_s': 3,
        'idle_timeout_s': 15,
    }
    return await deployment.put_configuration(
        {'r': spec}, {'stock': terms}, limits
    )


async def count_answers(deployment):
    """Return how many requests are served and how many get any answer."""
    client = Client(deployment)
    for at in range(REQUESTS):
        await client.send(f'/stock/{at}')
    answers = [each for each in client.answers.values() if each is not None]
    served = sum(each.status == 200 for each in answers)
    return served, len(answers)


async def play(deployment):
    deployment.start_all()
    for at in range(2):
        await Instance(deployment, f'i-{at}', 'stock', 'cymru-a').open()
    # The first configuration, so that no request is served before it.
    answer = await put(deployment, LARGE_BYTES)
    if answer.status != 200:
        print(f'refused with {answer.status}, as is allowed')
        return False
    await deployment.wait_until_ready()
    await sleep(BOUNDS['config_apply_s'] + BOUNDS['contact_s'])
    served, answered = await count_answers(deployment)
    deployment.note('judged', served=served, answered=answered, of=REQUESTS)
    print(f'of {REQUESTS}: {served} served, {answered} answered at all')
    return not served


run_case(play, HERE)
