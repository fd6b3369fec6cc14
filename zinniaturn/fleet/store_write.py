"""Writes to the store that run beside everything else, one at a time."""

__all__ = ('StoreWrite',)

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

from zinniaturn.clock import Clock
from zinniaturn.fleet.exceptions import FleetStoreError


@dataclass(slots=True)
class StoreWrite:
    """
    A write in progress, and the time of the last one that succeeded.

    ``on_failure`` is called with the error of a write. The next read shows
    whether a write took effect.
    """

    clock: Clock
    on_failure: Callable[[FleetStoreError], None]
    task: 'asyncio.Task[None] | None' = None
    written_at: float = float('-inf')

    def start(self, call: Coroutine[None, None, None]) -> None:
        """Start a write, unless one is running."""
        if self.task is None:
            self.task = asyncio.ensure_future(self._await(call))
        else:
            call.close()

    def is_settled(self, now: float, seconds: float) -> bool:
        """Return whether a read shows the last write by now."""
        return now - self.written_at >= seconds

    def forget(self) -> None:
        """Note that the store may have lost what was written to it."""
        self.written_at = float('-inf')

    async def _await(self, call: Coroutine[None, None, None]) -> None:
        try:
            await call
        except FleetStoreError as error:
            self.on_failure(error)
        else:
            self.written_at = self.clock.monotonic()
        finally:
            self.task = None
