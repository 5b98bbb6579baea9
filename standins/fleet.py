"""Runs the processes of a small deployment on loopback."""

from contextlib import AbstractContextManager
from pathlib import Path
from shutil import rmtree
from signal import SIGCONT
from signal import SIGKILL
from signal import signal
from signal import SIGSTOP
from signal import SIGTERM
from tempfile import mkdtemp
from time import monotonic
from time import sleep
from tomllib import loads

from msgspec.json import decode

from fuchsiacart.client.sessions import CallerSession
from fuchsiacart.client.sessions import OperatorSession
from fuchsiacart.exceptions import FuchsiacartError
from standins.ports import PortReservations
from standins.processes import Process
from standins.toml_files import write_toml
from tools.deploy import EXAMPLE_TOKENS

START_TIMEOUT_S = 30.0
POLL_S = 0.05
DEPLOY_FOLDER = Path(__file__).parent.parent / 'deploy'


def stop_on_sigterm():
    """Raise SystemExit on SIGTERM, so that a fleet stops its processes."""

    def exit_on_signal(number, frame):
        raise SystemExit(1)

    signal(SIGTERM, exit_on_signal)


class Fleet(AbstractContextManager):
    """Control hosts, entry hosts and backend servers of one user.

    The processes start with the context and are killed at its end.

    :param spec: the :class:`FleetSpec` of the deployment.
    :param ports: the :class:`PortReservations` for its control hosts.
    """

    def __init__(self, spec, ports=None):
        self.spec = spec
        self._ports = ports or PortReservations()
        self.folder = Path(mkdtemp(prefix='fuchsiacart-'))
        self.processes = {}
        self.regions = []
        self._control_names = []
        self._entry_names = []
        self._peer_ports = {}
        self._claim_groups = []

    def __enter__(self):
        """Start the deployment; stop what was started if that fails."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc_info):
        """Stop the deployment."""
        self.stop()

    def start(self):
        """Start all processes, initialize the group and put the contracts.

        :raises ChildProcessError: if a host ends instead of listening.
        :raises TimeoutError: if the hosts are not ready in time.
        """
        self._start_role('control', self.spec.control, self._control_names)
        self._wait_for_ports(self._control_names)
        with self.operator_session() as session:
            session.init_group()
            for path in sorted(self._user_folder.glob('contracts/*.toml')):
                session.put_contract(loads(path.read_text()), 0)
        self._start_claim_groups()
        self._start_role('entry', self.spec.entry, self._entry_names)
        self._wait_for_ports(self._entry_names)
        self.wait_until(self._all_leases_held)
        for service in self.spec.services:
            for region in self.regions:
                for index in range(service.per_region):
                    self.start_backend(service, region, index)

    def start_backend(self, service, region, index, report='honest'):
        """Start a stand-in backend server.

        :param index: position among the servers of the region, from 0.
        :param report: kind of load report, see :mod:`standins.backend`.
        :return: the name of the server.
        """
        name = f'{service.name}-{region}-{index + 1}'
        arguments = [
            'standins.backend',
            f'--name={name}',
            f'--service={service.name}',
            f'--region={region}',
            f'--failure-domain={region}-{"ab"[index % 2]}',
            f'--entry={",".join(self.entry_hosts())}',
            f'--token={EXAMPLE_TOKENS["backend"]}',
            f'--slots={service.slots}',
            f'--service-ms={service.service_ms}',
            f'--seed={self.spec.seed}',
            f'--record={self.folder / name}.record',
            f'--report={report}',
        ]
        self._start_process(name, arguments)
        return name

    def operator_session(self):
        """Return an :class:`OperatorSession` with all control hosts."""
        hosts = [self.http_address(name) for name in self._control_names]
        return OperatorSession(hosts, EXAMPLE_TOKENS['operator'])

    def caller_session(self, token):
        """Return a :class:`CallerSession` with all entry hosts."""
        return CallerSession(self.entry_hosts(), token)

    def entry_hosts(self):
        """Return the HTTP addresses of all entry hosts."""
        return [self.http_address(name) for name in self._entry_names]

    @property
    def entry_names(self):
        """The names of all entry hosts."""
        return tuple(self._entry_names)

    @property
    def control_names(self):
        """The names of all control hosts."""
        return tuple(self._control_names)

    def http_address(self, name):
        """Return the HTTP address of a daemon, which must have started."""
        return self._read_ports(name)['http_address']

    def tokens(self):
        """Return a dict of customers to the tokens of their callers."""
        paths = sorted(self._user_folder.glob('contracts/*.toml'))
        return {path.stem: f'example-token-{path.stem}' for path in paths}

    def control_addresses(self):
        """Return the peer addresses of all control hosts."""
        return [self.control_address(name) for name in self._control_names]

    def control_address(self, name):
        """Return the IP:port at which peers reach a control host."""
        return f'127.0.0.1:{self._peer_ports[name]}'

    def region_of(self, name):
        """Return the region in the settings of a daemon."""
        settings = loads((self.folder / f'{name}.toml').read_text())
        return settings['host']['region']

    def leader(self):
        """Return the name of the control host that is the leader now."""
        with self.operator_session() as session:
            return session.get_status()['leader'].partition('/')[0]

    def process_names_in(self, region):
        """Return the names of all processes in a region."""
        names = []
        for name in self.processes:
            settings = self.folder / f'{name}.toml'
            if settings.exists():
                host = loads(settings.read_text())['host']
                if host['region'] == region:
                    names.append(name)
            elif f'-{region}-' in name:
                names.append(name)
        return names

    def kill(self, name):
        """Kill a process with SIGKILL and wait for its end."""
        self.processes[name].send_signal(SIGKILL)
        return self.processes[name].wait()

    def pause(self, name):
        """Suspend a process with SIGSTOP."""
        self.processes[name].send_signal(SIGSTOP)

    def resume(self, name):
        """Resume a suspended process."""
        self.processes[name].send_signal(SIGCONT)

    def restart(self, name):
        """Start a process again; it must have ended."""
        self.processes[name].start()

    def stop_process(self, name):
        """Stop a process with SIGTERM and wait for its end.

        :return: its exit code.
        """
        self.processes[name].send_signal(SIGTERM)
        return self.processes[name].wait()

    def log_lines(self, events):
        """Return the lines on some events from the logs of all processes.

        :param events: names of the events.
        :return: a string with one line for each, after the process's name.
        """
        lines = []
        for process in self.processes.values():
            for line in process.log_path.read_text().splitlines():
                if any(f'event={event} ' in line for event in events):
                    lines.append(f'{process.name}: {line}')
        return '\n'.join(lines)

    def data_folder(self, name):
        """Return the data folder of a control host."""
        return self.folder / f'{name}.data'

    def wait_until(self, condition, timeout_s=START_TIMEOUT_S):
        """Wait until a condition holds.

        :param condition: callable without arguments.
        :raises TimeoutError: if it does not hold before the time-out.
        """
        deadline_s = monotonic() + timeout_s
        while monotonic() < deadline_s:
            if condition():
                return
            sleep(POLL_S)
        raise TimeoutError(getattr(condition, '__name__', 'condition'))

    def usable_slots(self):
        """Return a dict of regions to their usable slots."""
        with self.operator_session() as session:
            regions = session.get_status()['regions']
        return {region['region']: region['slots'] for region in regions}

    def records(self):
        """Return the records of all backend servers, split into fields."""
        lines = []
        for path in sorted(self.folder.glob('*.record')):
            lines += [line.split() for line in path.read_text().splitlines()]
        return lines

    def stop(self):
        """Kill all processes and remove the folder."""
        for process in self.processes.values():
            process.send_signal(SIGCONT)
            process.send_signal(SIGKILL)
        for process in self.processes.values():
            process.wait()
        self._ports.release()
        rmtree(self.folder, ignore_errors=True)

    @property
    def _user_folder(self):
        return DEPLOY_FOLDER / self.spec.user

    def _start_role(self, role, count, names):
        for index in range(count):
            name = f'{role}-{index + 1}'
            names.append(name)
            settings = loads((self._user_folder / f'{name}.toml').read_text())
            region = settings['host']['region']
            if region not in self.regions:
                self.regions.append(region)
            if role == 'control':
                self._peer_ports[name] = self._ports.reserve()
        for name in names:
            path = self._write_settings(role, name)
            self._start_daemon(name, path)

    def _start_claim_groups(self):
        """Start a claim group in each region if the spec has claim hosts."""
        if not self.spec.claim_hosts:
            return
        for region in self.regions:
            names = [
                f'claim-{region}-{index + 1}'
                for index in range(self.spec.claim_hosts)
            ]
            ports = {name: self._ports.reserve() for name in names}
            self._claim_groups.append(
                {'home': region, 'hosts': _control_host_rows(ports)}
            )
            for index, name in enumerate(names):
                path = self._write_claim_settings(region, index, name, ports)
                self._start_daemon(name, path)
            self._wait_for_ports(names)
            hosts = [self.http_address(name) for name in names]
            token = EXAMPLE_TOKENS['operator']
            with OperatorSession(hosts, token) as session:
                session.init_group()

    def _write_claim_settings(self, region, index, name, ports):
        text = (self._user_folder / 'control-1.toml').read_text()
        settings = loads(text)
        settings['host'] = {
            'name': name,
            'region': region,
            'failure_domain': f'{region}-{"ab"[index % 2]}',
        }
        settings['listen'] = self._listen_table(name, ports[name])
        settings['control_hosts'] = _control_host_rows(ports)
        settings['control'] = {'data_folder': str(self.data_folder(name))}
        path = self.folder / f'{name}.toml'
        path.write_text(write_toml(settings))
        return path

    def _listen_table(self, name, peer_port):
        return {
            'address': '127.0.0.1',
            'peer_port': peer_port,
            'ports_file': str(self.folder / f'{name}.ports'),
        }

    def _write_settings(self, role, name):
        settings = loads((self._user_folder / f'{name}.toml').read_text())
        settings['seed'] = self.spec.seed
        settings['listen'] = self._listen_table(
            name, self._peer_ports.get(name, 0)
        )
        settings['control_hosts'] = _control_host_rows(self._peer_ports)
        entry = settings.get('entry', {})
        settings['entry'] = entry | self.spec.entry_settings
        if role == 'entry' and self._claim_groups:
            settings['entry']['claim_groups'] = self._claim_groups
        if role == 'control':
            control = {'data_folder': str(self.data_folder(name))}
            settings['control'] = control | self.spec.control_settings
        path = self.folder / f'{name}.toml'
        path.write_text(write_toml(settings))
        return path

    def _start_daemon(self, name, path):
        """Start a daemon, with a delayed transport if the spec has delays."""
        if not self.spec.one_way_delays_ms:
            self._start_process(name, ['fuchsiacart.daemon', str(path)])
            return
        delays = ','.join(map(str, self.spec.one_way_delays_ms))
        environment = {
            'FUCHSIACART_DISTANCES': delays,
            'FUCHSIACART_FOLDER': str(self.folder),
        }
        self._start_process(name, ['standins.delayed', str(path)], environment)

    def _start_process(self, name, arguments, environment=None):
        process = Process(name, arguments, self.folder, environment)
        self.processes[name] = process
        process.start()

    def _read_ports(self, name):
        return decode((self.folder / f'{name}.ports').read_bytes())

    def _wait_for_ports(self, names):
        try:
            self.wait_until(lambda: all(map(self._listens, names)))
        except TimeoutError as error:
            words = '\n'.join(map(self._last_words, names))
            raise TimeoutError(words) from error

    def _listens(self, name):
        process = self.processes[name]
        if process.has_ended:
            raise ChildProcessError(
                f'exit code {process.exit_code} of {self._last_words(name)}'
            )
        return (self.folder / f'{name}.ports').exists()

    def _last_words(self, name):
        return f'{name}: {self.processes[name].last_lines()}'

    def _all_leases_held(self):
        try:
            for host in self.entry_hosts():
                with CallerSession([host]) as session:
                    session.lookup('any', '127.0.0.1')
        except FuchsiacartError:
            return False
        with self.operator_session() as session:
            status = session.get_status()
        return len(status['hosts']) == len(self._entry_names)


def _control_host_rows(ports):
    """Return the ``control_hosts`` setting for a dict of peer ports."""
    return [
        {'name': name, 'peer_address': f'127.0.0.1:{port}'}
        for name, port in ports.items()
    ]
