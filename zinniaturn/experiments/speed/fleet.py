"""Processes of a speed experiment: store, server, relay and entries."""

__all__ = ('SpeedFleet',)

import asyncio
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType

import psutil

from zinniaturn.configuration import (
    ConfigurationError,
    StoredTables,
    apply_pools,
    apply_routes,
    commit,
    read_tables,
)
from zinniaturn.experiments.exceptions import ExperimentError
from zinniaturn.experiments.processes import ProcessGroup, free_port
from zinniaturn.experiments.speed.client import LoadClient
from zinniaturn.store import HttpStore
from zinniaturn.tables import Pool, Route, Server

_SERVER_COUNT = 4
_SLOTS = 256
_RETRY_PAUSE_SECONDS = 0.05
_MAX_START_ATTEMPTS = 300
_PACKAGE = 'zinniaturn.experiments.speed'
_ONE_ENTRY: Mapping[str, Mapping[str, str]] = MappingProxyType(
    {'entry': MappingProxyType({})},
)


class SpeedFleet:
    """
    A store, a backend server on four ports, a relay and the entries.

    ``entries`` maps entry names to environment variables. ``ports`` maps
    ``direct``, ``relay`` and the entry names to ports. The tables also get
    ``extra_routes`` unused routes, with pools of ``servers`` servers each.
    """

    def __init__(
        self,
        out: Path,
        entries: Mapping[str, Mapping[str, str]] = _ONE_ENTRY,
        extra_routes: int = 0,
        servers: int = _SERVER_COUNT,
    ) -> None:
        self.process_group = ProcessGroup(out)
        self.entries = entries
        self.extra_routes = extra_routes
        self.servers = servers
        self.server_ports = [free_port() for _ in range(_SERVER_COUNT)]
        self.store_port = free_port()
        self.ports = {
            'direct': self.server_ports[0],
            'relay': free_port(),
        }
        for name in entries:
            self.ports[name] = free_port()
            self.ports[f'{name}-admin'] = free_port()

    async def start(self) -> None:
        """Start all processes and wait until they respond."""
        await self.process_group.start(
            'server',
            *(str(port) for port in self.server_ports),
            module=f'{_PACKAGE}.answering',
        )
        await self.process_group.start(
            'relay',
            str(self.ports['relay']),
            str(self.ports['direct']),
            module=f'{_PACKAGE}.relay',
        )
        await self.process_group.start(
            'store', 'standin', 'store', '--port', str(self.store_port)
        )
        await self._commit_tables()
        for name in self.entries:
            await self._start_entry(name)
        for target in ('direct', 'relay', *self.entries):
            await _wait_until_responding(self.ports[target])

    async def stop(self) -> None:
        """Kill all processes."""
        await self.process_group.stop_all()

    def cpu_seconds(self, name: str) -> float:
        """Return the CPU time that a process has used."""
        times = psutil.Process(
            self.process_group.processes[name].pid
        ).cpu_times()
        return float(times.user + times.system)

    def resident_bytes(self, name: str) -> int:
        """Return the resident memory of a process."""
        process = psutil.Process(self.process_group.processes[name].pid)
        return int(process.memory_info().rss)

    async def _start_entry(self, name: str) -> None:
        await self.process_group.start(
            name,
            'entry',
            '--name',
            name,
            '--port',
            str(self.ports[name]),
            '--admin-port',
            str(self.ports[f'{name}-admin']),
            '--peer-port',
            '0',
            '--store-url',
            f'http://127.0.0.1:{self.store_port}',
            environment=self.entries[name],
        )

    def _build_extra_servers(self, pool: str) -> tuple[Server, ...]:
        return tuple(
            Server(f'{pool}-{number}', '127.0.0.1', self.server_ports[0], 4)
            for number in range(self.servers)
        )

    async def _commit_tables(self) -> None:
        store = HttpStore(f'http://127.0.0.1:{self.store_port}')
        servers = tuple(
            Server(f'card-{number}', '127.0.0.1', port, _SLOTS)
            for number, port in enumerate(self.server_ports)
        )
        names = [f'service-{number}' for number in range(self.extra_routes)]
        pools = [Pool('card', servers)]
        pools.extend(
            Pool(name, self._build_extra_servers(name)) for name in names
        )
        routes = [Route('cards', 'card', path_prefix='/cards')]
        routes.extend(
            Route(name, name, path_prefix=f'/{name}') for name in names
        )
        try:
            stored_tables = await _read_tables_when_ready(store)
            tables = apply_pools(stored_tables.tables, pools)
            await commit(store, stored_tables, apply_routes(tables, routes))
        finally:
            await store.close()


async def _read_tables_when_ready(store: HttpStore) -> StoredTables:
    for _ in range(_MAX_START_ATTEMPTS):
        try:
            return await read_tables(store)
        except ConfigurationError:
            await asyncio.sleep(_RETRY_PAUSE_SECONDS)
    raise ExperimentError('the store did not start')


async def _wait_until_responding(port: int) -> None:
    client = LoadClient(port)
    for _ in range(_MAX_START_ATTEMPTS):
        try:
            await client.call()
        except (ExperimentError, OSError):
            await asyncio.sleep(_RETRY_PAUSE_SECONDS)
        else:
            client.close()
            return
    raise ExperimentError(f'no valid response on port {port}')
