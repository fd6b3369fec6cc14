"""
Following the store's head with one long poll at a time.

A head that does not move on from the one in force is never obeyed. A store
that is behind or empty gets a fence, so that no operator builds upon it.
"""

__all__ = ('StoreWatcher', 'watch_store')

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from zinniaturn.clock import Clock, SystemClock
from zinniaturn.configuration.comparison import HeadComparison
from zinniaturn.configuration.exceptions import (
    ConfigurationError,
    StoredStateError,
)
from zinniaturn.configuration.fencing import fence_store
from zinniaturn.configuration.installed import InstalledTables
from zinniaturn.configuration.layout import (
    HEAD_KEY,
    StoredHead,
    decode_stored_head,
    read_segment_texts,
)
from zinniaturn.configuration.snapshot import assemble_snapshot
from zinniaturn.events import LogEvent, log_event
from zinniaturn.store import ConfigurationStore, StoreError

_WAIT_SECONDS = 5.0
_PAUSE_SECONDS = 0.3
_IDLE_SECONDS = 5.0


def _always() -> bool:
    return True


@dataclass
class StoreWatcher:
    """
    Brings the store's head into force at one entry.

    ``watches`` says whether this entry waits on the store; one that does not
    reads the head now and then. ``confirmed_at`` is the monotonic time in
    seconds of the last reply that showed no other revision.
    """

    store: ConfigurationStore
    installed: InstalledTables
    source: random.Random
    name: str = ''
    clock: Clock = field(default_factory=SystemClock)
    should_watch: Callable[[], bool] = _always
    confirmed_at: float | None = None
    is_out: bool = False
    version: int = -1

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            try:
                await self.step()
            except (StoreError, ConfigurationError) as error:
                self._note_outage(str(error))
                pause = _PAUSE_SECONDS * (1 + self.source.random())
                await asyncio.sleep(pause)
                continue
            if not self.should_watch():
                await asyncio.sleep(_IDLE_SECONDS * (1 + self.source.random()))

    async def step(self) -> None:
        """Wait for another head, or read it, and deal with it."""
        if self.version < 0 or not self.should_watch():
            entry = await self.store.read(HEAD_KEY)
        else:
            entry = await self.store.watch(
                HEAD_KEY,
                self.version,
                _WAIT_SECONDS,
            )
        if self.is_out:
            self.is_out = False
            log_event(LogEvent.STORE_BACK)
        if entry.version != self.version:
            await self._take(decode_stored_head(entry))
            self.version = entry.version
        self.confirmed_at = self.clock.monotonic()

    async def _take(self, stored: StoredHead) -> None:
        comparison = self.installed.compare(stored.head)
        match comparison:
            case HeadComparison.INSTALL:
                await self._install(stored)
            case (
                HeadComparison.OLDER
                | HeadComparison.FORKED
                | HeadComparison.EMPTY
            ):
                await self._refuse(stored, comparison)

    async def _install(self, stored: StoredHead) -> None:
        known = self.installed.snapshot
        texts = await read_segment_texts(self.store, stored.head, known)
        try:
            self.installed.install_snapshot(
                assemble_snapshot(stored.head, texts, known)
            )
        except StoredStateError as error:
            log_event(LogEvent.REVISION_REFUSED, reason=str(error))
            raise

    async def _refuse(
        self, stored: StoredHead, comparison: HeadComparison
    ) -> None:
        held = self.installed.head
        if not held.revision or stored.head.fence is not None:
            return
        if await fence_store(self.store, stored, held, self.name):
            log_event(
                LogEvent.STORE_RESET,
                found=comparison.value,
                offered=stored.head.revision,
                in_force=held.revision,
            )

    def _note_outage(self, reason: str) -> None:
        if not self.is_out:
            log_event(LogEvent.STORE_UNAVAILABLE, reason=reason)
        self.is_out = True


async def watch_store(
    store: ConfigurationStore,
    installed: InstalledTables,
    source: random.Random,
) -> None:
    """Install every higher revision that the store shows, for ever."""
    await StoreWatcher(store, installed, source).run()
