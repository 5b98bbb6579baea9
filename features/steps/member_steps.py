"""Steps for the membership of the control group."""

from asyncio import new_event_loop
from pathlib import Path
from shutil import rmtree
from tempfile import mkdtemp

from behave import given
from behave import then
from behave import when

from fuchsiacart.control.memberships import MemberCandidate
from fuchsiacart.control.memberships import next_group
from fuchsiacart.control.replica_states import Group
from fuchsiacart.control.replicas import ReplicaTask
from fuchsiacart.settings import Settings

PEER_PORT = 7000
MAX_CHANGES = 50


class FoundingFixture:
    """Control hosts that open their data folders."""

    def __init__(self, seeds, others):
        self.folder = Path(mkdtemp(prefix='fuchsiacart-members-'))
        self.loop = new_event_loop()
        self.seeds = [f'10.0.0.{index}' for index in range(1, seeds + 1)]
        self.others = [f'10.0.1.{index}' for index in range(1, others + 1)]

    def close(self):
        """Remove the folders."""
        self.loop.close()
        rmtree(self.folder)

    def open(self, ip, bootstrap=True):
        """Return the replica of a host that has just started.

        :param ip: address of the host.
        :param bootstrap: True if this is the first start of the deployment.
        """
        settings = Settings.model_validate(
            {
                'role': 'control',
                'host': {
                    'name': f'host-{ip}',
                    'region': 'cymru',
                    'failure_domain': 'cymru-a',
                },
                'listen': {'address': ip, 'peer_port': PEER_PORT},
                'tokens': {
                    'operator_sha256': '0' * 64,
                    'backend_sha256': '0' * 64,
                    'peer': 'x' * 16,
                },
                'seeds': [f'{seed}:80' for seed in self.seeds],
                'control': {
                    'data_folder': str(self.folder / ip),
                    'bootstrap': bootstrap,
                },
            }
        )

        async def make():
            return ReplicaTask(settings, None)

        return self.loop.run_until_complete(make())


class GroupFixture:
    """A group whose members its leader changes."""

    def __init__(self, count, target_voters):
        voters = tuple(f'10.0.0.{index}:1/old' for index in range(count))
        self.group = Group(voters)
        self.target_voters = target_voters
        self.joining = []
        self.silent = set()
        self.leaving = ()
        self.history = [self.group]

    def apply_changes(self):
        """Apply membership changes until none is proposed."""
        for _ in range(MAX_CHANGES):
            candidates = [
                MemberCandidate(replica, replica in self.group.learners)
                for replica in self.joining
                if replica not in self.group.voters
            ]
            group = next_group(
                self.group,
                candidates,
                self.silent,
                self.target_voters,
                self.leaving,
            )
            if group is None:
                return
            self.group = group
            self.history.append(group)
        raise AssertionError('membership changes do not converge')


@given('{seeds:d} seeds and {others:d} other control hosts at the first start')
def given_hosts(context, seeds, others):
    context.founding = FoundingFixture(seeds, others)
    context.resources.callback(context.founding.close)


@given('a group of {count:d} voters that should have {target_voters:d}')
def given_group(context, count, target_voters):
    context.members = GroupFixture(count, target_voters)


@when('a seed restarts with an empty folder, not as the first start')
def when_restarted_empty(context):
    """Remove a seed's folder and open it again."""
    seed = context.founding.seeds[0]
    context.founding.open(seed)
    rmtree(context.founding.folder / seed)
    context.reopened = context.founding.open(seed, bootstrap=False)


@when('{count:d} further control hosts ask to join and catch up')
def when_join(context, count):
    context.members.joining += [
        f'10.0.1.{index}:1/new' for index in range(count)
    ]
    context.members.apply_changes()


@when('a new host asks to join and catches up')
def when_one_joins(context):
    when_join(context, 1)


@when("a voter's host asks to join with an empty folder and catches up")
def when_host_rejoins(context):
    """Let a voter's old replica fall silent and its new one ask to join."""
    context.members.joining.append('10.0.0.1:1/new')
    context.members.silent.add('10.0.0.1:1/old')
    context.members.apply_changes()


@when("2 voters' hosts ask to join with empty folders and catch up")
def when_two_rejoin(context):
    """Let two old replicas fall silent and their new ones ask to join."""
    context.members.joining += ['10.0.0.1:1/new', '10.0.0.2:1/new']
    context.members.silent |= {'10.0.0.1:1/old', '10.0.0.2:1/old'}
    context.members.apply_changes()


@when('a voter stays silent')
def when_silent(context):
    """Let the leader receive nothing from a voter."""
    context.members.silent.add('10.0.0.3:1/old')
    context.members.apply_changes()


@then('each seed starts with the same {count:d} voters')
def then_founded(context, count):
    groups = {
        context.founding.open(seed).state.group
        for seed in context.founding.seeds
    }
    assert len(groups) == 1 and len(groups.pop().voters) == count


@then('the others start blank')
def then_blank(context):
    """Check that no other host founds a group."""
    for other in context.founding.others:
        assert context.founding.open(other).is_blank


@then('it starts blank')
def then_it_is_blank(context):
    """Check that the host has no group."""
    assert context.reopened.is_blank


@then('the group has {voters:d} voters and {learners} learners')
@then('the group has {voters:d} voters and {learners} learner')
def then_group(context, voters, learners):
    group = context.members.group
    assert len(group.voters) == voters, group
    assert len(group.learners) == int(learners.replace('no', '0')), group


@then('its earlier replica is no member')
def then_old_replica_removed(context):
    assert '10.0.0.1:1/old' not in context.members.group.members


@then('the silent voter is no member')
def then_silent_removed(context):
    assert '10.0.0.3:1/old' not in context.members.group.members


@then(
    'it never had fewer than {fewest:d} voters, nor changed by more than one'
)
def then_safe_steps(context, fewest):
    history = context.members.history
    for before, after in zip(history, history[1:]):
        changed = set(before.voters) ^ set(after.voters)
        assert len(changed) <= 1, (before, after)
        assert len(after.voters) >= fewest, after


@when('the third voter is silent for longer than the first')
def when_two_silent(context):
    members = context.members
    members.first, _, members.third, *_ = members.group.voters
    members.silent = (members.third, members.first)
    members.apply_changes()


@then('the third voter is no member, and the first one is')
def then_third_replaced(context):
    members = context.members
    assert members.third not in members.group.members, members.group
    assert members.first in members.group.voters, members.group


@when('the first voter is about to stop')
def when_leaving(context):
    members = context.members
    members.first = members.group.voters[0]
    members.leaving = (members.first,)
    members.apply_changes()


@then('the first voter is no member')
def then_first_gone(context):
    members = context.members
    assert members.first not in members.group.members, members.group
