"""Callers' connections: admitting them, and closing those that stand still."""

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

_SWEEP_SECONDS = 1.0
_SLICE = 256


class CallerConnection(Protocol):
    """What the sweep needs of a connection."""

    progress: TransferProgress

    def waits_for(self) -> tuple[TransferStep, int]:
        """Return what is waited for and the bytes that passed in it."""

    def abort(self) -> None:
        """Close at once."""


class CallerConnections(BackgroundComponent):
    """
    The open connections from callers.

    ``closed`` counts those that a limit closed. The first closing by each
    limit is logged, and then one for each time the count doubles.
    """

    def __init__(
        self, admission: ConnectionAdmission, limits: ProgressLimits
    ) -> None:
        self.admission = admission
        self.limits = limits
        self.open: set[CallerConnection] = set()
        self.closed: dict[LimitName, int] = dict.fromkeys(LimitName, 0)

    def admit(self, connection: CallerConnection, caller: str) -> bool:
        """Return whether a new connection may stay."""
        limit = self.admission.admit(caller)
        if limit is None:
            self.open.add(connection)
            return True
        self._count(limit, caller)
        return False

    def release(self, connection: CallerConnection, caller: str) -> None:
        """Take an admitted connection out."""
        if connection in self.open:
            self.open.remove(connection)
            self.admission.release(caller)

    def sweep(
        self, connections: Iterable[CallerConnection], now: float
    ) -> None:
        """Close those of the connections that exceed a limit."""
        for connection in connections:
            step, transferred_bytes = connection.waits_for()
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
            await asyncio.sleep(_SWEEP_SECONDS)
            connections = list(self.open)
            for start in range(0, len(connections), _SLICE):
                self.sweep(connections[start : start + _SLICE], loop.time())
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
