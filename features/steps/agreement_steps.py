"""Steps for views, leases and the relay tree."""

from collections import Counter

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace

from fuchsiacart.control.commands import Change
from fuchsiacart.control.commands import StartDrain
from fuchsiacart.control.states import Delta
from fuchsiacart.control.states import DrainsSet
from fuchsiacart.control.states import ReplicatedState
from fuchsiacart.control.states import ViewSnapshot
from fuchsiacart.leases import Lease
from fuchsiacart.leases import LeaseTable
from fuchsiacart.leases import RelayTree
from fuchsiacart.models import Drain
from fuchsiacart.models import DrainScope
from fuchsiacart.models import Host
from fuchsiacart.views import View

LEASE_MS = 3000
CONTROL_ADDRESSES = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1']


def snapshot(revision):
    """Return an empty view of a revision."""
    return ViewSnapshot(revision, (), (), (), ())


def host(index):
    """Return an entry host of cymru."""
    address = f'10.0.1.{index}:1'
    return Host(f'entry-{index:04}', 1, 'cymru', 'cymru-a', address, address)


@given('a view at revision {revision:d}')
def given_view(context, revision):
    context.view = View()
    context.view.restore(snapshot(revision))


@when('a relay sends a snapshot of revision {revision:d}')
def when_snapshot(context, revision):
    context.view.restore(snapshot(revision))


@when('a relay sends the deltas {first:d} to {last:d}')
def when_deltas(context, first, last):
    deltas = [
        Delta(revision, DrainsSet(())) for revision in range(first, last + 1)
    ]
    context.view.advance(deltas)


@then('the view is still at revision {revision:d}')
def then_revision(context, revision):
    assert context.view.revision == revision


@given('a control host whose deltas start after revision {revision:d}')
def given_state(context, revision):
    """Apply 1000 more changes than are kept as deltas."""
    context.state = ReplicatedState()
    for index in range(revision + 1000):
        drain = Drain(DrainScope.HOST, f'entry-{index}')
        change = Change(f'change-{index}', 'ann', index)
        context.state.apply(StartDrain(change, drain))
        context.state.stored.drains.clear()


@when('a host at revision {revision:d} pulls')
def when_pull(context, revision):
    """Restore the view of a host whose revision has no deltas any more."""
    assert context.state.deltas_after(revision) is None
    context.view = View()
    context.view.restore(snapshot(revision))
    context.view.restore(context.state.view())


@then('it gets one snapshot and is at the newest revision')
def then_newest_revision(context):
    assert context.view.revision == context.state.stored.revision


@given(
    'a lease of {lease:d} ms requested at {sent:d} and answered at'
    ' {answered:d}'
)
def given_lease(context, lease, sent, answered):
    """Renew a lease with the time of the request."""
    assert sent < answered
    context.lease = Lease()
    context.lease.renew(float(sent), lease, 0, 0)


@given(
    'a lease of {lease:d} ms that requires revision {required:d}'
    ' while the host is at {at:d}'
)
def given_lease_of_late_host(context, lease, required, at):
    """Renew the lease at 1000 for a host that is behind."""
    context.lease = Lease()
    context.lease.renew(1000.0, lease, required, at)


@given('a lease of {lease:d} ms that is renewed every {every:d} ms for 10 s')
def given_renewed_lease(context, lease, every):
    """Set the terms of a lease."""
    context.lease = Lease()
    context.terms = lease, every


