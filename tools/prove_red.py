"""Checks that features and soak seeds detect seeded faults.

Each fault is a small change of product files, applied to a temporary copy of
the sources.  The feature or the soak seeds named with it must fail there.
"""

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from shutil import copytree
from shutil import ignore_patterns
from subprocess import DEVNULL
from subprocess import run
from sys import executable
from sys import exit as sys_exit
from tempfile import TemporaryDirectory

from msgspec import Struct

ROOT = Path(__file__).parent.parent
WORKERS = 4


class Edit(Struct, frozen=True):
    """A replacement of text in one product file."""

    file: str
    old: str
    new: str


class Fault(Struct, frozen=True):
    """A fault and the feature that must fail with it.

    ``file``, ``old`` and ``new`` are the first edit, ``more`` the others.
    With ``soak_seeds`` a soak of these seeds is run instead of the feature.
    """

    title: str
    file: str
    old: str
    new: str
    feature: str
    more: tuple[Edit, ...] = ()
    soak_seeds: tuple[str, ...] = ()

    @property
    def edits(self):
        """All edits that make up the fault."""
        return (Edit(self.file, self.old, self.new), *self.more)

    @property
    def command(self):
        """The command that must fail with the fault."""
        if self.soak_seeds:
            return (executable, '-m', 'soak', *self.soak_seeds)
        feature = f'features/{self.feature}.feature'
        return (executable, '-m', 'behave', feature, '--stop')


