"""Steps for the control group: real replicas over a small fake network."""

from asyncio import create_task
from asyncio import gather
from asyncio import new_event_loop
from asyncio import sleep
from pathlib import Path
from shutil import rmtree
from tempfile import mkdtemp
from time import monotonic

from behave import given
from behave import then
from behave import when

from fuchsiacart.adapters import PeerAdapter
from fuchsiacart.control.commands import Change
from fuchsiacart.control.commands import PutContract
from fuchsiacart.control.leaders import ControlService
from fuchsiacart.control.leaders import Replacement
from fuchsiacart.control.replica_messages import AppendRequest
from fuchsiacart.control.replica_messages import SnapshotRequest
from fuchsiacart.control.replica_states import Group
from fuchsiacart.control.replicas import ReplicaTask
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import TransportError
from fuchsiacart.messages import Done
from fuchsiacart.models import Contract
from fuchsiacart.models import RankName
from fuchsiacart.models import RankTerms
from fuchsiacart.settings import Settings

ELECTION_MS = 150
PATIENCE_S = 20.0
POLL_S = 0.01
NAMES = ('c1', 'c2', 'c3')


class FakeNetwork:
    """Delivers messages between replicas unless a direction is cut."""

    def __init__(self):
        self.replicas = {}
        self.cuts = set()
        self.delivered = []

    def cut(self, sender, receiver):
        """Cut one direction."""
        self.cuts.add((sender, receiver))

    def isolate(self, name):
        """Cut a host off in both directions."""
        for other in NAMES:
            self.cut(name, other)
            self.cut(other, name)

    def heal(self):
        """Let everything through."""
        self.cuts.clear()


class FakeAdapter(PeerAdapter):
    """One host's end of the fake network."""

    def __init__(self, network, name):
        self._network = network
        self._name = name

    async def call(self, address, method, message, timeout_s):
        """Deliver a message, with the answer in the other direction."""
        receiver = f'c{address[-1]}'
        await sleep(0.001)
        replica = self._network.replicas.get(receiver)
        if replica is None or (self._name, receiver) in self._network.cuts:
            raise TransportError(receiver)
        self._network.delivered.append((receiver, message.message))
        replica.deliver(message.message)
        return Done()

    async def close(self):
        """Nothing to close."""


