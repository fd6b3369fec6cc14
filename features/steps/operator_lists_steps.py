"""Steps of the lists of tenants and evacuations that a VM knows."""

import asyncio
import json

from behave import given, then, when

from features.support.asked_gateway import run, start_asked
from features.support.evacuations import (
    build_follower,
    read_store,
)
from features.support.gateway import (
    build_config,
    build_request_bytes,
    send_request,
    wait_until,
)
from features.support.tenants import KEY, SECRET_TEXT, tenant_row
from features.support.two_centers import evacuate, take_back
from features.support.where_situations import SITUATIONS
from zinniaturn.gateway.counters import TenantRejections


@given('a gateway without tenants that operators can ask')
def start_without_tenants(context):
    async def start():
        await start_asked(context, build_config())
        await wait_until(lambda: context.gateway.state.pools)

    run(context, start())


@given('the document has a tenant "{name}" without keys')
def add_tenant(context, name):
    config = context.document
    config['version'] = '00000002'
    config['tenants']['rows'].append(tenant_row(name, ()))
    context.platform.store.write('op/config', config)
    fleet_state = context.gateway.fleet_state
    run(context, wait_until(lambda: fleet_state.tables.version == 2))


async def _read(context, key):
    payload = build_request_bytes(extra=f'Api-Key: {key}\r\n')
    front = context.gateway.settings.front
    status, _, _ = await send_request(front, payload)
    return status


@when(
    "gold's next read is rejected with {over:d} and a read with an unknown key "
    'with {unknown:d}'
)
def reject(context, over, unknown):
    async def send():
        assert await _read(context, KEY) == 200
        SITUATIONS['gold has no permit left'](context)
        assert await _read(context, KEY) == over
        assert await _read(context, f'{SECRET_TEXT}9') == unknown

    run(context, send())


@then('the tenants told are {names}')
def check_tenants(context, names):
    context.told = json.loads(context.result.output)
    keys = {one['name']: one['keys'] for one in context.told['tenants']}
    assert keys == {'gold': 2, 'coal': 1, 'iron': 0}, names
    gold = context.told['tenants'][1]
    assert (gold['rate_per_s'], gold['burst']) == (40, 10), gold


@then('gold has 1 rejection for "{code}", the others none')
def check_rejected(context, code):
    rejected = {one['name']: one['rejected'] for one in context.told['tenants']}
    assert rejected == {'gold': {code: 1}, 'coal': {}, 'iron': {}}, rejected


@then('1 rejection for "{code}" is told of no tenant')
def check_for_keys(context, code):
    assert context.told['for_keys'][code] == 1, context.told


@then('it prints no key')
def check_no_key(context):
    result = context.result
    assert SECRET_TEXT not in result.output + result.errors, result


@when('"{first}" is evacuated, and {seconds:g} s later "{second}"')
def evacuate_two(context, first, second, seconds):
    for name in (first, second):
        evacuate(context.platform, name)
        run(context, _wait_until_known(context, name))
        run(context, asyncio.sleep(seconds))


async def _wait_until_known(context, name):
    evacuations = context.gateway.fleet_state.evacuations
    await wait_until(lambda: name in evacuations.names)


@when('the evacuation of "{name}" ends')
def end_evacuation(context, name):
    evacuations = context.gateway.fleet_state.evacuations
    take_back(context.platform, name)
    run(context, wait_until(lambda: name not in evacuations.names))


@then(
    '"{first}" with {own:d} servers has been known for {seconds:g} s longer '
    'than "{second}" with {other:d}'
)
def check_since(context, first, own, seconds, second, other):
    told = json.loads(context.result.output)
    assert told['are_followed'], told
    known = {one['data_center']: one for one in told['evacuations']}
    assert list(known) == [first, second], told
    counts = [one['servers'] for one in known.values()]
    assert counts == [own, other], told
    ahead = known[first]['known_seconds'] - known[second]['known_seconds']
    assert ahead >= seconds and known[second]['known_seconds'] > 0, told


@then('it prints nothing of "{name}"')
def check_not_printed(context, name):
    assert not context.result.status, context.result
    assert name not in context.result.output, context.result


@given('a VM that has known for {seconds:d} s that "{name}" is evacuated')
def build_knowing(context, seconds, name):
    context.fleet_state = build_follower()
    read_store(context.fleet_state, name, 1)
    context.fleet_state.clock.advance(seconds)


@when('the store comes back from a copy without it')
def lose(context):
    read_store(context.fleet_state, '-', 1, era=2)


@when('it is written again and removed {seconds:d} s later')
def write_again(context, seconds):
    read_store(context.fleet_state, 'dc-a', 2, era=2)
    context.fleet_state.clock.advance(seconds)
    read_store(context.fleet_state, '-', 3, era=2)


@then(
    'the VM has known it for {seconds:d} s, and keeps it for at most '
    '{kept:d} s more'
)
def check_kept(context, seconds, kept):
    evacuations = context.fleet_state.evacuations
    now = context.fleet_state.clock.monotonic()
    assert now - evacuations.known_since['dc-a'] == seconds
    assert 0 < evacuations.kept_seconds()['dc-a'] <= kept


@then('the VM knows of no evacuation')
def check_none(context):
    assert not context.fleet_state.evacuations.known_since


@when('requests of {count:d} tenants are rejected')
def reject_many(context, count):
    context.rejections = TenantRejections()
    for number in range(count):
        context.rejections.note(f't-{number}', 'over-allowance')


@then('at most {most:d} tenants are counted, and the latest')
def check_most(context, most):
    assert len(context.rejections.by_tenant) == most
    assert context.rejections.of('t-4999') == {'over-allowance': 1}
