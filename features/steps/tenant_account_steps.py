"""Steps for what a VM holds of tenants' allowances."""

from behave import given, then, when

from zinniaturn.admission.allowance_grantor import (
    AllowanceGrantor,
    AllowanceRequest,
)
from zinniaturn.clock import ManualClock
from zinniaturn.tenants import Tenant
from zinniaturn.tenants.accounts import TenantAccounts
from zinniaturn.tenants.allowance import AllowanceBounds, bucket_for

_RATE, _BURST = 54, 54
_FIRST = Tenant('first', None, _RATE, _BURST)


def _bounds(slack):
    return AllowanceBounds(5, 0.1, slack)


def _open(context, slack):
    context.clock = ManualClock(100)
    context.accounts = TenantAccounts(context.clock)
    context.account = context.accounts.use(_FIRST, _bounds(slack), 1)
    context.account.admission.permits.add(3, context.clock.now)


@given('accounts of which the first has 3 permits')
def open_first(context):
    _open(context, 20)


@when(
    '{count:d} other tenants send a request each, and the first one after each '
    'of them'
)
def use_many(context, count):
    for number in range(count):
        other = Tenant(f'other-{number}', None, 1, 1)
        context.accounts.use(other, _bounds(20), 1)
        context.accounts.use(_FIRST, _bounds(20), 1)


@then('the first has {held:d} permits, and at most {most:d} accounts are kept')
def check_kept(context, held, most):
    account = context.accounts.use(_FIRST, _bounds(20), 1)
    assert account.admission.permits.held(context.clock.now) == held
    assert len(context.accounts.accounts) <= most


@given(
    'a tenant whose account was opened with a tolerance of {slack:d} requests'
)
def open_account(context, slack):
    _open(context, slack)
    context.grantor = AllowanceGrantor()
    _grant(context, 1)


def _grant(context, sequence):
    notice = context.account.admission.notice
    request = AllowanceRequest(
        'vm-1',
        sequence,
        notice.server,
        notice.started_ms,
        1,
        notice.limit,
        notice.depth,
        notice.said_at,
    )
    context.grantor.grant(request, 1, context.clock.now, 0)


@when('the settings change to a tolerance of {slack:d} requests')
def change_settings(context, slack):
    context.clock.advance(0.1)
    context.account = context.accounts.use(_FIRST, _bounds(slack), 1)


@then('its next request is for a bucket of the tolerance of {slack:d}')
def check_bucket(context, slack):
    context.bucket = bucket_for(_RATE, _BURST, _bounds(slack))
    notice = context.account.admission.notice
    assert (notice.limit, notice.depth) == (
        context.bucket.per_second,
        context.bucket.depth,
    ), notice


@then('permits of the settings before are not used')
def check_dropped(context):
    assert not context.account.admission.permits.held(context.clock.now)


@then('an owner that granted by the settings before grants by the new bucket')
def check_owner(context):
    _grant(context, 2)
    key = context.account.admission.notice.server
    bucket = context.grantor.buckets[key]
    assert (bucket.per_second, bucket.depth) == (
        context.bucket.per_second,
        context.bucket.depth,
    ), bucket


@when(
    '{count:d} callers of the first, which has {rate:d} requests a second, are '
    'rejected at once'
)
def reject(context, count, rate):
    returns = context.account.returns
    context.returns = [
        returns.seconds(rate, 1, context.clock.now) for _ in range(count)
    ]


@then('no second has more than {most:d} of those that return')
def check_returns_spread(context, most):
    for start in context.returns:
        together = sum(start <= one < start + 1 for one in context.returns)
        assert together <= most, (start, together)
