"""Implements ``zinniaturn standin``: stand-in processes for experiments."""

__all__ = ('standin',)

import asyncio
import signal

import click
import uvloop

from zinniaturn.standins import (
    BackendStandIn,
    ServiceTime,
    StoreStandIn,
    VmListStandIn,
)
from zinniaturn.standins.backend_group import BackendGroup, OracleBackend

_MILLISECONDS_PER_SECOND = 1000


@click.group()
def standin() -> None:
    """Run a stand-in for a platform service or a backend server on loopback."""


@standin.command()
@click.option('--port', type=click.IntRange(0, 65_535), default=0)
def store(port: int) -> None:
    """Run the configuration store."""
    asyncio.run(_run_until_signal(StoreStandIn(), port))


@standin.command('vm-list')
@click.option('--port', type=click.IntRange(0, 65_535), default=0)
@click.option('--lag-seconds', type=click.FloatRange(0), default=1)
def vm_list(port: int, lag_seconds: float) -> None:
    """Run the list of live and leaving VMs."""
    asyncio.run(_run_until_signal(VmListStandIn(lag_seconds), port))


@standin.command()
@click.argument('name')
@click.option('--port', type=click.IntRange(0, 65_535), default=0)
@click.option('--slots', type=click.IntRange(1), default=4)
@click.option('--median-ms', type=click.FloatRange(0), default=5)
@click.option('--seed', type=int, default=0)
def backend(
    name: str,
    port: int,
    slots: int,
    median_ms: float,
    seed: int,
) -> None:
    """Run a backend server."""
    server = BackendStandIn(
        name,
        slots=slots,
        service_time=ServiceTime(median_ms / _MILLISECONDS_PER_SECOND),
        seed=seed,
    )
    asyncio.run(_run_until_signal(server, port))


@standin.command()
@click.argument('service')
@click.option('--port', type=click.IntRange(0, 65_535), default=0)
@click.option('--count', type=click.IntRange(1), default=4)
@click.option('--slots', type=click.IntRange(1), default=4)
@click.option('--queue-limit', type=click.IntRange(0), default=200)
@click.option('--median-ms', type=click.FloatRange(0), default=5)
@click.option('--delay-ms', type=click.FloatRange(0), default=0)
@click.option('--connect-ms', type=click.FloatRange(0), default=0)
@click.option('--seed', type=int, default=0)
def backends(
    service: str,
    port: int,
    count: int,
    slots: int,
    queue_limit: int,
    median_ms: float,
    delay_ms: float,
    connect_ms: float,
    seed: int,
) -> None:
    """Run the backend servers of SERVICE; --port is the control address."""
    servers = [
        OracleBackend(
            f'{service}-{number}',
            slots=slots,
            queue_limit=queue_limit,
            service_time=ServiceTime(median_ms / _MILLISECONDS_PER_SECOND),
            seed=seed,
            delay_seconds=delay_ms / _MILLISECONDS_PER_SECOND,
            connect_seconds=connect_ms / _MILLISECONDS_PER_SECOND,
        )
        for number in range(count)
    ]
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run_until_signal(BackendGroup(servers, seed), port))


async def _run_until_signal(
    server: StoreStandIn | BackendStandIn | BackendGroup | VmListStandIn,
    port: int,
) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await server.start(port)
    click.echo(f'listening on 127.0.0.1:{server.loopback_service.port}')
    await stop_requested.wait()
    await server.stop()
