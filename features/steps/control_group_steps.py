"""Steps for the control group: real replicas over a fake network."""

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
from fuchsiacart.control.consensus import Consensus
from fuchsiacart.control.leaders import ControlService
from fuchsiacart.control.replacements import Replacement
from fuchsiacart.control.replica_messages import AppendRequest
from fuchsiacart.control.replica_messages import AppendResponse
from fuchsiacart.control.replica_messages import SnapshotRequest
from fuchsiacart.control.replica_states import Group
from fuchsiacart.control.replicas import ReplicaTask
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import TransportError
from fuchsiacart.messages import Deliver
from fuchsiacart.messages import Done
from fuchsiacart.messages import KeepAliveRequest
from fuchsiacart.models import Contract
from fuchsiacart.models import Host
from fuchsiacart.models import HostId
from fuchsiacart.models import RankName
from fuchsiacart.models import RankTerms
from fuchsiacart.settings import Settings

ELECTION_MS = 150
WAIT_TIMEOUT_S = 20.0
POLL_S = 0.01
NAMES = ('c1', 'c2', 'c3')


class FakeNetwork:
    """Delivers messages between replicas unless their direction is cut."""

    def __init__(self):
        self.replicas = {}
        self.cuts = set()
        self.delivered = []

    def cut(self, sender, receiver):
        """Drop all messages from one host to another from now on."""
        self.cuts.add((sender, receiver))

    def isolate(self, name):
        """Cut a host off from all others in both directions."""
        for other in NAMES:
            self.cut(name, other)
            self.cut(other, name)

    def heal(self):
        """Restore all directions."""
        self.cuts.clear()


class FakeAdapter(PeerAdapter):
    """One host's connection to the fake network."""

    def __init__(self, network, name):
        self._network = network
        self._name = name

    async def call(self, address, method, message, timeout_s):
        """Deliver a message; the response follows as a message of its own.

        :raises TransportError: if the receiver is stopped or cut off.
        """
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


class ControlGroupFixture:
    """Three control hosts that run in this process."""

    def __init__(self):
        self.loop = new_event_loop()
        self.folder = Path(mkdtemp(prefix='fuchsiacart-control-'))
        self.network = FakeNetwork()
        self.tasks = {}
        self.services = {}
        self.accepted = 0
        self.first_leader = None
        self.follower = None

    def run(self, coroutine):
        """Run a coroutine to completion."""
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
        """Start a host with its present data folder."""
        settings = self.settings(name)
        adapter = FakeAdapter(self.network, name)
        replica = ReplicaTask(settings, adapter)
        self.network.replicas[name] = replica
        self.services[name] = ControlService(settings, replica, adapter)
        self.tasks[name] = create_task(replica.run())

    async def stop(self, name):
        """Stop a host without a graceful shutdown."""
        self.network.replicas.pop(name, None)
        task = self.tasks.pop(name, None)
        if task is not None:
            task.cancel()
            await gather(task, return_exceptions=True)

    async def start(self):
        """Start all hosts and bootstrap them as one group."""
        for name in NAMES:
            await self.open(name)
        replicas = self.network.replicas.values()
        voters = tuple(sorted(replica.replica for replica in replicas))
        for replica in replicas:
            await replica.bootstrap(Group(voters))

    async def wait_until(self, condition):
        """Wait until a condition holds; fail after ``WAIT_TIMEOUT_S``."""
        deadline_s = monotonic() + WAIT_TIMEOUT_S
        while not condition():
            assert monotonic() < deadline_s, 'condition not met in time'
            await sleep(POLL_S)

    def leaders(self, without=()):
        """Return the names of the hosts that consider themselves leader."""
        return [
            name
            for name, replica in self.network.replicas.items()
            if replica.is_leader and name not in without
        ]

    async def wait_for_leader(self, without=()):
        """Wait for a leader that a quorum confirms.

        :param without: names of hosts that do not count.
        :return: the name of the leader.
        """
        deadline_s = monotonic() + WAIT_TIMEOUT_S
        while monotonic() < deadline_s:
            for name in self.leaders(without):
                try:
                    await self.network.replicas[name].confirm_leadership(0.5)
                    return name
                except ChangeError:
                    continue
            await sleep(POLL_S)
        raise AssertionError('no leader was elected')

    async def commit_changes(self, count, without=()):
        """Commit changes one by one; retry one with an unknown outcome."""
        for _ in range(count):
            command = make_change(self.accepted)
            outcome = None
            while outcome is None:
                name = await self.wait_for_leader(without)
                try:
                    outcome = await self.network.replicas[name].propose(
                        command
                    )
                except ChangeError as error:
                    assert error.kind is ErrorKind.NO_QUORUM, error
            assert outcome.error is None, outcome
            self.accepted += 1

    async def wait_until_applied(self):
        """Wait until every running host has applied all accepted changes."""
        await self.wait_until(
            lambda: all(
                self.version(name) == self.accepted
                for name in self.network.replicas
            )
        )

    def version(self, name):
        """Return the version of the contract on a host, or 0."""
        stored = self.network.replicas[name].replicated_state.stored
        versioned = stored.contracts.get('shop')
        return versioned.version if versioned else 0

    def close(self):
        """Stop all hosts and remove their folders."""
        for name in list(self.tasks):
            self.run(self.stop(name))
        self.loop.close()
        rmtree(self.folder, ignore_errors=True)


