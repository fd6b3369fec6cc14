"""Steps of the options of the gateways' sockets."""

import asyncio
import socket

from behave import given, then

from features.support.gateway import wait_until


def _gateway(context, number):
    return context.platform.gateways[number - 1]


def _idle(connections, is_wanted):
    return [
        connection
        for address, idle_connections in connections.idle.items()
        for connection in idle_connections
        if is_wanted(address)
    ]


def _connections(context, number, whom):
    gateway = _gateway(context, number)
    ports = {proxy.port for proxy in context.platform.proxies.values()}
    pool = gateway.state.connections
    kinds = {
        'the store': lambda: _idle(gateway.store.connections, lambda one: True),
        'servers': lambda: _idle(pool, lambda one: one[1] in ports),
        'other VMs': lambda: _idle(pool, lambda one: one[1] not in ports),
        'callers': lambda: list(gateway.listeners[1].connections),
    }
    return kinds[whom]()


@given('a caller that is connected to gateway {number:d}')
def connect(context, number):
    gateway = _gateway(context, number)

    async def open_connection():
        streams = await asyncio.open_connection(*gateway.settings.front)
        context.streams = streams
        await wait_until(lambda: gateway.listeners[1].connections)

    context.loop.run_until_complete(open_connection())
    context.closers.append(lambda: _abort(context.streams[1]))


async def _abort(writer):
    writer.transport.abort()


@then(
    'the connections of gateway {number:d} to {whom} have a user timeout of '
    '{milliseconds:d} ms and no keep-alive probes'
)
@then(
    'the connections of gateway {number:d} from {whom} have a user timeout of '
    '{milliseconds:d} ms and no keep-alive probes'
)
def check_options(context, number, whom, milliseconds):
    connections = _connections(context, number, whom)
    assert connections
    for connection in connections:
        bearer = connection.transport.get_extra_info('socket')
        timeout = bearer.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        probes = bearer.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        assert (timeout, probes) == (milliseconds, 0), (timeout, probes)
