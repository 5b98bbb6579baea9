"""The replicated state and the commands that change it.

Applying a command is deterministic: the time comes with the command, and the
clock of the state never goes backwards.
"""

from msgspec import field
from msgspec.msgpack import Decoder
from msgspec.msgpack import encode
from msgspec import Struct
from msgspec.structs import replace

from fuchsiacart.control.claim_records import ClaimRecord
from fuchsiacart.control.claim_records import ClaimState
from fuchsiacart.control.claim_states import acquire_key
from fuchsiacart.control.claim_states import settle_claim
from fuchsiacart.control.commands import CancelDrain
from fuchsiacart.control.commands import ChangeConfiguration
from fuchsiacart.control.commands import Claim
from fuchsiacart.control.commands import Close
from fuchsiacart.control.commands import ForgetServer
from fuchsiacart.control.commands import JoinHost
from fuchsiacart.control.commands import LeaveHost
from fuchsiacart.control.commands import MarkInForce
from fuchsiacart.control.commands import PutContract
from fuchsiacart.control.commands import RecordServer
from fuchsiacart.control.commands import SetEvacuation
from fuchsiacart.control.commands import SetShares
from fuchsiacart.control.commands import Settle
from fuchsiacart.control.commands import SetWeights
from fuchsiacart.control.commands import StartDrain
from fuchsiacart.control.delta_logs import DeltaLog
from fuchsiacart.control.outcomes import Outcome
from fuchsiacart.control.route_states import RouteDelta
from fuchsiacart.control.route_states import RouteSnapshot
from fuchsiacart.control.route_states import RouteState
from fuchsiacart.control.route_states import SharesSet
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.models import ChangeId
from fuchsiacart.models import Contract
from fuchsiacart.models import Drain
from fuchsiacart.models import Host
from fuchsiacart.models import HostId
from fuchsiacart.models import HostState
from fuchsiacart.models import Rank
from fuchsiacart.models import RegionWeight

AUDIT_LIMIT = 50_000
FULL_PERCENT = 100


class VersionedContract(Struct, frozen=True):
    """A contract and its version."""

    version: int
    contract: Contract


class AuditEntry(Struct, frozen=True):
    """One accepted or refused change in the audit log."""

    change_id: ChangeId
    actor: str
    what: str
    subject: str
    from_version: int
    to_version: int
    accepted_ms: int
    outcome: Outcome
    in_force_ms: int = 0


class ContractSet(Struct, frozen=True, tag=True):
    """Delta: a new version of a contract."""

    item: VersionedContract


class DrainsSet(Struct, frozen=True, tag=True):
    """Delta: all drains, replacing the earlier ones."""

    drains: tuple[Drain, ...]


class HostSet(Struct, frozen=True, tag=True):
    """Delta: an entry host has joined or changed."""

    host: Host


class HostGone(Struct, frozen=True, tag=True):
    """Delta: an entry host has left."""

    name: HostId


class WeightsSet(Struct, frozen=True, tag=True):
    """Delta: all weights between regions."""

    weights: tuple[RegionWeight, ...]


DeltaBody = (
    ContractSet | DrainsSet | HostSet | HostGone | WeightsSet | RouteDelta
)


class Delta(Struct, frozen=True):
    """The change that led to a revision."""

    revision: int
    body: DeltaBody


class ViewSnapshot(Struct, frozen=True):
    """The state that entry hosts enforce, at one revision."""

    revision: int
    contracts: tuple[VersionedContract, ...]
    drains: tuple[Drain, ...]
    hosts: tuple[Host, ...]
    weights: tuple[RegionWeight, ...]
    routes: RouteSnapshot = RouteSnapshot()


class StoredState(Struct):
    """The whole replicated state, as stored in snapshots."""

    clock_ms: int = 0
    revision: int = 0
    contracts: dict[str, VersionedContract] = field(default_factory=dict)
    drains: list[Drain] = field(default_factory=list)
    hosts: dict[str, Host] = field(default_factory=dict)
    weights: tuple[RegionWeight, ...] = ()
    weights_history: list[SetWeights] = field(default_factory=list)
    audit: list[AuditEntry] = field(default_factory=list)
    deltas: list[Delta] = field(default_factory=list)
    claims: dict[str, ClaimRecord] = field(default_factory=dict)
    in_force_revision: int = 0
    routes: RouteState = field(default_factory=RouteState)


WEIGHTS_HISTORY_MS = 120_000
STORED_STATES = Decoder(StoredState)


