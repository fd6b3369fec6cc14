"""The part of an entry that finds out when leaving servers are back."""

__all__ = ('LeavingServerHealthChecker',)

import asyncio

from zinniaturn.choosing import PoolState
from zinniaturn.entry.background_component import BackgroundComponent
from zinniaturn.entry.state import EntryState
from zinniaturn.probes import is_accepting_again

_PAUSE_SECONDS = 5.0


class LeavingServerHealthChecker(BackgroundComponent):
    """Asks the health of servers that said that they leave."""

    def __init__(self, state: EntryState) -> None:
        self.state = state

    async def _run(self) -> None:
        while True:
            pause = _PAUSE_SECONDS * self.state.source.uniform(0.5, 1.5)
            await asyncio.sleep(pause)
            for pool in list(self.state.pools.values()):
                await self._ask(pool)

    async def _ask(self, pool: PoolState) -> None:
        leaving = [each for each in pool.servers.values() if each.leaving]
        for state in leaving:
            if await is_accepting_again(self.state.connections, state.server):
                pool.note_accepting_again(state.server.name)
