"""Faults of whole parts, at random from the seed."""

__all__ = ('FaultEvents',)

import asyncio
import random
import signal
from collections import Counter
from collections.abc import Callable, Coroutine

from zinniaturn.experiments.outcomes.fleet import OutcomesFleet

_PAUSE_SECONDS = 2.5
_OUTAGE_SECONDS = 2.0
_REFUSAL_SECONDS = 0.7
_SHED_SECONDS = 0.5

Event = Callable[[], Coroutine[None, None, None]]


class FaultEvents:
    """Brings about one event after another; ``counts`` says which."""

    def __init__(self, fleet: OutcomesFleet, source: random.Random) -> None:
        self.fleet = fleet
        self.source = source
        self.counts: Counter[str] = Counter()
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, pause_seconds: float, rounds: int) -> None:
        """Bring about every kind of event, in a new order each round."""
        kinds: list[Event] = [
            self.kill,
            self.pause,
            self.stop,
            self.stop,
            self.lose_store,
            self.lose_store_replies,
            self.refuse,
            self.shed,
        ]
        for _ in range(rounds):
            self.source.shuffle(kinds)
            for event in kinds:
                self._begin(event())
                await asyncio.sleep(pause_seconds)
        await self.finish()

    async def finish(self) -> None:
        """Wait for what has begun."""
        while self.tasks:
            await asyncio.gather(*self.tasks)

    async def kill(self) -> None:
        """Kill an entry and replace it."""
        self.counts['entry-killed'] += 1
        await self.fleet.replace(self._index(), signal.SIGKILL)

    async def stop(self) -> None:
        """Replace an entry as planned."""
        self.counts['entry-stopped'] += 1
        await self.fleet.replace(self._index(), signal.SIGTERM)

    async def pause(self) -> None:
        """Pause an entry's process past the deadlines of its requests."""
        self.counts['entry-paused'] += 1
        await self.fleet.pause(self._index(), _PAUSE_SECONDS)

    async def lose_store(self) -> None:
        """Take the store out for a while."""
        self.counts['store-out'] += 1
        faults = self.fleet.store_stand_in.faults
        faults.is_out = True
        await asyncio.sleep(_OUTAGE_SECONDS)
        faults.is_out = False

    async def lose_store_replies(self) -> None:
        """Let writes take effect while their replies are lost."""
        self.counts['store-replies-lost'] += 1
        faults = self.fleet.store_stand_in.faults
        faults.lose_write_replies = True
        await asyncio.sleep(_OUTAGE_SECONDS)
        faults.lose_write_replies = False

    async def refuse(self) -> None:
        """Let a backend server refuse connections for a while."""
        self.counts['connections-refused'] += 1
        proxy = self.source.choice(self.fleet.proxies)
        await proxy.refuse_connections()
        await asyncio.sleep(_REFUSAL_SECONDS)
        await proxy.accept_connections()

    async def shed(self) -> None:
        """Let a backend server turn everything away for a while."""
        server = self.source.choice(self.fleet.servers)
        server.is_shedding = True
        await asyncio.sleep(_SHED_SECONDS)
        server.is_shedding = False
        self.counts['server-shed'] = sum(
            each.shed for each in self.fleet.servers
        )

    def _begin(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _index(self) -> int:
        """Return an entry that nothing has happened to so far."""
        free = [
            index
            for index, slot in enumerate(self.fleet.slots)
            if not (slot.is_stopping or slot.is_wronged)
        ]
        return self.source.choice(free or range(len(self.fleet.slots)))
