"""Steps for what hosts keep of many large changes."""

from asyncio import create_task
from asyncio import gather
from asyncio import new_event_loop
from asyncio import sleep
from contextlib import asynccontextmanager
from pathlib import Path
from shutil import rmtree
from tempfile import mkdtemp

from behave import given
from behave import then
from behave import when
from msgspec.msgpack import encode
from msgspec.structs import replace

from features.steps.route_steps import change
from features.steps.route_steps import order
from features.steps.route_steps import ROUTE
from fuchsiacart.control.compactions import CompactionTrigger
from fuchsiacart.control.replica_states import Entry
from fuchsiacart.control.replica_states import Group
from fuchsiacart.control.replicas import ReplicaTask
from fuchsiacart.control.states import Delta
from fuchsiacart.control.states import ReplicatedState
from fuchsiacart.settings import ControlSettings
from fuchsiacart.settings import Settings
from fuchsiacart.views import View

MIB = 1024 * 1024
POLL_S = 0.01


def large_order(version, count):
    """Return an order that changes each of many routes."""
    routes = tuple(
        replace(
            ROUTE,
            name=f'route-{index}',
            path_prefix=f'/stock{index}/',
            timeout_ms=1000.0 + version,
        )
        for index in range(count)
    )
    return order(version, version - 1, routes)


def kept_deltas(context):
    """Return the deltas that the state and the view keep."""
    view = context.view
    return (
        context.state.stored.deltas,
        view.deltas_after(
            max(
                revision
                for revision in range(view.revision)
                if view.deltas_after(revision) is None
            )
            + 1
        ),
    )


@asynccontextmanager
async def leading(settings):
    """Run the only replica of a group, once it leads."""
    replica = ReplicaTask(settings, None)
    task = create_task(replica.run())
    try:
        if replica.is_blank:
            await replica.bootstrap(Group((replica.replica,)))
        while not replica.is_leader:
            await sleep(POLL_S)
        yield replica
    finally:
        task.cancel()
        await gather(task, return_exceptions=True)


@given('the replicated state of a control host and the view of a gateway')
def given_state(context):
    context.state, context.view = ReplicatedState(), View()


@given(
    'a log that is compacted at {entries:d} entries or {size_bytes:d} bytes'
)
def given_trigger(context, entries, size_bytes):
    context.trigger = CompactionTrigger(
        ControlSettings(compact_entries=entries, compact_bytes=size_bytes)
    )


@given('a control host whose log is compacted at {size_bytes:d} bytes')
def given_control_host(context, size_bytes):
    folder = Path(mkdtemp(prefix='fuchsiacart-memory-'))
    context.resources.callback(rmtree, folder)
    context.settings = Settings.model_validate(
        {
            'role': 'control',
            'seed': 1,
            'host': {
                'name': 'c1',
                'region': 'cymru',
                'failure_domain': 'cymru-a',
            },
            'tokens': {
                'operator_sha256': '0' * 64,
                'backend_sha256': '0' * 64,
                'peer': 'x' * 16,
            },
            'control_hosts': [{'name': 'c1', 'peer_address': '127.0.0.1:1'}],
            'control': {
                'data_folder': str(folder),
                'election_timeout_ms': 6000,
                'compact_bytes': size_bytes,
            },
        }
    )
    context.loop = new_event_loop()
    context.resources.callback(context.loop.close)


@when('{changes:d} configurations of {routes:d} routes follow each other')
def when_changed(context, changes, routes):
    for version in range(1, changes + 1):
        outcome = context.state.apply(change(large_order(version, routes)))
        assert outcome.error is None, outcome
        context.view.advance(context.state.deltas_after(context.view.revision))


@when('a snapshot with {changes:d} deltas of {routes:d} routes is read')
def when_restored(context, changes, routes):
    """Write the snapshot as a build without the bound does."""
    earlier = ReplicatedState()
    deltas = []
    for version in range(1, changes + 1):
        earlier.apply(change(large_order(version, routes)))
        deltas += earlier.deltas_after(earlier.stored.revision - 1)
    earlier.stored.deltas = deltas
    context.state.restore(encode(earlier.stored))
    context.view.advance(deltas)
    assert isinstance(deltas[-1], Delta)


@when('{count:d} entries of {size:d} bytes are applied')
def when_applied(context, count, size):
    for _ in range(count):
        context.trigger.record(Entry(1, bytes(size)))


@when('{changes:d} configurations of {routes:d} routes are accepted')
def when_accepted(context, changes, routes):
    context.changes = changes
    context.largest_bytes = 0

    async def run():
        async with leading(context.settings) as replica:
            for version in range(1, changes + 1):
                outcome = await replica.propose(
                    change(large_order(version, routes))
                )
                assert outcome.error is None, outcome
                log_bytes = sum(len(each.body) for each in replica.state.log)
                context.largest_bytes = max(context.largest_bytes, log_bytes)

    context.loop.run_until_complete(run())


@then('each keeps {size_mib:d} MiB of deltas at most, and the latest one')
def then_bounded(context, size_mib):
    for deltas in kept_deltas(context):
        assert deltas[-1].revision == context.state.revision
        size_bytes = sum(len(encode(each)) for each in deltas)
        assert size_bytes <= size_mib * MIB, size_bytes
        # The bound is used.
        assert size_bytes > size_mib * MIB / 2, size_bytes


@then('a host that is behind by more than that gets the whole view')
def then_whole(context):
    assert context.state.deltas_after(1) is None
    assert context.view.deltas_after(1) is None


@then('a snapshot is due')
def then_due(context):
    assert context.trigger.is_due


@then('a snapshot is not due')
def then_not_due(context):
    assert not context.trigger.is_due


@then('its log never held more than {size_bytes:d} bytes')
def then_small(context, size_bytes):
    assert 0 < context.largest_bytes <= size_bytes, context.largest_bytes


@then('after a restart it has the last configuration')
def then_kept(context):
    async def read():
        async with leading(context.settings) as replica:
            await replica.confirm_leadership(5.0)
            routes = replica.replicated_state.stored.routes
            return routes.configuration.version

    assert context.loop.run_until_complete(read()) == context.changes
