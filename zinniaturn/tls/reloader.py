"""Reloads TLS key files when they change, and warns before they expire."""

__all__ = ('TlsFileReloader', 'WatchedKeyFiles')

import asyncio
import os
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

from zinniaturn.events import LogEvent, log_event
from zinniaturn.tls.exceptions import TlsError
from zinniaturn.tls.files import KeyFiles, read_key_pair

_EXPIRY_WARNING_PERIOD = timedelta(days=7)
_WARNING_INTERVAL_SECONDS = 86_400.0

FileVersions = tuple[tuple[int, int, int], ...]


@dataclass
class WatchedKeyFiles:
    """Key files and the function that applies them after a change."""

    files: KeyFiles
    apply: Callable[[], Awaitable[None]]
    last_versions: FileVersions = field(init=False)

    def __post_init__(self) -> None:
        """Store the current versions of the files."""
        self.last_versions = _versions_of(self.files)


class TlsFileReloader:
    """
    Checks the files every ``interval_seconds`` and applies changed ones.

    If new files cannot be used, this is logged and the old keys stay in use.
    """

    def __init__(
        self, watched: Sequence[WatchedKeyFiles], interval_seconds: float
    ) -> None:
        self.watched = watched
        self.interval_seconds = interval_seconds
        self.warned_at: float = 0
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the periodic check if there are files to watch."""
        if self.watched:
            self.task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the periodic check."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def reload_changed(self) -> None:
        """Apply the files that changed since the last check."""
        for watched_files in self.watched:
            versions = _versions_of(watched_files.files)
            if versions != watched_files.last_versions:
                await self._apply_change(watched_files, versions)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if loop.time() >= self.warned_at:
                self.warned_at = loop.time() + _WARNING_INTERVAL_SECONDS
                self._warn_of_expiry()
            await asyncio.sleep(self.interval_seconds)
            await self.reload_changed()

    async def _apply_change(
        self, watched_files: WatchedKeyFiles, versions: FileVersions
    ) -> None:
        watched_files.last_versions = versions
        certificate = watched_files.files.certificate
        try:
            await watched_files.apply()
        except TlsError as error:
            log_event(
                LogEvent.KEYS_REFUSED,
                certificate=certificate,
                code=error.code,
                reason=error.message,
            )
            return
        log_event(LogEvent.KEYS_RELOADED, certificate=certificate)

    def _warn_of_expiry(self) -> None:
        warning_limit = datetime.now(UTC) + _EXPIRY_WARNING_PERIOD
        for watched_files in self.watched:
            if not watched_files.files.certificate:
                continue
            try:
                expires = read_key_pair(watched_files.files).expires
            except TlsError:
                continue
            if expires <= warning_limit:
                log_event(
                    LogEvent.KEYS_EXPIRE_SOON,
                    certificate=watched_files.files.certificate,
                    expires=str(expires),
                )


def _versions_of(files: KeyFiles) -> FileVersions:
    """Return values that change when a file is written or replaced."""
    return tuple(_stat(path) for path in files.paths())


def _stat(path: str) -> tuple[int, int, int]:
    try:
        status = os.stat(path)
    except OSError:
        return (0, 0, 0)
    return (status.st_ino, status.st_mtime_ns, status.st_size)
