"""What an entry host enforces: the replicated state at one revision."""

from msgspec.structs import replace

from fuchsiacart.control.route_states import RouteView
from fuchsiacart.control.states import ContractSet
from fuchsiacart.control.states import DELTA_LIMIT
from fuchsiacart.control.states import DrainsSet
from fuchsiacart.control.states import HostGone
from fuchsiacart.control.states import HostSet
from fuchsiacart.control.states import ViewSnapshot
from fuchsiacart.control.states import WeightsSet
from fuchsiacart.drains import effective_drains
from fuchsiacart.models import token_digest


class View:
    """State at one revision; it never goes back, whoever it hears from."""

    def __init__(self):
        self._revision = 0
        self._contracts = {}
        self._hosts = {}
        self._drains = ()
        self._weights = ()
        self._deltas = []
        self._by_token = {}
        self.routes = RouteView()

    @property
    def revision(self):
        """Return the revision that has been reached."""
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
        """Return the drains that take hosts and servers out now."""
        return effective_drains(self._drains, self._weights)

    @property
    def weights(self):
        """Return the weights between regions."""
        return self._weights

    @property
    def contracts(self):
        """Return the contracts in force."""
        return tuple(item.contract for item in self._contracts.values())

    def host(self, name):
        """Return an entry host, or None."""
        return self._hosts.get(name)

    def contract_for_token(self, token):
        """Return the contract that a bearer token belongs to, or None."""
        customer = self._by_token.get(token_digest(token))
        if customer is None:
            return None
        contract = self._contracts[customer].contract
        return contract if contract.holds_token(token) else None

    def restore(self, snapshot):
        """Take over a snapshot that is newer than this view.

        :param snapshot: the snapshot.
        :return: True when it was taken over.
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
        self._deltas = []
        self._index_tokens()
        return True

    def advance(self, deltas):
        """Take in deltas; those already known or not next are left out.

        :param deltas: deltas in the order of their revisions.
        :return: True when the view has moved on.
        """
        before = self._revision
        for delta in deltas:
            if delta.revision != self._revision + 1:
                continue
            self._take(delta.body)
            self._revision = delta.revision
            self._deltas.append(delta)
        del self._deltas[:-DELTA_LIMIT]
        return self._revision != before

    def deltas_after(self, revision):
        """Return the deltas behind a revision, or None if some are gone."""
        missing = self._revision - revision
        if missing <= 0:
            return ()
        if missing > len(self._deltas):
            return None
        return tuple(self._deltas[-missing:])

    def view(self):
        """Return the whole view as a snapshot."""
        return ViewSnapshot(
            self._revision,
            tuple(self._contracts.values()),
            self._drains,
            self.hosts,
            self._weights,
            self.routes.snapshot(),
        )

    def _take(self, body):
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
        self._by_token = {
            digest: customer
            for customer, item in self._contracts.items()
            for digest in item.contract.token_sha256
        }


def with_state(host, state):
    """Return a host with another state."""
    return replace(host, state=state)
