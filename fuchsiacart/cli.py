"""fuchsiacart: the operators' command.

Usage:
  fuchsiacart [options] contract put FILE [--version=N] [--change-id=ID]
  fuchsiacart [options] contract get CUSTOMER
  fuchsiacart [options] contract list
  fuchsiacart [options] contract history CUSTOMER
  fuchsiacart [options] drain start SCOPE NAME [--wait] [--change-id=ID]
  fuchsiacart [options] drain cancel SCOPE NAME [--change-id=ID]
  fuchsiacart [options] drain list
  fuchsiacart [options] status
  fuchsiacart [options] audit [SUBJECT]
  fuchsiacart [options] lookup SERVICE [CLIENT]
  fuchsiacart [options] explain GATEWAY HOST PATH
  fuchsiacart [options] group init
  fuchsiacart [options] group show
  fuchsiacart [options] group replace OLD NEW
  fuchsiacart settings check SETTINGS
  fuchsiacart --help

Options:
  --control=HOSTS   Control hosts, IP:port with commas between them
                    [env: FUCHSIACART_CONTROL].
  --entry=HOSTS     Entry hosts, for look-ups [env: FUCHSIACART_ENTRY].
  --token=TOKEN     Operators' token [env: FUCHSIACART_TOKEN].
  --ca=FILE         Certificate to trust; turns TLS on.
  --account=NAME    Account of the request that is explained.
  --object=KEY      Object that it concerns.
  --json            Print JSON, for scripts.
  --version=N       Version to replace, 0 for a new contract; the current
                    one where it is left out.
  --change-id=ID    Id of the change; give it again to resend a change.
  --wait            Wait until the drain is done and show its progress.
  --help            Show this text.

SCOPE is host, failure_domain, region or backend_server.  FILE is a contract
in TOML or JSON.  GATEWAY is the IP:port of its metrics, HOST and PATH those
of a request, which is not sent.
"""

from os import environ
from pathlib import Path
from sys import exit as sys_exit
from sys import stderr
from time import sleep
from tomllib import loads
from tomllib import TOMLDecodeError

from docopt import docopt
from msgspec.json import decode
from msgspec.json import encode
from msgspec.json import format as format_json

from fuchsiacart.client.reports import format_audit
from fuchsiacart.client.reports import format_drains
from fuchsiacart.client.reports import format_explanation
from fuchsiacart.client.reports import format_fields
from fuchsiacart.client.reports import format_status
from fuchsiacart.client.sessions import CallerSession
from fuchsiacart.client.sessions import OperatorSession
from fuchsiacart.client.transports import TornadoAdapter
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.settings import load_settings

DRAIN_POLL_S = 0.5


