"""The system under test: entries as processes, the rest in this one."""

__all__ = ('EntrySlot', 'OutcomesFleet')

import asyncio
import random
import signal
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from zinniaturn.caller.client import Address
from zinniaturn.configuration import (
    apply_pools,
    apply_routes,
    commit,
    read_tables,
)
from zinniaturn.experiments.outcomes.deck import FaultDeck
from zinniaturn.experiments.outcomes.ledger import Ledger
from zinniaturn.experiments.outcomes.servers import TokenServer
from zinniaturn.experiments.processes import ProcessGroup, free_port
from zinniaturn.standins import StoreStandIn
from zinniaturn.standins.fault_proxy import FaultProxy
from zinniaturn.store import HttpStore
from zinniaturn.tables import Pool, Route, Server

LIFETIME_SECONDS = 1.0
LAG_SECONDS = 1.0

_LEDGER_SERVERS = 6
_WITNESS_SERVERS = 3
_LEDGER_SLOTS = 8
_WITNESS_SLOTS = 64
_READY_SECONDS = 20.0
_STOP_SECONDS = 60.0
_DATA_CENTERS = 3


@dataclass
class EntrySlot:
    """One entry VM's place: its process of the moment."""

    name: str
    port: int
    is_wronged: bool = False
    is_stopping: bool = False

    @property
    def address(self) -> Address:
        """Return the address for callers."""
        return '127.0.0.1', self.port


class OutcomesFleet:
    """
    Entries, backend servers behind fault proxies, and the store.

    The witness pool's servers have no proxy before them, so that whatever
    breaks a witness's request is the entry's doing.
    """

    def __init__(self, entries: int, seed: int, out: Path) -> None:
        self.count = entries
        self.seed = seed
        self.ledger = Ledger()
        self.deck = FaultDeck(random.Random(f'{seed}/deck'))
        self.store_stand_in = StoreStandIn()
        self.group = ProcessGroup(out)
        self.servers = self._servers('ledger', _LEDGER_SERVERS)
        self.witnesses = self._servers('witness', _WITNESS_SERVERS)
        self.proxies: list[FaultProxy] = []
        self.slots: list[EntrySlot] = []
        self.generation = 0
        self.by_port: dict[int, EntrySlot] = {}

    async def start(self) -> None:
        """Start everything."""
        await self.store_stand_in.start()
        for server in (*self.servers, *self.witnesses):
            await server.start()
        for server in self.servers:
            proxy = FaultProxy(('127.0.0.1', server.port), self.deck.draw)
            await proxy.start()
            self.proxies.append(proxy)
        await self._commit_tables()
        slots = [self.start_entry() for _ in range(self.count)]
        self.slots = list(await asyncio.gather(*slots))

    async def stop(self) -> None:
        """Stop everything at once."""
        await self.group.stop_all()
        for proxy in self.proxies:
            await proxy.stop()
        for server in (*self.servers, *self.witnesses):
            await server.stop()
        await self.store_stand_in.stop()

    async def start_entry(self) -> EntrySlot:
        """Start an entry under a new name and at a new port."""
        number = self.generation
        self.generation += 1
        slot = EntrySlot(f'entry-{number}', free_port())
        self.by_port[slot.port] = slot
        await self.group.start(
            slot.name,
            'entry',
            *self._flags(slot, number),
            environment={'ZINNIATURN_KEY_SECRET': f'secret of {self.seed}'},
        )
        await self.group.wait_for_port(slot.name, slot.port, _READY_SECONDS)
        self.ledger.note_event(f'{slot.name} listens on {slot.port}')
        return slot

    async def replace(self, index: int, number: signal.Signals) -> None:
        """End an entry by a signal and put a fresh one in its place."""
        slot = self.slots[index]
        slot.is_stopping = number is signal.SIGTERM
        slot.is_wronged = number is signal.SIGKILL
        self.ledger.note_event(f'{slot.name} gets {number.name}')
        self.group.send_signal(slot.name, number)
        self.slots[index] = await self.start_entry()
        status = await self.group.wait(slot.name, _STOP_SECONDS)
        self.ledger.note_event(f'{slot.name} ended with status {status}')

    async def pause(self, index: int, seconds: float) -> None:
        """Stop an entry's process for a while; it wakes up and goes on."""
        slot = self.slots[index]
        slot.is_wronged = True
        self.ledger.note_event(f'{slot.name} is paused for {seconds} s')
        self.group.send_signal(slot.name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.group.send_signal(slot.name, signal.SIGCONT)

    def addresses(self) -> list[Address]:
        """Return the addresses of the entries of the moment."""
        return [slot.address for slot in self.slots]

    def _servers(self, pool: str, count: int) -> list[TokenServer]:
        return [
            TokenServer(self.ledger.executions, f'{self.seed}/{pool}/{number}')
            for number in range(count)
        ]

    def _flags(self, slot: EntrySlot, number: int) -> list[str]:
        center = number % _DATA_CENTERS
        flags = {
            'name': slot.name,
            'port': slot.port,
            'admin-port': free_port(),
            'data-center': f'dc-{center}',
            'store-url': self.store_stand_in.url,
            'address-lifetime-seconds': LIFETIME_SECONDS,
            'address-lag-seconds': LAG_SECONDS,
            'seed': self.seed * 1000 + number,
        }
        return [f'--{name}={setting}' for name, setting in flags.items()]

    async def _commit_tables(self) -> None:
        store = HttpStore(self.store_stand_in.url)
        base = await read_tables(store)
        pools = [
            _pool('ledger', self.proxies, _LEDGER_SLOTS),
            _pool('witness', self.witnesses, _WITNESS_SLOTS),
        ]
        routes = [
            Route('postings', 'ledger', path_prefix='/postings'),
            Route('cards', 'ledger', path_prefix='/cards', idempotent=True),
            Route('extracts', 'witness', path_prefix='/extracts'),
            Route('uploads', 'witness', path_prefix='/uploads'),
        ]
        tables = apply_routes(apply_pools(base.tables, pools), routes)
        await commit(store, base, tables)
        await store.close()


def _pool(
    name: str,
    places: Sequence[FaultProxy | TokenServer],
    slots: int,
) -> Pool:
    servers = tuple(
        Server(f'{name}-{number}', '127.0.0.1', place.port, slots)
        for number, place in enumerate(places)
    )
    return Pool(name, servers, retry_share=0.2)