def make_change(version):
    """Return the change that raises the contract from a version by one."""
    terms = RankTerms(RankName.URGENT, version + 1, 1, 10)
    contract = Contract('shop', (), (), (terms,))
    return PutContract(
        Change(f'change-{version}', 'ann', 1000 + version), version, contract
    )


@given('3 control hosts on a network that can be cut')
def given_group(context):
    context.control = ControlGroupFixture()
    context.resources.callback(context.control.close)
    context.control.run(context.control.start())


@given('a leader has been elected')
def given_leader(context):
    control = context.control
    control.first_leader = control.run(control.wait_for_leader())
    control.first_term = control.network.replicas[
        control.first_leader
    ].state.term
    control.follower = next(
        name for name in NAMES if name != control.first_leader
    )


@given('{count:d} changes are accepted')
@when('{count:d} changes are accepted')
def when_accepted(context, count):
    """Commit changes through the current leader."""
    context.control.run(context.control.commit_changes(count))


@when('a follower is called with a heartbeat of the leader')
def when_heartbeat_call(context):
    control = context.control
    leader = control.network.replicas[control.first_leader]
    follower = control.network.replicas[control.follower]
    heartbeat = next(
        each.message
        for each in Consensus().heartbeat(leader.state).outbound
        if each.to == follower.replica
    )
    context.answer = control.run(
        control.services[control.follower].on_deliver(Deliver(heartbeat))
    )


@then('the call returns its response')
def then_response_returned(context):
    assert isinstance(context.answer, Deliver), context.answer
    response = context.answer.message
    assert isinstance(response, AppendResponse) and response.ok, response


@when('a host that is new to the leader renews its lease')
def when_new_host_renews(context):
    """Count the rounds that the leader starts for the renewal."""
    control = context.control
    leader = control.network.replicas[control.first_leader]
    confirm = leader.confirm_leadership
    context.rounds = 0

    async def confirm_counted():
        context.rounds += 1
        await confirm()

    leader.confirm_leadership = confirm_counted
    host = Host(HostId('gateway'), 1, 'cymru', 'cymru-a', 'a:1', 'a:2')
    context.renewal = KeepAliveRequest(host, 0)
    when_renews(context)


@when('it renews its lease again')
def when_renews(context):
    control = context.control
    service = control.services[control.first_leader]
    context.lease = control.run(service.on_keep_alive(context.renewal))


@then('its lease is granted without a further round')
def then_no_round(context):
    assert context.lease.lease_ms > 0
    assert context.rounds == 0, context.rounds


@then('a round confirms the leader first')
def then_one_round(context):
    assert context.lease.lease_ms > 0
    assert context.rounds == 1, context.rounds


@when('the leader is cut off in both directions')
def when_isolated(context):
    context.control.network.isolate(context.control.first_leader)


@when('the messages of the leader no longer arrive')
def when_not_heard(context):
    """Cut every direction from the leader."""
    for name in NAMES:
        context.control.network.cut(context.control.first_leader, name)


@when(
    'a follower is cut off in both directions for {count:d} election timeouts'
)
def when_follower_cut(context, count):
    """Cut the follower off, wait, and forget the messages so far."""
    control = context.control
    control.network.isolate(control.follower)
    control.run(sleep(count * ELECTION_MS / 1000))
    control.network.delivered.clear()


