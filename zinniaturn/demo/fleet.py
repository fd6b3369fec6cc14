"""Runs the demo's store, backend servers and entries in one process."""

__all__ = ('DemoFleet',)

import asyncio

from zinniaturn.configuration import (
    apply_pools,
    apply_routes,
    commit,
    read_tables,
)
from zinniaturn.entry import Entry
from zinniaturn.settings import EntrySettings
from zinniaturn.standins import BackendStandIn, ServiceTime, StoreStandIn
from zinniaturn.store import HttpStore
from zinniaturn.tables import Pool, Route, Server, Tables

_ENTRY_COUNT = 3
_SERVERS_PER_SERVICE = 4
_POLL_INTERVAL_SECONDS = 0.01
_ADDRESS_LIFETIME_SECONDS = 0.5


class DemoFleet:
    """Three entries in front of the card and ledger services."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.store_stand_in = StoreStandIn()
        self.store = HttpStore('http://127.0.0.1:0')
        self.backends = {
            'card': self._build_backends('card', 0.004),
            'ledger': self._build_backends('ledger', 0.008),
        }
        self.entries: list[Entry] = []

    async def start(self) -> None:
        """Start everything and wait until every entry is ready."""
        await self.store_stand_in.start()
        self.store = HttpStore(self.store_stand_in.url)
        for backends in self.backends.values():
            for backend in backends:
                await backend.start()
        await self._commit_tables()
        for number in range(_ENTRY_COUNT):
            self.entries.append(Entry(self._build_settings(number)))
        for entry in self.entries:
            await entry.start()
        await self.wait_for_revision(1)

    async def stop(self) -> None:
        """Stop the entries gracefully, then the stand-ins."""
        await asyncio.gather(*(entry.stop() for entry in self.entries))
        for backends in self.backends.values():
            for backend in backends:
                await backend.stop()
        await self.store.close()
        await self.store_stand_in.stop()

    def describe(self) -> str:
        """Return a one-line description of the fleet."""
        servers = [
            f'{len(backends)} backend servers of {service}'
            for service, backends in self.backends.items()
        ]
        return f'{len(self.entries)} entries before {" and ".join(servers)}'

    def tables(self) -> Tables:
        """Return the tables installed on the first entry."""
        state = self.entries[0].state
        return state.installed.tables

    async def mark_leaving(self, service: str, number: int) -> int:
        """Mark a server as leaving in the tables; return the new revision."""
        base = await read_tables(self.store)
        pool = base.tables.pools[service]
        servers = tuple(
            Server(
                name=server.name,
                host=server.host,
                port=server.port,
                slots=server.slots,
                leaving=server.leaving or index == number,
            )
            for index, server in enumerate(pool.servers)
        )
        edited = apply_pools(base.tables, [Pool(service, servers)])
        accepted = await commit(self.store, base, edited)
        await self.wait_for_revision(accepted.revision)
        return accepted.revision

    async def wait_for_revision(self, revision: int) -> None:
        """Wait until every entry has installed at least this revision."""
        while any(
            entry.state.installed.tables.revision < revision
            for entry in self.entries
        ):
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)

    def _build_backends(
        self, service: str, median_seconds: float
    ) -> list[BackendStandIn]:
        return [
            BackendStandIn(
                f'{service}-{number}',
                service_time=ServiceTime(median_seconds),
                seed=self.seed,
            )
            for number in range(_SERVERS_PER_SERVICE)
        ]

    def _build_settings(self, number: int) -> EntrySettings:
        return EntrySettings(
            name=f'entry-{number}',
            port=0,
            admin_port=0,
            store_url=self.store_stand_in.url,
            address_lifetime_seconds=_ADDRESS_LIFETIME_SECONDS,
            address_lag_seconds=_ADDRESS_LIFETIME_SECONDS,
            seed=self.seed + number,
        )

    async def _commit_tables(self) -> None:
        base = await read_tables(self.store)
        tables = apply_pools(
            base.tables,
            [
                Pool(service, _table_servers(backends))
                for service, backends in self.backends.items()
            ],
        )
        routes = [
            Route('cards', 'card', path_prefix='/cards'),
            Route('postings', 'ledger', path_prefix='/postings'),
        ]
        await commit(self.store, base, apply_routes(tables, routes))


def _table_servers(backends: list[BackendStandIn]) -> tuple[Server, ...]:
    return tuple(
        Server(backend.name, '127.0.0.1', backend.port, backend.slots)
        for backend in backends
    )
