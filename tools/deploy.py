"""Writes the example settings and contracts of both users.

Usage:
  deploy [--folder=FOLDER]

Options:
  --folder=FOLDER  Where to write [default: deploy].
"""

from hashlib import sha256
from pathlib import Path

from docopt import docopt
from msgspec import Struct

EXAMPLE_TOKENS = {
    'operator': 'example-operator-token',
    'backend': 'example-backend-token',
    'peer': 'example-peer-token-change-it',
}
HTTP_PORT = 8080
PEER_PORT = 7070


class HostPlacement(Struct, frozen=True):
    """Name, region, failure domain and address of one host."""

    name: str
    region: str
    failure_domain: str
    address: str


class User(Struct, frozen=True):
    """A user of the system and its deployment.

    ``network`` is the first two octets of all addresses; ``contracts`` maps
    customers to the templates of their contracts.
    """

    name: str
    network: str
    regions: tuple[str, ...]
    link_bytes_per_s: int
    entry_hosts: int
    contracts: dict[str, str]


GOLAU_CONTRACT_TEMPLATE = '''customer = "{customer}"
token_sha256 = ["{digest}"]

[[routes]]
service = "orders"
method = "POST"
path = "/orders*"
rank = "urgent"
repeatable = false
deadline_ms = 5000

[[routes]]
service = "orders"
method = "PUT"
path = "/orders*"
rank = "urgent"
repeatable = false
deadline_ms = 5000

[[routes]]
service = "orders"
method = "GET"
path = "/stock*"
rank = "interactive"
repeatable = true
deadline_ms = 2000

[[routes]]
service = "orders"
method = "GET"
path = "/sync*"
rank = "background"
repeatable = true
deadline_ms = 30000

[[routes]]
service = "catalogue"
method = "GET"
path = "/catalogue*"
rank = "background"
repeatable = true
deadline_ms = 30000

[[ranks]]
rank = "urgent"
rate_per_s = 400
concurrency = 60
floor_percent = 25

[[ranks]]
rank = "interactive"
rate_per_s = 800
concurrency = 120
floor_percent = 15

[[ranks]]
rank = "background"
rate_per_s = 400
concurrency = 400
floor_percent = 10

[[blocks]]
prefix = "{block}"
region = "{region}"
'''

HALVORSEN_CONTRACT_TEMPLATE = '''customer = "{customer}"
token_sha256 = ["{digest}"]

[[routes]]
service = "teller"
method = "POST"
path = "/deposits*"
rank = "urgent"
repeatable = false
deadline_ms = 5000

[[routes]]
service = "teller"
method = "POST"
path = "/transfers*"
rank = "urgent"
repeatable = false
deadline_ms = 5000

[[routes]]
service = "teller"
method = "GET"
path = "/balances*"
rank = "interactive"
repeatable = true
deadline_ms = 2000

[[routes]]
service = "teller"
method = "GET"
path = "/ledger*"
rank = "background"
repeatable = true
deadline_ms = 30000

[[routes]]
service = "statements"
method = "POST"
path = "/statements*"
rank = "background"
repeatable = true
deadline_ms = 30000

[[ranks]]
rank = "urgent"
rate_per_s = 300
concurrency = 40
floor_percent = 30

[[ranks]]
rank = "interactive"
rate_per_s = 600
concurrency = 80
floor_percent = 15

[[ranks]]
rank = "background"
rate_per_s = 300
concurrency = 300
floor_percent = 5

[[blocks]]
prefix = "{block}"
region = "{region}"
'''

USERS = (
    User(
        'golau-beic',
        '10.20',
        ('cymru', 'lloegr', 'iwerddon'),
        37_500_000 // 10,
        10,
        {
            'siop-aberystwyth': GOLAU_CONTRACT_TEMPLATE,
            'pedal-bristol': GOLAU_CONTRACT_TEMPLATE,
        },
    ),
    User(
        'halvorsen',
        '10.30',
        ('puget', 'willamette', 'inland'),
        500_000_000 // 10,
        10,
        {
            'teller-counters': HALVORSEN_CONTRACT_TEMPLATE,
            'family-app': HALVORSEN_CONTRACT_TEMPLATE,
        },
    ),
)


def token_digest(token):
    """Return the SHA-256 digest of a token in hexadecimal."""
    return sha256(token.encode()).hexdigest()


def place_hosts(user, role, count):
    """Return hosts distributed evenly over regions and failure domains.

    :param role: ``control`` or ``entry``.
    :param count: number of hosts.
    :return: a list of :class:`HostPlacement`.
    """
    rows = []
    for index in range(count):
        region = index % len(user.regions)
        domain = index // len(user.regions) % 2
        offset = 10 if role == 'control' else 100
        rows.append(
            HostPlacement(
                f'{role}-{index + 1}',
                user.regions[region],
                f'{user.regions[region]}-{"ab"[domain]}',
                f'{user.network}.{region}.{offset + index}',
            )
        )
    return rows


def render_settings(user, role, placement, control):
    """Return the text of a host's settings file.

    :param placement: the host's :class:`HostPlacement`.
    :param control: placements of all control hosts.
    """
    lines = [
        f'role = "{role}"',
        '',
        '[host]',
        f'name = "{placement.name}"',
        f'region = "{placement.region}"',
        f'failure_domain = "{placement.failure_domain}"',
        '',
        '[listen]',
        f'address = "{placement.address}"',
        f'http_port = {HTTP_PORT}',
        f'peer_port = {PEER_PORT}',
        '',
        '# Digests of example tokens: put your own before you deploy.',
        '[tokens]',
        f'operator_sha256 = "{token_digest(EXAMPLE_TOKENS["operator"])}"',
        f'backend_sha256 = "{token_digest(EXAMPLE_TOKENS["backend"])}"',
        f'peer = "{EXAMPLE_TOKENS["peer"]}"',
    ]
    for host in control:
        lines += [
            '',
            '[[control_hosts]]',
            f'name = "{host.name}"',
            f'peer_address = "{host.address}:{PEER_PORT}"',
        ]
    if role == 'control':
        lines += ['', '[control]', 'data_folder = "/var/lib/fuchsiacart"']
    else:
        lines += [
            '',
            '[entry]',
            f'link_bytes_per_s = {user.link_bytes_per_s}',
        ]
    return '\n'.join(lines) + '\n'


def write_user_files(folder, user):
    """Write the settings and contracts of one user below a folder."""
    user_folder = Path(folder) / user.name
    (user_folder / 'contracts').mkdir(parents=True, exist_ok=True)
    control = place_hosts(user, 'control', 3)
    for role, hosts in (
        ('control', control),
        ('entry', place_hosts(user, 'entry', user.entry_hosts)),
    ):
        for placement in hosts:
            text = render_settings(user, role, placement, control)
            (user_folder / f'{placement.name}.toml').write_text(text)
    for index, (customer, contract) in enumerate(user.contracts.items()):
        text = contract.format(
            customer=customer,
            digest=token_digest(f'example-token-{customer}'),
            block=f'{user.network}.{200 + index}.0/24',
            region=user.regions[index],
        )
        (user_folder / 'contracts' / f'{customer}.toml').write_text(text)


def main():
    """Write the files of all users."""
    options = docopt(__doc__)
    for user in USERS:
        write_user_files(options['--folder'], user)


if __name__ == '__main__':
    main()