@when(
    'a follower gets no message of the leader for {count:d} election'
    ' timeouts'
)
def when_follower_cannot_hear(context, count):
    """Cut the direction from the leader to the follower, and wait."""
    control = context.control
    control.network.cut(control.first_leader, control.follower)
    control.run(sleep(count * ELECTION_MS / 1000))


@when('the others accept a change')
def when_others_accept(context):
    """Commit a change without the first leader."""
    control = context.control
    control.run(control.commit_changes(1, {control.first_leader}))


@when('the network heals')
def when_healed(context):
    context.control.network.heal()


@when('a follower loses its data folder')
def when_disk_lost(context):
    """Stop a follower, remove its folder and start it blank."""
    control = context.control
    control.run(control.stop(control.follower))
    rmtree(control.folder / control.follower)
    control.run(control.open(control.follower))


@when('a follower loses its data folder and a new replica replaces it')
def when_replaced(context):
    """Lose the disk, then ask the leader to replace the replica."""
    control = context.control
    old = control.network.replicas[control.follower].replica
    when_disk_lost(context)
    new = control.network.replicas[control.follower].replica
    leader = control.run(control.wait_for_leader())
    control.run(
        control.services[leader].replace_replica(Replacement(old, new))
    )


@when('another follower is lost with its data folder')
def when_second_lost(context):
    """Stop the other follower and remove its folder."""
    control = context.control
    other = next(
        name
        for name in NAMES
        if name not in (control.first_leader, control.follower)
    )
    control.run(control.stop(other))
    rmtree(control.folder / other)


@when('all hosts stop at once and start again')
def when_all_restart(context):
    control = context.control
    for name in NAMES:
        control.run(control.stop(name))
    for name in NAMES:
        control.run(control.open(name))


@then('the others elect a new leader')
def then_new_leader(context):
    control = context.control
    new = control.run(control.wait_for_leader({control.first_leader}))
    assert new != control.first_leader


@then('the old leader refuses reads and changes')
def then_refuses(context):
    """Wait until the old leader steps down, then send it both calls."""
    control = context.control
    replica = control.network.replicas[control.first_leader]
    control.run(control.wait_until(lambda: not replica.is_leader))
    for refused_call in (
        lambda: replica.confirm_leadership(1.0),
        lambda: replica.propose(make_change(999), 1.0),
    ):
        try:
            control.run(refused_call())
        except ChangeError:
            continue
        raise AssertionError('a host without a quorum answered')


@then('a change accepted meanwhile is on all hosts')
@then('all accepted changes are on the remaining hosts')
def then_changes_kept(context):
    """Wait until every running host has all accepted changes."""
    control = context.control
    assert control.accepted > 0
    control.run(control.wait_for_leader())
    control.run(control.wait_until_applied())


@then('the leader and its term are the same as before')
def then_undisturbed(context):
    """Wait 3 election timeouts and check that no election took place."""
    control = context.control
    control.run(sleep(3 * ELECTION_MS / 1000))
    leader = control.run(control.wait_for_leader())
    assert leader == control.first_leader, leader
    term = control.network.replicas[leader].state.term
    assert term == control.first_term, term


@then('the follower got a snapshot and at most {most:d} messages with entries')
def then_snapshot(context, most):
    """Count the messages delivered since the follower was cut off."""
    control = context.control
    received = [
        message
        for receiver, message in control.network.delivered
        if receiver == control.follower
    ]
    entries = [
        message
        for message in received
        if isinstance(message, AppendRequest) and message.entries
    ]
    assert any(isinstance(message, SnapshotRequest) for message in received)
    assert len(entries) <= most, len(entries)


@then('a further change is accepted')
def then_change_accepted(context):
    """Commit one more change and wait until every host has it."""
    control = context.control
    control.run(control.commit_changes(1))
    control.run(control.wait_until_applied())


@then('no leader is elected in {count:d} election timeouts')
def then_no_leader(context, count):
    """Check all the time that no other host leads."""
    control = context.control
    others = [name for name in NAMES if name != control.first_leader]

    async def check_no_leader():
        end_s = monotonic() + count * ELECTION_MS / 1000
        while monotonic() < end_s:
            leading = [
                name
                for name in others
                if control.network.replicas[name].is_leader
            ]
            assert not leading, leading
            await sleep(POLL_S)

    control.run(check_no_leader())
