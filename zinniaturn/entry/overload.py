"""
Which entries are overloaded.

An entry is overloaded when its loop runs late: callers' requests then wait for
the process itself, whatever the backend servers do. It tells its peers, and
what a peer said counts for a few seconds.
"""

__all__ = ('OVERLOAD_TOPIC', 'LoopDelayMonitor', 'OverloadTracker')

import asyncio
from dataclasses import dataclass, field

from zinniaturn.clock import Clock
from zinniaturn.entry.background_component import BackgroundComponent

OVERLOAD_TOPIC = 'overload'

_PERIOD_SECONDS = 0.25
_WEIGHT = 0.2
_ENTER_SECONDS = 0.05
_LEAVE_SECONDS = 0.02
_NOTE_SECONDS = 3.0


@dataclass
class OverloadTracker:
    """
    What this entry measures of itself and hears of others.

    ``delay_seconds`` is a moving average of how late the loop runs. ``heard``
    is when each other entry last said that it is overloaded, in monotonic
    seconds.
    """

    name: str
    clock: Clock
    delay_seconds: float = 0
    is_self_overloaded: bool = False
    peer_noted_at: dict[str, float] = field(default_factory=dict)

    def is_overloaded(self, name: str) -> bool:
        """Return whether an entry is better not named to callers."""
        if name == self.name:
            return self.is_self_overloaded
        noted_at = self.peer_noted_at.get(name)
        if noted_at is None:
            return False
        return self.clock.monotonic() - noted_at < _NOTE_SECONDS

    def measure(self, delay_seconds: float) -> None:
        """Take in how late the loop ran this time."""
        change = max(0, delay_seconds) - self.delay_seconds
        self.delay_seconds += _WEIGHT * change
        limit = _LEAVE_SECONDS if self.is_self_overloaded else _ENTER_SECONDS
        self.is_self_overloaded = self.delay_seconds > limit

    def make_note(self) -> bytes:
        """Return the note for peers."""
        return b'1' if self.is_self_overloaded else b''

    def receive_note(self, sender: str, payload: bytes) -> None:
        """Take in a peer's note."""
        if payload:
            self.peer_noted_at[sender] = self.clock.monotonic()
        else:
            self.peer_noted_at.pop(sender, None)


class LoopDelayMonitor(BackgroundComponent):
    """Measures the loop for ever."""

    def __init__(self, notes: OverloadTracker) -> None:
        self.notes = notes

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + _PERIOD_SECONDS
            await asyncio.sleep(_PERIOD_SECONDS)
            self.notes.measure(loop.time() - due)
