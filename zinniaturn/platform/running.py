"""Starts the gateway with the platform's settings, store and wire format."""

__all__ = ('main',)

import asyncio
import os
import sys
from pathlib import Path

from zinniaturn.events.catalogue import LogEvent
from zinniaturn.gateway.event_log import EventLog
from zinniaturn.gateway.running import run_gateway
from zinniaturn.gateway.settings import GatewaySettings
from zinniaturn.platform.exceptions import SettingsFileError
from zinniaturn.platform.settings_file import SETTINGS_VARIABLE, read_settings
from zinniaturn.platform.store import PlatformStore
from zinniaturn.platform.wire_format import PlatformWireFormat

_USAGE_STATUS = 2


def main(arguments: list[str]) -> None:
    """Run until signalled to stop; ``arguments`` may hold the metrics port."""
    metrics_port = int(arguments[0]) if arguments else 0
    path = os.environ.get(SETTINGS_VARIABLE, '')
    event_log = EventLog('')
    event_log.set_nonblocking()
    # A change while the file is being read differs from this stamp.
    stamp = _file_stamp(path)
    try:
        settings = read_settings(path, metrics_port)
    except SettingsFileError as error:
        event_log.write(LogEvent.SETTINGS_REFUSED, True, reason=str(error))
        sys.exit(_USAGE_STATUS)
    event_log.vm = settings.name
    store = PlatformStore(settings.store, settings.host)
    watcher = _SettingsWatcher(path, metrics_port, settings, event_log, stamp)

    def reload_settings() -> GatewaySettings | None:
        changed = watcher.read_if_changed()
        if changed is not None:
            store.address = changed.store
        return changed

    asyncio.run(
        run_gateway(
            settings, store, PlatformWireFormat(), event_log, reload_settings
        ),
    )


class _SettingsWatcher:
    """Reads the settings file again when it has changed."""

    def __init__(
        self,
        path: str,
        metrics_port: int,
        settings: GatewaySettings,
        event_log: EventLog,
        stamp: tuple[int, int],
    ) -> None:
        self.path = path
        self.metrics_port = metrics_port
        self.settings = settings
        self.event_log = event_log
        self.stamp = stamp

    def read_if_changed(self) -> GatewaySettings | None:
        """Return changed settings, or ``None``; log those that are invalid."""
        stamp = _file_stamp(self.path)
        if stamp == self.stamp:
            return None
        self.stamp = stamp
        try:
            settings = read_settings(self.path, self.metrics_port)
        except SettingsFileError as error:
            self.event_log.write(
                LogEvent.SETTINGS_REFUSED,
                True,
                reason=str(error),
            )
            return None
        if settings == self.settings:
            return None
        self.settings = settings
        return settings


def _file_stamp(path: str) -> tuple[int, int]:
    """Return what changes with the file's content, zeros without a file."""
    try:
        status = Path(path).stat()
    except OSError:
        return 0, 0
    return status.st_mtime_ns, status.st_size
