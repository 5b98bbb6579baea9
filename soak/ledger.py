"""Records observations of a run and checks them against the promises.

The stand-in callers, servers and operators fill the ledger; it shares no code
with the system under test.
"""

from collections import defaultdict
from time import monotonic

from soak.accounts import find_account_errors
from soak.accounts import find_exceeded_quota
from soak.accounts import MAX_RUNS
from soak.accounts import WINDOW_S
from soak.body_limits import find_limit_error
from soak.body_limits import is_large
from soak.late_arrivals import find_late_arrivals
from soak.processes import REGIONS
from soak.records import NEVER_S
from soak.records import Order
from soak.retry_checks import find_exceeded_budgets
from soak.statements import DRAIN_LIMIT_S
from soak.statements import StatementLedger

# Time limits and retry budget of the users' deployments.
CONFIG_APPLY_LIMIT_S = 2.5
EVACUATION_LIMIT_S = 5.0
RECONNECT_LIMIT_S = 4.0
RESPONSE_SLACK_S = 0.5
# Gateways that are cut off from all servers serve their callers again after
# this time, at least this often compared with the others.
CUT_OFF_LIMIT_S = 3.0
CUT_OFF_RATIO = 2 / 3
CUT_OFF_SLACK = 10
CUT_OFF_SLACK_SHARE = 1 / 50
# Statuses which guarantee that the request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# After so many servers were lost under a request that crashes them, and
# another time, few more of its requests reach servers.
CRASHED_LIMIT = 3
CRASH_LEARNED_LIMIT_S = 4.0
LATE_RUNS_LIMIT = 3
# Gateways without a configuration allow larger bodies than any caller sends.
UNCONFIGURED = Order(0, 0, '', b'', 0.0, 64 * 1024 * 1024)


