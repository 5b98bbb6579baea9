"""Faults of what gateways make of statements of backend servers."""

from tools.seeded_faults.faults import Edit
from tools.seeded_faults.faults import Fault

STATEMENT_FAULTS = (
    Fault(
        'a server that leaves gets new requests',
        'gateway/placing/placements.py',
        'or self.departures.covers(server.record.start)',
        'or False',
        'statements',
    ),
    Fault(
        'a departure covers later starts',
        'gateway/departures.py',
        'return born_ms is not None and start.born_ms <= born_ms',
        'return born_ms is not None',
        'statements',
    ),
    Fault(
        'only the answer to a caller says that a server leaves',
        'gateway/server_attempts.py',
        'if metadata.is_leaving and not metadata.is_misdirected:',
        'if False:',
        'statements',
        more=(
            Edit(
                'gateway/server_attempts.py',
                '        if metadata.is_leaving:\n',
                '        if metadata.is_leaving:\n'
                '            self._statements.record_departure(\n'
                '                server.record.start, server.record.address\n'
                '            )\n',
            ),
        ),
    ),
    Fault(
        'a server is looked up only when it is chosen',
        'gateway/connection_pools.py',
        'if request.may_send is not None and not request.may_send():',
        'if False:',
        'statements',
    ),
    Fault(
        'a gateway reports no departure',
        'gateway/departures.py',
        'return tuple(unknown[:MAX_REPORTED])',
        'return ()',
        'departures',
    ),
    Fault(
        'a gateway reports a departure that its view has',
        'gateway/departures.py',
        'and records[start.name].state is ServerState.READY\n',
        'and True\n',
        'statements',
    ),
    Fault(
        'a departure is recorded for a later start',
        'control/departures.py',
        'and record.start in starts',
        'and True',
        'statements',
    ),
    Fault(
        'each report of a departure is a change',
        'control/departures.py',
        'self._starts[start] = None',
        'self._starts[start, len(self._starts)] = None',
        'statements',
        more=(
            Edit(
                'control/departures.py',
                'starts, self._starts = self._starts, {}',
                'starts = [start for start, _ in self._starts]\n'
                '        self._starts = {}',
            ),
        ),
    ),
    Fault(
        'a late call of a server undoes its departure',
        'control/departures.py',
        'sequence=record.sequence + 1',
        'sequence=record.sequence - 1',
        'statements',
    ),
    Fault(
        'a relayed answer names no server that leaves',
        'gateway/callers.py',
        'if response.leaving is not None and',
        'if False and',
        'statements',
    ),
    Fault(
        'a gateway that relays learns of no departure',
        'gateway/relays.py',
        'if start is not None:',
        'if False:',
        'statements',
    ),
    Fault(
        'a full server gets requests within the time that it names',
        'gateway/backoffs.py',
        'return now_ms >= self.until_ms and self.in_flight',
        'return self.in_flight',
        'statements',
    ),
    Fault(
        'a gateway returns to a full server with all its requests',
        'gateway/backoffs.py',
        ' and self.in_flight < self.max_in_flight',
        '',
        'statements',
    ),
    Fault(
        'requests to a server that was full never grow',
        'gateway/backoffs.py',
        'backoff.max_in_flight *= 2',
        'pass',
        'statements',
    ),
    Fault(
        'all gateways return to a full server at the same moment',
        'gateway/backoffs.py',
        'until_ms = now_ms + wait_ms + self._random.uniform(0.0, spread_ms)',
        'until_ms = now_ms + wait_ms + spread_ms',
        'statements',
    ),
    Fault(
        'callers are told to come when the first gateway returns',
        'gateway/backoffs.py',
        'returned_ms = now_ms + wait_ms + spread_ms',
        'returned_ms = until_ms',
        'statements',
    ),
    Fault(
        'a server may name any time',
        'gateway/backoffs.py',
        'wait_ms = min(wait_ms, MAX_BACKOFF_MS)',
        'pass',
        'statements',
    ),
    Fault(
        'a back-off covers later starts',
        'gateway/backoffs.py',
        'self._backoffs[start] = Backoff(until_ms, returned_ms)',
        'self._backoffs[start] = Backoff(until_ms, returned_ms)\n'
        '        self._backoffs[start.name] = self._backoffs[start]',
        'statements',
        more=(
            Edit(
                'gateway/backoffs.py',
                'get(start)\n        return backoff is None or',
                'get(start.name)\n        return backoff is None or',
            ),
        ),
    ),
    Fault(
        'the time that a full server names is read once its refusal is whole',
        'gateway/server_attempts.py',
        'if metadata.names_wait(status):',
        'if False:',
        'statements',
        more=(
            Edit(
                'gateway/server_attempts.py',
                '        if metadata.load is not None and',
                '        if metadata.names_wait(response.status):\n'
                '            self._statements.record_backoff(\n'
                '                server.record.start,\n'
                '                server.record.address,\n'
                '                metadata.retry_after_ms,\n'
                '            )\n'
                '        if metadata.load is not None and',
            ),
        ),
    ),
    Fault(
        'callers are not told when the first full server has room',
        'gateway/placing/placements.py',
        'return min(waits_ms, default=0.0) or None',
        'return None',
        'statements',
    ),
    Fault(
        'a full server is judged as failing',
        'gateway/server_attempts.py',
        'if metadata.names_wait(response.status):\n'
        '            return response',
        'if False:\n            return response',
        'statements',
    ),
    Fault(
        'answers to requests from before a back-off count as its success',
        'gateway/backoffs.py',
        'if backoff is None or backoff is not counted:',
        'if backoff is None:',
        'statements',
    ),
    Fault(
        'any caller is told the start of a server that leaves',
        'gateway/callers.py',
        'self._forwarder.relay.is_relayed(',
        '(lambda each: each.is_relayed)(',
        'statements',
    ),
    Fault(
        'a start in doubt gets requests',
        'gateway/placing/placements.py',
        'self._leaves(server) or self.doubtful.find(server.record)',
        'self._leaves(server)',
        'statement_attribution',
    ),
    Fault(
        'a start in doubt is not checked',
        'gateway/start_checks.py',
        'await gather(*map(self._check, batch))',
        'pass',
        'statement_attribution',
    ),
    Fault(
        'starts that fail their checks keep others from being checked',
        'gateway/start_checks.py',
        'range(0, len(doubted), MAX_CHECKS)',
        'range(min(1, len(doubted)))',
        'statement_attribution',
    ),
    Fault(
        'a start is checked only when the view changes',
        'gateway/server_statements.py',
        'if self._statement_listener is not None:',
        'if False:',
        'statement_attribution',
    ),
    Fault(
        'any answer to a health check ends the doubt',
        'gateway/doubtful_starts.py',
        'if status == STATUS_SERVICE_UNAVAILABLE:',
        'if False:',
        'statement_attribution',
    ),
    Fault(
        'a health check is believed whichever server answers',
        'gateway/doubtful_starts.py',
        " or metadata.server_name not in ('', name)",
        '',
        'statement_attribution',
    ),
    Fault(
        'a health check says nothing of a start that is full',
        'gateway/beliefs/health_checks.py',
        'if outcome is CheckOutcome.FULL:',
        'if False:',
        'statement_attribution',
    ),
    Fault(
        'a start is in doubt whatever its address',
        'gateway/doubtful_starts.py',
        "and statement.address in ('', record.address)",
        'and True',
        'statement_attribution',
    ),
    Fault(
        'what another gateway relayed puts no start in doubt',
        'gateway/doubtful_starts.py',
        "statement.address in ('', record.address)",
        'statement.address == record.address',
        'statement_attribution',
    ),
    Fault(
        'what is said during a health check is forgotten with it',
        'gateway/doubtful_starts.py',
        'if statements.get(statement.born_ms) is statement:',
        'if statement.born_ms in statements:',
        'statement_attribution',
    ),
    Fault(
        'a health check of an earlier start ends the doubt',
        'gateway/start_checks.py',
        'if self._selector.find(record.name) is not server:',
        'if False:',
        'statement_attribution',
    ),
    Fault(
        'statements of any number of servers are kept',
        'gateway/doubtful_starts.py',
        'while len(self._statements) > NAME_LIMIT:',
        'while False:',
        'statement_attribution',
    ),
)
