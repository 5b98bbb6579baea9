"""Steps for the members of the control group."""

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
CHANGE_LIMIT = 50


class FoundingSubject:
    """Control hosts that open their folders."""

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
        """Return the replica of a host as it starts."""
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


class GroupSubject:
    """A group that changes as its leader plans."""

    def __init__(self, count, wanted):
        voters = tuple(f'10.0.0.{index}:1/old' for index in range(count))
        self.group = Group(voters)
        self.wanted = wanted
        self.asking = []
        self.silent = set()
        self.history = [self.group]

    def settle(self):
        """Make changes until there is none left to make."""
        for _ in range(CHANGE_LIMIT):
            candidates = [
                MemberCandidate(replica, replica in self.group.learners)
                for replica in self.asking
                if replica not in self.group.voters
            ]
            group = next_group(
                self.group, candidates, self.silent, self.wanted
            )
            if group is None:
                return
            self.group = group
            self.history.append(group)
        raise AssertionError('the group does not settle')


@given('{seeds:d} seeds and {others:d} other control hosts at the first start')
def given_hosts(context, seeds, others):
    """Set up hosts with empty folders."""
    context.founding = FoundingSubject(seeds, others)
    context.resources.callback(context.founding.close)


@given('a group of {count:d} voters that should have {wanted:d}')
def given_group(context, count, wanted):
    """Set up a group."""
    context.members = GroupSubject(count, wanted)


@when('a seed starts again with an empty folder, not as the first start')
def when_emptied(context):
    """Open a seed's folder anew after it was lost."""
    seed = context.founding.seeds[0]
    context.founding.open(seed)
    rmtree(context.founding.folder / seed)
    context.reopened = context.founding.open(seed, bootstrap=False)


@when('{count:d} further control hosts ask to join and catch up')
def when_join(context, count):
    """Let new hosts ask."""
    context.members.asking += [f'10.0.1.{at}:1/new' for at in range(count)]
    context.members.settle()


@when('a new host asks to join and catches up')
def when_one_joins(context):
    """Let a new host ask."""
    when_join(context, 1)


@when("a voter's host asks to join with an empty folder and catches up")
def when_returns(context):
    """Let the new replica of a voter's host ask."""
    context.members.asking.append('10.0.0.1:1/new')
    context.members.silent.add('10.0.0.1:1/old')
    context.members.settle()


@when("2 voters' hosts ask to join with empty folders and catch up")
def when_two_return(context):
    """Let the new replicas of two voters' hosts ask."""
    context.members.asking += ['10.0.0.1:1/new', '10.0.0.2:1/new']
    context.members.silent |= {'10.0.0.1:1/old', '10.0.0.2:1/old'}
    context.members.settle()


@when('a voter stays silent')
def when_silent(context):
    """Let the leader hear nothing of a voter."""
    context.members.silent.add('10.0.0.3:1/old')
    context.members.settle()


@then('each seed starts with the same {count:d} voters')
def then_founded(context, count):
    """Check the groups that the seeds start with."""
    groups = {
        context.founding.open(seed).state.group
        for seed in context.founding.seeds
    }
    assert len(groups) == 1 and len(groups.pop().voters) == count


@then('the others start blank')
def then_blank(context):
    """Check that no other host founds anything."""
    for other in context.founding.others:
        assert context.founding.open(other).is_blank


@then('it starts blank')
def then_it_is_blank(context):
    """Check that the host knows no group."""
    assert context.reopened.is_blank


@then('the group has {voters:d} voters and {learners} learners')
@then('the group has {voters:d} voters and {learners} learner')
def then_group(context, voters, learners):
    """Check the members."""
    group = context.members.group
    assert len(group.voters) == voters, group
    assert len(group.learners) == int(learners.replace('no', '0')), group


@then('its earlier replica is out')
def then_out(context):
    """Check that the lost replica is no member."""
    assert '10.0.0.1:1/old' not in context.members.group.members


@then('the silent voter is out')
def then_silent_out(context):
    """Check that the silent replica is no member."""
    assert '10.0.0.3:1/old' not in context.members.group.members


@then(
    'it never had fewer than {fewest:d} voters, nor changed by more than one'
)
def then_steps(context, fewest):
    """Check each change."""
    history = context.members.history
    for before, after in zip(history, history[1:]):
        changed = set(before.voters) ^ set(after.voters)
        assert len(changed) <= 1, (before, after)
        assert len(after.voters) >= fewest, after
