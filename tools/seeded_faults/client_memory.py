"""Faults of the memory that clients hold."""

from tools.seeded_faults.faults import Edit
from tools.seeded_faults.faults import Fault

CLIENT_MEMORY_FAULTS = (
    Fault(
        'who holds most loses it although it goes on',
        'gateway/budgets/memory_budgets.py',
        'is_still = still_s >= STALL_S',
        'is_still = False',
        'memory_budgets',
    ),
    Fault(
        'a byte now and then counts as progress',
        'gateway/budgets/memory_budgets.py',
        'if self.arrived_bytes * PROGRESS_PARTS >= self.size:',
        'if True:',
        'memory_budgets',
    ),
    Fault(
        'requests that run leave no room for ordinary ones',
        'gateway/budgets/memory_budgets.py',
        'SMALL_PART = 1 / 8',
        'SMALL_PART = 0',
        'memory_budgets',
    ),
    Fault(
        'a request that may run is given up for memory',
        'gateway/budgets/memory_budgets.py',
        'if not holder.is_abortable:\n            continue',
        'if False:\n            continue',
        'memory_budgets',
        more=(
            Edit(
                'gateway/budgets/memory_budgets.py',
                'if hold is None or not holder.is_abortable:',
                'if hold is None:',
            ),
        ),
    ),
    Fault(
        'small parts of a body are kept one by one',
        'gateway/budgets/bodies.py',
        'if len(part) >= SMALL_BYTES:',
        'if True:',
        'memory_budgets',
    ),
    Fault(
        'the bound does not follow the memory of the machine',
        'gateway/budgets/memory_limits.py',
        'rest_bytes = machine_bytes - PROCESS_BYTES',
        'rest_bytes = 200_000_000 - PROCESS_BYTES',
        'memory_budgets',
    ),
    Fault(
        'fields of heads are charged at their bytes',
        'gateway/budgets/heads.py',
        "return 2 * len(head) + FIELD_BYTES * head.count(b'\\n')",
        'return 2 * len(head)',
        'memory_budgets',
    ),
    Fault(
        'a read of the configuration joins a call that began before it',
        'control/read_batches.py',
        'self._running, self._waiting = self._waiting, None',
        'self._running = self._waiting',
        'read_batches',
    ),
    Fault(
        'bytes of short chunks are lost',
        'gateway/message_streams.py',
        'self._unread = self._unread[num_bytes:]',
        "self._unread = b''",
        'chunks',
    ),
    Fault(
        'the token of a peer is not checked',
        'adapters.py',
        'if compare_digest(token.encode(), self._token):',
        'if True:',
        'connections',
    ),
)
