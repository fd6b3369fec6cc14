"""Steps of servers that send a rejection again on its connection."""

import asyncio

from behave import given, then, when

from features.support.copying_server import CopyingServer
from features.support.gateway import (
    SmallPlatform,
    build_config,
    build_request_bytes,
    build_route_row,
    send_request,
    wait_until,
)
from zinniaturn.experiments.loopback import loopback_host

_ROUTES = (
    build_route_row('reads', '/reads/', 'idempotent', timeout_ms=3000),
    build_route_row('posts', '/posts/', 'non_idempotent', timeout_ms=3000),
)
_PAST_WINDOW_SECONDS = 1000
_ROUNDS = 8
_RETRIES = 10_000


def _start(context, server):
    async def start():
        context.platform = SmallPlatform(context)
        context.server = server
        await context.platform.start([], build_config(list(_ROUTES)))
        await context.platform.add_server(server)
        context.platform.servers.clear()
        context.gateway = await context.platform.add_gateway(
            retry_fixed=_RETRIES
        )
        state = context.gateway.state
        await wait_until(lambda: state.pools)
        state.started_at -= _PAST_WINDOW_SECONDS

    context.loop.run_until_complete(start())
    assert loopback_host(1) == context.gateway.settings.host


@given(
    'a server that rejects each request once with {status:d} and sends the '
    'rejection again {when}'
)
def start_rejecting(context, status, when):
    _start(context, CopyingServer('s-1', when, status))


@given(
    'a server that rejects the first status check on each connection, and '
    'again {when}'
)
def start_rejecting_checks(context, when):
    _start(context, CopyingServer('s-1', when, rejects_checks=True))


@when('{count:d} callers {ask}, one request after the other')
def send_all(context, count, ask):
    method, target = {
        'post': ('POST', '/posts/1'),
        'read': ('GET', '/reads/1'),
    }[ask]
    context.statuses = {}

    async def call(number):
        for turn in range(_ROUNDS):
            request_id = f'id-{number}-{turn}'
            payload = build_request_bytes(
                method, target, request_id=request_id, wait_ms=3000
            )
            response = await send_request(
                context.gateway.settings.front, payload
            )
            context.statuses[request_id.encode()] = response
            await asyncio.sleep(0.01)

    async def call_all():
        await asyncio.gather(*map(call, range(count)))

    context.loop.run_until_complete(call_all())


@then('no request ran more than once')
def check_runs(context):
    assert len(context.server.runs) * 2 > len(context.statuses), 'few ran'
    twice = {one for one, runs in context.server.runs.items() if runs > 1}
    assert not twice, twice


@then('every caller whose request ran got its 200')
def check_statuses(context):
    for request_id in context.server.runs:
        status, _, body = context.statuses[request_id]
        assert (status, body) == (200, request_id), (request_id, status)


@then('at most {count:d} connections for each of them were opened')
def check_connections(context, count):
    opened = context.server.connections
    assert opened <= count * len(context.statuses) // _ROUNDS, opened
