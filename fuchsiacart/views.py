"""Copy of the replicated state on an entry host."""

from msgspec.structs import replace

from fuchsiacart.control.delta_logs import DeltaLog
from fuchsiacart.control.route_states import RouteView
from fuchsiacart.control.states import ContractSet
from fuchsiacart.control.states import DrainsSet
from fuchsiacart.control.states import HostGone
from fuchsiacart.control.states import HostSet
from fuchsiacart.control.states import ViewSnapshot
from fuchsiacart.control.states import WeightsSet
from fuchsiacart.drains import effective_drains
from fuchsiacart.models import token_digest


class View:
    """The replicated state at one revision.

    The revision never decreases: older snapshots and deltas are ignored,
    whichever host they come from.
    """

    def __init__(self):
        self._revision = 0
        self._contracts = {}
        self._hosts = {}
        self._drains = ()
        self._weights = ()
        self._delta_log = DeltaLog([])
        self._customers_by_digest = {}
        self.routes = RouteView()

    @property
    def revision(self):
        """Return the revision of the view, 0 while it is empty."""
        return self._revision

    @property
    def hosts(self):
        """Return all entry hosts."""
        return tuple(self._hosts.values())

    @property
    def drains(self):
        """Return the drains in force."""
        return self._drains

    @property
    def effective_drains(self):
        """Return the drains that exclude hosts and servers now."""
        return effective_drains(self._drains, self._weights)

    @property
    def weights(self):
        """Return the :class:`RegionWeight` entries."""
        return self._weights

    @property
    def contracts(self):
        """Return the contracts in force."""
        return tuple(item.contract for item in self._contracts.values())

    def host(self, name):
        """Return an entry host by name, or None."""
        return self._hosts.get(name)

    def contract_for_token(self, token):
        """Return the contract that a bearer token belongs to, or None."""
        customer = self._customers_by_digest.get(token_digest(token))
        if customer is None:
            return None
        contract = self._contracts[customer].contract
        return contract if contract.holds_token(token) else None

    def restore(self, snapshot):
        """Replace the view by a snapshot if the snapshot is newer.

        :param snapshot: the :class:`ViewSnapshot`.
        :return: True if the view was replaced.
        """
        if snapshot.revision <= self._revision:
            return False
        self._revision = snapshot.revision
        self._contracts = {
            item.contract.customer: item for item in snapshot.contracts
        }
        self._hosts = {host.name: host for host in snapshot.hosts}
        self._drains = snapshot.drains
        self._weights = snapshot.weights
        self.routes.restore(snapshot.routes)
        self._delta_log = DeltaLog([])
        self._index_tokens()
        return True

    def advance(self, deltas):
        """Apply deltas, skipping those that do not follow the revision.

        :param deltas: deltas in ascending order of their revisions.
        :return: True if at least one was applied.
        """
        before = self._revision
        for delta in deltas:
            if delta.revision != self._revision + 1:
                continue
            self._apply(delta.body)
            self._revision = delta.revision
            self._delta_log.append(delta)
        return self._revision != before

    def deltas_after(self, revision):
        """Return the deltas after a revision.

        :return: the deltas, or None if some are no longer kept.
        """
        return self._delta_log.latest(self._revision - revision)

    def view(self):
        """Return the whole view as a :class:`ViewSnapshot`."""
        return ViewSnapshot(
            self._revision,
            tuple(self._contracts.values()),
            self._drains,
            self.hosts,
            self._weights,
            self.routes.snapshot(),
        )

    def _apply(self, body):
        if isinstance(body, ContractSet):
            self._contracts[body.item.contract.customer] = body.item
            self._index_tokens()
        elif isinstance(body, DrainsSet):
            self._drains = body.drains
        elif isinstance(body, HostSet):
            self._hosts[body.host.name] = body.host
        elif isinstance(body, HostGone):
            self._hosts.pop(body.name, None)
        elif isinstance(body, WeightsSet):
            self._weights = body.weights
        else:
            self.routes.apply(body)

    def _index_tokens(self):
        self._customers_by_digest = {
            digest: customer
            for customer, item in self._contracts.items()
            for digest in item.contract.token_sha256
        }


def with_state(host, state):
    """Return a copy of a host with another :class:`HostState`."""
    return replace(host, state=state)
