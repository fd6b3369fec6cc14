"""Steps for the simulated store and VM list."""

import asyncio

import aiohttp
from behave import given, then, when

from features.support.time_limits import time_limit
from zinniaturn.standins import StoreStandIn, VmListStandIn
from zinniaturn.store import HttpStore, StoreError
from zinniaturn.vmlist import HttpVmList, ListedVm, VmState

_KEY = 'some/key'


@given('a simulated store')
def start_store(context):
    async def start():
        context.stand_in = StoreStandIn()
        await context.stand_in.start()
        context.store = HttpStore(context.stand_in.url, 2, 'us')
        context.closers.extend([context.stand_in.stop, context.store.close])

    context.loop.run_until_complete(start())
    context.write_result = 'accepted'


def _call_control(context, method, path, body):
    async def call():
        url = context.stand_in.url + path
        async with aiohttp.ClientSession() as session:
            async with session.request(method, url, json=body) as reply:
                assert reply.status == 200, await reply.text()

    context.loop.run_until_complete(call())


def _write(context, text):
    async def write():
        try:
            stored = await context.store.read(_KEY)
            version = stored.version
        except StoreError:
            version = 0
        try:
            await context.store.compare_and_swap(_KEY, version, text)
        except StoreError as error:
            context.write_result = error.code

    context.loop.run_until_complete(write())


@when('the store drops the reply to the next write')
def drop_next_reply(context):
    _call_control(context, 'PUT', '/control/faults', {'lost_replies': 1})


@when('the store is unavailable')
def make_store_unavailable(context):
    _call_control(context, 'PUT', '/control/faults', {'is_out': True})


@when('the store resets our connections')
def reset_our_connections(context):
    _call_control(context, 'PUT', '/control/faults', {'cut_off': ['us']})


@when('the store has reached its rate limit')
def exhaust_rate_limit(context):
    context.stand_in.limits.writes.per_second = 0


@when('"{text}" is written to the store')
def write_text(context, text):
    _write(context, text)


@when('{count:d} bytes are written to the store')
def write_bytes(context, count):
    _write(context, 'x' * count)


@when('a copy of the store is saved')
def save_copy(context):
    _call_control(context, 'POST', '/control/copy', {})


@when('the store is reset to the copy')
def reset_to_copy(context):
    _call_control(context, 'POST', '/control/reset', {'to': 'copy'})


@then('the write result is "{code}"')
def check_write_result(context, code):
    assert context.write_result == code, context.write_result


@then('the stored value is "{text}"')
def check_stored_value(context, text):
    stored = context.loop.run_until_complete(context.store.read(_KEY))
    assert stored.value == text, stored


@then('the store has not stored "{text}"')
def check_key_absent(context, text):
    assert _KEY not in context.stand_in.values


@given('a simulated VM list')
def start_vm_list(context):
    async def start():
        context.vm_stand_in = VmListStandIn(lag_seconds=0.1)
        await context.vm_stand_in.start()
        context.vm_list = HttpVmList(context.vm_stand_in.url)
        context.closers.extend(
            [context.vm_stand_in.stop, context.vm_list.close],
        )

    context.loop.run_until_complete(start())


@when('the VM "{name}" starts')
def add_vm(context, name):
    vm = ListedVm(name, '127.0.0.1', VmState.LIVE)

    async def add():
        context.vm_stand_in.put(vm)
        context.listed_vms = await context.vm_list.read()

    context.loop.run_until_complete(add())


@then('the VM list is empty')
def check_list_empty(context):
    assert context.listed_vms == ()


@then('the VM list eventually contains "{name}"')
def check_listed(context, name):
    async def wait():
        async with time_limit(30):
            while not await context.vm_list.read():
                await asyncio.sleep(0.01)
        return await context.vm_list.read()

    vms = context.loop.run_until_complete(wait())
    assert [vm.name for vm in vms] == [name], vms
