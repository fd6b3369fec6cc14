"""
The background parts of an entry, in the order in which they start.

A part has its own tasks and stops before the entry's listeners close. A new
subsystem adds itself to `build_parts`.
"""

__all__ = ('Part', 'build_parts')

import asyncio
from typing import Protocol

from zinniaturn.configuration import follow_store
from zinniaturn.entry.state import EntryState
from zinniaturn.store import ConfigurationStore


class Part(Protocol):
    """Something that runs beside the data plane."""

    async def start(self) -> None:
        """Begin the work; return once it can be relied upon."""

    async def stop(self) -> None:
        """End the work and wait for it."""


class FollowerPart:
    """Follows the tables in the store."""

    def __init__(self, state: EntryState, store: ConfigurationStore) -> None:
        self.state = state
        self.store = store
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to follow."""
        self.task = asyncio.create_task(
            follow_store(self.store, self.state.holder, self.state.source),
        )

    async def stop(self) -> None:
        """End the long poll."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)


def build_parts(state: EntryState, store: ConfigurationStore) -> list[Part]:
    """Return the parts of an entry."""
    return [FollowerPart(state, store)]
