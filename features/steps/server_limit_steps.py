"""Steps of limits that backend servers name for all VMs together."""

import asyncio

from behave import given, then, when

from features.support.gateway import (
    SmallPlatform,
    build_request_bytes,
    send_request,
    wait_until,
)
from features.support.limit_rule import (
    CONTACT_SECONDS,
    allowed_in_window,
    most_in_window,
)
from zinniaturn.platform.standins import ServerStandIn

_SUCCESS = 200
_NOT_RUN = 503
_WORK_SECONDS = 0.03


def _server(context, name):
    return next(
        server for server in context.platform.servers if server.name == name
    )


@given('{count:d} gateways and the servers "{first}" and "{second}"')
def start_platform(context, count, first, second):
    async def start():
        context.platform = SmallPlatform(context)
        await context.platform.start(
            [
                ServerStandIn(name=name, work_seconds=_WORK_SECONDS)
                for name in (first, second)
            ]
        )
        for number in range(count):
            await context.platform.add_gateway(f'vm-{number}')
        gateways = context.platform.gateways
        await wait_until(
            lambda: all(gateway.state.pools for gateway in gateways)
        )
        await wait_until(
            lambda: all(
                len(gateway.vms.alive_vms()) == count - 1
                for gateway in gateways
            )
        )

    context.loop.run_until_complete(start())


@given('server "{name}" names a limit of "{limit}" and "{other}" names none')
def name_one_limit(context, name, limit, other):
    _server(context, name).limit = limit.encode()


@given(
    'server "{name}" names a limit of "{limit}" and "{other}" names a limit '
    'of {other_limit}'
)
def name_two_limits(context, name, limit, other, other_limit):
    _server(context, name).limit = limit.encode()
    _server(context, other).limit = other_limit.encode()


@when('each gateway gets {rate:d} reads a second for {seconds:d} s')
def read_everywhere(context, rate, seconds):
    async def read(gateway, number):
        return await send_request(
            gateway.settings.front,
            build_request_bytes(request_id=f'{gateway.vms.own.name}-{number}'),
        )

    async def run():
        context.started_at = asyncio.get_running_loop().time()
        reads = []
        for number in range(rate * seconds):
            reads.extend(
                asyncio.ensure_future(read(gateway, number))
                for gateway in context.platform.gateways
            )
            await asyncio.sleep(1 / rate)
        context.responses = await asyncio.gather(*reads)
        context.seconds = asyncio.get_running_loop().time() - context.started_at

    context.loop.run_until_complete(run())


@then(
    '"{name}" got no more in any 4 s than the rule allows for a limit of '
    '{limit:g}'
)
def check_limit(context, name, limit):
    most = most_in_window(
        _server(context, name).request_times,
        context.started_at + CONTACT_SECONDS,
    )
    assert most <= allowed_in_window(limit), most


@then('"{name}" got at least {rate:g} request a second')
def check_use(context, name, rate):
    count = len(_server(context, name).request_times)
    assert count >= rate * context.seconds, count


@then('every read got 200 or was told when to come back')
def check_answers(context):
    for status, fields, _ in context.responses:
        is_told = status == _NOT_RUN and float(fields['retry-after']) > 0
        assert status == _SUCCESS or is_told, (status, fields)