FAULTS = (
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
        'a reduced share counts before its host has reported it',
        'control/limit_shares.py',
        'self._grants[request.host].reserved = max(granted, request.reported)',
        'self._grants[request.host].reserved = granted',
        'shares',
    ),
    Fault(
        'a new leader grants shares at once',
        'control/limit_shares.py',
        'if now_ms < self._grants_from_ms:',
        'if False:',
        'shares',
    ),
    Fault(
        'the shift cap ignores earlier shifts in its window',
        'control/steering.py',
        'budget = max(0, self._cap_permille - spent)',
        'budget = self._cap_permille',
        'steering',
    ),
    Fault(
        'a region without measurements counts as free',
        'control/steering.py',
        'if not self.usable or not self.measured:',
        'if not self.usable:',
        'steering',
    ),
    Fault(
        'a lost region keeps its blocks',
        'control/steering.py',
        'if not load.usable:\n            return 1.0',
        'if not load.usable:\n            return 0.0',
        'steering',
    ),
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
        'self._pending_until_ms, sent_ms + lease_ms',
        'self._pending_until_ms, sent_ms + 2 * lease_ms',
        'agreement',
    ),
    Fault(
        'a lease is held before its revision is reached',
        'leases.py',
        'if revision >= self._needed_revision:',
        'if True:',
        'agreement',
    ),
    Fault(
        'a damaged record in the middle is cut off like a torn end',
        'control/journals.py',
        'if has_record_after(data, offset):',
        'if False:',
        'records',
    ),
    Fault(
        'a replaced log suffix reappears after a restart',
        'control/journals.py',
        'del log[record.index - base - 1 :]',
        'pass',
        'records',
    ),
    Fault(
        'older files are removed before the new log is durable',
        'control/journals.py',
        "self._write_file(name, frame(encode(snapshot)))\n        records",
        "self._write_file(name, frame(encode(snapshot)))\n"
        "        self._drop_older(state.base_index)\n        records",
        'records',
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
        'a previous owner is not asked',
        'ownership.py',
        'owners[owner.name] = present[owner.name]',
        'pass',
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
        'an order is aborted when its caller disconnects',
        'entry/coordinators.py',
        'return await shield(task)',
        'return await task',
        'outcomes',
    ),
    Fault(
        'a bad request is never quarantined',
        'quarantine.py',
        'return existing is not None and len(existing.broken) >= BROKEN_LIMIT',
        'return False',
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
        'a leader does not check its quorum',
        'control/timed_consensus.py',
        'if not self._timer.has_fresh_quorum(now_ms):',
        'if False:',
        'control_group',
    ),
    Fault(
        'a vote request disturbs a leader heard recently',
        'control/election_rules.py',
        'and not leader_is_fresh\n            and message.term > state.term',
        'and message.term > state.term',
        'elections',
    ),
    Fault(
        'a host with a lost disk keeps its identity and votes',
        'control/election_rules.py',
        'return state.replica in state.group.voters\n',
        'return True\n',
        'control_group',
        (
            Edit(
                'control/journals.py',
                'self._first_replica or uuid4().hex',
                "'same'",
            ),
        ),
    ),
    Fault(
        'a move to another host uses the retry budget',
        'entry/coordinators.py',
        'if host and self._may_move(reply, admitted, attempt):',
        'if False:',
        'outcomes',
    ),
    Fault(
        'a late heartbeat restores a server that has left',
        'control/route_states.py',
        'if tombstone.has_left:',
        'if False:',
        'routes',
    ),
    Fault(
        'an accepted order is refused when it is resent',
        'control/states.py',
        'if routes.has_accepted(order):',
        'if False:',
        'routes',
    ),
    Fault(
        'two orders on the same version are accepted',
        'control/states.py',
        'if routes.is_stale(order):',
        'if False:',
        'routes',
    ),
    Fault(
        'every gateway sends requests to a cold server',
        'gateway/placements.py',
        'if not self.is_warmup_owner(server):',
        'if False:',
        'placements',
    ),
    Fault(
        'servers of an evacuated domain are used',
        'gateway/placements.py',
        'if domain in self._evacuated:',
        'if False:',
        'placements',
    ),
    Fault(
        'an answer to another request is accepted',
        'gateway/exchanges.py',
        'if is_own_response(\n'
        '                request.request_id, answered_id, self._is_reused\n'
        '            ):',
        'if True:',
        'exchanges',
    ),
    Fault(
        'two lost voters are removed before one is replaced',
        'control/memberships.py',
        'if added and len(group.voters) < voter_count:',
        'if added and len(group.voters) < voter_count - 1:',
        'members',
    ),
    Fault(
        'a server slower than its peers is not detected',
        'control/comparisons.py',
        'if stats.taken_ms / stats.timed > median_ms * SLOW_FACTOR:',
        'if False:',
        'comparisons',
    ),
    Fault(
        'a host without a view is sent all deltas',
        'control/pulls.py',
        'if request.revision == 0 and state.revision > 0:',
        'if False:',
        'connections',
    ),
    Fault(
        'an answer counts as sent before it is written',
        'gateway/caller_connections.py',
        'await shield(written)',
        'pass',
        'callers',
    ),
    Fault(
        'a drain is not propagated',
        'control/route_states.py',
        'self.servers[body.record.name] = body.record',
        "if body.record.state.value == 'ready':\n"
        '                self.servers[body.record.name] = body.record',
        'soak',
        soak_seeds=('2', '3', '4'),
    ),
    Fault(
        'a stale configuration is served',
        'control/route_states.py',
        'self.configuration = apply_order(self.configuration, body.order)\n'
        '        elif',
        'if not self.configuration.version:\n'
        '                self.configuration = apply_order(\n'
        '                    self.configuration, body.order\n'
        '                )\n'
        '        elif',
        'soak',
        soak_seeds=('2', '3', '4'),
    ),
    Fault(
        'a request that may have run is sent to another server',
        'gateway/attempts.py',
        'if self.may_have_run and not self.route.is_idempotent:',
        'if False:',
        'soak',
        soak_seeds=('2', '3', '4'),
    ),
    Fault(
        'a journal batch is written as several records',
        'control/journals.py',
        'data = frame(encode(Batch(tuple(records))))',
        "data = b''.join(frame(encode(each)) for each in records)",
        'records',
    ),
    Fault(
        'a response that names no request is accepted on a used connection',
        'gateway/response_checks.py',
        'return not is_reused',
        'return True',
        'exchanges',
    ),
    Fault(
        'a refusal that names no request counts as its promise',
        'gateway/response_checks.py',
        '"""\n    return answered_id == request_id',
        '"""\n    return True',
        'forwarding',
    ),
    Fault(
        'a planned stop resets the connections that wait to be accepted',
        'gateway/callers.py',
        'for _ in range(ACCEPT_ITERATIONS):',
        'for _ in range(0):',
        'callers',
    ),
    Fault(
        'a gateway that starts serves by any view',
        'gateway/hosts.py',
        'if not self._lease.has_confirmed_view:',
        'if False:',
        'gateway_starts',
    ),
    Fault(
        'an answer that breaks off counts as whole',
        'gateway/exchanges.py',
        'if not reader.finished:',
        'if reader.headers is None:',
        'exchanges',
    ),
    Fault(
        'a request is sent after its deadline',
        'gateway/connection_pools.py',
        'if monotonic() >= deadline_s:',
        'if False:',
        'exchanges',
    ),
    Fault(
        'a gateway that was paused serves by its old view',
        'gateway/forwarding.py',
        'elif self.freshness.needs_wait(steady_ms()):',
        'elif False:',
        'forwarding',
    ),
    Fault(
        'bodies in flight have no common limit',
        'gateway/body_budgets.py',
        'while self._total_bytes > self._limit_bytes:',
        'while False:',
        'body_budgets',
    ),
    Fault(
        'all ranks have the same room',
        'gateway/admissions.py',
        'MOST_URGENT_FACTOR = 4 / 3',
        'MOST_URGENT_FACTOR = 5 / 6',
        'admissions',
    ),
    Fault(
        'an earlier count replaces what the server said',
        'gateway/tracked_servers.py',
        'if counted_ms <= self.reported_ms:',
        'if False:',
        'load_boards',
    ),
    Fault(
        'the counts of silent gateways are kept',
        'load_boards.py',
        'if now_ms - each.received_ms >= MAX_COUNT_AGE_MS',
        'if False',
        'load_boards',
    ),
    Fault(
        'loads are read in the order of another view',
        'gateway/placements.py',
        'if load_map.index_id != self._index.id:',
        'if False:',
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
        'a host that starts waits as long as after a split vote',
        'control/elections.py',
        'random.uniform(0, timeout_ms / 2)',
        'random.uniform(timeout_ms / 4, timeout_ms)',
        'elections',
    ),
    Fault(
        'hosts that ask for votes at the same time all go on',
        'control/election_rules.py',
        'if granted and self._yields_to(state, message.sender):',
        'if False:',
        'elections',
    ),
    Fault(
        'a response needs a connection of its own',
        'control/leaders.py',
        'return Done() if response is None else Deliver(response)',
        'return Done()',
        'control_group',
    ),
    Fault(
        'a join waits for a further round',
        'control/leaders.py',
        'if existing == host:',
        'if True:',
        'control_group',
    ),
    Fault(
        'the state is packed for each host',
        'control/pulls.py',
        'MAX_CHANGES_AFTER_PACK = 64',
        'MAX_CHANGES_AFTER_PACK = 0',
        'first_views',
    ),
    Fault(
        'a change of the configuration is sent with all its items',
        'configurations.py',
        'if values.get(item.id) != item.value',
        'if True',
        'routes',
    ),
    Fault(
        'many bytes of changes are sent as they are',
        'control/pulls.py',
        'MIN_PACKED_BYTES = 4096',
        'MIN_PACKED_BYTES = 2**30',
        'first_views',
    ),
    Fault(
        'a pull is never given more time',
        'host_tasks.py',
        'PULL_TIMEOUT_S * (1 + rounds)',
        'PULL_TIMEOUT_S',
        'gateway_starts',
    ),
    Fault(
        'requests before the first view are refused at once',
        'gateway/forwarding.py',
        'if not self.version:\n            await',
        'if not self.version:\n            0 and await',
        'gateway_starts',
    ),
)


