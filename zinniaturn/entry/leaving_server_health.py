"""Checks whether servers marked as leaving accept requests again."""

__all__ = ('LeavingServerHealthChecker',)

import asyncio

from zinniaturn.choosing import PoolState
from zinniaturn.entry.background_component import BackgroundComponent
from zinniaturn.entry.state import EntryState
from zinniaturn.probes import is_accepting_again

_MEAN_CHECK_INTERVAL_SECONDS = 5.0


class LeavingServerHealthChecker(BackgroundComponent):
    """Checks the health of the servers marked as leaving."""

    def __init__(self, state: EntryState) -> None:
        self.state = state

    async def _run(self) -> None:
        while True:
            interval_seconds = (
                _MEAN_CHECK_INTERVAL_SECONDS
                * self.state.random_source.uniform(0.5, 1.5)
            )
            await asyncio.sleep(interval_seconds)
            for pool in list(self.state.pools.values()):
                await self._check_leaving_servers(pool)

    async def _check_leaving_servers(self, pool: PoolState) -> None:
        leaving = [server for server in pool.servers.values() if server.leaving]
        for state in leaving:
            if await is_accepting_again(self.state.connections, state.server):
                pool.note_accepting_again(state.server.name)
