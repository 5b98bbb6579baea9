"""Faults of accounts, quotas, budgets and the placing of objects."""

from tools.seeded_faults.faults import Edit
from tools.seeded_faults.faults import Fault

ACCOUNT_FAULTS = (
    Fault(
        'an answer with a status that HTTP does not have is passed on',
        'gateway/exchanges.py',
        'if start_line.code not in STATUSES:',
        'if False:',
        'answer_heads',
    ),
    Fault(
        'a key is passed on to the server',
        'gateway/server_attempts.py',
        'if attempts.has_accounts:',
        'if False:',
        'accounts',
    ),
    Fault(
        'a key is not checked again before its request is sent',
        'gateway/forwarding.py',
        'if not self._may_use(attempts) or attempts.account != account:',
        'if False:',
        'accounts',
    ),
    Fault(
        'a gateway serves keys however old its view is',
        'gateway/beliefs/key_checks.py',
        'return self._freshness.age.age_ms(now_ms) <= self._limit_ms',
        'return True',
        'accounts',
    ),
    Fault(
        'home regions of accounts do not bind',
        'gateway/beliefs/key_checks.py',
        'homes = combine_homes(route.home_regions, account.home_regions)',
        'homes = route.home_regions',
        'accounts',
    ),
    Fault(
        'two accounts may hold one key',
        'configurations.py',
        'shared = find_shared_key(configuration.accounts)',
        'shared = None',
        'account_configurations',
    ),
    Fault(
        'the leader grants tokens that it does not have',
        'accounts/quota_ledgers.py',
        'return max(0, floor(min(need, fair, pool.level)))',
        'return max(0, floor(min(need, fair)))',
        'quotas',
    ),
    Fault(
        'tokens that a gateway holds do not count',
        'accounts/quota_ledgers.py',
        'room = self._terms.pool_tokens(account) - pool.held',
        'room = 100 * self._terms.pool_tokens(account)',
        'quotas',
    ),
    Fault(
        'a gateway that waits for a token is told that there is none',
        'accounts/quota_ledgers.py',
        'pool.level < 1 and pool.rate_per_s > account.rate_per_s * BUSY_PART',
        'True',
        'quotas',
    ),
    Fault(
        'bodies that arrive are not charged',
        'gateway/caller_exchanges.py',
        'self.connection.charge(self, self._buffer.add(chunk))',
        'self._buffer.add(chunk)',
        'caller_memory',
    ),
    Fault(
        'an object stays on one server however popular it is',
        'gateway/placing/pickers.py',
        'needed = ceil(object_slots / slots)',
        'needed = 1',
        'affinity',
    ),
    Fault(
        'requests of a route that is not sticky prefer a server',
        'gateway/placing/placements.py',
        'picker = self._affinity if placement.is_sticky else self._spread',
        'picker = self._affinity',
        'affinity',
        more=(
            Edit(
                'gateway/placing/placements.py',
                'if not placement.is_sticky:',
                'if False:',
            ),
        ),
    ),
    Fault(
        'the part of a gateway that ends is spent by others at once',
        'accounts/quota_books.py',
        'if count < self._gateway_count:',
        'if False:',
        'quotas',
    ),
)
