"""Faults of modules that several roles use."""

from tools.seeded_faults.faults import Edit
from tools.seeded_faults.faults import Fault

COMMON_FAULTS = (
    Fault(
        'a region drain takes effect before its blocks have moved',
        'drains.py',
        'if drain.scope is not DrainScope.REGION or drain.name not in in_use',
        'if True',
        'steering',
    ),
    Fault(
        'a stale snapshot is restored',
        'views.py',
        'if snapshot.revision <= self._revision:',
        'if False:',
        'agreement',
    ),
    Fault(
        'a delta is applied after a gap',
        'views.py',
        'if delta.revision != self._revision + 1:',
        'if delta.revision <= self._revision:',
        'agreement',
    ),
    Fault(
        'a lease outlasts its time since the request was sent',
        'leases.py',
        'PendingRenewal(sent_ms, sent_ms + lease_ms, needed_revision)',
        'PendingRenewal(sent_ms, sent_ms + 2 * lease_ms, needed_revision)',
        'agreement',
    ),
    Fault(
        'a lease is held before its revision is reached',
        'leases.py',
        'if renewal.needed_revision <= revision',
        'if True',
        'agreement',
    ),
    Fault(
        'a previous owner is not asked',
        'ownership.py',
        'owners[owner.name] = present[owner.name]',
        'pass',
        'owners',
    ),
    Fault(
        'a request that may have run is retried',
        'retries.py',
        'if failure.run is not Run.NO and not failure.repeatable:\n'
        '            return False\n        if failure.attempt >=',
        'if failure.attempt >=',
        'outcomes',
    ),
    Fault(
        'retries have no budget',
        'retries.py',
        'failure.left_ms <= 0:\n            return False\n'
        '        if self._tokens < 1.0:\n            return False\n'
        '        self._tokens -= 1.0',
        'failure.left_ms <= 0:\n            return False\n'
        '        if self._tokens < 1.0:\n            return False\n'
        '        pass',
        'outcomes',
    ),
    Fault(
        'a bad request is never quarantined',
        'quarantine.py',
        'return existing is not None and must_be_refused(existing)',
        'return False',
        'outcomes',
    ),
    Fault(
        'the counts of silent gateways are kept',
        'load_boards.py',
        'if now_ms - each.received_ms >= MAX_COUNT_AGE_MS',
        'if False',
        'load_boards',
    ),
    Fault(
        'each host of a region pulls from another region',
        'leases.py',
        'return members[(position - self._roots) // self._fan_out]',
        'return self._regions[region - 1][\n'
        '                (position - self._roots) // self._fan_out\n'
        '            ]',
        'agreement',
    ),
    Fault(
        'a change of the configuration is sent with all its items',
        'configurations.py',
        'if values.get(item.id) != item.value',
        'if True',
        'routes',
    ),
    Fault(
        'a pull is never given more time',
        'host_tasks.py',
        'PULL_TIMEOUT_S * (1 + rounds)',
        'PULL_TIMEOUT_S',
        'gateway_starts',
    ),
    Fault(
        'integers beyond 64 bits are taken',
        'bounds.py',
        'MAX_INTEGER = 2**63 - 1',
        'MAX_INTEGER = 2**63 - 1\nCount = int',
        'odd_entries',
        more=(
            Edit(
                'bounds.py',
                'Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]\n',
                '',
            ),
        ),
    ),
    Fault(
        'a nested heartbeat ends its call with an error of its own',
        'platform/heartbeats.py',
        '(MsgspecError, RecursionError, UnicodeDecodeError)',
        '(MsgspecError, UnicodeDecodeError)',
        'odd_entries',
    ),
    Fault(
        'any port is taken',
        'bounds.py',
        'or not 0 < port <= MAX_PORT',
        'or False',
        'odd_entries',
    ),
    Fault(
        'a line waits for the reader of the log',
        'log_streams.py',
        '            self._waiting += data\n'
        '            self._changed.notify()',
        '            self._write_all(data)',
        'logs',
    ),
    Fault(
        'lines that nobody reads are kept without a bound',
        'log_streams.py',
        'if len(self._waiting) + len(data) > self._buffer_bytes:',
        'if False:',
        'logs',
    ),
    Fault(
        'an end waits for the reader of the log',
        'log_streams.py',
        'self._thread.join(max(0.0, self._deadline_s - monotonic()))',
        'self._thread.join(10.0)',
        'logs',
    ),
    Fault(
        'deltas are bounded by their number only',
        'control/delta_logs.py',
        'while dropped < surplus or self._bytes > DELTA_LIMIT_BYTES:',
        'while dropped < surplus:',
        'memory',
    ),
    Fault(
        'a message nested too deeply is no refusal',
        'decoding.py',
        'DECODE_ERRORS = (MsgspecError, RecursionError)',
        'DECODE_ERRORS = (MsgspecError,)',
        'odd_bodies',
    ),
    Fault(
        'a packed view that is cut off ends the pull',
        'control/pulls.py',
        'except LZMAError as error:',
        'except KeyError as error:',
        'odd_bodies',
    ),
    Fault(
        'a replica takes commands that it cannot apply',
        'control/message_checks.py',
        'for entry in message.entries:',
        'for entry in ():',
        'undecoded_messages',
    ),
    Fault(
        'a refused message is a line for each call',
        'peer_reports.py',
        'if logged_s is not None and now_s - logged_s < LOG_INTERVAL_S:',
        'if False:',
        'undecoded_messages',
    ),
    Fault(
        'a sender says nothing of a refused message',
        'adapters.py',
        'if answer.kind is ErrorKind.BAD_REQUEST:',
        'if False:',
        'undecoded_messages',
    ),
    Fault(
        'a process is ended by a signal to reload that comes early',
        'platform/__main__.py',
        '    hold_reloads()\n',
        '',
        'processes',
    ),
    Fault(
        'a signal to reload that comes early is lost',
        'reload_signals.py',
        'pthread_sigmask(SIG_UNBLOCK, (SIGHUP,))',
        'pass',
        'processes',
    ),
    Fault(
        'a daemon without routes is ended by a signal to reload',
        'daemon.py',
        '    hold_reloads()\n',
        '',
        'processes',
    ),
    Fault(
        'a service beside a split may be unknown',
        'platform/documents.py',
        'if spec.service and spec.service not in named:',
        'if False:',
        'platform',
    ),
    Fault(
        'a service beside a split gets requests',
        'platform/documents.py',
        'RouteTarget(spec.service, 0.0)',
        'RouteTarget(spec.service)',
        'platform',
    ),
    Fault(
        'bytes above 127 of a path are encoded anew',
        'bounds.py',
        'if target.isascii():',
        'if True:',
        'targets',
    ),
    Fault(
        'an entry host checks no path',
        'entry/callers.py',
        'check_target(self.request.uri, run)',
        'pass',
        'targets',
    ),
    Fault(
        'a gateway checks no path',
        'gateway/callers.py',
        'check_target(request.target)',
        'pass',
        'targets',
    ),
)
