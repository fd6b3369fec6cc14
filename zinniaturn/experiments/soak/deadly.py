"""Requests of the soak that end the servers that run them."""

__all__ = ('DeadlyStream', 'play_deadly')

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from zinniaturn.experiments.soak.fleet import HOST, SoakFleet, SoakServer
from zinniaturn.experiments.soak.plan import Fault
from zinniaturn.platform.standins.wire import encode_request, server_key

if TYPE_CHECKING:
    from zinniaturn.experiments.soak.vms import VmProcess

_LENGTH_FACTOR = 4.0
_PAUSE_SECONDS = 0.25
_CALL_TIMEOUT_SECONDS = 1.5
_STATED_TIMEOUT_MS = 1000
_DOWN_SECONDS = 1.0


@dataclass(slots=True)
class DeadlyStream:
    """
    The copies of one deadly request.

    ``vms`` are the VMs that got each copy, by its id, and ``sent_at`` the
    times.
    """

    target: str
    vms: 'dict[str, VmProcess]' = field(default_factory=dict)
    sent_at: dict[str, float] = field(default_factory=dict)


async def play_deadly(fleet: SoakFleet, fault: Fault) -> None:
    """Send copies of a deadly request to random VMs for some seconds."""
    loop = asyncio.get_running_loop()
    stream = DeadlyStream(f'/reads/deadly-{len(fleet.deadly_streams)}')
    fleet.deadly_streams.append(stream)
    fleet.crashes.on_crash = lambda server: _replace(fleet, server.name)
    until = loop.time() + fault.duration_seconds * _LENGTH_FACTOR
    while loop.time() < until:
        vm = fleet.random_source.choice(fleet.vms)
        request_id = f'{stream.target[7:]}-{len(stream.vms)}'
        stream.vms[request_id] = vm
        stream.sent_at[request_id] = loop.time()
        await _send(vm, stream.target, request_id)
        await asyncio.sleep(_PAUSE_SECONDS)


async def _send(vm: 'VmProcess', target: str, request_id: str) -> None:
    """Send one copy on a new connection and wait for what comes of it."""
    payload = encode_request(
        'GET', target, HOST, request_id, _STATED_TIMEOUT_MS
    )
    writer = None
    try:
        async with asyncio.timeout(_CALL_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(*vm.address)
            writer.write(payload)
            await reader.readuntil(b'\r\n\r\n')
    except (TimeoutError, OSError, EOFError):
        # The checks look at what the servers ran.
        return
    finally:
        if writer is not None:
            writer.transport.abort()


def _replace(fleet: SoakFleet, name: str) -> None:
    """Start replacing a server that has ended, unless it was leaving."""
    for soak_server in fleet.servers:
        if soak_server.server.name == name:
            task = asyncio.ensure_future(_replace_crashed(fleet, soak_server))
            fleet.crashes.tasks.add(task)
            return


async def _replace_crashed(fleet: SoakFleet, crashed: SoakServer) -> None:
    fleet.servers.remove(crashed)
    fleet.crashed_servers.append(crashed)
    await crashed.link.stop()
    await asyncio.sleep(_DOWN_SECONDS)
    fleet.store.remove(server_key(crashed.server.name))
    await fleet.add_server()