class ReplicatedState:
    """The state machine that the replicated log drives.

    ``stored`` is the :class:`StoredState`.
    """

    def __init__(self):
        self.stored = StoredState()
        self._delta_log = DeltaLog(self.stored.deltas)
        self._change_outcomes = {}
        self._handlers = {
            PutContract: self._put_contract,
            StartDrain: self._start_drain,
            CancelDrain: self._cancel_drain,
            JoinHost: self._join_host,
            LeaveHost: self._leave_host,
            SetWeights: self._set_weights,
            MarkInForce: self._mark_in_force,
            Claim: self._claim,
            Settle: self._settle,
            Close: self._close,
            ChangeConfiguration: self._change_configuration,
            SetEvacuation: self._set_evacuation,
            RecordServer: self._record_server,
            ForgetServer: self._forget_server,
            SetShares: self._set_shares,
        }

    @property
    def revision(self):
        """Return the current revision."""
        return self.stored.revision

    def apply(self, command):
        """Apply a committed command.

        :param command: the command.
        :return: its :class:`Outcome`; a change that is applied again, with
            the same id, gets the first outcome.
        """
        change = getattr(command, 'change', None)
        at_ms = change.at_ms if change else command.at_ms
        self.stored.clock_ms = max(self.stored.clock_ms, at_ms)
        if change and change.change_id in self._change_outcomes:
            return self._change_outcomes[change.change_id]
        return self._handlers[type(command)](command)

    def snapshot(self):
        """Return the encoded :class:`StoredState`."""
        return encode(self.stored)

    def restore(self, body):
        """Replace the state by that of a snapshot.

        :param body: an encoded :class:`StoredState`.
        """
        self.stored = STORED_STATES.decode(body)
        self._delta_log = DeltaLog(self.stored.deltas)
        self._change_outcomes = {
            entry.change_id: entry.outcome for entry in self.stored.audit
        }

    def view(self):
        """Return the current :class:`ViewSnapshot`."""
        return ViewSnapshot(
            self.stored.revision,
            tuple(self.stored.contracts.values()),
            tuple(self.stored.drains),
            tuple(self.stored.hosts.values()),
            self.stored.weights,
            self.stored.routes.snapshot(),
        )

    def deltas_after(self, revision):
        """Return the deltas after a revision.

        :return: the deltas, or None if some of them are no longer kept.
        """
        return self._delta_log.latest(self.stored.revision - revision)

    def _append_delta(self, body):
        self.stored.revision += 1
        self._delta_log.append(Delta(self.stored.revision, body))
        return self.stored.revision

    def _record_change(self, change, what, subject, versions, outcome):
        entry = AuditEntry(
            change.change_id,
            change.actor,
            what,
            subject,
            versions[0],
            versions[1],
            self.stored.clock_ms,
            outcome,
        )
        self.stored.audit.append(entry)
        self._change_outcomes[change.change_id] = outcome
        for old in self.stored.audit[:-AUDIT_LIMIT]:
            self._change_outcomes.pop(old.change_id, None)
        del self.stored.audit[:-AUDIT_LIMIT]
        return outcome

    def _put_contract(self, command):
        customer = command.contract.customer
        existing = self.stored.contracts.get(customer)
        version = existing.version if existing else 0
        if command.expected_version != version:
            outcome = Outcome(
                ErrorKind.CONFLICT,
                self._describe_conflict(customer, version),
                version,
            )
            return self._record_change(
                command.change,
                'contract_put',
                customer,
                (version, version),
                outcome,
            )
        error = self._find_floor_error(command.contract)
        if error:
            outcome = Outcome(ErrorKind.BAD_REQUEST, error, version)
            return self._record_change(
                command.change,
                'contract_put',
                customer,
                (version, version),
                outcome,
            )
        item = VersionedContract(version + 1, command.contract)
        self.stored.contracts[customer] = item
        revision = self._append_delta(ContractSet(item))
        outcome = Outcome(version=version + 1, revision=revision)
        return self._record_change(
            command.change,
            'contract_put',
            customer,
            (version, version + 1),
            outcome,
        )

    def _describe_conflict(self, customer, version):
        for entry in reversed(self.stored.audit):
            if entry.subject != customer or entry.outcome.error:
                continue
            if entry.to_version == version:
                return (
                    f'version {version} was put by {entry.actor}'
                    f' with change {entry.change_id}'
                )
        return f'the current version is {version}'

    def _find_floor_error(self, contract):
        """Return an error if the floors of a service exceed 100 %, or None."""
        contracts = [
            item.contract
            for item in self.stored.contracts.values()
            if item.contract.customer != contract.customer
        ]
        for service in {route.service for route in contract.routes}:
            total = sum(
                floor_percent(each, service) for each in contracts + [contract]
            )
            if total > FULL_PERCENT:
                return f'the floors of service {service} add up to {total} %'
        return None

    def _start_drain(self, command):
        drain = replace(command.drain, started_ms=self.stored.clock_ms)
        existing = self._find_drain(drain)
        if existing:
            outcome = Outcome(
                ErrorKind.CONFLICT, 'this drain has been started'
            )
        else:
            self.stored.drains.append(drain)
            revision = self._append_delta(DrainsSet(tuple(self.stored.drains)))
            outcome = Outcome(revision=revision)
        return self._record_change(
            command.change, 'drain_start', _subject(drain), (0, 0), outcome
        )

    def _cancel_drain(self, command):
        existing = self._find_drain(command.drain)
        if existing:
            self.stored.drains.remove(existing)
            revision = self._append_delta(DrainsSet(tuple(self.stored.drains)))
            outcome = Outcome(revision=revision)
        else:
            outcome = Outcome(ErrorKind.NOT_FOUND, 'there is no such drain')
        return self._record_change(
            command.change,
            'drain_cancel',
            _subject(command.drain),
            (0, 0),
            outcome,
        )

    def _find_drain(self, drain):
        for existing in self.stored.drains:
            if (existing.scope, existing.name) == (drain.scope, drain.name):
                return existing
        return None

    def _join_host(self, command):
        host = command.host
        existing = self.stored.hosts.get(host.name)
        if existing == host:
            return Outcome(revision=self.stored.revision)
        if existing and existing.incarnation > host.incarnation:
            return Outcome(ErrorKind.CONFLICT, 'a newer incarnation is known')
        self.stored.hosts[host.name] = host
        return Outcome(revision=self._append_delta(HostSet(host)))

    def _leave_host(self, command):
        existing = self.stored.hosts.get(command.name)
        if existing is None or existing.incarnation != command.incarnation:
            return Outcome(ErrorKind.NOT_FOUND, 'there is no such host')
        del self.stored.hosts[command.name]
        return Outcome(revision=self._append_delta(HostGone(command.name)))

    def _set_weights(self, command):
        self.stored.weights = command.weights
        self.stored.weights_history.append(command)
        horizon_ms = self.stored.clock_ms - WEIGHTS_HISTORY_MS
        self.stored.weights_history = [
            old
            for old in self.stored.weights_history
            if old.at_ms >= horizon_ms
        ]
        return Outcome(
            revision=self._append_delta(WeightsSet(command.weights))
        )

    def _mark_in_force(self, command):
        for position in range(len(self.stored.audit) - 1, -1, -1):
            entry = self.stored.audit[position]
            if not entry.outcome.revision:
                continue
            if entry.outcome.revision <= self.stored.in_force_revision:
                break
            if entry.outcome.revision <= command.revision:
                self.stored.audit[position] = replace(
                    entry, in_force_ms=self.stored.clock_ms
                )
        self.stored.in_force_revision = max(
            self.stored.in_force_revision, command.revision
        )
        return Outcome(revision=self.stored.revision)

    def _claim(self, command):
        return self._acquire_key(command, ClaimState.RUNNING)

    def _close(self, command):
        return self._acquire_key(command, ClaimState.CLOSED)

    def _acquire_key(self, command, state):
        return acquire_key(
            self.stored.claims, command, state, self.stored.clock_ms
        )

    def _settle(self, command):
        return settle_claim(self.stored.claims, command)

    def _change_configuration(self, command):
        order = command.order
        routes = self.stored.routes
        if routes.has_accepted(order):
            return Outcome(version=order.version)
        current = routes.configuration.version
        if routes.is_stale(order):
            detail = f'version {current} is in force'
            return Outcome(ErrorKind.CONFLICT, detail, current)
        error = routes.find_order_error(order)
        if error:
            return Outcome(ErrorKind.BAD_REQUEST, error, current)
        revision = self._append_delta(routes.change_configuration(order))
        return Outcome(version=order.version, revision=revision)

    def _set_evacuation(self, command):
        delta = self.stored.routes.set_evacuation(
            command.failure_domain, command.evacuated
        )
        return self._append_deltas((delta,) if delta else ())

    def _record_server(self, command):
        return self._append_deltas(
            self.stored.routes.record_server(command.record)
        )

    def _forget_server(self, command):
        delta = self.stored.routes.forget_server(
            command.name, command.born_ms, command.has_left
        )
        return self._append_deltas((delta,) if delta else ())

    def _set_shares(self, command):
        self.stored.routes.shares = command.shares
        return self._append_deltas((SharesSet(command.shares),))

    def _append_deltas(self, deltas):
        for delta in deltas:
            self._append_delta(delta)
        return Outcome(revision=self.stored.revision)


def floor_percent(contract, service):
    """Return the sum of a contract's floors for one service.

    :param contract: the contract.
    :param service: the service.
    :return: the sum, in percent of the service's slots.
    """
    ranks = {
        route.rank.rank
        for route in contract.routes
        if route.service == service
    }
    return sum(
        contract.terms(rank).floor_percent for rank in Rank if rank in ranks
    )


def _subject(drain):
    return f'{drain.scope.value}/{drain.name}'


def is_live(host):
    """Return True if a host may be named in look-ups and own requests."""
    return host.state is HostState.LIVE
