"""Taking over changed key files while running."""

__all__ = ('TlsFileReloader', 'WatchedKeyFiles')

import asyncio
import os
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

from zinniaturn.events import LogEvent, log_event
from zinniaturn.tls.exceptions import TlsError
from zinniaturn.tls.files import KeyFiles, read_key_pair

_WARN_BEFORE = timedelta(days=7)
_WARN_SECONDS = 86_400.0

FileState = tuple[tuple[int, int, int], ...]


@dataclass
class WatchedKeyFiles:
    """Key files and what is done once they have changed."""

    files: KeyFiles
    apply: Callable[[], Awaitable[None]]
    seen: FileState = field(init=False)

    def __post_init__(self) -> None:
        """Remember the files as they are."""
        self.seen = _state_of(self.files)


class TlsFileReloader:
    """
    Looks at the files every ``seconds`` and takes changed ones over.

    Files that cannot be used are reported, and the old keys stay in use.
    """

    def __init__(
        self, watched: Sequence[WatchedKeyFiles], seconds: float
    ) -> None:
        self.watched = watched
        self.seconds = seconds
        self.warned_at: float = 0
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to look, if there is something to look at."""
        if self.watched:
            self.task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """End looking."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def reload_changed(self) -> None:
        """Take changed files over."""
        for keys in self.watched:
            state = _state_of(keys.files)
            if state != keys.seen:
                await self._take_over(keys, state)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if loop.time() >= self.warned_at:
                self.warned_at = loop.time() + _WARN_SECONDS
                self._warn()
            await asyncio.sleep(self.seconds)
            await self.reload_changed()

    async def _take_over(self, keys: WatchedKeyFiles, state: FileState) -> None:
        keys.seen = state
        certificate = keys.files.certificate
        try:
            await keys.apply()
        except TlsError as error:
            log_event(
                LogEvent.KEYS_REFUSED,
                certificate=certificate,
                code=error.code,
                reason=error.message,
            )
            return
        log_event(LogEvent.KEYS_RELOADED, certificate=certificate)

    def _warn(self) -> None:
        soon = datetime.now(UTC) + _WARN_BEFORE
        for keys in self.watched:
            if not keys.files.certificate:
                continue
            try:
                expires = read_key_pair(keys.files).expires
            except TlsError:
                continue
            if expires <= soon:
                log_event(
                    LogEvent.KEYS_EXPIRE_SOON,
                    certificate=keys.files.certificate,
                    expires=str(expires),
                )


def _state_of(files: KeyFiles) -> FileState:
    """Return what changes when a file is written or replaced."""
    return tuple(_stat(path) for path in files.paths())


def _stat(path: str) -> tuple[int, int, int]:
    try:
        found = os.stat(path)
    except OSError:
        return (0, 0, 0)
    return (found.st_ino, found.st_mtime_ns, found.st_size)