def apply_edit(path, edit):
    """Apply an edit to a file.

    :raises ValueError: if the old text doesn't occur exactly once.
    """
    text = path.read_text()
    if text.count(edit.old) != 1:
        raise ValueError(
            f'{edit.old}: found {text.count(edit.old)} times, expected 1'
        )
    path.write_text(text.replace(edit.old, edit.new))


def is_detected(fault):
    """Return True if the command of a fault fails in a faulty copy."""
    with TemporaryDirectory() as folder:
        copy = Path(folder) / 'copy'
        ignored = ignore_patterns(
            '.venv', '.git', '__pycache__', 'target', 'journal'
        )
        copytree(ROOT, copy, ignore=ignored)
        for edit in fault.edits:
            apply_edit(copy / 'fuchsiacart' / edit.file, edit)
        completed = run(
            fault.command,
            cwd=copy,
            env={'PYTHONPATH': str(copy), 'PYTHONSAFEPATH': '1'},
            stdout=DEVNULL,
            stderr=DEVNULL,
        )
        return completed.returncode != 0


def main():
    """Try all faults; exit with code 1 if one is not detected."""
    with ThreadPoolExecutor(WORKERS) as pool:
        detected = list(pool.map(is_detected, FAULTS))
    for fault, is_red in zip(FAULTS, detected):
        mark = 'red  ' if is_red else 'GREEN'
        print(f'{mark} {fault.feature}: {fault.title}')
    print(f'{sum(detected)} of {len(FAULTS)} faults turn their feature red')
    sys_exit(0 if all(detected) else 1)


if __name__ == '__main__':
    main()
