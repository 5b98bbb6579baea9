"""Faults of entry hosts."""

from tools.seeded_faults.faults import Fault

ENTRY_FAULTS = (
    Fault(
        'rank floors earn no credit',
        'entry/queues.py',
        'earned = queue.credit + queue.floor_percent / FULL_PERCENT',
        'earned = 0.0',
        'queues',
    ),
    Fault(
        'a request that would miss its deadline is not refused early',
        'entry/queues.py',
        'if now_ms + wait_ms + rate.service_ms > item.deadline_ms:',
        'if False:',
        'queues',
    ),
    Fault(
        'a load report can raise the usable slots',
        'entry/slots.py',
        'usable = min(slots, self.report.usable_slots, ramped, shed_limit)',
        'usable = max(slots, min(99, self.report.usable_slots))',
        'owners',
    ),
    Fault(
        'requests in flight do not occupy slots',
        'entry/slots.py',
        'return max(0, self.capacity(now_ms) - self.in_flight)',
        'return self.capacity(now_ms)',
        'owners',
    ),
    Fault(
        'a suspect request does not run in isolation',
        'entry/dispatch.py',
        'if request.isolated:',
        'if False:',
        'owners',
    ),
    Fault(
        'a request is not cancelled when its caller disconnects',
        'entry/dispatch.py',
        'if item.server is None:\n            return',
        'return',
        'owners',
    ),
    Fault(
        'an attempt with an unknown outcome is ignored',
        'entry/coordinators.py',
        'if reply.refusal.run is Run.UNKNOWN:\n                run = '
        'Run.UNKNOWN',
        'if False:\n                run = Run.UNKNOWN',
        'outcomes',
    ),
    Fault(
        'an order is aborted when its caller disconnects',
        'entry/coordinators.py',
        'return await shield(task)',
        'return await task',
        'outcomes',
    ),
    Fault(
        'a refusal before the claim is reported as not run',
        'entry/admissions.py',
        'return Run.NO if admitted.route.repeatable else Run.UNKNOWN',
        'return Run.NO',
        'outcomes',
    ),
    Fault(
        'a move to another host uses the retry budget',
        'entry/coordinators.py',
        'if host and self._may_move(reply, admitted, attempt):',
        'if False:',
        'outcomes',
    ),
    Fault(
        'bodies without end are collected by an entry host',
        'entry/backends.py',
        'self._budget.add(self, self._buffer.add(chunk))',
        'self._buffer.add(chunk)',
        'body_budgets',
    ),
    Fault(
        'a cancelled attempt goes on to collect its response',
        'entry/backends.py',
        'except CancelledError:\n            reader.abort()',
        'except CancelledError:\n            pass',
        'body_budgets',
    ),
)
