"""The descriptors that connections to servers and other VMs may take."""

__all__ = ('ConnectionSlots',)

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from zinniaturn.http1.exceptions import NoSlotError


@dataclass(slots=True)
class ConnectionSlots:
    """
    Counts open connections, of which there are ``most``.

    ``close_idle`` closes a connection that nobody uses, and returns whether
    there was one. Those that wait for a slot get it in order of arrival.
    """

    most: float
    close_idle: Callable[[], bool]
    used: int = 0
    refused: int = 0
    waiting: 'deque[asyncio.Future[None]]' = field(default_factory=deque)

    async def acquire(self, timeout_seconds: float) -> None:
        """Take a slot; raises `NoSlotError` if none gets free in time."""
        if self.used >= self.most:
            await self._wait(timeout_seconds)
        else:
            self.used += 1

    def release(self) -> None:
        """Give a slot back, or hand it over to the one that waits longest."""
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.used -= 1

    async def _wait(self, timeout_seconds: float) -> None:
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        # The slot of an idle connection is released as it has ended.
        self.close_idle()
        try:
            async with asyncio.timeout(timeout_seconds):
                await turn
        except TimeoutError as error:
            if turn.done() and not turn.cancelled():
                return
            self.refused += 1
            raise NoSlotError('too many connections are open') from error
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.release()
            raise
