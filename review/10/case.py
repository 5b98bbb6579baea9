"""An invalid configuration whose objective is a minute above its timeout."""

from os import environ
from pathlib import Path
from sys import path as sys_path

HERE = Path(__file__).resolve().parent
sys_path.insert(0, str(HERE.parent))

from deployment_2 import parse  # noqa: E402
from deployment_2 import run_case  # noqa: E402
from deployment_2 import Unavailable  # noqa: E402

HAS_TROUBLE = environ.get('TROUBLE', '1') != '0'
# Timeouts and objectives in seconds; True for those that are valid.
CONTROLS = ((4.1, 64.0, True), (4.0, 64.0, False), (4.1, 64.2, False))
TROUBLES = ((4.1, 64.1, False), (4.6, 64.6, False), (5.1, 65.1, False))


async def play(deployment):
    deployment.start_all()
    is_broken = False
    for timeout_s, slo_s, is_valid in CONTROLS + TROUBLES * HAS_TROUBLE:
        version = deployment.version
        spec = {
            'host': 'shop.example',
            'path_prefix': '/stock/',
            'kind': 'idempotent',
            'timeout_s': timeout_s,
            'slo_s': slo_s,
            'priority': 0,
            'service': 'stock',
            'max_attempts': 2,
            'sticky': False,
            'home_regions': [],
        }
        terms = {'health_path': '/healthz', 'max_conns': 390}
        answer = await deployment.put_configuration(
            {'r': spec}, {'stock': terms}
        )
        is_acknowledged = answer.status == 200
        if not is_acknowledged:
            deployment.version = version
        deployment.note(
            'put',
            timeout_s=timeout_s,
            slo_s=slo_s,
            is_valid=is_valid,
            status=answer.status,
        )
        if is_valid and not is_acknowledged:
            raise Unavailable('a valid configuration was refused')
        if is_acknowledged and not is_valid:
            is_broken = True
            held = parse(await deployment.order('GET', '/api/config'))
            print(
                f'timeout_s {timeout_s}, slo_s {slo_s}: acknowledged, and'
                f' read back as version {held["version"]}'
            )
    return is_broken


run_case(play, HERE)
