"""Faults of gateways."""

from tools.seeded_faults.faults import Fault

GATEWAY_FAULTS = (
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
        'an answer counts as sent before it is written',
        'gateway/caller_connections.py',
        'await shield(written)',
        'pass',
        'callers',
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
        'loads are read in the order of another view',
        'gateway/placements.py',
        'if load_map.index_id != self._index.id:',
        'if False:',
        'load_boards',
    ),
    Fault(
        'requests before the first view are refused at once',
        'gateway/forwarding.py',
        'if not self.version:\n            await',
        'if not self.version:\n            0 and await',
        'gateway_starts',
    ),
    Fault(
        'a gateway whose view is outdated denies requests',
        'gateway/forwarding.py',
        'if not self._may_deny():',
        'if not self.version:',
        'gateway_starts',
    ),
    Fault(
        'a request on a new route does not wait for the view',
        'gateway/forwarding.py',
        'if route is None and not self._may_deny():',
        'if not self.version:',
        'gateway_starts',
    ),
    Fault(
        'a gateway that reaches no server goes on by itself',
        'gateway/forwarding.py',
        'if self.reachability.is_isolated:\n'
        '                response = await',
        'if False:\n                response = await',
        'isolation',
    ),
    Fault(
        'answers on open connections hide that no new one can be opened',
        'gateway/reachability.py',
        """        self._silent.clear()

    def record_unconnected""",
        """        self._silent.clear()
        self._unconnected.clear()

    def record_unconnected""",
        'reachability',
    ),
    Fault(
        'a gateway believes that it is isolated without a probe',
        'gateway/reachability.py',
        'self.reach = Reach.SUSPECTED',
        'self.reach = Reach.ISOLATED',
        'reachability',
    ),
    Fault(
        'requests are relayed to gateways that are isolated too',
        'gateway/gateway_selectors.py',
        'for host in others if is_live(host)',
        'for host in others',
        'relays',
    ),
    Fault(
        'any caller may name another one as its own caller',
        'gateway/relays.py',
        'request.is_relayed and self.selector.is_gateway(request.caller)',
        'request.is_relayed',
        'relays',
    ),
    Fault(
        'look-ups name gateways that reach no server',
        'control/directory.py',
        'live = [host for host in hosts if is_live(host)]',
        'live = list(hosts)',
        'directory',
    ),
    Fault(
        'a time to keep a connection has any number of digits',
        'gateway/exchanges.py',
        "r'timeout=([0-9]{1,9})'",
        "r'timeout=([0-9]+)'",
        'odd_entries',
    ),
    Fault(
        'a connection is tried at any address',
        'gateway/exchanges.py',
        'peer = split_address(address)',
        "host, _, port = address.rpartition(':')\n"
        '        peer = host, int(port)',
        'odd_entries',
    ),
    Fault(
        'a request that cannot be written waits for its deadline',
        'gateway/exchanges.py',
        'error=repr(error),\n            )\n            self.close()',
        'error=repr(error),\n            )',
        'odd_entries',
    ),
    Fault(
        'a cut answer reaches its caller as whole',
        'gateway/exchanges.py',
        'finally:\n                self.budget.release(reader)',
        'except StreamClosedError:\n'
        '                reader.finished = reader.headers is not None',
        'cut_answers',
    ),
    Fault(
        'a stopping gateway starts requests that its end cuts off',
        'gateway/forwarding.py',
        'self._check_stop(attempts)\n            if',
        'if',
        'planned_stops',
    ),
    Fault(
        'a stopping gateway refuses all that have a long timeout',
        'gateway/planned_stops.py',
        'return now_s + USUAL_TIMES * usual_s <= self._ends_s',
        'return False',
        'planned_stops',
    ),
    Fault(
        'a planned stop does not wait for a request that is received',
        'gateway/hosts.py',
        'while self.caller_server.is_busy:',
        'while self.caller_server.in_flight:',
        'planned_stops',
    ),
    Fault(
        'a request with an unforeseen error gets no answer',
        'gateway/callers.py',
        'except Exception as error:',
        'except (OSError, ValueError, KeyError, TypeError) as error:',
        'callers',
    ),
)