class ControlSubject:
    """Three control hosts in this process."""

    def __init__(self):
        self.loop = new_event_loop()
        self.folder = Path(mkdtemp(prefix='fuchsiacart-control-'))
        self.network = FakeNetwork()
        self.tasks = {}
        self.services = {}
        self.accepted = 0
        self.first = None
        self.follower = None

    def run(self, coroutine):
        """Run a coroutine to its end."""
        return self.loop.run_until_complete(coroutine)

    def settings(self, name):
        """Return the settings of a host."""
        return Settings.model_validate(
            {
                'role': 'control',
                'seed': int(name[1:]),
                'host': {
                    'name': name,
                    'region': 'cymru',
                    'failure_domain': f'cymru-{name}',
                },
                'tokens': {
                    'operator_sha256': '0' * 64,
                    'backend_sha256': '0' * 64,
                    'peer': 'x' * 16,
                },
                'control_hosts': [
                    {'name': each, 'peer_address': f'127.0.0.1:{each[1:]}'}
                    for each in NAMES
                ],
                'control': {
                    'data_folder': str(self.folder / name),
                    'election_timeout_ms': ELECTION_MS,
                    'heartbeat_ms': 30,
                    'compact_entries': 64,
                },
            }
        )

    async def open(self, name):
        """Start a host."""
        settings = self.settings(name)
        adapter = FakeAdapter(self.network, name)
        replica = ReplicaTask(settings, adapter)
        self.network.replicas[name] = replica
        self.services[name] = ControlService(settings, replica, adapter)
        self.tasks[name] = create_task(replica.run())

    async def shut(self, name):
        """Stop a host at once."""
        self.network.replicas.pop(name, None)
        task = self.tasks.pop(name, None)
        if task is not None:
            task.cancel()
            await gather(task, return_exceptions=True)

    async def start(self):
        """Start all hosts and set the members."""
        for name in NAMES:
            await self.open(name)
        replicas = self.network.replicas.values()
        voters = tuple(sorted(replica.replica for replica in replicas))
        for replica in replicas:
            await replica.bootstrap(Group(voters))

    async def until(self, condition):
        """Wait until a condition holds."""
        deadline_s = monotonic() + PATIENCE_S
        while not condition():
            assert monotonic() < deadline_s, 'it did not come about'
            await sleep(POLL_S)

    def leaders(self, without=()):
        """Return the names of the hosts that lead."""
        return [
            name
            for name, replica in self.network.replicas.items()
            if replica.is_leader and name not in without
        ]

    async def elected(self, without=()):
        """Wait for a leader that a quorum confirms, and return it."""
        deadline_s = monotonic() + PATIENCE_S
        while monotonic() < deadline_s:
            for name in self.leaders(without):
                try:
                    await self.network.replicas[name].confirm_leadership(0.5)
                    return name
                except ChangeError:
                    continue
            await sleep(POLL_S)
        raise AssertionError('no leader was elected')

    async def put(self, count, without=()):
        """Have changes accepted; one whose fate is unknown is sent again."""
        for _ in range(count):
            command = change(self.accepted)
            outcome = None
            while outcome is None:
                name = await self.elected(without)
                try:
                    outcome = await self.network.replicas[name].propose(
                        command
                    )
                except ChangeError as error:
                    assert error.kind is ErrorKind.NO_QUORUM, error
            assert outcome.error is None, outcome
            self.accepted += 1

    async def hold_all(self):
        """Wait until all hosts that run hold all accepted changes."""
        await self.until(
            lambda: all(
                self.version(name) == self.accepted
                for name in self.network.replicas
            )
        )

    def version(self, name):
        """Return the version of the contract that a host holds."""
        stored = self.network.replicas[name].replicated_state.stored
        held = stored.contracts.get('shop')
        return held.version if held else 0

    def close(self):
        """Stop all hosts and remove their folders."""
        for name in list(self.tasks):
            self.run(self.shut(name))
        self.loop.close()
        rmtree(self.folder, ignore_errors=True)


def change(version):
    """Return the change that follows a version."""
    terms = RankTerms(RankName.URGENT, version + 1, 1, 10)
    contract = Contract('shop', (), (), (terms,))
    return PutContract(
        Change(f'change-{version}', 'ann', 1000 + version), version, contract
    )


@given('3 control hosts on a network that can be cut')
def given_group(context):
    """Start the group."""
    context.control = ControlSubject()
    context.resources.callback(context.control.close)
    context.control.run(context.control.start())


@given('a leader has been elected')
def given_leader(context):
    """Wait for the first leader."""
    control = context.control
    control.first = control.run(control.elected())
    control.first_term = control.network.replicas[control.first].state.term
    control.follower = next(name for name in NAMES if name != control.first)


@given('{count:d} changes are accepted')
@when('{count:d} changes are accepted')
def when_changes(context, count):
    """Have changes accepted by whoever leads."""
    context.control.run(context.control.put(count))


@when('the leader is cut off in both directions')
def when_isolated(context):
    """Cut the leader off."""
    context.control.network.isolate(context.control.first)


@when('the leader is no longer heard by the others')
def when_not_heard(context):
    """Cut the direction from the leader."""
    for name in NAMES:
        context.control.network.cut(context.control.first, name)


@when(
    'a follower is cut off in both directions for {count:d} election timeouts'
)
def when_follower_cut(context, count):
    """Cut a follower off for some time."""
    control = context.control
    control.network.isolate(control.follower)
    control.run(sleep(count * ELECTION_MS / 1000))
    control.network.delivered.clear()


