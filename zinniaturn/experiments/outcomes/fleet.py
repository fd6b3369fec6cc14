"""The system under test: entries as processes, the rest in this process."""

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
from zinniaturn.experiments.outcomes.request_history import RequestHistory
from zinniaturn.experiments.outcomes.servers import TokenServer
from zinniaturn.experiments.outcomes.shuffled_faults import ShuffledFaults
from zinniaturn.experiments.processes import ProcessGroup, free_port
from zinniaturn.standins import StoreStandIn
from zinniaturn.standins.fault_proxy import FaultProxy
from zinniaturn.store import HttpStore
from zinniaturn.tables import Pool, Route, Server

ADDRESS_LIFETIME_SECONDS = 1.0
ADDRESS_LAG_SECONDS = 1.0

_PROXIED_SERVERS = 6
_UNPROXIED_SERVERS = 3
_PROXIED_SLOTS = 8
_UNPROXIED_SLOTS = 64
_READY_TIMEOUT_SECONDS = 20.0
_STOP_TIMEOUT_SECONDS = 60.0
_DATA_CENTERS = 3


@dataclass
class EntrySlot:
    """
    One entry process and what the experiment did to it.

    ``is_disturbed`` is set by a kill or a pause, ``is_stopping`` by a graceful
    shutdown.
    """

    name: str
    port: int
    is_disturbed: bool = False
    is_stopping: bool = False

    @property
    def address(self) -> Address:
        """Return the address for callers' requests."""
        return '127.0.0.1', self.port


class OutcomesFleet:
    """
    Entries, backend servers behind fault proxies, and the store.

    The servers of the pool ``witness`` have no proxy, so that only the entry
    can break a request to them.
    """

    def __init__(self, entries: int, seed: int, out: Path) -> None:
        self.entry_count = entries
        self.seed = seed
        self.history = RequestHistory()
        self.shuffled_faults = ShuffledFaults(random.Random(f'{seed}/deck'))
        self.store_stand_in = StoreStandIn()
        self.process_group = ProcessGroup(out)
        self.proxied_servers = self._build_servers('ledger', _PROXIED_SERVERS)
        self.unproxied_servers = self._build_servers(
            'witness', _UNPROXIED_SERVERS
        )
        self.proxies: list[FaultProxy] = []
        self.slots: list[EntrySlot] = []
        self.started_entries = 0
        self.slots_by_port: dict[int, EntrySlot] = {}

    async def start(self) -> None:
        """Start the store, servers, proxies and entries."""
        await self.store_stand_in.start()
        for server in (*self.proxied_servers, *self.unproxied_servers):
            await server.start()
        for server in self.proxied_servers:
            proxy = FaultProxy(
                ('127.0.0.1', server.port), self.shuffled_faults.next_fault
            )
            await proxy.start()
            self.proxies.append(proxy)
        await self._commit_tables()
        slots = [self.start_entry() for _ in range(self.entry_count)]
        self.slots = list(await asyncio.gather(*slots))

    async def stop(self) -> None:
        """Stop everything at once."""
        await self.process_group.stop_all()
        for proxy in self.proxies:
            await proxy.stop()
        for server in (*self.proxied_servers, *self.unproxied_servers):
            await server.stop()
        await self.store_stand_in.stop()

    async def start_entry(self) -> EntrySlot:
        """Start an entry under a new name and at a new port."""
        number = self.started_entries
        self.started_entries += 1
        slot = EntrySlot(f'entry-{number}', free_port())
        self.slots_by_port[slot.port] = slot
        await self.process_group.start(
            slot.name,
            'entry',
            *self._flags(slot, number),
            environment={'ZINNIATURN_KEY_SECRET': f'secret of {self.seed}'},
        )
        await self.process_group.wait_for_port(
            slot.name, slot.port, _READY_TIMEOUT_SECONDS
        )
        self.history.record_event(f'{slot.name} listens on {slot.port}')
        return slot

    async def replace(self, index: int, number: signal.Signals) -> None:
        """End an entry with a signal and start another in its place."""
        slot = self.slots[index]
        slot.is_stopping = number is signal.SIGTERM
        slot.is_disturbed = number is signal.SIGKILL
        self.history.record_event(f'{slot.name} gets {number.name}')
        self.process_group.send_signal(slot.name, number)
        self.slots[index] = await self.start_entry()
        status = await self.process_group.wait(slot.name, _STOP_TIMEOUT_SECONDS)
        self.history.record_event(f'{slot.name} ended with status {status}')

    async def pause(self, index: int, seconds: float) -> None:
        """Suspend an entry's process for a while, then let it continue."""
        slot = self.slots[index]
        slot.is_disturbed = True
        self.history.record_event(f'{slot.name} is paused for {seconds} s')
        self.process_group.send_signal(slot.name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.process_group.send_signal(slot.name, signal.SIGCONT)

    def addresses(self) -> list[Address]:
        """Return the addresses of the current entries."""
        return [slot.address for slot in self.slots]

    def _build_servers(self, pool: str, count: int) -> list[TokenServer]:
        return [
            TokenServer(self.history.executions, f'{self.seed}/{pool}/{number}')
            for number in range(count)
        ]

    def _flags(self, slot: EntrySlot, number: int) -> list[str]:
        data_center_number = number % _DATA_CENTERS
        flags = {
            'name': slot.name,
            'port': slot.port,
            'admin-port': free_port(),
            'data-center': f'dc-{data_center_number}',
            'store-url': self.store_stand_in.url,
            'address-lifetime-seconds': ADDRESS_LIFETIME_SECONDS,
            'address-lag-seconds': ADDRESS_LAG_SECONDS,
            'seed': self.seed * 1000 + number,
        }
        return [f'--{name}={setting}' for name, setting in flags.items()]

    async def _commit_tables(self) -> None:
        store = HttpStore(self.store_stand_in.url)
        base = await read_tables(store)
        pools = [
            _build_pool('ledger', self.proxies, _PROXIED_SLOTS),
            _build_pool('witness', self.unproxied_servers, _UNPROXIED_SLOTS),
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


def _build_pool(
    name: str,
    endpoints: Sequence[FaultProxy | TokenServer],
    slots: int,
) -> Pool:
    servers = tuple(
        Server(f'{name}-{number}', '127.0.0.1', endpoint.port, slots)
        for number, endpoint in enumerate(endpoints)
    )
    return Pool(name, servers, retry_share=0.2)
