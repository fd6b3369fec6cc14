"""
Which entries are overloaded.

An entry is overloaded when its loop runs late: callers' requests then wait for
the process itself, whatever the backend servers do. It tells its peers, and
what a peer said counts for a few seconds.
"""

__all__ = ('OVERLOAD_TOPIC', 'OverloadNotes', 'OverloadPart')

import asyncio
from dataclasses import dataclass, field

from zinniaturn.clock import Clock
from zinniaturn.entry.background import BackgroundPart

OVERLOAD_TOPIC = 'overload'

_PERIOD_SECONDS = 0.25
_WEIGHT = 0.2
_ENTER_SECONDS = 0.05
_LEAVE_SECONDS = 0.02
_NOTE_SECONDS = 3.0


@dataclass
class OverloadNotes:
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
    heard: dict[str, float] = field(default_factory=dict)

    def is_overloaded(self, name: str) -> bool:
        """Return whether an entry is better not named to callers."""
        if name == self.name:
            return self.is_self_overloaded
        heard_at = self.heard.get(name)
        if heard_at is None:
            return False
        return self.clock.monotonic() - heard_at < _NOTE_SECONDS

    def measure(self, delay_seconds: float) -> None:
        """Take in how late the loop ran this time."""
        change = max(0, delay_seconds) - self.delay_seconds
        self.delay_seconds += _WEIGHT * change
        limit = _LEAVE_SECONDS if self.is_self_overloaded else _ENTER_SECONDS
        self.is_self_overloaded = self.delay_seconds > limit

    def provide(self) -> bytes:
        """Return the note for peers."""
        return b'1' if self.is_self_overloaded else b''

    def receive(self, sender: str, payload: bytes) -> None:
        """Take in a peer's note."""
        if payload:
            self.heard[sender] = self.clock.monotonic()
        else:
            self.heard.pop(sender, None)


class OverloadPart(BackgroundPart):
    """Measures the loop for ever."""

    def __init__(self, notes: OverloadNotes) -> None:
        self.notes = notes

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + _PERIOD_SECONDS
            await asyncio.sleep(_PERIOD_SECONDS)
            self.notes.measure(loop.time() - due)