@when('a follower no longer hears the leader for {count:d} election timeouts')
def when_follower_deaf(context, count):
    """Cut the direction from the leader to one follower for some time."""
    control = context.control
    control.network.cut(control.first, control.follower)
    control.run(sleep(count * ELECTION_MS / 1000))


@when('the others accept a change')
def when_others(context):
    """Have a change accepted without the first leader."""
    control = context.control
    control.run(control.put(1, {control.first}))


@when('the cut heals')
def when_healed(context):
    """Heal the network."""
    context.control.network.heal()


@when('a follower loses its data folder')
def when_disk_lost(context):
    """Stop a follower, remove its folder, start it blank."""
    control = context.control
    control.run(control.shut(control.follower))
    rmtree(control.folder / control.follower)
    control.run(control.open(control.follower))


@when('a follower loses its data folder and its new replica takes its place')
def when_replaced(context):
    """Lose a disk and replace the replica."""
    control = context.control
    old = control.network.replicas[control.follower].replica
    when_disk_lost(context)
    new = control.network.replicas[control.follower].replica
    leader = control.run(control.elected())
    control.run(
        control.services[leader].replace_replica(Replacement(old, new))
    )


@when('another follower is lost for good')
def when_second_lost(context):
    """Stop the other follower and remove its folder."""
    control = context.control
    other = next(
        name for name in NAMES if name not in (control.first, control.follower)
    )
    control.run(control.shut(other))
    rmtree(control.folder / other)


@when('all hosts stop at once and start again')
def when_all_restart(context):
    """Stop and start all hosts."""
    control = context.control
    for name in NAMES:
        control.run(control.shut(name))
    for name in NAMES:
        control.run(control.open(name))


@then('the others elect a new leader')
def then_new_leader(context):
    """Wait for another leader."""
    control = context.control
    new = control.run(control.elected({control.first}))
    assert new != control.first


@then('the old leader refuses reads and changes')
def then_refuses(context):
    """Ask the old leader."""
    control = context.control
    replica = control.network.replicas[control.first]
    control.run(control.until(lambda: not replica.is_leader))
    for ask in (
        lambda: replica.confirm_leadership(1.0),
        lambda: replica.propose(change(999), 1.0),
    ):
        try:
            control.run(ask())
        except ChangeError:
            continue
        raise AssertionError('a host in a minority answered')


@then('a change accepted meanwhile is held by all')
@then('all accepted changes are held by the rest')
def then_held(context):
    """Wait until all hold the changes; none may be lost."""
    control = context.control
    assert control.accepted > 0
    control.run(control.elected())
    control.run(control.hold_all())


@then('the leader and its term are the same as before')
def then_undisturbed(context):
    """Check that no election took place."""
    control = context.control
    control.run(sleep(3 * ELECTION_MS / 1000))
    leader = control.run(control.elected())
    assert leader == control.first, leader
    term = control.network.replicas[leader].state.term
    assert term == control.first_term, term


@then('the follower got a snapshot and at most {most:d} messages of the log')
def then_snapshot(context, most):
    """Count what was delivered to the follower until it had caught up."""
    control = context.control
    got = [
        message
        for receiver, message in control.network.delivered
        if receiver == control.follower
    ]
    entries = [
        message
        for message in got
        if isinstance(message, AppendRequest) and message.entries
    ]
    assert any(isinstance(message, SnapshotRequest) for message in got)
    assert len(entries) <= most, len(entries)


@then('a further change is accepted')
def then_further(context):
    """Have one more change accepted."""
    control = context.control
    control.run(control.put(1))
    control.run(control.hold_all())


@then('no leader is elected in {count:d} election timeouts')
def then_no_leader(context, count):
    """Watch for a while that nobody is elected."""
    control = context.control
    others = [name for name in NAMES if name != control.first]

    async def watch():
        end_s = monotonic() + count * ELECTION_MS / 1000
        while monotonic() < end_s:
            leading = [
                name
                for name in others
                if control.network.replicas[name].is_leader
            ]
            assert not leading, leading
            await sleep(POLL_S)

    control.run(watch())
