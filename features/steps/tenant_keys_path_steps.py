"""Steps for added and withdrawn keys on the path through gateways."""

import asyncio
import json
import time
from unittest.mock import patch

from behave import given, then, when

from features.steps.tenant_request_steps import HEADERS, TARGETS
from features.support.cut_links import cut_links, start_cut_fleet
from features.support.cut_scenario import gateway_at
from features.support.gateway import (
    SmallPlatform,
    build_request_bytes,
    send_request,
    wait_until,
)
from features.support.tenants import (
    KEY,
    SECRET_TEXT,
    build_tenant_config,
    tenant_row,
)
from zinniaturn.events.catalogue import LogEvent
from zinniaturn.fleet.gossip_sender import GossipSender
from zinniaturn.gateway.relay_service import RelayService
from zinniaturn.platform.standins import ServerStandIn, StoreFault
from zinniaturn.standins.vm_links import CutShape

_NEW_KEY = f'{SECRET_TEXT}new'
_READ_SECONDS = 0.1
_FOLLOW_SHARE = 0.35
_OTHER_VERSION = '00000002'


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def _document():
    """Return a document whose tenant has no allowance to use up."""
    return build_tenant_config([tenant_row('gold', (KEY,), 0)])


async def _start(context, gateways=1, **bounds):
    context.platform = SmallPlatform(context)
    server = ServerStandIn(name='s-1', slots=1, queue=0)
    await context.platform.start([server], _document())
    seconds = _READ_SECONDS / _FOLLOW_SHARE
    for number in range(gateways):
        await context.platform.add_gateway(
            f'vm-{number + 1}', tables_seconds=seconds, **bounds
        )
    context.gateway = context.platform.gateways[0]
    await wait_until(
        lambda: all(
            gateway.state.pools and gateway.fleet_state.proof.age_ms
            for gateway in context.platform.gateways
        )
    )


@given('a gateway with tenants that reads the store each 0.1 s')
@given("a gateway with tenants that doesn't fail closed")
def start_open(context):
    _run(context, _start(context))


@given('a gateway with tenants that fails closed after {seconds:g} s')
def start_closed(context, seconds):
    _run(context, _start(context, fail_closed=True, revoke_seconds=seconds))


@given('{count:d} gateways with tenants that fail closed after {seconds:g} s')
def start_two(context, count, seconds):
    start = _start(context, count, fail_closed=True, revoke_seconds=seconds)
    _run(context, start)


async def _read(context, key_line, target='/reads/1', request_id='id-1', at=1):
    front = gateway_at(context, at).settings.front
    payload = build_request_bytes(
        target=target, extra=key_line, request_id=request_id, wait_ms=8000
    )
    return await send_request(front, payload)


def _key_line(key=KEY):
    return f'Api-Key: {key}\r\n'


def _code(response):
    return json.loads(response[2])['code']


def _arrivals(context, request_id):
    return [
        request
        for server in context.platform.servers
        for request in server.requests
        if (b'X-Attempt-Id', request_id.encode()) in request.fields
    ]


async def _await_status(context, key_line, status, seconds, target='/reads/1'):
    """Read again and again until a status comes."""
    end = context.loop.time() + seconds
    while True:
        context.response = await _read(context, key_line, target)
        if context.response[0] == status:
            return
        assert context.loop.time() < end, context.response
        await asyncio.sleep(0.02)


@when('the key of "gold" is replaced by another in the document')
def replace_key(context):
    rows = [tenant_row('gold', (_NEW_KEY,))]
    config = build_tenant_config(rows, _OTHER_VERSION)
    context.platform.store.write('op/config', config)


@then('within {seconds:g} s the new key gets {status:d}')
def check_new_key(context, seconds, status):
    await_status = _await_status(context, _key_line(_NEW_KEY), status, seconds)
    _run(context, await_status)


@then('the old key gets {status:d} with the code "{code}"')
def check_old_key(context, status, code):
    response = _run(context, _read(context, _key_line()))
    assert (response[0], _code(response)) == (status, code), response


@given('all slots of the servers are taken for {seconds:g} s')
def take_slots(context, seconds):
    server = context.platform.servers[0]
    server.work_seconds = seconds

    async def take():
        context.taken = asyncio.ensure_future(_read(context, _key_line()))
        await wait_until(lambda: server.running)

    _run(context, take())


async def _read_while(context, change):
    """Read, change something while the request waits, and keep the response."""
    waiting = asyncio.ensure_future(
        _read(context, _key_line(), request_id='id-late')
    )
    await asyncio.sleep(0.1)
    assert not waiting.done(), waiting
    change()
    context.response = await waiting
    assert (await context.taken)[0] == 200, context.taken


@when('a caller reads with its key, which is withdrawn while the request waits')
def withdraw_while_waiting(context):
    _run(context, _read_while(context, lambda: replace_key(context)))


def _reject_gateway(context, number=1):
    host = gateway_at(context, number).settings.host
    context.platform.store.faults[host] = StoreFault.BUSY


@when('the store rejects the gateway, and a caller reads with its key')
def lose_store_and_read(context):
    _reject_gateway(context)
    _run(context, _read_while(context, int))


@when(
    'the store rejects the gateway, which stands still for {seconds:g} s '
    'while a request waits'
)
def stand_still(context, seconds):
    _reject_gateway(context)
    _run(context, _read_while(context, lambda: time.sleep(seconds)))


@then(
    'it gets {status:d} with the code "{code}", and no server got the request'
)
def check_not_sent(context, status, code):
    response = context.response
    assert (response[0], _code(response)) == (status, code), response
    assert not _arrivals(context, 'id-late')


