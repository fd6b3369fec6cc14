"""The part of an entry that finds out when leaving servers are back."""

__all__ = ('HealthPart',)

import asyncio

from zinniaturn.choosing import PoolState
from zinniaturn.entry.state import EntryState
from zinniaturn.probes import is_back

_PAUSE_SECONDS = 5.0


class HealthPart:
    """Asks the health of servers that said that they leave."""

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to ask."""
        self.task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """End asking."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            pause = _PAUSE_SECONDS * self.state.source.uniform(0.5, 1.5)
            await asyncio.sleep(pause)
            for pool in list(self.state.pools.values()):
                await self._ask(pool)

    async def _ask(self, pool: PoolState) -> None:
        leaving = [each for each in pool.servers.values() if each.leaving]
        for state in leaving:
            if await is_back(self.state.connections, state.server):
                pool.note_back(state.server.name)
