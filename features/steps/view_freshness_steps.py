"""Steps for the time for which a gateway may deny requests."""

from behave import given
from behave import then
from behave import when

from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.gateway.beliefs.view_freshness import ViewFreshness
from fuchsiacart.leases import Lease
from fuchsiacart.settings import RouteSettings

REVISION = 5


@given('a gateway whose lease of {lease_s:g} seconds was just renewed')
def given_renewed(context, lease_s):
    lease = Lease()
    lease.renew(0.0, lease_s * MILLISECONDS, REVISION, REVISION)
    context.lease = lease


@given('changes that must be in force after {apply_s:g} seconds')
def given_bound(context, apply_s):
    context.apply_ms = apply_s * MILLISECONDS
    routes = RouteSettings(drain_s=apply_s, apply_s=apply_s)
    context.freshness = ViewFreshness(routes.max_view_age_ms)
    context.freshness.record_lease(
        context.lease.renewed_ms,
        context.lease.until_ms,
        context.lease.is_behind,
    )


@when('its renewals get no answer for {silence_s:g} seconds')
def when_unanswered(context, silence_s):
    context.now_ms = silence_s * MILLISECONDS


@then('it does not deny requests by its view')
def then_not_denied(context):
    assert context.now_ms > context.apply_ms
    assert not context.freshness.is_current(context.now_ms)