@when('the store rejects the gateway, and {seconds:g} s pass')
def lose_store(context, seconds):
    _reject_gateway(context)
    _run(context, asyncio.sleep(seconds))


@when("the document can't be read any more, and {seconds:g} s pass")
def break_document(context, seconds):
    rows = [tenant_row('gold', (KEY,)), tenant_row('gold', (_NEW_KEY,))]
    config = build_tenant_config(rows, _OTHER_VERSION)
    context.platform.store.write('op/config', config)
    _run(context, asyncio.sleep(seconds))


@when('the store serves the gateway')
def restore_store(context):
    context.platform.store.faults.clear()


@when('the document can be read again')
def mend_document(context):
    config = build_tenant_config(version='00000003')
    context.platform.store.write('op/config', config)


@then(
    '{key} on the {route} route gets {status:d} with the code "{code}", '
    'not run, with a time to return'
)
def check_refused(context, key, route, status, code):
    response = _run(context, _read(context, HEADERS[key], TARGETS[route]))
    assert (response[0], _code(response)) == (status, code), response
    assert json.loads(response[2])['outcome'] == 'not-run', response
    assert float(response[1]['retry-after']) > 0, response


@then('{key} on the {route} route gets {status:d}')
def check_status(context, key, route, status):
    response = _run(context, _read(context, HEADERS[key], TARGETS[route]))
    assert response[0] == status, response


@then('a read with its key gets {status:d} within {seconds:g} s')
def check_status_within(context, status, seconds):
    _run(context, _await_status(context, _key_line(), status, seconds))


def _rows(context, event):
    event_log = context.gateway.event_log
    return [row for row in event_log.rows if row['event'] == event]


@then('the log says once that the tables are too old for tenants')
def check_logged(context):
    assert len(_rows(context, LogEvent.TABLES_TOO_OLD)) == 1
    assert not _rows(context, LogEvent.TABLES_PROVEN)


@then('the log says once that the tables are proven again')
def check_logged_end(context):
    _run(context, wait_until(lambda: _rows(context, LogEvent.TABLES_PROVEN)))
    assert len(_rows(context, LogEvent.TABLES_PROVEN)) == 1


@when(
    'the store rejects gateway 1, and {seconds:g} s pass '
    'in which its key is used there'
)
def use_rejected(context, seconds):
    _reject_gateway(context)
    context.statuses = []

    async def use():
        end = context.loop.time() + seconds
        while context.loop.time() < end:
            response = await _read(context, _key_line())
            context.statuses.append(response[0])
            await asyncio.sleep(0.05)

    _run(context, use())


@then('it was served each time')
def check_served(context):
    assert set(context.statuses) == {200}, context.statuses
    assert len(context.statuses) > 10


def _is_known(context):
    """Return whether gateway 1 takes gateway 2 for one that knows tenants."""
    vms = gateway_at(context, 1).vms
    return vms.vms['vm-2'].knows_tenants


@given('2 gateways with tenants, gateway 1 without links to the servers')
def start_cut(context):
    config = build_tenant_config()
    _run(context, start_cut_fleet(context, 2, 2, config))
    for number in (1, 2):
        _run(context, _read(context, _key_line(), at=number))
    _run(context, wait_until(lambda: _is_known(context)))
    cut_links(context, [1], CutShape.HANG)


@when('a caller reads at gateway 1 with its key until another VM serves it')
def read_until_passed_on(context):
    counters = gateway_at(context, 1).state.counters

    async def read():
        for number in range(100):
            context.request_id = f'id-passed-{number}'
            response = await _read(
                context, _key_line(), request_id=context.request_id
            )
            if response[0] == 200 and counters.events['request_passed_on']:
                return
            await asyncio.sleep(0.05)
        raise AssertionError(response)

    _run(context, read())


@then('the server was told of the tenant "{name}" by gateway 2, and of no key')
def check_told_by_other(context, name):
    requests = _arrivals(context, context.request_id)
    assert len(requests) == 1, requests
    assert (b'X-Tenant', name.encode()) in requests[0].fields, requests
    assert SECRET_TEXT not in repr(requests), requests
    counters = gateway_at(context, 2).state.counters
    assert counters.events['request_taken_for_other']


@then('an unknown key gets {status:d} at gateway 1, and no server got it')
def check_unknown(context, status):
    line = HEADERS['an unknown key']
    response = _run(context, _read(context, line, request_id='id-unknown'))
    assert response[0] == status, response
    assert not _arrivals(context, 'id-unknown')


@when('gateway 2 is taken for a VM of an earlier build')
def forget_knowledge(context):
    # Gateway 1 tells nothing either, which makes no difference here.
    patcher = patch.object(GossipSender, '_proof_row', return_value=None)
    patcher.start()
    context.add_cleanup(patcher.stop)
    _run(context, wait_until(lambda: not _is_known(context)))


@then('its key gets {status:d} at gateway 1, and no server got it')
def check_kept(context, status):
    response = _run(context, _read(context, _key_line(), request_id='id-kept'))
    assert response[0] == status, response
    assert not _arrivals(context, 'id-kept')


@then('a read of a public route with a key is passed on without the key')
def check_public_passed_on(context):
    taken = []
    handle = RelayService.handle

    def spy(service, exchange):
        taken.append(exchange.request.body)
        return handle(service, exchange)

    read = _read(context, _key_line(), TARGETS['open'], 'id-open')
    with patch.object(RelayService, 'handle', spy):
        response = _run(context, read)
    assert response[0] == 200, response
    assert taken
    assert not any(SECRET_TEXT.encode() in body for body in taken)
