"""Store, servers and links of a soak, and the faults done to them."""

__all__ = ('SoakFleet',)

import asyncio
import random
from dataclasses import dataclass, field
from pathlib import Path

from zinniaturn.experiments.soak.vms import VmProcess, make_vms
from zinniaturn.platform.standins import ServerStandIn, StoreStandIn
from zinniaturn.platform.standins.wire import (
    CONFIG_KEY,
    build_config_document,
    build_route_row,
    server_key,
)
from zinniaturn.standins.fault_proxy import FaultProxy
from zinniaturn.standins.faults import Fault as LinkFault
from zinniaturn.standins.faults import NoFault

HOST = 'shop.example'
POOL = 'pool'

START_SECONDS = 3.0


@dataclass(slots=True)
class SoakServer:
    """
    A server and the proxy that stands before it.

    ``left_at`` is the loop's time at which the store took its leaving.
    """

    server: ServerStandIn
    proxy: FaultProxy
    left_at: float | None = None
    mode: LinkFault = field(default_factory=NoFault)


@dataclass(slots=True)
class SoakFleet:
    """Everything but the callers."""

    seed: int
    folder: Path
    source: random.Random = field(init=False)
    store: StoreStandIn = field(default_factory=StoreStandIn)
    servers: list[SoakServer] = field(default_factory=list)
    gone: list[SoakServer] = field(default_factory=list)
    vms: list[VmProcess] = field(default_factory=list)
    store_disturbed_until: float = 0
    routes: dict[str, float] = field(default_factory=dict)
    removed: dict[str, float] = field(default_factory=dict)
    version: int = 0

    async def start(self, vms: int, servers: int) -> None:
        """Start everything and wait until the VMs had time to be ready."""
        self.source = random.Random(self.seed)
        await self.store.start()
        self.write_tables()
        for _ in range(servers):
            await self.add_server()
        self.add_vms(vms)
        for vm in self.vms:
            vm.start()
        await asyncio.sleep(START_SECONDS * bool(vms))

    def add_vms(self, count: int) -> None:
        """Add VMs that are not started yet."""
        self.vms = make_vms(count, self.store.port, self.folder)

    async def stop(self) -> None:
        """End all that was started, by its ids."""
        for vm in self.vms:
            vm.kill()
        for each in (*self.servers, *self.gone):
            await each.proxy.stop()
            await each.server.stop()
        await self.store.stop()

    async def add_server(self) -> None:
        """Add a server behind a proxy and register it."""
        number = len(self.servers) + len(self.gone) + 1
        server = ServerStandIn(
            name=f's-{number}',
            pool=POOL,
            work_seconds=0.03,
            echoes_request_id=True,
            body=b'x' * self.source.choice((10, 5_000, 90_000)),
        )
        await server.start()
        each: SoakServer
        proxy = FaultProxy(
            ('127.0.0.1', server.port),
            choose_fault=lambda: each.mode,
        )
        each = SoakServer(server, proxy)
        await proxy.start()
        self.servers.append(each)
        self.register(each, 'ready')

    def register(self, each: SoakServer, state: str) -> None:
        """Write a server's entry with its proxy's address."""
        entry = each.server.entry(state)
        entry['address'] = f'127.0.0.1:{each.proxy.port}'
        self.store.write(server_key(each.server.name), entry)

    def write_tables(self) -> None:
        """Write the operator's document with the routes of the moment."""
        self.version += 1
        rows = [
            build_route_row('reads', HOST, POOL, is_idempotent=True),
            build_route_row('posts', HOST, POOL, is_idempotent=False),
            *(
                build_route_row(name, HOST, POOL, is_idempotent=True)
                for name in self.routes
            ),
        ]
        document = build_config_document(self.version, rows, POOL)
        self.store.write(CONFIG_KEY, document)
