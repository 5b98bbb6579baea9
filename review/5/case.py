"""Kept connections refuse what a newer configuration allows.

Clients keep their connections.  The operator raises ``max_body_bytes``.  Well
after the acknowledgement each client sends a body that the new limit allows
and the old one did not.
"""

from asyncio import gather
from asyncio import sleep
from os import environ
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from clients import Client  # noqa: E402
from deployments import BOUNDS  # noqa: E402
from deployments import CannotRun  # noqa: E402
from deployments import run_case  # noqa: E402
from instances import Instance  # noqa: E402

CASE = Path(__file__).parent
TROUBLE = environ.get('TROUBLE', '1') != '0'
CLIENTS = 12
HIGH_BYTES = 67_108_864
LOW_BYTES = 4_096 if TROUBLE else HIGH_BYTES
# The largest body of the site's deposits has 7,200 bytes.
BODY_BYTES = 7_000
ROUTES = [('/deposit/', 'non_idempotent', 'teller', 2.5)]


async def play(deployment):
    record = deployment.record
    deployment.start_all()
    instances = []
    for at in range(6):
        zone = ('puget-a', 'puget-b')[at % 2]
        ip = f'127.{deployment.net}.3.{at + 1}'
        instances.append(Instance(deployment, f'i-{at}', 'teller', zone, ip))
    await deployment.configure(ROUTES, ['teller'], body_bytes=LOW_BYTES)
    await deployment.wait_until_ready()
    for instance in instances:
        await instance.start()
    await sleep(4)
    gateways = list(deployment.gateways)
    clients = [
        Client(deployment, 'POST', '/deposit/', 0.1) for _ in range(CLIENTS)
    ]
    before = await gather(
        *(
            client.send(gateways[at % 2], bytes(1000))
            for at, client in enumerate(clients)
        )
    )
    await deployment.configure(
        ROUTES, ['teller'], 5, 1, body_bytes=HIGH_BYTES
    )
    await sleep(BOUNDS['config_apply_s'] + 1)
    # One request on each kept connection.
    answers = await gather(
        *(
            client.send(gateways[at % 2], bytes(BODY_BYTES))
            for at, client in enumerate(clients)
        )
    )
    fresh = Client(deployment, 'POST', '/deposit/', 0.1)
    on_new = [
        await fresh.send(gateway, bytes(BODY_BYTES)) for gateway in gateways
    ]
    for instance in instances:
        await instance.stop()
        for at_s, request_id, _, _, size in instance.runs:
            record.write(
                'ran', at=f'{at_s:.3f}', id=request_id, instance=instance.name,
                bytes=size,
            )
    refused = [
        answer for answer in answers
        if answer is not None and 400 <= answer.status < 500
    ]
    served = sum(
        answer is not None and answer.status == 200
        for answer in before + on_new
    )
    record.write('result', refused=len(refused), sent=len(answers))
    print(f'{len(refused)} of {len(answers)} requests on kept connections'
          f' refused later than config_apply_s after the change;'
          f' {served} of {len(before + on_new)} others served')
    if served < len(before + on_new) - 1:
        raise CannotRun('the other requests were not served')
    return 1 if len(refused) > 5 + len(Client.sent) / 500 else 0


if __name__ == '__main__':
    sys.exit(
        run_case(
            play,
            CASE,
            ['puget-a', 'willamette-a', 'inland-a'],
            ['puget-a', 'puget-b'],
        )
    )
