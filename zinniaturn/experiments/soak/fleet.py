"""The fleet of a soak: store, backend servers behind proxies, and VMs."""

__all__ = ('LinkCut', 'SoakFleet')

import asyncio
import itertools
import json
import random
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

from zinniaturn.experiments.soak.resources import (
    DESCRIPTORS,
    MEMORY_MEGABYTES,
    VmResources,
)
from zinniaturn.experiments.soak.vms import VmProcess, make_vms
from zinniaturn.platform.standins import (
    CrashRule,
    ServerStandIn,
    StoreStandIn,
)
from zinniaturn.platform.standins.wire import (
    CONFIG_KEY,
    build_config_document,
    build_route_row,
    server_key,
)
from zinniaturn.standins.fault_proxy import FaultProxy
from zinniaturn.standins.faults import Fault as LinkFault
from zinniaturn.standins.faults import NoFault
from zinniaturn.standins.vm_links import LinkProxy, VmLinks

if TYPE_CHECKING:
    from zinniaturn.experiments.soak.deadly import DeadlyStream

HOST = 'shop.example'
DEADLY_MARK = b'deadly'
POOL = 'pool'

STARTUP_SECONDS = 3.0


@dataclass(slots=True, eq=False)
class SoakServer:
    """
    A backend server behind a proxy that injects faults into the link.

    VMs connect to ``link``, which can cut off single VMs.

    ``left_at`` is the event loop's time at which the store recorded that the
    server is draining.
    """

    server: ServerStandIn
    proxy: FaultProxy
    link: LinkProxy
    left_at: float | None = None
    link_fault: LinkFault = field(default_factory=NoFault)


@dataclass(slots=True)
class LinkCut:
    """
    A time in which VMs, by their hosts, had no links to the servers.

    Times are those of the event loop.
    """

    hosts: frozenset[str]
    began_at: float
    ended_at: float = float('inf')


@dataclass(slots=True)
class SoakFleet:
    """
    Everything but the callers.

    ``added_routes`` and ``removed_routes`` hold the event loop's time at which
    each route was added or removed. ``crashes`` lists the servers that deadly
    requests have ended, which are in ``crashed_servers``.
    ``server_settings`` are fields of the servers' stand-ins. ``resources`` are
    what the VMs' processes have taken.
    """

    seed: int
    folder: Path
    random_source: random.Random = field(init=False)
    store: StoreStandIn = field(default_factory=StoreStandIn)
    servers: list[SoakServer] = field(default_factory=list)
    servers_that_left: list[SoakServer] = field(default_factory=list)
    vms: list[VmProcess] = field(default_factory=list)
    store_disturbed_until: float = 0
    added_routes: dict[str, float] = field(default_factory=dict)
    removed_routes: dict[str, float] = field(default_factory=dict)
    version: int = 0
    links: VmLinks = field(default_factory=VmLinks)
    cuts: list[LinkCut] = field(default_factory=list)
    crashed_servers: list[SoakServer] = field(default_factory=list)
    deadly_streams: 'list[DeadlyStream]' = field(default_factory=list)
    crashes: CrashRule = field(init=False)
    resources: VmResources = field(default_factory=VmResources)
    server_settings: dict[str, Any] = field(default_factory=dict)
    server_numbers: 'itertools.count[int]' = field(
        default_factory=lambda: itertools.count(1)
    )

    async def start(self, vm_count: int, server_count: int) -> None:
        """Start everything and give the VMs time to become ready."""
        self.random_source = random.Random(self.seed)
        self.crashes = CrashRule(frozenset((DEADLY_MARK,)))
        await self.store.start()
        self.write_tables()
        for _ in range(server_count):
            await self.add_server()
        self.add_vms(vm_count)
        for vm in self.vms:
            vm.start()
        await asyncio.sleep(STARTUP_SECONDS * bool(vm_count))

    def all_servers(self) -> list[SoakServer]:
        """Return the servers that run, have left or have crashed."""
        return [*self.servers, *self.servers_that_left, *self.crashed_servers]

    def add_vms(self, count: int) -> None:
        """Create the VMs without starting them."""
        self.vms = make_vms(count, self.store.port, self.folder)
        for vm in self.vms:
            settings = json.loads(vm.settings_path.read_text())
            settings['limits'] = {
                'memory_mb': MEMORY_MEGABYTES,
                'max_fds': DESCRIPTORS,
            }
            vm.settings_path.write_text(json.dumps(settings))

    async def stop(self) -> None:
        """Stop the VMs by their process ids, the servers and the store."""
        for vm in self.vms:
            vm.kill()
        for soak_server in self.all_servers():
            await soak_server.link.stop()
            await soak_server.proxy.stop()
            await soak_server.server.stop()
        await self.store.stop()

    async def add_server(self) -> None:
        """Add a server behind a proxy and register it."""
        server = ServerStandIn(
            name=f's-{next(self.server_numbers)}',
            pool=POOL,
            work_seconds=0.03,
            echoes_request_id=True,
            body=b'x' * self.random_source.choice((10, 5_000, 90_000)),
            crash_rule=self.crashes,
            **self.server_settings,
        )
        await server.start()
        soak_server: SoakServer
        proxy = FaultProxy(
            ('127.0.0.1', server.port),
            choose_fault=lambda: soak_server.link_fault,
        )
        await proxy.start()
        link = LinkProxy(('127.0.0.1', proxy.port), self.links)
        await link.start()
        soak_server = SoakServer(server, proxy, link)
        self.servers.append(soak_server)
        self.register(soak_server, 'ready')

    def register(self, soak_server: SoakServer, state: str) -> None:
        """Write a server's record to the store with its link's address."""
        entry = soak_server.server.entry(state)
        entry['address'] = f'127.0.0.1:{soak_server.link.port}'
        self.store.write(server_key(soak_server.server.name), entry)

    def write_tables(self) -> None:
        """Write the operator's document with the current routes."""
        self.version += 1
        rows = [
            build_route_row('reads', HOST, POOL, is_idempotent=True),
            build_route_row('posts', HOST, POOL, is_idempotent=False),
            *(
                build_route_row(name, HOST, POOL, is_idempotent=True)
                for name in self.added_routes
            ),
        ]
        document = build_config_document(self.version, rows, POOL)
        self.store.write(CONFIG_KEY, document)
