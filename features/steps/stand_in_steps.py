"""Steps of the stand-ins."""

import asyncio

import aiohttp
from behave import given, then, when

from zinniaturn.standins import StoreStandIn, VmListStandIn
from zinniaturn.store import HttpStore, StoreError
from zinniaturn.vmlist import HttpVmList, ListedVm, VmState

_KEY = 'some/key'


@given('a store')
def start_store(context):
    async def start():
        context.stand_in = StoreStandIn()
        await context.stand_in.start()
        context.store = HttpStore(context.stand_in.url, 2, 'us')
        context.closers.extend([context.stand_in.stop, context.store.close])

    context.loop.run_until_complete(start())
    context.write_ended = 'accepted'


def _call(context, method, path, body):
    async def call():
        url = context.stand_in.url + path
        async with aiohttp.ClientSession() as session:
            async with session.request(method, url, json=body) as reply:
                assert reply.status == 200, await reply.text()

    context.loop.run_until_complete(call())


def _write(context, text):
    async def write():
        try:
            entry = await context.store.read(_KEY)
            version = entry.version
        except StoreError:
            version = 0
        try:
            await context.store.compare_and_swap(_KEY, version, text)
        except StoreError as error:
            context.write_ended = error.code

    context.loop.run_until_complete(write())


@when("the next write's reply is lost")
def lose_reply(context):
    _call(context, 'PUT', '/control/faults', {'lost_replies': 1})


@when('the store is out')
def take_store_out(context):
    _call(context, 'PUT', '/control/faults', {'is_out': True})


@when('the store is cut off from us')
def cut_off(context):
    _call(context, 'PUT', '/control/faults', {'cut_off': ['us']})


@when('the store is over its rate')
def exceed_rate(context):
    context.stand_in.limits.writes.per_second = 0


@when('"{text}" is written to the store')
def write_text(context, text):
    _write(context, text)


@when('{count:d} bytes are written to the store')
def write_bytes(context, count):
    _write(context, 'x' * count)


@when('a copy of the store is kept')
def keep_copy(context):
    _call(context, 'POST', '/control/copy', {})


@when('the store is reset to the copy')
def reset_to_copy(context):
    _call(context, 'POST', '/control/reset', {'to': 'copy'})


@then('the write ended as "{code}"')
def check_write(context, code):
    assert context.write_ended == code, context.write_ended


@then('the store holds "{text}"')
def check_store(context, text):
    entry = context.loop.run_until_complete(context.store.read(_KEY))
    assert entry.value == text, entry


@then('the store\'s memory does not hold "{text}"')
def check_memory(context, text):
    assert _KEY not in context.stand_in.values


@given('a VM list')
def start_vm_list(context):
    async def start():
        context.vm_stand_in = VmListStandIn(lag_seconds=0.1)
        await context.vm_stand_in.start()
        context.vm_list = HttpVmList(context.vm_stand_in.url)
        context.closers.extend(
            [context.vm_stand_in.stop, context.vm_list.close],
        )

    context.loop.run_until_complete(start())


@when('the VM "{name}" comes up')
def add_vm(context, name):
    vm = ListedVm(name, '127.0.0.1', VmState.LIVE)

    async def add():
        context.vm_stand_in.put(vm)
        context.listed = await context.vm_list.read()

    context.loop.run_until_complete(add())


@then('the VM list is empty')
def check_empty(context):
    assert context.listed == ()


@then('the VM list shows "{name}" in the end')
def check_listed(context, name):
    async def wait():
        async with asyncio.timeout(30):
            while not await context.vm_list.read():
                await asyncio.sleep(0.01)
        return await context.vm_list.read()

    vms = context.loop.run_until_complete(wait())
    assert [vm.name for vm in vms] == [name], vms
