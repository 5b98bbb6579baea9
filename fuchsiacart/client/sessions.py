"""Sessions of operators and callers."""

from contextlib import AbstractContextManager
from getpass import getuser
from time import monotonic
from time import sleep
from urllib.parse import quote
from urllib.parse import urlencode

from msgspec import convert
from msgspec.json import decode
from msgspec.json import encode
from msgspec import MsgspecError
from uuid6 import uuid7

from fuchsiacart.client.transports import TornadoAdapter
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import RequestError
from fuchsiacart.exceptions import Run
from fuchsiacart.exceptions import TransportError
from fuchsiacart.problems import Problem

CALL_TIMEOUT_S = 5.0
REPLACE_TIMEOUT_S = 120.0
RETRY_TIMEOUT_S = 15.0
RETRY_DELAY_S = 0.2
FIRST_ERROR_STATUS = 400


class Session(AbstractContextManager):
    """Base class of the sessions; a context manager that closes itself.

    :param hosts: IP:port of the hosts, tried in this order.
    :param token: bearer token.
    :param adapter: the :class:`HttpAdapter`; by default a
        :class:`TornadoAdapter`.
    :param scheme: ``http`` or ``https``.
    """

    def __init__(self, hosts, token='', adapter=None, scheme='http'):
        self.hosts = list(hosts)
        self.token = token
        self.adapter = adapter or TornadoAdapter()
        self.scheme = scheme

    def __exit__(self, *exc_info):
        """Close the session."""
        self.close()

    def close(self):
        """Close the connections of the session."""
        self.adapter.close()

    def _send(self, host, method, path, headers, body, timeout_s):
        url = f'{self.scheme}://{host}{path}'
        headers = {'Authorization': f'Bearer {self.token}'} | headers
        return self.adapter.send(method, url, headers, body, timeout_s)


class OperatorSession(Session):
    """Session of an operator with the control hosts.

    All attempts to send a change carry the same id, so that a repeated send
    after a lost answer returns the outcome of the first.  Every method
    raises :class:`FuchsiacartError` if the call is refused or no host
    answers.
    """

    def list_contracts(self):
        """Return all contracts with their versions, as dictionaries."""
        return self._call_leader('GET', '/v1/contracts')

    def get_contract(self, customer):
        """Return the contract of a customer with its version.

        :param customer: name of the customer.
        """
        return self._call_leader('GET', f'/v1/contracts/{quote(customer)}')

    def put_contract(self, contract, expected_version, change_id=None):
        """Replace a contract if its version is the expected one.

        :param contract: the contract as a dictionary.
        :param expected_version: version to replace, 0 for a new contract.
        :param change_id: id of the change; a new one by default.
        :return: the outcome with the new version and revision.
        :raises FuchsiacartError: with kind CONFLICT if the contract has
            another version; the detail names the change that won.
        """
        customer = str(contract.get('customer', ''))
        return self._change(
            'PUT',
            f'/v1/contracts/{quote(customer)}',
            contract,
            change_id,
            {'If-Match': str(expected_version)},
        )

    def start_drain(self, scope, name, change_id=None):
        """Start a drain.

        :param scope: host, failure_domain, region or backend_server.
        :param name: name of the object to drain.
        :param change_id: id of the change; a new one by default.
        :return: the outcome.
        """
        drain = {'scope': scope, 'name': name}
        return self._change('POST', '/v1/drains', drain, change_id)

    def cancel_drain(self, scope, name, change_id=None):
        """Cancel a drain; see :meth:`start_drain` for the parameters."""
        drain = {'scope': scope, 'name': name}
        return self._change('DELETE', '/v1/drains', drain, change_id)

    def list_drains(self):
        """Return all drains with their progress, as dictionaries."""
        return self._call_leader('GET', '/v1/drains')

    def list_audit(self, subject=''):
        """Return the entries of the audit trail.

        :param subject: name of the subject to select; all by default.
        """
        query = urlencode({'subject': subject})
        return self._call_leader('GET', f'/v1/audit?{query}')

    def get_status(self):
        """Return a summary of the state of the system."""
        return self._call_leader('GET', '/v1/status')

    def get_group(self, host):
        """Return the state of a replica as its control host reports it.

        :param host: IP:port of the control host.
        """
        reply = self._send(host, 'GET', '/v1/group', {}, None, CALL_TIMEOUT_S)
        return _read_document(reply)

    def explain(self, host, question):
        """Return where a gateway would send a request now, and why.

        :param host: IP:port at which the gateway serves its metrics.
        :param question: parameters of the query as a dictionary.
        """
        path = f'/v1/explain?{urlencode(question)}'
        reply = self._send(host, 'GET', path, {}, None, CALL_TIMEOUT_S)
        return _read_document(reply)

    def init_group(self):
        """Form the control group from the replicas of the session's hosts.

        The call may be repeated until all hosts have the same members.

        :return: the group.
        :raises ChangeError: if a host already has other members.
        """
        replicas = [self.get_group(host) for host in self.hosts]
        voters = sorted(replica['replica'] for replica in replicas)
        group = {'voters': voters}
        for host, replica in zip(self.hosts, replicas):
            if replica['blank']:
                continue
            if sorted(replica['group']['voters']) != voters:
                raise ChangeError(
                    f'{host} has other members already', ErrorKind.CONFLICT
                )
        for host in self.hosts:
            body = encode(group)
            reply = self._send(
                host, 'POST', '/v1/group', {}, body, CALL_TIMEOUT_S
            )
            _read_document(reply)
        return group

    def replace_replica(self, old, new):
        """Replace a member of the control group.

        :param old: name of the replica to remove.
        :param new: name of the replica to add.
        :return: the state of the replica that leads, with its group.
        """
        body = encode({'old': old, 'new': new})
        return self._call_leader(
            'PUT', '/v1/group', body, {}, REPLACE_TIMEOUT_S
        )

    def _change(self, method, path, document, change_id, headers=None):
        headers = dict(headers or {})
        headers['Fuchsiacart-Change-Id'] = change_id or str(uuid7())
        headers['Fuchsiacart-Actor'] = getuser()
        return self._call_leader(method, path, encode(document), headers)

    def _call_leader(
        self, method, path, body=None, headers=None, timeout_s=CALL_TIMEOUT_S
    ):
        """Try the hosts in turn until the leader answers."""
        deadline_s = monotonic() + RETRY_TIMEOUT_S
        while True:
            for host in self.hosts:
                try:
                    reply = self._send(
                        host, method, path, headers or {}, body, timeout_s
                    )
                    return _read_document(reply)
                except FuchsiacartError as error:
                    last = error
                    if not _may_succeed_elsewhere(error):
                        raise
            if monotonic() >= deadline_s:
                raise last
            sleep(RETRY_DELAY_S)


