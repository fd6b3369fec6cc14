"""Steps for requests of tenants through a gateway."""

import json
from types import MappingProxyType

from behave import given, then, when

from features.support.gateway import (
    SmallPlatform,
    build_config,
    build_request,
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
from zinniaturn.gateway.request_context import RequestContext
from zinniaturn.platform.standins import ServerStandIn
from zinniaturn.tenants import Tenant

TARGETS = MappingProxyType(
    {'closed': '/reads/1', 'open': '/open/1', 'missing': '/nowhere/1'}
)
HEADERS = MappingProxyType(
    {
        'its key': f'Api-Key: {KEY}\r\n',
        'its key in lower case fields': f'api-key: {KEY}\r\n',
        'no key': '',
        'an unknown key': f'Api-Key: {SECRET_TEXT}9\r\n',
        'an empty key': 'Api-Key: \r\n',
        'its key and a letter': f'Api-Key: {KEY}x\r\n',
    }
)


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


async def start_tenants(context, config, **bounds):
    """Start a gateway before two servers, with a document or without."""
    context.platform = SmallPlatform(context)
    servers = [ServerStandIn(name=name) for name in ('s-1', 's-2')]
    await context.platform.start(servers, config)
    if config is None:
        context.platform.store.remove('op/config')
    context.gateway = await context.platform.add_gateway(**bounds)
    context.front = context.gateway.settings.front
    await wait_until(
        lambda: (
            context.gateway.state.pools or context.gateway.fleet_state.revision
        )
    )


def call(context, route, key, extra='', **request):
    """Send a read and keep the response."""
    payload = build_request_bytes(
        target=TARGETS[route], extra=HEADERS[key] + extra, **request
    )
    context.response = _run(context, send_request(context.front, payload))


def requests_at_servers(context):
    """Return the requests that servers got."""
    return [
        request
        for server in context.platform.servers
        for request in server.requests
    ]


@given('a platform with tenants and a gateway')
def start_with_tenants(context):
    _run(context, start_tenants(context, build_tenant_config()))


@given('a platform without tenants and a gateway')
def start_without_tenants(context):
    _run(context, start_tenants(context, build_config()))


@given('a platform without a configuration and a gateway')
def start_without_configuration(context):
    _run(context, start_tenants(context, None))


@when('a caller reads on the {route} route with {key}')
def read_with_key(context, route, key):
    call(context, route, key)


@when(
    'a caller names the tenant "{name}" itself '
    'and reads on the {route} route with {key}'
)
def read_naming_tenant(context, name, route, key):
    forged = f'X-Tenant: {name}\r\nx-tenant: {name}2\r\nX_Tenant: {name}\r\n'
    if context.gateway.fleet_state.tables.tenants is None:
        forged = f'X-Tenant: {name}\r\n'
    call(context, route, key, forged)


@then('it gets {status:d} with the code "{code}"')
def check_code(context, status, code):
    got, _, body = context.response
    assert got == status, context.response
    assert not code or json.loads(body)['code'] == code, body


@then('it gets {status:d} with the code ""')
def check_no_code(context, status):
    assert context.response[0] == status, context.response


@then('{count:d} requests reached a server, none of them with a key')
def check_reached(context, count):
    requests = requests_at_servers(context)
    assert len(requests) == count, requests
    for request in requests:
        assert SECRET_TEXT not in repr(request), request


@then("{count:d} requests reached a server, each of them with the caller's key")
def check_reached_with_key(context, count):
    requests = requests_at_servers(context)
    assert len(requests) == count, requests
    for request in requests:
        keys = [
            text for name, text in request.fields if name.lower() == b'api-key'
        ]
        assert keys == [KEY.encode()], request


@then('the server was told of the tenant "{name}" and of no other')
def check_told(context, name):
    request = requests_at_servers(context)[0]
    told = [
        text.decode()
        for field, text in request.fields
        if field.lower().replace(b'_', b'-') == b'x-tenant'
    ]
    assert told == [name], told


@then('the server was told of the tenant "" and of no other')
def check_told_none(context):
    request = requests_at_servers(context)[0]
    names = [field.lower().replace(b'_', b'-') for field, _ in request.fields]
    assert b'x-tenant' not in names, names


def _priority(context, tenant):
    state = context.gateway.fleet_state
    route = state.tables.routes['reads']
    pool = state.tables.pools['pool']
    return RequestContext(
        build_request(), '', route, pool, 0, 1, True, tenant=tenant
    ).priority


@then('a request of a tenant with priority {own:d} has priority {priority:d}')
def check_own_priority(context, own, priority):
    assert _priority(context, Tenant('gold', own)) == priority


@then('a request of a tenant without one has that of the route, {priority:d}')
def check_route_priority(context, priority):
    assert _priority(context, Tenant('coal')) == priority


@then('a request of no tenant has that of the route, {priority:d}')
def check_plain_priority(context, priority):
    assert _priority(context, None) == priority


@when(
    'callers read with known and unknown keys, '
    'and one names its key in a broken document'
)
def read_with_all_keys(context):
    for key in HEADERS:
        for route in TARGETS:
            call(context, route, key)
    rows = [tenant_row('gold', (KEY,)), tenant_row('coal', (KEY,))]
    broken = build_tenant_config(rows, version='00000002')
    context.platform.store.write('op/config', broken)
    refused = context.gateway.state.event_log.rows

    def is_refused():
        return any(
            'two' in row or 'another' in row for row in map(str, refused)
        )

    _run(context, wait_until(is_refused))
    call(context, 'closed', 'its key')


@then('no row of the log, no metric and no other endpoint shows a key')
def check_no_key_shown(context):
    state = context.gateway.state
    shown = [str(row) for row in state.event_log.rows]
    shown.append(repr(state.counters))
    shown.append(repr(state.fleet_state.tables))
    assert len(shown) > len(HEADERS), shown
    for text in shown:
        assert SECRET_TEXT not in text, text
