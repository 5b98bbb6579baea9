"""Faults that features and soak seeds must detect, by part of the product."""

from tools.seeded_faults.accounts import ACCOUNT_FAULTS
from tools.seeded_faults.client_memory import CLIENT_MEMORY_FAULTS
from tools.seeded_faults.common import COMMON_FAULTS
from tools.seeded_faults.control import CONTROL_FAULTS
from tools.seeded_faults.entry import ENTRY_FAULTS
from tools.seeded_faults.faults import Edit
from tools.seeded_faults.faults import Fault
from tools.seeded_faults.gateway import GATEWAY_FAULTS
from tools.seeded_faults.gateway_callers import GATEWAY_CALLER_FAULTS
from tools.seeded_faults.statements import STATEMENT_FAULTS

FAULTS = (
    ACCOUNT_FAULTS
    + CLIENT_MEMORY_FAULTS
    + COMMON_FAULTS
    + CONTROL_FAULTS
    + ENTRY_FAULTS
    + GATEWAY_FAULTS
    + GATEWAY_CALLER_FAULTS
    + STATEMENT_FAULTS
)

__all__ = (
    'Edit',
    'FAULTS',
    'Fault',
)
