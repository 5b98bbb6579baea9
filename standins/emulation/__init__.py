"""Emulated deployments of gateways and backend servers in simulated time."""

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
from standins.emulation.emulator import Emulator
from standins.emulation.examples import EXAMPLES
from standins.emulation.policies import BASELINES
from standins.emulation.policies import PRESENT
from standins.emulation.tallies import Tally

__all__ = (
    'BASELINES',
    'Deployment',
    'Emulator',
    'EXAMPLES',
    'Evacuation',
    'Fullness',
    'Isolation',
    'Kind',
    'Noise',
    'PRESENT',
    'Region',
    'Replacement',
    'Span',
    'Tally',
    'Wave',
)
