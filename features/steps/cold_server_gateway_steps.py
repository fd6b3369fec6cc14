"""Steps of cold servers before gateways on loopback addresses."""

from types import MappingProxyType

from behave import given, then, when

from features.support.gateway import SmallPlatform, build_config, wait_until
from features.support.limit_rule import most_in_window
from zinniaturn.platform.standins import ServerStandIn

_WORK_SECONDS = 0.03
_MS_PER_SECOND = 1000
_WINDOW_SECONDS = 1.0
_BOUNDS = MappingProxyType({'warm_up_overage': 1.5, 'warm_up_slack': 8})


def _start_platform(context, count, per_second, bounds):
    async def start():
        context.platform = SmallPlatform(context)
        config = build_config(warm_up_per_second=per_second)
        await context.platform.start([], config)
        for number in range(count):
            await context.platform.add_gateway(f'vm-{number}', **bounds)
        gateways = context.platform.gateways
        await wait_until(
            lambda: all(
                len(gateway.vms.alive_vms()) == count - 1
                for gateway in gateways
            )
        )

    context.loop.run_until_complete(start())


@given('{count:d} gateways whose cold servers take {rate:g} requests a second')
def start_bound(context, count, rate):
    _start_platform(context, count, rate, _BOUNDS)


@given('{count:d} gateways without bounds of cold servers')
def start_unbound(context, count):
    _start_platform(context, count, 2.7, {})


@given(
    'server "{first}" starts, cold for {seconds:g} s, beside the {state} '
    'server "{second}"'
)
def start_servers(context, first, seconds, state, second):
    async def start():
        now = context.loop.time()
        cold = {first: seconds, second: seconds if state == 'cold' else 0}
        for name, rest in cold.items():
            server = ServerStandIn(
                name=name,
                work_seconds=_WORK_SECONDS,
                entry_warm_up_ms=round(rest * _MS_PER_SECOND),
                cold_until=now + rest,
            )
            await context.platform.add_server(server)
        await wait_until(
            lambda: all(
                len(gateway.state.pools.get('pool', ())) == len(cold)
                for gateway in context.platform.gateways
            )
        )

    context.loop.run_until_complete(start())


def _server(context, name):
    return next(
        server for server in context.platform.servers if server.name == name
    )


@when('server "{name}" becomes cold for {seconds:g} s while it runs')
def become_cold(context, name, seconds):
    _server(context, name).cold_until = context.loop.time() + seconds


@then('"{name}" got at most {most:d} requests in any second')
def check_bound(context, name, most):
    times = _server(context, name).request_times
    count = most_in_window(times, context.started_at, _WINDOW_SECONDS)
    assert count <= most, count


@then('"{name}" got more than {count:d} requests')
def check_use(context, name, count):
    assert len(_server(context, name).request_times) > count
