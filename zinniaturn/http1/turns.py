"""
Takes turns between connections that have sent more than one request.

What they have sent ahead is handled a little in each iteration of the event
loop, so that other connections are served as if there were no such senders.
"""

__all__ = ('TurnTaker', 'Turns')

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

# Of one iteration of the event loop. A request takes 0.1 to 1 ms.
_SECONDS_AT_ONCE = 0.002


class TurnTaker(Protocol):
    """A connection with more to handle."""

    def take_turn(self) -> None:
        """Handle a little of it, and ask for another turn for the rest."""


@dataclass(slots=True)
class Turns:
    """Those that wait for their turn, in order."""

    waiting: deque[TurnTaker] = field(default_factory=deque)

    def add(self, taker: TurnTaker) -> None:
        """Let it have its turn after all others; it must not be waiting."""
        self.waiting.append(taker)
        if len(self.waiting) == 1:
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + _SECONDS_AT_ONCE
        count = len(self.waiting)
        while count and loop.time() < until:
            # It stays in line meanwhile, so that `add` starts no second run.
            self.waiting[0].take_turn()
            self.waiting.popleft()
            count -= 1
        if self.waiting:
            loop.call_soon(self._run)
