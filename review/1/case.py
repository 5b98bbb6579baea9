"""A frozen control node holds an operator's order that was given again.

The operator ends the evacuation of a zone.  The node that it asks first is
frozen and does not answer, so it asks another one, which acknowledges.  It
evacuates the zone again, which is acknowledged too.  Then the node wakes.
"""

from asyncio import create_task
from asyncio import sleep
from os import environ
from pathlib import Path
from signal import SIGCONT
from signal import SIGSTOP
import sys

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from clients import Client  # noqa: E402
from clients import end_clients  # noqa: E402
from deployments import BOUNDS  # noqa: E402
from deployments import CannotRun  # noqa: E402
from deployments import run_case  # noqa: E402
from instances import Instance  # noqa: E402

CASE = Path(__file__).parent
TROUBLE = environ.get('TROUBLE', '1') != '0'
ZONE = 'puget-b'
FREEZE_S = 4.0
WATCH_S = 20.0


async def play(deployment):
    deployment.start_all()
    instances = []
    for at in range(6):
        zone = ('puget-a', 'puget-b')[at % 2]
        ip = f'127.{deployment.net}.3.{at + 1}'
        instances.append(Instance(deployment, f'i-{at}', 'teller', zone, ip))
    await deployment.configure(
        [('/balance/', 'idempotent', 'teller', 2.5)], ['teller']
    )
    await deployment.wait_until_ready()
    for instance in instances:
        await instance.start()
    await sleep(3)
    clients = [Client(deployment, 'GET', '/balance/', 0.1) for _ in range(6)]
    tasks = [create_task(client.run()) for client in clients]
    await sleep(3)
    if not all(instance.runs for instance in instances):
        raise CannotRun('not all instances get requests')
    path = f'/api/evacuate/{ZONE}'
    await deployment.order('POST', path)
    await sleep(BOUNDS['evac_s'] + 1)
    leader = deployment.leader()
    node = next(ip for ip in deployment.controls if ip != leader)
    deployment.record.write('leader', node=leader, asked_first=node)
    if TROUBLE:
        deployment.signal(node, SIGSTOP)
        thaw = create_task(wake_later(deployment, node))
    await deployment.order('DELETE', path, first=node)
    await sleep(0.5)
    others = [ip for ip in deployment.controls if ip != node]
    await deployment.order('POST', path, first=others[0])
    acked_s = deployment.record.now_s()
    deployment.record.write('evacuated_again', zone=ZONE)
    if TROUBLE:
        await thaw
    # From then on the core is stable, and all gateways are in touch.
    stable_s = deployment.record.now_s() + BOUNDS['contact_s']
    await sleep(WATCH_S)
    ended_s = deployment.record.now_s()
    await end_clients(tasks)
    for instance in instances:
        await instance.stop()
    late = []
    for instance in instances:
        for at_s, request_id, _, run_path, _ in instance.runs:
            deployment.record.write(
                'ran',
                at=f'{at_s:.3f}',
                id=request_id,
                instance=instance.name,
                zone=instance.zone,
                path=run_path,
            )
            # An unstable core may stretch the bound.
            bound_s = BOUNDS['evac_s'] + BOUNDS['max_stretch_s']
            since_s = max(acked_s + bound_s, stable_s)
            if instance.zone == ZONE and at_s > since_s and (
                Client.sent[request_id][0] > since_s
            ):
                late.append(at_s)
    served = sum(answer[1] == 200 for answer in Client.answers.values())
    deployment.record.write(
        'result',
        acked=f'{acked_s:.3f}',
        watched_until=f'{ended_s:.3f}',
        served=served,
        late_runs_in_zone=len(late),
    )
    if served < 100:
        raise CannotRun(f'only {served} requests were served')
    print(f'{len(late)} runs in {ZONE} later than evac_s and'
          f' max_stretch_s after its acknowledgement; {served} requests served')
    return 1 if late else 0


async def wake_later(deployment, node):
    await sleep(FREEZE_S)
    deployment.signal(node, SIGCONT)


if __name__ == '__main__':
    sys.exit(
        run_case(
            play,
            CASE,
            ['puget-a', 'willamette-a', 'inland-a', 'puget-b', 'willamette-b'],
            ['puget-a', 'puget-b', 'willamette-a'],
        )
    )
