"""Steps for tenants' allowances."""

import asyncio
from types import MappingProxyType

from behave import given, then, when

from features.steps.tenant_request_steps import HEADERS, TARGETS, start_tenants
from features.support.allowance_model import BOUNDS, AllowanceModel
from features.support.gateway import build_request_bytes, send_request
from features.support.tenants import KEY, build_tenant_config, tenant_row

_OWNER_LIVES = MappingProxyType(
    {'never': None, 'each 2.5 s': 2.5, 'each 5 s': 5.0}
)
_OK, _TOO_MANY = 200, 429


def _most(rate, burst):
    allowance = rate * BOUNDS.window_seconds + burst
    return allowance * (1 + BOUNDS.overage) + BOUNDS.slack


@given('a tenant with {rate:d} requests a second and a burst of {burst:d}')
def set_tenant(context, rate, burst):
    context.rate = rate
    context.burst = burst


@when(
    '{vms:d} VMs send {demand:g} times its rate for {seconds:d} s while its '
    'owner is replaced {often}, with seed {seed:d}'
)
def play(context, vms, demand, seconds, often, seed):
    context.model = AllowanceModel(context.rate, context.burst, vms, seed)
    context.model.play(seconds, demand * context.rate, _OWNER_LIVES[often])


@when(
    'its allowance falls to {rate:d} requests a second and a burst of '
    '{burst:d} after {seconds:d} s of {demand:g} times its rate'
)
def lower(context, rate, burst, seconds, demand):
    context.model = AllowanceModel(context.rate, context.burst, 13, 1)
    context.model.play(seconds, demand * context.rate)
    context.lowered_at = context.model.now
    context.model.set_limit(rate, burst)
    context.model.play(seconds, demand * context.rate)
    context.rate = rate
    context.burst = burst


@then('no 5 s have more than 1.1 times its allowance and 20 requests')
def check_bound(context):
    most = context.model.most_in_window()
    assert most <= _most(context.rate, context.burst), most


@then(
    'from one window later no 5 s have more than 1.1 times the lower allowance '
    'and 20 requests'
)
def check_lowered(context):
    since = context.lowered_at + BOUNDS.window_seconds
    most = context.model.most_in_window(since)
    assert most <= _most(context.rate, context.burst), most


@then('at least {share:g} of its requests are sent')
def check_share(context, share):
    model = context.model
    assert len(model.sent) >= share * model.asked, (
        len(model.sent),
        model.asked,
    )


@given(
    'a platform whose tenant is allowed {rate:d} requests a second, and a '
    'gateway'
)
def start_limited(context, rate):
    rows = [tenant_row('gold', (KEY,), None, rate, rate)]
    context.loop.run_until_complete(
        start_tenants(
            context,
            build_tenant_config(rows),
            allowance_overage=BOUNDS.overage,
            allowance_slack=BOUNDS.slack,
        )
    )


def _read(context, number):
    payload = build_request_bytes(
        target=TARGETS['closed'],
        request_id=f'id-{number}',
        wait_ms=3000,
        extra=HEADERS['its key'],
    )
    return send_request(context.front, payload)


@when('{count:d} reads of the tenant arrive at once')
def send_all(context, count):
    async def send():
        return await asyncio.gather(
            *(_read(context, number) for number in range(count))
        )

    context.responses = context.loop.run_until_complete(send())


@then('those that were not answered with 200 got 429 with a Retry-After')
def check_refused(context):
    refused = [one for one in context.responses if one[0] != _OK]
    assert refused
    for status, fields, _ in refused:
        assert status == _TOO_MANY, status
        assert float(fields['retry-after']) > 0, fields
    context.retry_seconds = max(float(one[1]['retry-after']) for one in refused)


@then('the servers ran as many as were answered with 200, and at most {most:d}')
def check_run(context, most):
    answered = sum(status == _OK for status, _, _ in context.responses)
    runs = sum(sum(one.runs.values()) for one in context.platform.servers)
    assert answered == runs, (answered, runs)
    assert 0 < runs <= most, runs


@then('after that time a read of the tenant is answered')
def check_return(context):
    async def repeat():
        await asyncio.sleep(context.retry_seconds)
        return await _read(context, 1000)

    status, _, _ = context.loop.run_until_complete(repeat())
    assert status == _OK, status
