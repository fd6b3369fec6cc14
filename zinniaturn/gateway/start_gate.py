"""
Lets requests wait for the first tables of a process that has just started.

A new process listens before it has any tables, and callers may still know its
address from before a restart. It usually gets its first tables from another VM
within 0.2 s. A request that came first is served then; 503 would cost its
caller another connection and the pause before it.

The wait is bounded by the time since the start, so that a process which gets no
tables rejects requests at once from then on.
"""

__all__ = ('StartGate',)

import asyncio
from dataclasses import dataclass, field

from zinniaturn.fleet.state_change import StateChange
from zinniaturn.gateway.state import GatewayState

# Callers whose timeout is short return elsewhere in time.
_MAX_TIMEOUT_SHARE = 0.25
_START_SECONDS = 0.6


@dataclass(slots=True)
class StartGate:
    """
    Holds requests until the first tables are installed.

    ``installed`` is set by the first change of the fleet's state that brings
    tables. Work: one comparison for a request once the process has tables.
    """

    state: GatewayState
    installed: asyncio.Event = field(default_factory=asyncio.Event)

    def note_change(self, change: StateChange) -> None:
        """Let the waiting requests go on if there are tables now."""
        if self.state.fleet_state.tables is not None:
            self.installed.set()

    def seconds_left(self, timeout_seconds: float | None) -> float:
        """
        Return for how long a request may wait, 0 if it is to be rejected.

        ``timeout_seconds`` is what its caller states, ``None`` if nothing.
        """
        if self.state.is_stopping:
            return 0
        now = asyncio.get_running_loop().time()
        seconds = self.state.started_at + _START_SECONDS - now
        if timeout_seconds is not None:
            seconds = min(seconds, timeout_seconds * _MAX_TIMEOUT_SHARE)
        return max(0, seconds)

    async def wait(self, seconds: float) -> None:
        """Wait for the first tables, ``seconds`` at most."""
        try:
            async with asyncio.timeout(seconds):
                await self.installed.wait()
        except TimeoutError:
            self.state.counters.events['start_wait_ended'] += 1
