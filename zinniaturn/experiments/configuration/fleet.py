"""A store stand-in and entries as real processes, with control over them."""

__all__ = ('ConfigurationFleet', 'EntryProcess')

import asyncio
import contextlib
import itertools
import os
import signal
import socket
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import psutil

from zinniaturn.experiments.exceptions import ExperimentError
from zinniaturn.experiments.processes import ProcessGroup

DATA_CENTER_COUNT = 3
SEED_COUNT = 3

_READY_TIMEOUT_SECONDS = 60.0
_POLL_INTERVAL_SECONDS = 0.05
_FIRST_PORT = 18_000
_PORT_COUNT = 14_000
_PORTS_PER_PID = 300


@dataclass(slots=True)
class EntryProcess:
    """An entry's ports and data centre, and whether it is running."""

    name: str
    admin_port: int
    peer_port: int
    data_center: str
    starts: int = 0
    is_running: bool = False

    @property
    def admin(self) -> str:
        """Return the admin address."""
        return f'127.0.0.1:{self.admin_port}'


def _free_ports() -> Iterator[int]:
    """Yield free ports below Linux's default range for outgoing connections."""
    first = _FIRST_PORT + os.getpid() * _PORTS_PER_PID % _PORT_COUNT
    for port in itertools.chain(
        range(first, _FIRST_PORT + _PORT_COUNT),
        range(_FIRST_PORT, first),
    ):
        if _is_free(port):
            yield port


def _is_free(port: int) -> bool:
    with socket.socket() as bound_socket:
        try:
            bound_socket.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


@dataclass
class ConfigurationFleet:
    """The store stand-in and the entries as processes."""

    log_folder: Path
    entry_count: int
    entries: dict[str, EntryProcess] = field(default_factory=dict)
    free_ports: Iterator[int] = field(default_factory=_free_ports)

    def __post_init__(self) -> None:
        """Choose the ports of the store and the entries."""
        self.process_group = ProcessGroup(self.log_folder)
        self.store_port = next(self.free_ports)
        self.session: aiohttp.ClientSession | None = None
        for number in range(self.entry_count):
            self.add_entry(f'entry-{number}')

    @property
    def store_url(self) -> str:
        """Return the store's address."""
        return f'http://127.0.0.1:{self.store_port}'

    def add_entry(self, name: str) -> EntryProcess:
        """Add an entry, which is not started yet."""
        number = len(self.entries)
        entry = EntryProcess(
            name,
            next(self.free_ports),
            next(self.free_ports),
            f'dc-{number % DATA_CENTER_COUNT}',
        )
        self.entries[name] = entry
        return entry

    async def start_store(self) -> None:
        """Start the store and wait until it responds."""
        self.session = aiohttp.ClientSession()
        await self.process_group.start(
            'store',
            'standin',
            'store',
            '--port',
            str(self.store_port),
        )
        await self._wait_for(f'{self.store_url}/control/counters')

    async def start_entry(self, entry: EntryProcess) -> None:
        """Start an entry's process."""
        entry.starts += 1
        entry.is_running = True
        seeds = [
            f'127.0.0.1:{other.peer_port}'
            for other in list(self.entries.values())[:SEED_COUNT]
            if other is not entry
        ]
        await self.process_group.start(
            entry.name,
            'entry',
            f'--name={entry.name}',
            f'--data-center={entry.data_center}',
            '--port=0',
            f'--admin-port={entry.admin_port}',
            f'--peer-port={entry.peer_port}',
            f'--peers={",".join(seeds)}',
            f'--store-url={self.store_url}',
            '--address-lifetime-seconds=0.1',
        )

    async def wait_ready(self, entry: EntryProcess) -> None:
        """Wait until an entry is ready."""
        await self._wait_for(f'http://{entry.admin}/ready')

    async def kill(self, entry: EntryProcess) -> None:
        """Kill an entry's process."""
        entry.is_running = False
        self.process_group.send_signal(entry.name, signal.SIGKILL)
        await self.process_group.wait(entry.name, _READY_TIMEOUT_SECONDS)

    def pause(self, entry: EntryProcess) -> None:
        """Suspend an entry's process."""
        self.process_group.send_signal(entry.name, signal.SIGSTOP)

    def resume(self, entry: EntryProcess) -> None:
        """Resume a suspended process."""
        self.process_group.send_signal(entry.name, signal.SIGCONT)

    async def set_faults(self, **faults: object) -> None:
        """Change the store's faults."""
        await self._control('PUT', 'faults', faults)

    async def copy_store(self) -> None:
        """Have the store save a copy of its state."""
        await self._control('POST', 'copy', {})

    async def reset_store_to_copy(self) -> None:
        """Have the store replace its state by the saved copy."""
        await self._control('POST', 'reset', {'to': 'copy'})

    async def counters(self) -> dict[str, int]:
        """Return the store's counters."""
        assert self.session is not None
        url = f'{self.store_url}/control/counters'
        async with self.session.get(url) as reply:
            counters: dict[str, int] = await reply.json()
            return counters

    def system_process(self, entry: EntryProcess) -> psutil.Process:
        """Return the handle of an entry's process for resource statistics."""
        return psutil.Process(self.process_group.processes[entry.name].pid)

    async def stop(self) -> None:
        """Kill everything."""
        for entry in self.entries.values():
            if entry.is_running:
                with contextlib.suppress(ProcessLookupError):
                    self.resume(entry)
        await self.process_group.stop_all()
        if self.session is not None:
            await self.session.close()

    async def _control(self, method: str, resource: str, body: object) -> None:
        assert self.session is not None
        url = f'{self.store_url}/control/{resource}'
        async with self.session.request(method, url, json=body) as reply:
            if not reply.ok:
                raise ExperimentError(f'{resource}: {await reply.text()}')

    async def _wait_for(self, url: str) -> None:
        assert self.session is not None
        try:
            async with asyncio.timeout(_READY_TIMEOUT_SECONDS):
                while not await self._responds_ok(url):
                    await asyncio.sleep(_POLL_INTERVAL_SECONDS)
        except TimeoutError as error:
            raise ExperimentError(
                f'{url} returned no successful response in time'
            ) from error

    async def _responds_ok(self, url: str) -> bool:
        assert self.session is not None
        try:
            async with self.session.get(url) as reply:
                return reply.ok
        except aiohttp.ClientError:
            return False
