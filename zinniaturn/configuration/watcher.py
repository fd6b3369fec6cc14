"""
Watches the store's head by long polling and installs newer revisions.

A head that does not descend from the installed one is never installed. If the
store is behind, forked or empty, its head gets a fence, so that no operator
commits on top of it.
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

_LONG_POLL_SECONDS = 5.0
_RETRY_SECONDS = 0.3
_READ_INTERVAL_SECONDS = 5.0


def _always() -> bool:
    return True


@dataclass
class StoreWatcher:
    """
    Installs the store's head at one entry.

    ``should_watch`` says whether this entry watches the head by long polling;
    otherwise it reads the head at intervals. ``confirmed_at`` is the monotonic
    time in seconds of the store's last reply that was handled. ``is_out`` is
    set from a failed call until the next reply. ``version`` is that of the
    last head handled, and -1 before the first.
    """

    store: ConfigurationStore
    installed: InstalledTables
    random_source: random.Random
    name: str = ''
    clock: Clock = field(default_factory=SystemClock)
    should_watch: Callable[[], bool] = _always
    confirmed_at: float | None = None
    is_out: bool = False
    version: int = -1

    async def run(self) -> None:
        """Watch until cancelled, retrying after errors."""
        while True:
            try:
                await self.poll_once()
            except (StoreError, ConfigurationError) as error:
                self._note_outage(str(error))
                pause = _RETRY_SECONDS * (1 + self.random_source.random())
                await asyncio.sleep(pause)
                continue
            if not self.should_watch():
                await asyncio.sleep(
                    _READ_INTERVAL_SECONDS * (1 + self.random_source.random())
                )

    async def poll_once(self) -> None:
        """Wait for a new version of the head, or read it, and handle it."""
        if self.version < 0 or not self.should_watch():
            stored_value = await self.store.read(HEAD_KEY)
        else:
            stored_value = await self.store.watch(
                HEAD_KEY,
                self.version,
                _LONG_POLL_SECONDS,
            )
        if self.is_out:
            self.is_out = False
            log_event(LogEvent.STORE_BACK)
        if stored_value.version != self.version:
            await self._handle_head(decode_stored_head(stored_value))
            self.version = stored_value.version
        self.confirmed_at = self.clock.monotonic()

    async def _handle_head(self, stored: StoredHead) -> None:
        comparison = self.installed.compare(stored.head)
        match comparison:
            case HeadComparison.INSTALL:
                await self._install(stored)
            case (
                HeadComparison.OLDER
                | HeadComparison.FORKED
                | HeadComparison.EMPTY
            ):
                await self._fence_store(stored, comparison)

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

    async def _fence_store(
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
    random_source: random.Random,
) -> None:
    """Install each newer revision in the store until cancelled."""
    await StoreWatcher(store, installed, random_source).run()