@given('changes every {each:d} ms that its host applies {late:d} ms later')
def given_late_changes(context, each, late):
    """Renew the lease while the host is always a few changes behind."""
    lease_ms, every_ms = context.terms
    for at_ms in range(0, 10_001, each):
        applied = max(0, at_ms - late) // each
        context.lease.record_revision(applied)
        if at_ms % every_ms == 0:
            context.lease.renew(at_ms, lease_ms, at_ms // each, applied)


@then('the last renewal in effect was sent after {sent:d}')
def then_renewed_after(context, sent):
    assert context.lease.renewed_ms > sent, context.lease.renewed_ms


@when('the host reaches revision {revision:d}')
def when_reached(context, revision):
    context.lease.record_revision(revision)


@then('the lease is valid at {at:d}')
def then_lease_valid(context, at):
    assert context.lease.holds(float(at))


@then('the lease is not valid at {at:d}')
def then_lease_not_valid(context, at):
    assert not context.lease.holds(float(at))


@given('a control host that renewed a lease of {lease:d} ms at {at:d}')
def given_lease_table(context, lease, at):
    """Renew the lease in the table of the control group."""
    context.lease_table = LeaseTable(lease, (), 0.0)
    context.lease_table.renew(host(1), 1, float(at))


@then('it expires the host only after {at:d}')
def then_expired_after(context, at):
    """Check the table at the time given and 1000 ms later."""
    assert not context.lease_table.expired(float(at))
    assert context.lease_table.expired(float(at) + 1000)


@given('a new leader at {at:d} with {count:d} hosts of the earlier one')
def given_leader(context, at, count):
    hosts = [host(index) for index in range(count)]
    context.hosts = hosts
    context.lease_table = LeaseTable(LEASE_MS, hosts, float(at))


@then('no host has expired at {at:d}')
def then_none_expired(context, at):
    assert not context.lease_table.expired(float(at))


@then('{count:d} hosts have expired at {at:d}')
def then_expired(context, count, at):
    assert len(context.lease_table.expired(float(at))) == count


@when('two hosts report revision {high:d} and one reports revision {low:d}')
def when_reports(context, high, low):
    """Renew the first two leases at 13000 and the third at 10000."""
    for index, each in enumerate(context.hosts):
        at_ms = 10_000.0 if index == 2 else 13_000.0
        revision = low if index == 2 else high
        context.lease_table.renew(each, revision, at_ms)
    context.now_ms = 13_100.0


@when("the third host's lease expires")
def when_lease_expires(context):
    """Move the time past the end of the third lease."""
    context.now_ms = 13_300.0


@then('revision {revision:d} is in force everywhere')
def then_in_force(context, revision):
    in_force = context.lease_table.revision_in_force(9, context.now_ms)
    assert in_force == revision, in_force


@given('{count:d} entry hosts that relay with a fan-out of {fan_out:d}')
def given_tree(context, count, fan_out):
    """Find the first parent of each host."""
    hosts = [host(index) for index in range(count)]
    by_address = {each.peer_address: each.name for each in hosts}
    names = [each.name for each in hosts]
    context.parents = {}
    tree = RelayTree(hosts, CONTROL_ADDRESSES, fan_out)
    context.tree = tree
    for name in names:
        parents = tree.parents(name)
        context.parents[name] = by_address.get(parents[0], 'control')
    context.by_address = by_address


@given(
    '{count:d} entry hosts in {regions:d} regions '
    'that relay with a fan-out of {fan_out:d}'
)
def given_regional_tree(context, count, regions, fan_out):
    """Find the first parent of each host; hosts take regions in turn."""
    hosts = [
        replace(host(index), region=f'region-{index % regions}')
        for index in range(count)
    ]
    context.region_by_name = {each.name: each.region for each in hosts}
    context.by_address = {each.peer_address: each.name for each in hosts}
    context.tree = RelayTree(hosts, CONTROL_ADDRESSES, fan_out)
    context.parents = {
        each.name: context.by_address.get(
            context.tree.parents(each.name)[0], 'control'
        )
        for each in hosts
    }


@then('at most {most:d} hosts of a region pull from outside')
def then_crossings(context, most):
    regions = context.region_by_name
    crossings = Counter(
        regions[name]
        for name, parent in context.parents.items()
        if regions.get(parent) != regions[name]
    )
    assert max(crossings.values()) <= most, crossings


@then('no host relays to more than {most:d} others')
def then_fan_out(context, most):
    """Count the children of each host."""
    children = Counter(
        parent for parent in context.parents.values() if parent != 'control'
    )
    assert children and max(children.values()) <= most, children


@then('the control group relays to at most {most:d}')
def then_control(context, most):
    parents = list(context.parents.values())
    assert 0 < parents.count('control') <= most


@then('every host reaches the control group in at most {most:d} hops')
def then_depth(context, most):
    """Follow the parents of each fifth host up to the control group."""
    for name in list(context.parents)[::5]:
        hops = 0
        while name != 'control':
            parents = context.tree.parents(name)
            name = context.by_address.get(parents[0], 'control')
            hops += 1
            assert hops <= most, hops
