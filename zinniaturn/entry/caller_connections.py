"""Admits callers' connections and closes those without progress."""

__all__ = ('CallerConnections',)

import asyncio
from collections.abc import Iterable
from typing import Protocol

from zinniaturn.entry.background_component import BackgroundComponent
from zinniaturn.events import LogEvent, log_event
from zinniaturn.limits import (
    ConnectionAdmission,
    LimitName,
    ProgressLimits,
    TransferProgress,
    TransferStep,
)

_SWEEP_INTERVAL_SECONDS = 1.0
_CONNECTIONS_PER_SLICE = 256


class CallerConnection(Protocol):
    """The interface of a connection that the sweep uses."""

    progress: TransferProgress

    def pending_step(self) -> tuple[TransferStep, int]:
        """Return the step in progress and the bytes transferred in it."""

    def abort(self) -> None:
        """Close the connection at once."""


class CallerConnections(BackgroundComponent):
    """
    The open connections from callers.

    ``closed`` counts the connections that each limit closed or rejected. To
    bound the log, only the first one by each limit is logged, and then one
    each time the count doubles.
    """

    def __init__(
        self, admission: ConnectionAdmission, limits: ProgressLimits
    ) -> None:
        self.admission = admission
        self.limits = limits
        self.open: set[CallerConnection] = set()
        self.closed: dict[LimitName, int] = dict.fromkeys(LimitName, 0)

    def admit(self, connection: CallerConnection, caller: str) -> bool:
        """Return whether a new connection is admitted."""
        limit = self.admission.admit(caller)
        if limit is None:
            self.open.add(connection)
            return True
        self._count(limit, caller)
        return False

    def release(self, connection: CallerConnection, caller: str) -> None:
        """Remove an admitted connection."""
        if connection in self.open:
            self.open.remove(connection)
            self.admission.release(caller)

    def sweep(
        self, connections: Iterable[CallerConnection], now: float
    ) -> None:
        """Close the connections that exceed a limit."""
        for connection in connections:
            step, transferred_bytes = connection.pending_step()
            limit = connection.progress.exceeded_limit(
                step,
                transferred_bytes,
                self.limits,
                now,
            )
            if limit is not None:
                self._count(limit, '')
                connection.abort()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_SECONDS)
            connections = list(self.open)
            for start in range(0, len(connections), _CONNECTIONS_PER_SLICE):
                self.sweep(
                    connections[start : start + _CONNECTIONS_PER_SLICE],
                    loop.time(),
                )
                await asyncio.sleep(0)

    def _count(self, limit: LimitName, caller: str) -> None:
        self.closed[limit] += 1
        count = self.closed[limit]
        if count & (count - 1) == 0:
            log_event(
                LogEvent.CONNECTION_CLOSED,
                limit=limit.value,
                caller=caller,
                count=count,
            )