class Ledger:
    """Observations of one run.

    :param was_disturbed: called with a gateway's address and the start and
        end of a span; returns True if a fault disturbed the gateway then.
    """

    def __init__(self, was_disturbed):
        self._was_disturbed = was_disturbed
        self.requests = {}
        self.orders = []
        self.evacuations = []
        self.reads = []
        self.stops = []
        self.cuts = []
        self.stalls = []
        self.drains_acked_s = {}
        self.crashes_s = {}
        self.statements = StatementLedger()
        self.proper_quarantined = 0
        self.violations = []
        # Earlier builds do not bound the age of what a gateway knows.
        self.bounds_arrivals = True

    def record_violation(self, promise, detail):
        """Record a broken promise."""
        self.violations.append(f'{promise}: {detail}')

    def record_request(self, sent):
        """Record a request; must be called before it is sent."""
        self.requests[sent.request_id] = sent

    def record_run(self, request_id, run):
        """Record the start of a request on a backend server.

        Checks at once that the request was sent with this method and path, has
        run at most once unless it is idempotent, and was not refused as not
        run.
        """
        sent = self.requests.get(request_id)
        if sent is None:
            self.record_violation(
                'UNASKED', f'{run.server} ran {request_id!r}'
            )
            return
        if (run.method, run.path) != (sent.method, sent.path):
            self.record_violation('UNASKED', f'{request_id} ran as {run.path}')
        sent.runs.append(run)
        if not sent.idempotent and len(sent.runs) > 1:
            servers = [each.server for each in sent.runs]
            self.record_violation('TWICE', f'{request_id} ran on {servers}')
        if sent.status in NOT_RUN_STATUSES:
            self.record_violation(
                'REFUSED', f'{request_id} ran after {sent.status}'
            )

    def record_response(self, sent, status, detail=''):
        """Record how a request ended for its caller.

        :param status: HTTP status, 0 without a complete response.
        :param detail: reason for a missing response.
        """
        sent.ended_s = monotonic()
        sent.status = status
        sent.detail = detail
        if status in NOT_RUN_STATUSES and sent.runs:
            self.record_violation(
                'REFUSED', f'{sent.request_id} {status} but ran'
            )

    @property
    def newest_acked(self):
        """The acknowledged order with the highest version, or None."""
        acked = [order for order in self.orders if order.acked_s < NEVER_S]
        return max(acked, key=lambda order: order.version, default=None)

    def has_leader_since(self, since_s):
        """Return True if the control group has served an operator since.

        That takes a configuration that was acknowledged and one that was read.
        """
        is_acked = any(
            since_s < order.acked_s < NEVER_S for order in self.orders
        )
        return is_acked and any(read.sent_s > since_s for read in self.reads)

    def check_promises(self, timed):
        """Check the promises that need the records of the whole run.

        :param timed: True to check the promises with time limits as well.
        :return: descriptions of all broken promises.
        """
        self._check_concurrent_orders()
        self._check_reads()
        self._check_accounts(timed)
        if timed:
            for sent in self.requests.values():
                self._check_request(sent)
            self._check_retry_budget()
            self._check_crashing_request()
            self._check_statements()
            if self.bounds_arrivals:
                self._check_arrivals()
            for cut in self.cuts:
                self._check_cut(cut)
        for stop in self.stops:
            self._check_stop(stop)
        return self.violations

    def _check_accounts(self, timed):
        """Check that no request ran outside its account or its quota."""
        if not any(order.keys for order in self.orders):
            return
        sent = self.requests.values()
        for promise, detail in find_account_errors(sent, self.orders):
            self.record_violation(promise, detail)
        most = find_exceeded_quota(sent)
        if timed and most > MAX_RUNS:
            self.record_violation('QUOTA', f'{most} runs in {WINDOW_S} s')

    def _check_concurrent_orders(self):
        acked = defaultdict(list)
        for order in self.orders:
            if order.acked_s < NEVER_S:
                acked[order.parent_version].append(order.version)
        for parent_version, versions in acked.items():
            if len(versions) > 1:
                self.record_violation(
                    'CONFIG', f'{versions} both built on {parent_version}'
                )

    def _check_reads(self):
        for read in self.reads:
            acked = [
                order.version
                for order in self.orders
                if order.acked_s + CONFIG_APPLY_LIMIT_S < read.sent_s
            ]
            if acked and read.version < max(acked):
                self.record_violation(
                    'CONFIG',
                    f'{read.address} read {read.version} after {max(acked)}',
                )

    def _check_request(self, sent):
        end_s = min(sent.ended_s, sent.sent_s + sent.timeout_s)
        if self._was_disturbed(
            sent.gateway, sent.sent_s - RECONNECT_LIMIT_S, end_s
        ):
            return
        limit_s = sent.sent_s + sent.timeout_s + RESPONSE_SLACK_S
        limit_s += self._stalled_s(sent.sent_s, sent.ended_s)
        if sent.ended_s > limit_s:
            late_s = sent.ended_s - limit_s
            self.record_violation(
                'ANSWER', f'{sent.request_id} {late_s:.1f} s late'
            )
        if is_large(sent):
            orders = self._possible_orders(sent)
            if not self._is_configured(sent.sent_s):
                orders.append(UNCONFIGURED)
            error = find_limit_error(sent, orders)
            if error:
                self.record_violation('LIMITS', error)
        for run in sent.runs:
            self._check_run(sent, run)

    def _check_statements(self):
        """Check that gateways heeded what servers said in their answers."""
        for arrival in self.statements.find_late_requests():
            self.record_violation(
                'DRAIN',
                f'{arrival.request_id} at {arrival.server}, which leaves, from'
                f' {arrival.gateway}',
            )
        for refusal in self.statements.find_unheeded_refusals(self._stalled_s):
            if not self._was_cut(refusal):
                self.record_violation(
                    'BUDGET',
                    f'{refusal.server} refused {refusal.gateway} for'
                    f' {refusal.retry_after_s} s at {refusal.at_s:.3f}',
                )

    def _check_arrivals(self):
        """Check that no request reached a server long after it had left."""
        for sent, run, late_s in find_late_arrivals(
            self.requests.values(), self.drains_acked_s, self._stalled_s
        ):
            self.record_violation(
                'DRAIN',
                f'{sent.request_id} reached {run.server} {late_s:.2f} s too'
                f' late, sent to {sent.gateway}',
            )

    def _was_cut(self, refusal):
        """Return True if a gateway was cut off while a server refused it."""
        return any(
            cut.start_s < refusal.ends_s
            and cut.end_s > refusal.at_s
            and any(
                each.startswith(f'{refusal.gateway}:') for each in cut.gateways
            )
            for cut in self.cuts
        )

    def _stalled_s(self, start_s, end_s):
        """Return the seconds of a span in which the loop was blocked."""
        return sum(
            max(0.0, min(end_s, stall.end_s) - max(start_s, stall.start_s))
            for stall in self.stalls
        )

    def _check_run(self, sent, run):
        services = self._allowed_services(sent)
        if services and run.service not in services:
            self.record_violation(
                'CONFIG',
                f'{sent.request_id} ran by {run.service}, not {services}',
            )
        homes = self._allowed_homes(sent)
        if homes and REGIONS[run.domain] not in homes:
            self.record_violation(
                'HOME', f'{sent.request_id} ran in {run.domain}, not {homes}'
            )
        drained_s = self.drains_acked_s.get(run.server, NEVER_S)
        if sent.sent_s > drained_s + DRAIN_LIMIT_S:
            self.record_violation(
                'DRAIN', f'{sent.request_id} at {run.server}'
            )
        for evacuation in self.evacuations:
            since_s = evacuation.acked_s + EVACUATION_LIMIT_S
            if run.domain == evacuation.domain and sent.sent_s > since_s:
                if run.at_s < evacuation.ended_s:
                    self.record_violation(
                        'EVAC', f'{sent.request_id} in {run.domain}'
                    )

    def _allowed_services(self, sent):
        """Return the services that may run a request of the ``move`` route.

        The result is empty for other routes.
        """
        if not sent.path.startswith('/move/'):
            return set()
        return {order.service for order in self._possible_orders(sent)}

    def _allowed_homes(self, sent):
        """Return the regions that may run a request of the ``home`` route.

        The result is empty for other routes.
        """
        if not sent.has_home:
            return set()
        return {order.home for order in self._possible_orders(sent)}

    def _possible_orders(self, sent):
        """Return the configurations that may be in force for a request.

        These are the newest one that must have been applied when it was sent
        and all later ones sent before its end.
        """
        applied = [
            order
            for order in self.orders
            if order.acked_s + CONFIG_APPLY_LIMIT_S < sent.sent_s
        ]
        newest = max((order.version for order in applied), default=0)
        end_s = min(sent.ended_s, sent.sent_s + sent.timeout_s)
        return [
            order
            for order in self.orders
            if order.version >= newest
            and order.sent_s < end_s
            and not order.refused
        ]

    def _is_configured(self, at_s):
        """Return True if all gateways must have a configuration by then."""
        return any(
            order.acked_s + CONFIG_APPLY_LIMIT_S < at_s
            for order in self.orders
        )

    def _check_cut(self, cut):
        """Check that callers at gateways that were cut off were served.

        Requests at gateways that another fault disturbed don't count, nor
        those for which no undisturbed gateway reached the servers, whose
        bodies a configuration may not allow, or whose home may have no server.
        """
        gateways = {sent.gateway for sent in self.requests.values()}
        tries = [
            sent
            for sent in self.requests.values()
            if cut.start_s + CUT_OFF_LIMIT_S <= sent.sent_s < cut.end_s
            and not is_large(sent)
            and not sent.has_home
            and not sent.may_be_denied
            and self._was_calm(sent, sent.gateway)
            and any(
                self._was_calm(sent, gateway)
                for gateway in gateways - cut.gateways
            )
        ]
        cut_off = [sent for sent in tries if sent.gateway in cut.gateways]
        others = len(tries) - len(cut_off)
        if not cut_off or not others:
            return
        served = sum(sent.status == 200 for sent in cut_off)
        served_others = sum(sent.status == 200 for sent in tries) - served
        slack = CUT_OFF_SLACK + CUT_OFF_SLACK_SHARE * len(tries)
        share = served / len(cut_off)
        if (
            share < CUT_OFF_RATIO * served_others / others
            and len(cut_off) - served > slack
        ):
            self.record_violation(
                'CUT_OFF',
                f'{served} of {len(cut_off)} served at {sorted(cut.gateways)},'
                f' {served_others} of {others} at the others',
            )

    def _was_calm(self, sent, gateway):
        """Return True if a gateway ran undisturbed during a request.

        A gateway that is being stopped does not count as undisturbed.
        """
        end_s = min(sent.ended_s, sent.sent_s + sent.timeout_s)
        if any(
            stop.gateway == gateway
            and stop.asked_s <= end_s
            and sent.sent_s <= stop.ended_s
            for stop in self.stops
        ):
            return False
        return not self._was_disturbed(gateway, sent.sent_s, end_s)

    def _check_stop(self, stop):
        """Check that the stop lost no request that had begun to run."""
        for sent in self.requests.values():
            if sent.gateway != stop.gateway or sent.status or not sent.runs:
                continue
            if (
                not stop.asked_s
                < sent.ended_s
                < stop.ended_s + RECONNECT_LIMIT_S
            ):
                continue
            since_s = stop.asked_s - RECONNECT_LIMIT_S
            if not self._was_disturbed(stop.gateway, since_s, sent.ended_s):
                self.record_violation(
                    'LOST', f'{sent.request_id}: {sent.detail}'
                )

    def _check_retry_budget(self):
        for service, repeats in find_exceeded_budgets(self.requests.values()):
            self.record_violation('BUDGET', f'{repeats} repeats at {service}')

    def _check_crashing_request(self):
        """Check that a request that crashes servers is stopped.

        Requests at gateways that another fault disturbed don't count.
        """
        if len(self.crashes_s) < CRASHED_LIMIT:
            return
        since_s = sorted(self.crashes_s.values())[CRASHED_LIMIT - 1]
        since_s += CRASH_LEARNED_LIMIT_S
        late_runs = sum(
            len(sent.runs)
            for sent in self.requests.values()
            if sent.crashes_servers
            and sent.sent_s > since_s
            and self._was_calm(sent, sent.gateway)
        )
        if late_runs > LATE_RUNS_LIMIT:
            self.record_violation(
                'BUDGET',
                f'{len(self.crashes_s)} servers crashed,'
                f' {late_runs} runs after the limit',
            )
