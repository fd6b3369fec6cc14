"""Steps that count the work of a tenant's request."""

from behave import then, when

from features.support.gateway import (
    SmallPlatform,
    build_request_bytes,
    send_request,
    wait_until,
)
from features.support.step_count import fewest_steps
from features.support.tenants import (
    KEY,
    OTHER_KEY,
    THIRD_KEY,
    build_tenant_config,
    tenant_row,
)
from zinniaturn.platform.standins import ServerStandIn

_WARM_UP_REQUESTS = 5
_COUNTED_REQUESTS = 30
_MOST_TIMES = 1.1
# A background task may run while a request is counted.
_NOISE_SHARE = 0.01


def _few_tenants():
    """Return the rows of two tenants; the counted one has room for all."""
    limited = tenant_row('gold', (KEY, OTHER_KEY), 0, 40_000, 10_000)
    return [limited, tenant_row('coal', (THIRD_KEY,))]


def _many_tenants():
    rows = [
        tenant_row(
            f't-{number}', [f'{KEY}-{number}-{one}' for one in range(50)]
        )
        for number in range(74)
    ]
    return [*rows, *_few_tenants()]


def _count(context, config, field):
    """Return the steps of a read through a gateway with a document."""

    def run(coroutine):
        return context.loop.run_until_complete(coroutine)

    async def start():
        platform = SmallPlatform(context)
        servers = [ServerStandIn(name=name) for name in ('s-1', 's-2')]
        await platform.start(servers, config)
        gateway = await platform.add_gateway(fail_closed=True)
        await wait_until(lambda: gateway.state.pools)
        return gateway.settings.front

    front = run(start())
    payload = build_request_bytes(extra=f'{field}: {KEY}\r\n')

    def call():
        response = run(send_request(front, payload))
        assert response[0] == 200, response

    for _ in range(_WARM_UP_REQUESTS):
        call()
    steps = fewest_steps(call, _COUNTED_REQUESTS)
    for close in reversed(context.closers):
        run(close())
    context.closers.clear()
    return steps


@when(
    'the steps of a served request are counted without tenants, '
    'with 2 tenants and with 76 of 50 keys each'
)
def count_steps(context):
    plain = build_tenant_config()
    plain.pop('tenants')
    # Another field of the same length, as a key is dropped without tenants too.
    context.plain = _count(context, plain, 'Not-Key')
    few = build_tenant_config(_few_tenants())
    context.few = _count(context, few, 'Api-Key')
    many = build_tenant_config(_many_tenants())
    context.many = _count(context, many, 'Api-Key')


@then(
    'a request of one of 2 tenants takes at most 1.1 times the steps of one '
    'without tenants'
)
def check_times(context):
    assert context.plain
    times = context.few / context.plain
    assert times <= _MOST_TIMES, (context.few, context.plain)


@then('a request of one of 76 tenants takes as many steps as one of 2')
def check_constant(context):
    difference = abs(context.many - context.few)
    assert difference <= context.few * _NOISE_SHARE, (context.many, context.few)
