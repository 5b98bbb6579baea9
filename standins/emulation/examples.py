"""Example deployments: a service of few servers and one of hundreds."""

from standins.emulation.deployments import Deployment
from standins.emulation.deployments import Evacuation
from standins.emulation.deployments import Fullness
from standins.emulation.deployments import Isolation
from standins.emulation.deployments import Kind
from standins.emulation.deployments import Noise
from standins.emulation.deployments import Region
from standins.emulation.deployments import Replacement
from standins.emulation.deployments import Span
from standins.emulation.deployments import Wave

# A service whose machines are shared: some of its work takes far longer.
FEW_SERVERS = Deployment(
    regions=(
        Region('pampa', 4, 8),
        Region('cuyo', 3, 2),
        Region('noa', 3, 6),
    ),
    kinds=(
        Kind(
            'lesson',
            rate_per_s=114,
            work_ms=540,
            objective_ms=500,
            timeout_ms=1200,
            deadline_ms=3000,
            objects=56,
            tail=0.03,
            rank=2,
        ),
        Kind(
            'certificate',
            rate_per_s=57,
            work_ms=710,
            objective_ms=600,
            timeout_ms=1500,
            deadline_ms=4000,
            objects=48,
            worth=2.0,
            late_worth=0.4,
            tail=0.03,
            rank=1,
            is_idempotent=False,
        ),
    ),
    wave=Wave(0.55),
    noise=Noise(0.15, 2.5),
)

# A service whose gateways meet a server once in many seconds.
HUNDREDS_OF_SERVERS = Deployment(
    regions=(
        Region('cymru', 65, 102),
        Region('lloegr', 65, 150),
        Region('iwerddon', 65, 54),
    ),
    kinds=(
        Kind(
            'stock',
            rate_per_s=619,
            work_ms=1536,
            objective_ms=1000,
            timeout_ms=6000,
            deadline_ms=6000,
            objects=350,
            worth=1.5,
            late_worth=0.12,
            rank=0,
        ),
        Kind(
            'order',
            rate_per_s=271,
            work_ms=2016,
            objective_ms=1200,
            timeout_ms=8000,
            deadline_ms=8000,
            objects=300,
            worth=1.6,
            late_worth=0.31,
            rank=1,
            is_idempotent=False,
        ),
    ),
    slots=4,
    queue=12,
    cached_objects=12,
    retry_slack=430,
    wave=Wave(0.3),
)
EXAMPLES = {
    'few servers': FEW_SERVERS,
    'hundreds of servers': HUNDREDS_OF_SERVERS,
}
# Fields of a deployment that make a trouble.  The evacuated domain belongs to
# "few servers".
TROUBLES = {
    '': {},
    'burst': {'bursts': (Span(8.0, 12.0, 1.7),)},
    'shed': {'shedding': (Span(10.0, 18.0, 0.5),)},
    'blind': {'blind': (Span(15.0, 16.8, 1.0),)},
    'isolation': {'isolations': (Isolation(0.5, 8.0, 18.0),)},
    'evacuation': {'evacuations': (Evacuation('noa-a', 8.0, 20.0),)},
    'replacements': {'replacements': (Replacement(0.5, 4.0, 20.0),)},
    'full': {'fullness': (Fullness(0.5, 8.0, 20.0, 1.5),)},
    'all full': {'fullness': (Fullness(1.0, 8.0, 20.0, 1.5, True),)},
}
