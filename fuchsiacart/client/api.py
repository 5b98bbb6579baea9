"""Functions that open a session for a single call."""

from fuchsiacart.client.sessions import CallerSession
from fuchsiacart.client.sessions import OperatorSession


def lookup(hosts, service, client=''):
    """Look up the entry hosts for a service.

    :param hosts: IP:port of any entry hosts.
    :param service: name of the service.
    :param client: IP address of the caller; by default that of the
        connection.
    :return: the answer as a dictionary.
    :raises FuchsiacartError: if no host answers.
    """
    with CallerSession(hosts) as session:
        return session.lookup(service, client)


def request(hosts, token, method, service, path, **options):
    """Send one request through the system.

    :param hosts: IP:port of any entry hosts.
    :param token: bearer token of the customer.
    :param method: HTTP method.
    :param service: name of the service.
    :param path: path with query.
    :param options: see :meth:`CallerSession.request`.
    :return: the :class:`HttpReply`.
    :raises RequestError: if the outcome of the request is unknown.
    :raises FuchsiacartError: if the look-up failed or the request was
        refused.
    """
    with CallerSession(hosts, token) as session:
        return session.request(method, service, path, **options)


def put_contract(hosts, token, contract, expected_version):
    """Replace a customer's contract.

    :param hosts: IP:port of the control hosts.
    :param token: operators' bearer token.
    :param contract: the contract as a dictionary.
    :param expected_version: version to replace, 0 for a new contract.
    :return: the outcome as a dictionary.
    :raises FuchsiacartError: if the change is refused or no host answers.
    """
    with OperatorSession(hosts, token) as session:
        return session.put_contract(contract, expected_version)


def start_drain(hosts, token, scope, name):
    """Start a drain.

    :param hosts: IP:port of the control hosts.
    :param token: operators' bearer token.
    :param scope: host, failure_domain, region or backend_server.
    :param name: name of the object to drain.
    :return: the outcome as a dictionary.
    :raises FuchsiacartError: if the change is refused or no host answers.
    """
    with OperatorSession(hosts, token) as session:
        return session.start_drain(scope, name)


def get_status(hosts, token):
    """Return a summary of the state of the system.

    :param hosts: IP:port of the control hosts.
    :param token: operators' bearer token.
    :return: the status as a dictionary.
    :raises FuchsiacartError: if no host answers.
    """
    with OperatorSession(hosts, token) as session:
        return session.get_status()
