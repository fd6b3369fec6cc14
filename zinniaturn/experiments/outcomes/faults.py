"""Faults of entries, backend servers and the store, in random order."""

__all__ = ('FaultInjector',)

import asyncio
import random
import signal
from collections import Counter
from collections.abc import Callable, Coroutine

from zinniaturn.experiments.outcomes.fleet import OutcomesFleet

_ENTRY_PAUSE_SECONDS = 2.5
_OUTAGE_SECONDS = 2.0
_REFUSAL_SECONDS = 0.7
_SHED_SECONDS = 0.5
_MAX_SHEDDING_SERVERS = 6

StartFault = Callable[[], Coroutine[None, None, None]]


class FaultInjector:
    """Injects one fault after another; ``counts`` counts them by kind."""

    def __init__(
        self, fleet: OutcomesFleet, random_source: random.Random
    ) -> None:
        self.fleet = fleet
        self.random_source = random_source
        self.counts: Counter[str] = Counter()
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, pause_seconds: float, rounds: int) -> None:
        """Inject every kind of fault, in a new order each round."""
        kinds: list[StartFault] = [
            self.kill,
            self.pause,
            self.stop,
            self.stop,
            self.take_store_out,
            self.lose_store_replies,
            self.refuse_connections,
            self.shed_load,
        ]
        for _ in range(rounds):
            self.random_source.shuffle(kinds)
            for start_fault in kinds:
                self._start_task(start_fault())
                await asyncio.sleep(pause_seconds)
        await self.finish()

    async def finish(self) -> None:
        """Wait for the faults in progress."""
        while self.tasks:
            await asyncio.gather(*self.tasks)

    async def kill(self) -> None:
        """Kill an entry and start another in its place."""
        self.counts['entry-killed'] += 1
        await self.fleet.replace(self._choose_slot_index(), signal.SIGKILL)

    async def stop(self) -> None:
        """Stop an entry gracefully and start another in its place."""
        self.counts['entry-stopped'] += 1
        await self.fleet.replace(self._choose_slot_index(), signal.SIGTERM)

    async def pause(self) -> None:
        """Pause an entry's process past the deadlines of its requests."""
        self.counts['entry-paused'] += 1
        await self.fleet.pause(self._choose_slot_index(), _ENTRY_PAUSE_SECONDS)

    async def take_store_out(self) -> None:
        """Make the store unavailable for a while."""
        self.counts['store-out'] += 1
        faults = self.fleet.store_stand_in.faults
        faults.is_out = True
        await asyncio.sleep(_OUTAGE_SECONDS)
        faults.is_out = False

    async def lose_store_replies(self) -> None:
        """Drop the replies of writes that take effect."""
        self.counts['store-replies-lost'] += 1
        faults = self.fleet.store_stand_in.faults
        faults.lose_write_replies = True
        await asyncio.sleep(_OUTAGE_SECONDS)
        faults.lose_write_replies = False

    async def refuse_connections(self) -> None:
        """Refuse new connections to a backend server for a while."""
        self.counts['connections-refused'] += 1
        proxy = self.random_source.choice(self.fleet.proxies)
        await proxy.refuse_connections()
        await asyncio.sleep(_REFUSAL_SECONDS)
        await proxy.accept_connections()

    async def shed_load(self) -> None:
        """Let servers shed load in turn until one has rejected a request."""
        for server in self.random_source.sample(
            self.fleet.proxied_servers, _MAX_SHEDDING_SERVERS
        ):
            shed_before = server.shed_count
            server.is_shedding = True
            await asyncio.sleep(_SHED_SECONDS)
            server.is_shedding = False
            if server.shed_count > shed_before:
                break
        self.counts['server-shed'] = sum(
            token_server.shed_count
            for token_server in self.fleet.proxied_servers
        )

    def _start_task(self, fault: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(fault)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _choose_slot_index(self) -> int:
        """Return the index of an entry without a fault, or of any entry."""
        undisturbed = [
            index
            for index, slot in enumerate(self.fleet.slots)
            if not (slot.is_stopping or slot.is_disturbed)
        ]
        return self.random_source.choice(
            undisturbed or range(len(self.fleet.slots))
        )