class CallerSession(Session):
    """Session of a caller: looks up an entry host and sends requests."""

    def lookup(self, service, client=''):
        """Look up the entry hosts for a service.

        :param service: name of the service.
        :param client: IP address of the caller; by default that of the
            connection.
        :return: the answer as a dictionary.
        :raises FuchsiacartError: if no host answers.
        """
        query = {'service': service}
        if client:
            query['client'] = client
        path = f'/v1/lookup?{urlencode(query)}'
        last = TransportError('no entry host is given')
        for host in self.hosts:
            try:
                reply = self._send(host, 'GET', path, {}, None, CALL_TIMEOUT_S)
                return _read_document(reply)
            except FuchsiacartError as error:
                last = error
        raise last

    def request(
        self, method, service, path, body=None, key='', deadline_ms=5000
    ):
        """Look up an entry host and send a request to it.

        :param method: HTTP method.
        :param service: name of the service.
        :param path: path with query, starting with ``/``.
        :param body: bytes, or None.
        :param key: idempotency key; a new one by default.
        :param deadline_ms: milliseconds from now until the answer is of no
            use; sent with the request, and the limit of the wait.
        :return: the :class:`HttpReply`.
        :raises RequestError: if no answer came, so that the outcome is
            unknown.
        :raises FuchsiacartError: if the look-up failed or the system
            refused the request; see its ``run`` for whether the request
            may have run.
        """
        answer = self.lookup(service)
        headers = {
            'Idempotency-Key': key or new_key(answer['key_home']),
            'Fuchsiacart-Deadline-Ms': str(deadline_ms),
        }
        try:
            reply = self._send(
                answer['hosts'][0],
                method,
                f'/s/{quote(service)}{path}',
                headers,
                body,
                deadline_ms / 1000,
            )
        except TransportError as error:
            raise RequestError(
                error.detail, ErrorKind.OUTCOME_UNKNOWN, Run.UNKNOWN
            ) from error
        if reply.headers.get('Content-Type') == 'application/problem+json':
            _read_document(reply)
        return reply


def new_key(home=''):
    """Return a new idempotency key, a UUIDv7.

    :param home: ``key_home`` from the look-up, put before the UUID.
    """
    return f'{home}:{uuid7()}' if home else str(uuid7())


def _read_document(reply):
    """Return the JSON document of a reply, or raise its problem document."""
    if reply.status < FIRST_ERROR_STATUS:
        return decode(reply.body)
    try:
        problem = convert(decode(reply.body), Problem)
    except MsgspecError as error:
        raise TransportError(f'status {reply.status}') from error
    raise FuchsiacartError(
        problem.detail or problem.title,
        problem.kind,
        problem.run,
        problem.retry_after_ms,
    )


def _may_succeed_elsewhere(error):
    return error.kind in (
        ErrorKind.NO_QUORUM,
        ErrorKind.OUTDATED,
        ErrorKind.UNREACHABLE,
    )
