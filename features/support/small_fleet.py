"""A fleet of entries in front of scripted servers behind fault proxies."""

import asyncio

from features.support.stepped_server import SteppedServer, answer_with_token
from zinniaturn.configuration import (
    apply_pools,
    apply_routes,
    commit,
    read_tables,
)
from zinniaturn.entry import Entry
from zinniaturn.settings import EntrySettings
from zinniaturn.standins import StoreStandIn
from zinniaturn.standins.fault_proxy import FaultProxy
from zinniaturn.standins.faults import NoFault
from zinniaturn.store import HttpStore
from zinniaturn.tables import Pool, Route, Server

_LONGEST_AWAITED_LIFETIME_SECONDS = 1


class SmallFleet:
    """
    ``servers`` scripted servers behind fault proxies, and ``entries`` entries.

    Each proxy calls `next_fault`, which takes the next one from ``faults``.
    ``first_settings`` apply to the first entry only.
    """

    def __init__(
        self, servers=1, entries=1, script=answer_with_token, **entry_settings
    ):
        self.store_stand_in = StoreStandIn()
        self.backends = [SteppedServer(script) for _ in range(servers)]
        self.proxies = []
        self.entries = []
        self.faults = []
        self.entry_count = entries
        self.settings = entry_settings
        self.first_settings = {}

    def next_fault(self):
        return self.faults.pop(0) if self.faults else NoFault()

    async def start(self):
        await self.store_stand_in.start()
        self.store = HttpStore(self.store_stand_in.url)
        for backend in self.backends:
            await backend.start()
            proxy = FaultProxy(('127.0.0.1', backend.port), self.next_fault)
            await proxy.start()
            self.proxies.append(proxy)
        await self.commit([proxy.port for proxy in self.proxies])
        for number in range(self.entry_count):
            await self.start_entry(number)

    async def start_entry(self, number):
        fields = {
            'name': f'entry-{number}',
            'port': 0,
            'admin_port': 0,
            'store_url': self.store_stand_in.url,
            'address_lifetime_seconds': 0.1,
            'address_lag_seconds': 0,
            'seed': number,
        }
        fields |= self.settings
        if not number:
            fields |= self.first_settings
        entry = Entry(EntrySettings(**fields))
        await entry.start()
        self.entries.append(entry)
        while not entry.state.installed.tables.revision:
            await asyncio.sleep(0.01)
        return entry

    async def commit(self, ports, leaving=()):
        base = await read_tables(self.store)
        servers = tuple(
            Server(
                f'ledger-{number}',
                '127.0.0.1',
                port,
                4,
                leaving=number in leaving,
            )
            for number, port in enumerate(ports)
        )
        tables = apply_pools(base.tables, [Pool('ledger', servers)])
        routes = [
            Route('postings', 'ledger', path_prefix='/postings'),
            Route('cards', 'ledger', path_prefix='/cards', idempotent=True),
        ]
        await commit(self.store, base, apply_routes(tables, routes))

    async def stop(self):
        for entry in self.entries:
            await self.stop_entry(entry)
        for proxy in self.proxies:
            await proxy.stop()
        for backend in self.backends:
            await backend.stop()
        await self.store.close()
        await self.store_stand_in.stop()

    async def stop_entry(self, entry):
        """Stop an entry, at once if its addresses are valid for long."""
        if has_long_lifetime(entry):
            await entry.force_close()
        else:
            await entry.stop()

    def executions(self, request_id):
        return sum(backend.executions[request_id] for backend in self.backends)


def has_long_lifetime(entry):
    """Return whether a test cannot wait until the addresses expire."""
    lifetime = entry.settings.address_lifetime_seconds
    return lifetime > _LONGEST_AWAITED_LIFETIME_SECONDS
