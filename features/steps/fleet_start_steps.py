"""Steps of many gateways that start at once."""

import asyncio
import functools

from behave import given, then, when

from features.support.gateway import (
    SmallPlatform,
    close_gateway,
    wait_until,
)
from zinniaturn.fleet.domain import VmStage
from zinniaturn.platform.standins import ServerStandIn

_CONVERGE_SECONDS = 60
_WRITE_PATH = '/kv-txn'
_READ_PATH = '/kv-range?prefix='
_RECORD_PREFIX = 'zinniaturn/vms/'


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def _record_calls(context, gateway):
    """Record the paths of a gateway's calls to the store."""
    store = gateway.store
    call = store._call

    async def record(method, path, body=None):
        context.calls.append((gateway, path))
        return await call(method, path, body)

    store._call = record


async def _add_gateways(context, count, is_first_start):
    for _ in range(count):
        number = len(context.platform.gateways)
        gateway = await context.platform.add_gateway(
            f'vm-{number}',
            f'dc-{number % 3}',
            is_first_start=is_first_start,
            before_start=functools.partial(_record_calls, context),
        )
        context.newest = gateway


@given('{count:d} gateways that start for the first time')
def start_first(context, count):
    context.calls = []
    context.platform = SmallPlatform(context)
    _run(context, context.platform.start([ServerStandIn(name='s-1')]))
    _run(context, _add_gateways(context, count, is_first_start=True))


@given('all of them are ready and know each other')
@then('all of them are ready and know each other')
def check_converged(context):
    gateways = context.platform.gateways

    def has_converged():
        return all(
            gateway.state.stage is VmStage.READY
            and len(gateway.vms.alive_vms()) == len(gateways) - 1
            for gateway in gateways
        )

    _run(context, wait_until(has_converged, _CONVERGE_SECONDS))


def _count(context, prefix):
    return sum(path.startswith(prefix) for _, path in context.calls)


@given('at most {most:d} records are listed')
def check_records(context, most):
    def are_listed():
        store = context.platform.store
        keys = [key for key in store.keys if key.startswith(_RECORD_PREFIX)]
        return 4 <= len(keys) <= most

    _run(context, wait_until(are_listed, _CONVERGE_SECONDS))


def _whole_reads(calls):
    return sum(
        path.startswith(_READ_PATH) and 'serializable' not in path
        for _, path in calls
    )


@then('the store got at most {writes:d} writes and {reads:d} whole reads')
def check_calls(context, writes, reads):
    assert _count(context, _WRITE_PATH) <= writes, context.calls
    assert _whole_reads(context.calls) <= reads, context.calls


@when('all of them are killed and started again')
def restart_all(context):
    async def restart():
        count = len(context.platform.gateways)
        for gateway in context.platform.gateways:
            await close_gateway(gateway)
        await asyncio.sleep(0)
        context.platform.gateways.clear()
        context.calls.clear()
        await _add_gateways(context, count, is_first_start=False)

    _run(context, restart())


@then('the store got at most {writes:d} more writes')
def check_more_writes(context, writes):
    assert _count(context, _WRITE_PATH) <= writes, context.calls


@when('one more gateway is started')
def start_one(context):
    context.calls.clear()
    _run(context, _add_gateways(context, 1, is_first_start=False))


@then('the new one has not read the whole store before it was ready')
def check_no_whole_read(context):
    own = [call for call in context.calls if call[0] is context.newest]
    assert own
    first_path = own[0][1]
    assert 'serializable' in first_path, first_path
    state = context.newest.fleet_state
    assert state.document is not None
    assert _whole_reads(own) == 0, own
