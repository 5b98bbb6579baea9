"""Settings of one process, read from a TOML file and validated."""

from enum import Enum
from enum import unique
from pathlib import Path
from tomllib import load
from tomllib import TOMLDecodeError
from typing import Annotated

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import model_validator
from pydantic import ValidationError

from fuchsiacart.exceptions import SettingsError
from fuchsiacart.gateway.budgets.memory_limits import read_machine_bytes

# Time for which a request may be under way; unacknowledged data closes its
# connection then.
TRANSIT_S = 1.0

Name = Annotated[str, Field(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}$')]
IpAddress = Annotated[str, Field(pattern=r'^[0-9a-f.:]+$')]
HostPort = Annotated[str, Field(pattern=r'^[0-9a-f.:\[\]]+:[0-9]{1,5}$')]
Digest = Annotated[str, Field(pattern=r'^[0-9a-f]{64}$')]
Port = Annotated[int, Field(ge=0, le=65535)]
Milliseconds = Annotated[int, Field(gt=0, le=86_400_000)]


@unique
class DaemonRole(Enum):
    """Role of a process in the system."""

    ENTRY = 'entry'
    CONTROL = 'control'
    GATEWAY = 'gateway'


@unique
class StalePolicy(Enum):
    """Which requests an entry host serves after its lease has expired."""

    REFUSE = 'refuse'
    SERVE_REPEATABLE = 'serve_repeatable'


@unique
class Policy(Enum):
    """Which algorithms an entry host uses; the baseline is for comparison."""

    FULL = 'full'
    BASELINE = 'baseline'


class Section(BaseModel):
    """Base class of all tables; unknown keys are errors."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class HostSettings(Section):
    """Name and location of this host."""

    name: Name = Field(description='name of this host, unique')
    region: Name = Field(description='region that this host is in')
    failure_domain: Name = Field(description='failure domain of this host')
    memory_mb: Annotated[int, Field(gt=0)] | None = Field(
        None,
        description='memory of this host in megabytes, which bounds what is'
        ' held for clients; absent: that of the machine',
    )

    @property
    def machine_bytes(self):
        """Return the memory of this host in bytes."""
        if self.memory_mb is None:
            return read_machine_bytes()
        return self.memory_mb * 1_000_000


class ListenSettings(Section):
    """Listening addresses of this process."""

    address: IpAddress = Field('127.0.0.1', description='IP to listen on')
    advertised_address: IpAddress | None = Field(
        None, description='IP that others reach it at; absent: `address`'
    )
    http_port: Port = Field(0, description='HTTP port; 0 takes a free one')
    peer_port: Port = Field(0, description='gRPC port; 0 takes a free one')
    ports_file: str = Field('', description='file that says the ports taken')

    def advertise(self, address):
        """Return the IP:port at which others reach a listening address.

        :param address: IP:port on which this process listens.
        """
        _, _, port = address.rpartition(':')
        return f'{self.advertised_address or self.address}:{port}'


class TlsSettings(Section):
    """Certificate and key; TLS is off if both are empty."""

    certificate_file: str = Field('', description='PEM certificate chain')
    key_file: str = Field('', description='PEM private key')

    @model_validator(mode='after')
    def _require_both_or_none(self):
        if bool(self.certificate_file) != bool(self.key_file):
            raise ValueError('certificate_file and key_file go together')
        return self


class ControlHost(Section):
    """Name and address by which all processes know a control host."""

    name: Name = Field(description='name of the control host')
    peer_address: HostPort = Field(description='IP:port of its gRPC server')


class ClaimGroup(Section):
    """Control hosts that store the claims for the keys of one region."""

    home: Name = Field(description='region that keys name as their home')
    hosts: Annotated[tuple[ControlHost, ...], Field(min_length=1)] = Field(
        description='its control hosts'
    )


class TokenSettings(Section):
    """Digests of the bearer tokens, and the token between processes."""

    operator_sha256: Digest = Field(description='digest for operators')
    backend_sha256: Digest = Field(description='digest for backend servers')
    peer: str = Field(
        min_length=16, description='shared by all processes of the system'
    )


class ControlSettings(Section):
    """Settings that only a control host uses."""

    data_folder: str = Field('', description='folder on the disk')
    election_timeout_ms: Milliseconds = Field(
        1000, description='without a leader for so long, elect one'
    )
    heartbeat_ms: Milliseconds = Field(
        100, description='time between two heartbeats of the leader'
    )
    compact_entries: Annotated[int, Field(gt=0)] = Field(
        4096, description='entries in the log before a snapshot'
    )
    compact_bytes: Annotated[int, Field(gt=0)] = Field(
        4 * 1024 * 1024, description='bytes in the log before a snapshot'
    )
    steer_interval_ms: Milliseconds = Field(
        1000, description='time between two moves of the weights'
    )
    shift_cap_permille: Annotated[int, Field(gt=0, le=1000)] = Field(
        200, description='share of a region moved per shift window at most'
    )
    shift_window_ms: Milliseconds = Field(
        2000, description='window of the shift cap; not under lookup_ttl_ms'
    )
    bootstrap: bool = Field(
        False, description='true at the first start of the whole system only'
    )
    tolerated_losses: Annotated[int, Field(ge=0)] = Field(
        1, description='control hosts that may be lost at once, with `seeds`'
    )
    replace_after_ms: Milliseconds = Field(
        6000, description='silence after which a voter may be replaced'
    )
    catch_up_s: Annotated[float, Field(gt=0)] | None = Field(
        None,
        description='time in which a new control host must count as a voter;'
        ' a voter silent for a quarter of it may be replaced',
    )

    @property
    def voter_count(self):
        """Return the number of voters needed for the tolerated losses."""
        return 2 * self.tolerated_losses + 1

    @property
    def silence_limit_ms(self):
        """Return the silence after which a voter may be replaced.

        The rest of ``catch_up_s`` is left for an election and for the two
        changes of the members.
        """
        if self.catch_up_s is None:
            return self.replace_after_ms
        quarter_ms = self.catch_up_s * 250
        return min(
            self.replace_after_ms, max(self.election_timeout_ms, quarter_ms)
        )


class EntrySettings(Section):
    """Settings of entry hosts; other roles use some of them too."""

    lease_ms: Milliseconds = Field(
        3000, description='how long a lease from the control group holds'
    )
    keep_alive_ms: Milliseconds = Field(
        500, description='time between two renewals of the lease'
    )
    gossip_ms: Milliseconds = Field(
        200, description='time between two rounds of gossip'
    )
    lookup_ttl_ms: Milliseconds = Field(
        2000, description='how long callers may keep a look-up'
    )
    backend_lease_ms: Milliseconds = Field(
        3000, description='how long an announcement holds'
    )
    ramp_ms: Milliseconds = Field(
        5000, description='time in which a new backend server gets its slots'
    )
    stop_timeout_ms: Milliseconds = Field(
        30000, description='longest wait of a planned stop'
    )
    quarantine_ms: Milliseconds = Field(
        600_000, description='how long a bad request is refused'
    )
    connect_timeout_ms: Milliseconds = Field(
        1000, description='limit for a new connection to a backend server'
    )
    link_bytes_per_s: Annotated[int, Field(gt=0)] = Field(
        4_000_000, description='bytes a second this host sends to a region'
    )
    claim_groups: tuple[ClaimGroup, ...] = Field(
        (), description='groups for keys with a home; the same everywhere'
    )
    on_stale: StalePolicy = Field(
        StalePolicy.REFUSE, description='what to do without a lease'
    )
    policy: Policy = Field(
        Policy.FULL, description='full, or the baseline to compare with'
    )


class RouteSettings(Section):
    """Settings for serving by routes: listening addresses and limits."""

    caller_address: HostPort | None = Field(
        None, description='where a gateway takes requests'
    )
    ready_address: HostPort | None = Field(
        None, description='where a gateway answers readiness checks'
    )
    control_address: HostPort | None = Field(
        None, description='where a control host takes orders and heartbeats'
    )
    directory_address: HostPort | None = Field(
        None, description='where a control host names gateways'
    )
    regions: dict[str, str] = Field(
        {}, description='region of each failure domain'
    )
    lookup_ttl_s: Annotated[float, Field(gt=0)] = Field(
        2.0, description='how long callers may keep the named gateways'
    )
    heartbeat_s: Annotated[float, Field(gt=0)] = Field(
        1.5, description='time between two heartbeats of a backend server'
    )
    stop_s: Annotated[float, Field(gt=0)] = Field(
        6.0, description='time from SIGTERM until the process is killed'
    )
    retry_ratio: Annotated[float, Field(ge=0)] = Field(
        0.2, description='further attempts for each request at most'
    )
    retry_window_s: Annotated[float, Field(gt=0)] = Field(
        10.0, description='window over which further attempts are counted'
    )
    retry_slack: Annotated[float, Field(ge=0)] = Field(
        50.0, description='further attempts in a window beyond the ratio'
    )
    shift_cap: Annotated[float, Field(gt=0, le=1)] = Field(
        0.15, description='part of a region that may move in 2 s at most'
    )
    drain_s: Annotated[float, Field(gt=0)] = Field(
        2.5,
        description='time after which no request reaches a server that has'
        ' said that it leaves',
    )
    apply_s: Annotated[float, Field(gt=0)] = Field(
        2.5, description='time after which a configuration is in force'
    )
    evacuate_s: Annotated[float, Field(gt=0)] = Field(
        5.0,
        description='time after which no request reaches an evacuated failure'
        ' domain',
    )
    revoke_s: Annotated[float, Field(gt=0)] | None = Field(
        None,
        description='time after which a revoked key is refused everywhere, by'
        ' gateways that are cut off too; absent: by those in touch only',
    )
    quota_window_s: Annotated[float, Field(gt=0)] = Field(
        5.0, description='window over which quotas of accounts hold'
    )
    quota_over: Annotated[float, Field(ge=0)] = Field(
        0.0, description='part by which a quota may be exceeded in a window'
    )
    quota_slack: Annotated[float, Field(ge=0)] = Field(
        20.0, description='requests of an account in a window beyond that'
    )

    @property
    def max_view_age_ms(self):
        """Age in milliseconds from which a gateway's view is outdated.

        What is sent by it arrives within ``TRANSIT_S``, or in half of the
        shortest bound if that is less.
        """
        bound_s = min(self.drain_s, self.apply_s, self.evacuate_s)
        return (bound_s - min(TRANSIT_S, bound_s / 2)) * 1000


class Settings(Section):
    """The whole settings file."""

    role: DaemonRole = Field(description='entry or control')
    seed: int = Field(0, description='seed of random choices; 0 takes any')
    host: HostSettings
    listen: ListenSettings = ListenSettings()
    tls: TlsSettings = TlsSettings()
    tokens: TokenSettings
    control_hosts: tuple[ControlHost, ...] = Field(
        (), description='all control hosts, in every settings file'
    )
    seeds: tuple[HostPort, ...] = Field(
        (),
        description='some control hosts, where the others are found from'
        ' there; the peer port is that of this process',
    )
    control: ControlSettings = ControlSettings()
    entry: EntrySettings = EntrySettings()
    routes: RouteSettings | None = Field(
        None, description='serving by routes; absent where it is not used'
    )

    @property
    def seed_addresses(self):
        """Return the peer addresses of the seeds."""
        hosts = [seed.rpartition(':')[0] for seed in self.seeds]
        return tuple(f'{host}:{self.listen.peer_port}' for host in hosts)

    @property
    def control_addresses(self):
        """Return the peer addresses of the listed control hosts.

        Without such a list, the addresses of the seeds are returned.
        """
        named = tuple(host.peer_address for host in self.control_hosts)
        return named or self.seed_addresses

    @property
    def replica_host(self):
        """Return the host part of the name of this control host's replica.

        It is the name of the host, or its peer address if the settings do
        not list the control hosts.
        """
        if self.control_hosts:
            return self.host.name
        return self.listen.advertise(f':{self.listen.peer_port}')

    @model_validator(mode='after')
    def _require_control_hosts(self):
        if not self.control_hosts and not self.seeds:
            raise ValueError('control_hosts: name them, or some `seeds`')
        if self.seeds and not self.listen.peer_port:
            raise ValueError('listen.peer_port: `seeds` need a fixed one')
        if self.role is DaemonRole.GATEWAY and self.routes is None:
            raise ValueError('routes: a gateway needs them')
        return self

    @model_validator(mode='after')
    def _check_time_limits(self):
        # Callers may use a cached look-up answer for its whole TTL, which
        # the window of the shift cap must cover.
        if self.control.shift_window_ms < self.entry.lookup_ttl_ms:
            raise ValueError(
                'control.shift_window_ms: not under entry.lookup_ttl_ms'
            )
        if self.entry.keep_alive_ms * 3 > self.entry.lease_ms:
            raise ValueError(
                'entry.keep_alive_ms: a third of entry.lease_ms at most'
            )
        return self

    @model_validator(mode='after')
    def _check_control_host(self):
        if self.role is not DaemonRole.CONTROL:
            return self
        if not self.control.data_folder:
            raise ValueError('control.data_folder: a control host needs one')
        names = {host.name for host in self.control_hosts}
        if names and self.host.name not in names:
            raise ValueError('control_hosts: this host is missing')
        return self


def load_settings(settings_path):
    """Read and validate a settings file.

    :param settings_path: path of the TOML file.
    :return: the :class:`Settings`.
    :raises SettingsError: if the file cannot be read or is invalid; its
        ``detail`` has one line for each error, with its key and the form
        expected.
    """
    path = Path(settings_path)
    try:
        with open(path, 'rb') as file:
            raw = load(file)
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from error
    except TOMLDecodeError as error:
        raise SettingsError(f'{path}: {error}') from error
    try:
        return Settings.model_validate(raw)
    except ValidationError as error:
        raise SettingsError('\n'.join(_format_errors(error))) from error


def _format_errors(error):
    for item in error.errors():
        key = '.'.join(str(part) for part in item['loc']) or 'settings'
        yield f'{key}: {item["msg"]}'