class Command:
    """One invocation of the command line.

    :param options: the options as parsed by docopt.
    """

    def __init__(self, options):
        self._options = options

    def run(self):
        """Execute the command and print its result."""
        if self._options['settings']:
            load_settings(self._options['SETTINGS'])
            self._print({'valid': True}, lambda _: 'the settings are valid')
            return
        if self._options['lookup']:
            self._run_lookup()
            return
        if self._options['explain']:
            hosts = [self._options['GATEWAY']]
        else:
            hosts = self._read_hosts('--control', 'FUCHSIACART_CONTROL')
        token = self._options['--token'] or environ.get(
            'FUCHSIACART_TOKEN', ''
        )
        with OperatorSession(hosts, token, *self._make_transport()) as session:
            self._run_operator_command(session)

    def _run_operator_command(self, session):
        for name, action in (
            ('contract', self._run_contract_command),
            ('drain', self._run_drain_command),
            ('group', self._run_group_command),
        ):
            if self._options[name]:
                action(session)
                return
        if self._options['explain']:
            self._run_explain(session)
            return
        if self._options['status']:
            status = session.get_status()
            status['control_hosts'] = self._list_control_hosts(session)
            self._print(status, format_status)
            return
        subject = self._options['SUBJECT'] or ''
        self._print(session.list_audit(subject), format_audit)

    def _run_explain(self, session):
        question = {
            'host': self._options['HOST'],
            'path': self._options['PATH'],
            'account': self._options['--account'] or '',
            'object': self._options['--object'] or '',
        }
        answer = session.explain(self._options['GATEWAY'], question)
        self._print(answer, format_explanation)

    def _run_contract_command(self, session):
        customer = self._options['CUSTOMER']
        if self._options['put']:
            self._put_contract(session)
        elif self._options['get']:
            self._print(session.get_contract(customer), format_fields)
        elif self._options['history']:
            self._print(session.list_audit(customer), format_audit)
        else:
            self._print(
                session.list_contracts(),
                lambda rows: '\n'.join(
                    f'{row["contract"]["customer"]} version {row["version"]}'
                    for row in rows
                ),
            )

    def _put_contract(self, session):
        contract = read_document(self._options['FILE'])
        version = self._options['--version']
        if version is None:
            version = current_version(session, contract.get('customer', ''))
        outcome = session.put_contract(
            contract, int(version), self._options['--change-id']
        )
        self._print(outcome, format_fields)

    def _run_drain_command(self, session):
        scope, name = self._options['SCOPE'], self._options['NAME']
        change_id = self._options['--change-id']
        if self._options['list']:
            self._print(session.list_drains(), format_drains)
            return
        if self._options['cancel']:
            outcome = session.cancel_drain(scope, name, change_id)
            self._print(outcome, format_fields)
            return
        outcome = session.start_drain(scope, name, change_id)
        self._print(outcome, format_fields)
        if self._options['--wait']:
            self._wait_for_drain(session, scope, name)

    def _wait_for_drain(self, session, scope, name):
        while True:
            rows = [
                row
                for row in session.list_drains()
                if (row['scope'], row['name']) == (scope, name)
            ]
            self._print(rows, format_drains)
            if not rows or rows[0]['drained_ms']:
                return
            sleep(DRAIN_POLL_S)

    def _run_group_command(self, session):
        if self._options['init']:
            self._print(session.init_group(), format_fields)
        elif self._options['replace']:
            group = session.replace_replica(
                self._options['OLD'], self._options['NEW']
            )
            self._print(group, format_fields)
        else:
            self._print(
                self._list_control_hosts(session),
                lambda groups: '\n\n'.join(map(format_fields, groups)),
            )

    def _list_control_hosts(self, session):
        return [
            self._get_group_or_error(session, host) for host in session.hosts
        ]

    def _get_group_or_error(self, session, host):
        try:
            return {'host': host} | session.get_group(host)
        except FuchsiacartError as error:
            return {'host': host, 'error': error.detail}

    def _run_lookup(self):
        hosts = self._read_hosts('--entry', 'FUCHSIACART_ENTRY')
        with CallerSession(hosts, '', *self._make_transport()) as session:
            answer = session.lookup(
                self._options['SERVICE'], self._options['CLIENT'] or ''
            )
        self._print(answer, format_fields)

    def _read_hosts(self, option, variable):
        text = self._options[option] or environ.get(variable, '')
        if not text:
            raise ChangeError(
                f'{option} or {variable} is wanted', ErrorKind.BAD_REQUEST
            )
        return text.split(',')

    def _make_transport(self):
        certificate_file = self._options['--ca']
        scheme = 'https' if certificate_file else 'http'
        return TornadoAdapter(certificate_file), scheme

    def _print(self, document, formatter):
        if self._options['--json']:
            print(format_json(encode(document)).decode())
        else:
            print(formatter(document))


def read_document(path):
    """Read a contract file.

    :param path: path of a TOML file, or of a JSON file that ends in
        ``.json``.
    :return: the contract as a dictionary.
    :raises ChangeError: if the file cannot be read or parsed.
    """
    try:
        text = Path(path).read_text()
        if path.endswith('.json'):
            return decode(text)
        return loads(text)
    except (OSError, ValueError, TOMLDecodeError) as error:
        raise ChangeError(f'{path}: {error}', ErrorKind.BAD_REQUEST) from error


def current_version(session, customer):
    """Return the current version of a contract, 0 if there is none.

    :param session: the :class:`OperatorSession`.
    :param customer: name of the customer.
    """
    try:
        return session.get_contract(customer)['version']
    except FuchsiacartError as error:
        if error.kind is ErrorKind.NOT_FOUND:
            return 0
        raise


def main(argv=None):
    """Run the command line; exits with the code of the error, if any."""
    options = docopt(__doc__, argv)
    try:
        Command(options).run()
    except FuchsiacartError as error:
        print(
            f'{error.kind.value}: {error.answer.title}\n{error.detail}',
            file=stderr,
        )
        sys_exit(error.answer.exit_code)


if __name__ == '__main__':
    main()
