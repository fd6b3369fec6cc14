"""Steps of many gateways that start at once."""

import asyncio
import functools

from behave import given, then, when

from features.support.gateway import (
    SmallPlatform,
    build_request_bytes,
    close_gateway,
    send_request,
    wait_until,
)
from zinniaturn.fleet.domain import VmStage
from zinniaturn.platform.standins import ServerStandIn

_CONVERGE_SECONDS = 60
_WRITE_PATH = '/kv-txn'
_READ_PATH = '/kv-range?prefix='
_BEFORE_STORE_SECONDS = 0.05
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


@given('a gateway that has just started while the store answers late')
def start_with_late_store(context):
    context.platform = SmallPlatform(context)
    context.may_call = asyncio.Event()
    _run(context, context.platform.start([ServerStandIn(name='s-1')]))
    context.gateway = _run(
        context,
        context.platform.add_gateway(
            before_start=functools.partial(_hold_calls, context.may_call)
        ),
    )


def _hold_calls(may_call, gateway):
    """Hold a gateway's calls to the store until the event is set."""
    store = gateway.store
    call = store._call

    async def hold(method, path, body=None):
        await may_call.wait()
        return await call(method, path, body)

    store._call = hold


async def _request(context):
    front = context.gateway.settings.front
    return await send_request(front, build_request_bytes(wait_ms=5000))


@when('a request comes and the store answers after it')
def request_before_store(context):
    async def run():
        request = asyncio.ensure_future(_request(context))
        await asyncio.sleep(_BEFORE_STORE_SECONDS)
        context.may_call.set()
        return await request

    context.response = _run(context, run())


@when('a request comes')
def request_without_store(context):
    context.response = _run(context, _request(context))


@then('the request gets 200')
def check_answered(context):
    assert context.response[0] == 200, context.response


@then('the request gets 503, and a later one gets it at once')
def check_rejected(context):
    assert context.response[0] == 503, context.response
    counts = context.gateway.state.counters.events
    assert counts['start_wait_ended'] == 1, counts
    assert _run(context, _request(context))[0] == 503
    assert counts['start_wait_ended'] == 1, 'the second one was held, too'
