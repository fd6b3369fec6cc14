"""
Tracks which entries are overloaded.

An entry counts as overloaded when its event loop runs late, because callers'
requests then wait for the entry process, however fast the backend servers are.
Entries announce their overload to each other by gossip, and an announcement is
valid for a few seconds.
"""

__all__ = ('OVERLOAD_TOPIC', 'LoopDelayMonitor', 'OverloadTracker')

import asyncio
from dataclasses import dataclass, field

from zinniaturn.clock import Clock
from zinniaturn.entry.background_component import BackgroundComponent

OVERLOAD_TOPIC = 'overload'

_SAMPLE_INTERVAL_SECONDS = 0.25
_MOVING_AVERAGE_WEIGHT = 0.2
_ENTER_OVERLOAD_DELAY_SECONDS = 0.05
_LEAVE_OVERLOAD_DELAY_SECONDS = 0.02
_PEER_NOTE_VALID_SECONDS = 3.0


@dataclass
class OverloadTracker:
    """
    The overload state of this entry and of its peers.

    ``average_delay_seconds`` is a moving average of how late the event loop
    runs. ``peer_noted_at`` maps the name of a peer to the monotonic time of
    its last overload announcement.
    """

    name: str
    clock: Clock
    average_delay_seconds: float = 0
    is_self_overloaded: bool = False
    peer_noted_at: dict[str, float] = field(default_factory=dict)

    def is_overloaded(self, name: str) -> bool:
        """Return whether callers should be directed away from an entry."""
        if name == self.name:
            return self.is_self_overloaded
        noted_at = self.peer_noted_at.get(name)
        if noted_at is None:
            return False
        return self.clock.monotonic() - noted_at < _PEER_NOTE_VALID_SECONDS

    def add_delay_sample(self, delay_seconds: float) -> None:
        """Add one measurement of how late the event loop ran."""
        change = max(0, delay_seconds) - self.average_delay_seconds
        self.average_delay_seconds += _MOVING_AVERAGE_WEIGHT * change
        limit = (
            _LEAVE_OVERLOAD_DELAY_SECONDS
            if self.is_self_overloaded
            else _ENTER_OVERLOAD_DELAY_SECONDS
        )
        self.is_self_overloaded = self.average_delay_seconds > limit

    def make_note(self) -> bytes:
        """Return the gossip payload for peers, empty if not overloaded."""
        return b'1' if self.is_self_overloaded else b''

    def receive_note(self, sender: str, payload: bytes) -> None:
        """Apply the gossip payload of a peer."""
        if payload:
            self.peer_noted_at[sender] = self.clock.monotonic()
        else:
            self.peer_noted_at.pop(sender, None)


class LoopDelayMonitor(BackgroundComponent):
    """Samples the delay of the event loop at a fixed interval."""

    def __init__(self, tracker: OverloadTracker) -> None:
        self.tracker = tracker

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + _SAMPLE_INTERVAL_SECONDS
            await asyncio.sleep(_SAMPLE_INTERVAL_SECONDS)
            self.tracker.add_delay_sample(loop.time() - due)
