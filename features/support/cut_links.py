"""A fleet of gateways whose links to the backend servers can be cut."""

import asyncio

from features.support.gateway import SmallPlatform, wait_until
from zinniaturn.http1.exceptions import ConnectFailedError
from zinniaturn.platform.standins import ServerStandIn
from zinniaturn.standins.vm_links import CutShape

WORK_SECONDS = 0.03
_LONGEST_CONNECT_SECONDS = 0.35


async def start_cut_fleet(context, gateways, servers, config=None, **fields):
    """Start servers behind proxies and gateways that know each other."""
    context.closers.append(_wait_for_connects)
    context.platform = SmallPlatform(context)
    await context.platform.start([], config)
    for number in range(servers):
        await context.platform.add_proxied_server(
            ServerStandIn(
                name=f's-{number + 1}',
                work_seconds=WORK_SECONDS,
                echoes_request_id=True,
                **fields,
            )
        )
    for number in range(gateways):
        await add_cut_gateway(context, f'vm-{number + 1}')
    await wait_until_acquainted(context)


async def add_cut_gateway(context, name, **bounds):
    """Start one more gateway, which the cuts of its host apply to."""
    return await context.platform.add_gateway(
        name,
        before_start=lambda gateway: _cut_connects(context, gateway),
        **bounds,
    )


async def wait_until_acquainted(context):
    """Wait until all gateways have servers and know each other."""
    gateways = context.platform.gateways
    await wait_until(lambda: all(gateway.state.pools for gateway in gateways))
    await wait_until(
        lambda: all(
            len(gateway.vms.alive_vms()) == len(gateways) - 1
            for gateway in gateways
        )
    )


def cut_links(context, numbers, shape):
    """Cut gateways, by their numbers from 1 on, off from all servers."""
    for number in numbers:
        gateway = context.platform.gateways[number - 1]
        context.platform.links.cut(gateway.settings.host, shape)


def restore_links(context, numbers):
    """End the cuts of gateways."""
    for number in numbers:
        gateway = context.platform.gateways[number - 1]
        context.platform.links.restore(gateway.settings.host)


async def _wait_for_connects():
    """Wait until the connects that a cut held up have given up."""
    await asyncio.sleep(_LONGEST_CONNECT_SECONDS)


def _cut_connects(context, gateway):
    """
    Let connections to servers fail as they do behind a real cut.

    A proxy has to accept a connection before it can tell whose it is.
    """
    links = context.platform.links
    connections = gateway.state.connections
    connect = connections.connect

    async def connect_unless_cut(address, timeout_seconds):
        ports = {proxy.port for proxy in context.platform.proxies.values()}
        shape = links.shape(gateway.settings.host)
        if shape is None or address[1] not in ports:
            return await connect(address, timeout_seconds)
        if shape is CutShape.HANG:
            await asyncio.sleep(timeout_seconds)
        raise ConnectFailedError(f'the links are cut: {shape.value}')

    connections.connect = connect_unless_cut
